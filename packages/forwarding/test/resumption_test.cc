#include "trefoilbend/forwarding/resumption.h"

#include <boost/test/unit_test.hpp>

namespace trefoilbend::forwarding {

namespace {

struct Fixture {
  core::CallRequest request{.method = "GET", .idempotent = true};
  core::AnswerHead head{
      .status = 200, .fields = {{"ETag", "\"a\""}}, .length = 100};
  ResumePoint point{.validator = "\"a\"", .offset = 40, .length = 100};
  core::AnswerHead rest{
      .status = 206,
      .fields = {{"ETag", "\"a\""}, {"Content-Range", "bytes 40-99/100"}},
      .length = 60};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(a_download_that_broke, Fixture)

BOOST_AUTO_TEST_SUITE(can_go_on)

BOOST_AUTO_TEST_CASE(with_a_strong_validator) {
  const auto resume = ResumptionOf(request, head);
  BOOST_REQUIRE(resume.has_value());
  BOOST_TEST(resume->validator == "\"a\"");
  BOOST_TEST((resume->length == 100U));
}

BOOST_AUTO_TEST_CASE(not_with_a_weak_one_or_none) {
  head.fields = {{"ETag", "W/\"a\""}};
  BOOST_TEST(!ResumptionOf(request, head).has_value());
  head.fields = {};
  BOOST_TEST(!ResumptionOf(request, head).has_value());
}

BOOST_AUTO_TEST_CASE(not_if_it_is_another_kind_of_call_or_answer) {
  core::CallRequest part = request;
  part.fields = {{"Range", "bytes=1-2"}};
  BOOST_TEST(!ResumptionOf(part, head).has_value());
  request.idempotent = false;
  BOOST_TEST(!ResumptionOf(request, head).has_value());
  request.idempotent = true;
  head.status = 206;
  BOOST_TEST(!ResumptionOf(request, head).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(goes_on_with_an_answer)

BOOST_AUTO_TEST_CASE(that_holds_all_the_rest) {
  BOOST_TEST(Continues(point, rest));
}

BOOST_AUTO_TEST_CASE(not_with_another_or_no_validator) {
  rest.fields[0].second = "\"b\"";
  BOOST_TEST(!Continues(point, rest));
  rest.fields.erase(rest.fields.begin());
  BOOST_TEST(!Continues(point, rest));
}

BOOST_AUTO_TEST_CASE(not_with_other_bytes) {
  for (const char* range :
       {"bytes 39-99/100", "bytes 41-99/100", "bytes 40-98/100",
        "bytes 40-109/110", "bytes 40-99/*", "bytes 40-100/100", "bytes 99-40/",
        "bytes */100", "items 40-99/100", ""}) {
    rest.fields[1].second = range;
    BOOST_TEST(!Continues(point, rest), range);
  }
}

/** The head's two lengths must agree; one that tells none is counted as it
 * comes. */
BOOST_AUTO_TEST_CASE(not_with_another_length_than_its_range) {
  for (const std::uint64_t length : {0U, 59U, 61U, 100U}) {
    rest.length = length;
    BOOST_TEST(!Continues(point, rest), length);
  }
  rest.length.reset();
  BOOST_TEST(Continues(point, rest));
}

BOOST_AUTO_TEST_CASE(not_with_the_whole_again) {
  rest.status = 200;
  BOOST_TEST(!Continues(point, rest));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::forwarding
