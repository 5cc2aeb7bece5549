#include "trefoilbend/idempotency/key.h"

#include <boost/test/unit_test.hpp>
#include <string>

#include "trefoilbend/idempotency/digest.h"

namespace trefoilbend::idempotency {

namespace {

using namespace std::chrono_literals;

const Home kHome{.entry = core::InstanceName{"entry-7.b"},
                 .incarnation = core::Incarnation{0xbeef},
                 .issued = IssueTime{1'234'567ms}};

}  // namespace

BOOST_AUTO_TEST_SUITE(a_prefix_of_keys)

BOOST_AUTO_TEST_CASE(names_its_home_to_every_entry) {
  const auto home = ParseHome(FormatPrefix(kHome) + "42");
  BOOST_REQUIRE(home.has_value());
  BOOST_TEST((*home == kHome));
}

BOOST_AUTO_TEST_CASE(is_not_found_in_a_callers_own_key) {
  for (const char* own :
       {"", "42", "tb1.", "tb1.entry~1", "tb1..1.2~x", "tb1.entry.1.2~",
        "tb1.entry.g.2~x", "0d6e57c8-0a64-4a5c-9f2b-1f1f0a3b8e55"}) {
    BOOST_TEST(!ParseHome(own).has_value(), own);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_digest)

BOOST_AUTO_TEST_CASE(tells_requests_apart) {
  core::CallRequest request;
  request.service = core::ServiceName{"stock"};
  request.method = "POST";
  request.path = "/reserve";
  request.body = "heated mirror";
  const RequestDigest digest = DigestOf(request);
  BOOST_TEST((DigestOf(request) == digest));
  core::CallRequest shifted = request;
  shifted.path = "/reserveh";
  shifted.body = "eated mirror";
  BOOST_TEST((DigestOf(shifted) != digest));
  request.body = "plain mirror";
  BOOST_TEST((DigestOf(request) != digest));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::idempotency
