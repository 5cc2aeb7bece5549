#include "internal/peer_codec.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

namespace trefoilbend::rollout::internal {

namespace {

struct CountRow {
  const StratumKey* key;
  const core::InstanceName* target;
  bool is_new;
  const Tally* tally;
};

void Encode(const ReleaseId& id, wire::Release::Builder release) {
  release.setService(id.service.Text().c_str());
  release.setVersion(id.version.Text().c_str());
  release.setBegunS(id.begun.time_since_epoch().count());
}

ReleaseId Decode(const wire::Release::Reader release) {
  return {.service = core::ServiceName{release.getService().cStr()},
          .version = core::VersionName{release.getVersion().cStr()},
          .begun = std::chrono::sys_seconds{
              std::chrono::seconds{release.getBegunS()}}};
}

/** No part of a count exceeds the whole, whatever a peer sends. */
Tally TallyOf(const wire::Count::Reader count) {
  const std::uint32_t calls = count.getCalls();
  const std::uint32_t timed = calls - std::min(count.getUntimed(), calls);
  return {.calls = calls,
          .failed = std::min(count.getFailed(), calls),
          .timed = timed,
          .slow = std::min(count.getSlow(), timed)};
}

std::vector<CountRow> RowsOf(const Window& window) {
  std::vector<CountRow> rows;
  for (const auto& [key, stratum] : window) {
    for (const auto& [target, tally] : stratum.old_targets) {
      rows.push_back({&key, &target, false, &tally});
    }
    for (const auto& [target, tally] : stratum.new_targets) {
      rows.push_back({&key, &target, true, &tally});
    }
  }
  return rows;
}

}  // namespace

void Encode(const Brakes::Reasons& brakes,
            capnp::List<wire::Brake>::Builder list) {
  unsigned at = 0;
  for (const auto& [id, why] : brakes) {
    wire::Brake::Builder brake = list[at++];
    Encode(id, brake.initRelease());
    brake.setWhy(why.c_str());
  }
}

void Encode(const Windows& windows, capnp::List<wire::Evidence>::Builder list) {
  unsigned at = 0;
  for (const auto& [id, window] : windows) {
    wire::Evidence::Builder evidence = list[at++];
    Encode(id, evidence.initRelease());
    const std::vector<CountRow> rows = RowsOf(window);
    auto counts = evidence.initCounts(static_cast<unsigned>(rows.size()));
    for (unsigned row = 0; row < rows.size(); ++row) {
      wire::Count::Builder count = counts[row];
      count.setRoute(rows[row].key->route.Text().c_str());
      count.setDataCentre(rows[row].key->data_centre.Text().c_str());
      count.setTarget(rows[row].target->Text().c_str());
      count.setIsNew(rows[row].is_new);
      count.setCalls(rows[row].tally->calls);
      count.setFailed(rows[row].tally->failed);
      count.setSlow(rows[row].tally->slow);
      count.setUntimed(rows[row].tally->calls - rows[row].tally->timed);
    }
  }
}

Brakes::Reasons Decode(const capnp::List<wire::Brake>::Reader list) {
  Brakes::Reasons brakes;
  for (const wire::Brake::Reader brake : list) {
    brakes.emplace(Decode(brake.getRelease()), brake.getWhy().cStr());
  }
  return brakes;
}

Windows Decode(const capnp::List<wire::Evidence>::Reader list) {
  Windows windows;
  for (const wire::Evidence::Reader evidence : list) {
    Window& window = windows[Decode(evidence.getRelease())];
    for (const wire::Count::Reader count : evidence.getCounts()) {
      Stratum& stratum = window[{
          .route = core::RouteName{count.getRoute().cStr()},
          .data_centre = core::DataCentreName{count.getDataCentre().cStr()}}];
      auto& targets =
          count.getIsNew() ? stratum.new_targets : stratum.old_targets;
      targets[core::InstanceName{count.getTarget().cStr()}] += TallyOf(count);
    }
  }
  return windows;
}

}  // namespace trefoilbend::rollout::internal
