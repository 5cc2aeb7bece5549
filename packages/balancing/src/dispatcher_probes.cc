#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

#include "trefoilbend/balancing/connection_share.h"
#include "trefoilbend/balancing/dispatcher.h"
#include "trefoilbend/core/invariant.h"

namespace trefoilbend::balancing {

namespace {

/** Maximum number of probe rounds per call. */
constexpr std::uint32_t kMaxProbeRounds = 2;
/** Maximum number of probes under way for all calls together. */
constexpr std::size_t kMaxPendingProbes = 256;
/** Bounds of the time that a call waits for its probes. */
constexpr std::chrono::milliseconds kMinProbeWait{12};
constexpr std::chrono::milliseconds kMaxProbeWait{40};
/** A call waits for its probes for its latency objective divided by this
 * number. */
constexpr int kProbeWaitDivisor = 10;
constexpr std::chrono::milliseconds kProbeTimeout{150};

core::Duration ProbeWait(const core::CallRequest& request) noexcept {
  return std::clamp<core::Duration>(request.objective / kProbeWaitDivisor,
                                    kMinProbeWait, kMaxProbeWait);
}

}  // namespace

bool Dispatcher::StartProbes(ServiceState& service, const core::CallId id,
                             const core::TimePoint now, Decisions& decisions) {
  CallState& call = this->calls.at(id);
  if (this->options.probes == 0 || service.health_path.empty() ||
      call.probe_rounds >= kMaxProbeRounds ||
      this->pending_probes.Count() >= kMaxPendingProbes) {
    return false;
  }
  ++call.probe_rounds;
  const auto targets = service.targets.SelectProbeTargets(
      call.tried, this->PreferredVersion(call), this->options.probes, now);
  if (targets.empty()) {
    return false;
  }
  std::vector<forwarding::ProbeId> probes;
  for (const inventory::Instance* target : targets) {
    decisions.push_back(
        this->MakeProbe(call.request->service, service, *target, now));
    service.targets.OnProbeSent(target->name, now);
    probes.push_back(this->last_probe);
  }
  TraceProbed probed;
  for (const inventory::Instance* target : targets) {
    probed.targets.push_back(target->name);
  }
  call.trace.Add(std::move(probed), now);
  this->pending_probes.Add(id, probes, now + ProbeWait(*call.request));
  return true;
}

forwarding::StartProbe Dispatcher::MakeProbe(const core::ServiceName& name,
                                             const ServiceState& service,
                                             const inventory::Instance& target,
                                             const core::TimePoint now) {
  this->last_probe = this->last_probe.Next();
  this->probed_services.emplace(this->last_probe, name);
  return {.probe = this->last_probe,
          .target = target.name,
          .address = target.address,
          .path = service.health_path,
          .connections =
              ComputeConnectionShare(target.connections, this->entry_count),
          .deadline = now + kProbeTimeout};
}

void Dispatcher::CheckColdTargets(const core::ServiceName& name,
                                  ServiceState& service,
                                  const core::TimePoint now,
                                  Decisions& decisions) {
  for (const inventory::Instance* target :
       service.targets.TakeDueHealthChecks(this->entries.size(), now)) {
    decisions.push_back(this->MakeProbe(name, service, *target, now));
  }
}

Decisions Dispatcher::OnProbeEnded(const forwarding::ProbeEnded& ended,
                                   const core::TimePoint now) {
  Decisions decisions;
  const auto name = this->probed_services.find(ended.probe);
  core::CheckInvariant(name != this->probed_services.end(),
                       "a probe that ended was started by this entry");
  this->services.at(name->second).targets.OnProbeEnded(ended, now);
  this->probed_services.erase(name);
  if (const auto call = this->pending_probes.Complete(ended.probe)) {
    this->ResumeAfterProbes(*call, now, decisions);
  }
  return decisions;
}

void Dispatcher::ResumeAfterProbes(const core::CallId id,
                                   const core::TimePoint now,
                                   Decisions& decisions) {
  const CallState& call = this->calls.at(id);
  ServiceState& service = this->services.at(call.request->service);
  if (!service.queue.TryPush({.id = id,
                              .urgency = call.request->urgency,
                              .deadline = call.request->deadline})) {
    this->Refuse(id, core::RefusalReason::kBusy, now, decisions);
    return;
  }
  this->DispatchQueued(service, now, decisions);
}

}  // namespace trefoilbend::balancing
