#include "trefoilbend/inventory/version_roles.h"

#include <boost/test/unit_test.hpp>

namespace trefoilbend::inventory {

using core::VersionName;

namespace {

struct Fixture {
  [[nodiscard]] VersionName CallsOf(const std::string& version) const {
    const VersionRoles roles{this->service,
                             this->has_release ? &this->release : nullptr};
    return roles.CallsOf(VersionName{version});
  }

  Service service{.name = core::ServiceName{"stock"},
                  .version = VersionName{"1"}};
  Release release{.name = core::ServiceName{"stock"},
                  .version = VersionName{"2"},
                  .from = VersionName{"1"}};
  bool has_release = false;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(the_targets_of_a_service, Fixture)

BOOST_AUTO_TEST_SUITE(whose_register_names_its_version)

BOOST_AUTO_TEST_CASE(take_the_calls_of_their_own_version_alone) {
  BOOST_TEST(CallsOf("1") == VersionName{"1"});
  BOOST_TEST(CallsOf("0") == VersionName{"0"});
  has_release = true;
  BOOST_TEST(CallsOf("0") == VersionName{"0"});
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(whose_register_names_no_version)

BOOST_AUTO_TEST_CASE(all_carry_the_traffic_before_the_first_release) {
  service.carries_unnamed_versions = true;
  BOOST_TEST(CallsOf("1") == VersionName{"1"});
  BOOST_TEST(CallsOf("0") == VersionName{"1"});
}

BOOST_AUTO_TEST_CASE(carry_it_in_a_release_unless_a_release_has_named_them) {
  service.carries_unnamed_versions = true;
  has_release = true;
  release.withdrawn = {VersionName{"3"}};
  BOOST_TEST(CallsOf("0") == VersionName{"1"});
  BOOST_TEST(CallsOf("2") == VersionName{"2"});
  BOOST_TEST(CallsOf("3") == VersionName{"3"});
  release.state = ReleaseState::kTakenBack;
  BOOST_TEST(CallsOf("0") == VersionName{"1"});
  BOOST_TEST(CallsOf("2") == VersionName{"2"});
}

BOOST_AUTO_TEST_CASE(carry_none_once_a_release_has_replaced_them) {
  service.carries_unnamed_versions = true;
  has_release = true;
  release.state = ReleaseState::kDone;
  service.version = release.version;
  BOOST_TEST(CallsOf("2") == VersionName{"2"});
  BOOST_TEST(CallsOf("1") == VersionName{"1"});
  BOOST_TEST(CallsOf("0") == VersionName{"0"});
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::inventory
