#include "explain.h"

#include <boost/test/unit_test.hpp>
#include <sstream>
#include <string>

namespace trefoilbend::ctl {

namespace {

struct Fixture {
  std::istringstream first{
      "2026-12-04T10:00:02.000+0000 info balancing: Sent. id=7a at_ms=1.0\n"
      "2026-12-04T10:00:02.000+0000 info balancing: Sent. id=7ab at_ms=1.0\n"
      "2026-12-04T10:00:03.000+0000 info registry: Instance joined. "
      "target=7a\n"};
  std::istringstream second{
      "2026-12-04T10:00:01.000+0000 info callers: Refused at the door. "
      "id=7a\n"};
  std::ostringstream out;

  std::size_t Tell(const std::string& id) {
    return Explain(id,
                   {{.name = "entry-1", .lines = &this->first},
                    {.name = "entry-2", .lines = &this->second}},
                   this->out);
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(the_story_of_a_request, Fixture)

BOOST_AUTO_TEST_CASE(is_told_in_order_over_several_entries) {
  BOOST_TEST(Tell("7a") == 2U);
  BOOST_TEST(out.str().starts_with("entry-2: 2026-12-04T10:00:01"));
  BOOST_TEST(out.str().find("entry-1: ") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(has_no_line_of_another_request) {
  (void)Tell("7a");
  BOOST_TEST(out.str().find("7ab") == std::string::npos);
  BOOST_TEST(out.str().find("joined") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(is_empty_for_an_unknown_request) {
  BOOST_TEST(Tell("8b") == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::ctl
