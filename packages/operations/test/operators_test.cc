#include "trefoilbend/operations/operators.h"

#include <boost/test/unit_test.hpp>

namespace trefoilbend::operations {

namespace {

auto Read(const std::string& text) {
  return Operators::Read(
      core::ValueOf(settings::Document::Parse("operators.ini", text)));
}

}  // namespace

BOOST_AUTO_TEST_SUITE(the_operators)

BOOST_AUTO_TEST_CASE(are_known_by_their_tokens) {
  const auto operators = Read(
      "[operator ana]\ntoken = 0123456789abcdef\n"
      "[operator luis]\ntoken = fedcba9876543210\n");
  BOOST_REQUIRE(core::Succeeded(operators));
  const Operators& known = core::ValueOf(operators);
  BOOST_TEST((known.Authenticate("Bearer fedcba9876543210") == "luis"));
  for (const char* wrong :
       {"", "Bearer ", "Bearer fedcba987654321", "Bearer fedcba98765432100",
        "Basic fedcba9876543210", "fedcba9876543210"}) {
    BOOST_TEST(!known.Authenticate(wrong).has_value(), wrong);
  }
}

BOOST_AUTO_TEST_CASE(are_nobody_without_a_file) {
  BOOST_TEST(!Operators{}.Authenticate("Bearer ").has_value());
}

BOOST_AUTO_TEST_CASE(are_refused_with_all_mistakes_of_the_file) {
  const auto operators = Read(
      "[operator ana]\ntoken = short\n[operator]\ntoken = 0123456789abcdef\n"
      "[operator luis]\nname = luis\n[operator eva]\ntoken = fedcba9876543210\n"
      "[operator leo]\ntoken = fedcba9876543210\ncolour = red\n");
  BOOST_REQUIRE(!core::Succeeded(operators));
  BOOST_TEST(core::ProblemOf(operators).size() == 6U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::operations
