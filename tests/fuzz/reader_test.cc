#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <string>

#include "fuzz/mutation.h"
#include "trefoilbend/entry/settings.h"
#include "trefoilbend/forwarding/load_report.h"
#include "trefoilbend/inventory/codec.h"
#include "trefoilbend/inventory/files.h"

namespace trefoilbend::fuzz {

namespace {

constexpr const char* kInventory =
    "[data-centre xela-1]\nregion = west\n[service stock]\nversion = 1\n"
    "[instance stock-1]\ndata-centre = xela-1\nservice = stock\n"
    "address = 10.0.0.1:8080\nslots = 6\nconnections = 200\n";
constexpr const char* kRules =
    "[service stock]\ntimeout = 2s\n[route lookup]\nservice = stock\n"
    "path = /lookup\nmethod = GET\nurgent = yes\n";
constexpr const char* kSettings =
    "[entry]\nname = entry-1\n[callers]\naddress = 127.0.0.1:7001\n"
    "keep = 1s\n[platform]\naddress = 127.0.0.1:7000\npoll = 200ms\n"
    "[operations]\naddress = 127.0.0.1:7101\n";
constexpr const char* kReport =
    R"(JSON {"named_metrics":{"cold":0,"draining":0,"in_flight":3,"queued":1}})";

std::string ValidRevision() {
  inventory::Revised revised{.revision = core::Revision{7},
                             .change_id = "change-7",
                             .who = "operator",
                             .why = "more room",
                             .at = "2026-12-04T10:00:00Z",
                             .by = core::InstanceName{"entry-1"},
                             .changes = {}};
  inventory::Instance target;
  target.name = core::InstanceName{"stock-1"};
  target.address = {.host = "10.0.0.1", .port = 8080};
  revised.changes.push_back({.before = {}, .after = target});
  return inventory::Encode(revised);
}

template <typename Outcome>
bool IsTakenOrExplained(const Outcome& outcome) {
  return core::Succeeded(outcome) || !core::ProblemOf(outcome).empty();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(input_from_outside)

BOOST_AUTO_TEST_SUITE(when_whole)

BOOST_AUTO_TEST_CASE(is_taken) {
  const auto inventory = settings::Document::Parse("inventory", kInventory);
  const auto rules = settings::Document::Parse("rules", kRules);
  const auto settings = settings::Document::Parse("entry.ini", kSettings);
  BOOST_TEST(core::Succeeded(
      inventory::ReadFiles(core::ValueOf(inventory), core::ValueOf(rules))));
  BOOST_TEST(core::Succeeded(entry::ReadSettings(core::ValueOf(settings))));
  BOOST_TEST(forwarding::ParseLoadReport(kReport).has_value());
  BOOST_TEST(inventory::DecodeRevised(ValidRevision()).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_damaged)

RC_BOOST_PROP(as_an_inventory_is_taken_or_refused_with_mistakes, ()) {
  const auto inventory =
      settings::Document::Parse("inventory", DrawDamaged(kInventory));
  const auto rules = settings::Document::Parse("rules", DrawDamaged(kRules));
  if (!core::Succeeded(inventory) || !core::Succeeded(rules)) {
    return;
  }
  const auto read =
      inventory::ReadFiles(core::ValueOf(inventory), core::ValueOf(rules));
  RC_ASSERT(IsTakenOrExplained(read));
}

RC_BOOST_PROP(as_settings_is_taken_or_refused_with_mistakes, ()) {
  const auto document =
      settings::Document::Parse("entry.ini", DrawDamaged(kSettings));
  if (!core::Succeeded(document)) {
    RC_ASSERT(!core::ProblemOf(document).empty());
    return;
  }
  const auto read = entry::ReadSettings(core::ValueOf(document));
  RC_ASSERT(IsTakenOrExplained(read));
}

RC_BOOST_PROP(as_a_load_report_never_stops_the_process, ()) {
  (void)forwarding::ParseLoadReport(DrawDamaged(kReport));
}

RC_BOOST_PROP(as_a_revision_is_refused_or_written_again_alike, ()) {
  const auto revised = inventory::DecodeRevised(DrawDamaged(ValidRevision()));
  if (revised) {
    const std::string text = inventory::Encode(*revised);
    const auto again = inventory::DecodeRevised(text);
    RC_ASSERT(again.has_value());
    RC_ASSERT(inventory::Encode(*again) == text);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::fuzz
