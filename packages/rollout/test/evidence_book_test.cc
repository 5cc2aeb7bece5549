#include "trefoilbend/rollout/evidence_book.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <set>
#include <string>

namespace trefoilbend::rollout {

using namespace std::chrono_literals;

namespace {

const core::ServiceName kStock{"stock"};

/** Evidence on the move from version 1 to 2, with a target of each of the
 * versions 0 to 3, of which 3 gave way to 2. */
struct Fixture {
  void Configure(const bool carries_unnamed_versions) {
    inventory::Configuration::Builder builder;
    builder.Put(inventory::Service{
        .name = kStock,
        .version = core::VersionName{"1"},
        .carries_unnamed_versions = carries_unnamed_versions});
    builder.Put(inventory::Release{.name = kStock,
                                   .version = core::VersionName{"2"},
                                   .from = core::VersionName{"1"},
                                   .withdrawn = {core::VersionName{"3"}}});
    for (const char* version : {"0", "1", "2", "3"}) {
      inventory::Instance target;
      target.name = core::InstanceName{std::string{"stock-"} + version};
      target.service = kStock;
      target.version = core::VersionName{version};
      builder.Put(target);
    }
    this->book.Configure(builder.Build());
  }

  /** Targets whose failures count, old ones as "old stock-1". */
  [[nodiscard]] std::set<std::string> Counted() {
    for (const char* target : {"stock-0", "stock-1", "stock-2", "stock-3"}) {
      this->book.Add({.target = core::InstanceName{target},
                      .route = core::RouteName{"r"},
                      .failed = true,
                      .latency = 10ms});
    }
    std::set<std::string> counted;
    for (const auto& [release, window] : this->book.Take()) {
      for (const auto& [key, stratum] : window) {
        for (const auto& [target, tally] : stratum.old_targets) {
          counted.insert("old " + target.Text());
        }
        for (const auto& [target, tally] : stratum.new_targets) {
          counted.insert("new " + target.Text());
        }
      }
    }
    return counted;
  }

  EvidenceBook book;
};

using Names = std::set<std::string>;

}  // namespace

BOOST_FIXTURE_TEST_SUITE(evidence_on_a_release, Fixture)

/** The failures of a bad version hid those of the next one. */
BOOST_AUTO_TEST_CASE(leaves_out_a_version_that_gave_way) {
  Configure(true);
  BOOST_TEST(Counted() == (Names{"old stock-0", "old stock-1", "new stock-2"}));
}

BOOST_AUTO_TEST_CASE(leaves_out_what_the_register_does_not_name) {
  Configure(false);
  BOOST_TEST(Counted() == (Names{"old stock-1", "new stock-2"}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::rollout
