#ifndef TREFOILBEND_BALANCING_DISPATCHER_H_
#define TREFOILBEND_BALANCING_DISPATCHER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "trefoilbend/admission/queue.h"
#include "trefoilbend/balancing/attempt_budget.h"
#include "trefoilbend/balancing/availability.h"
#include "trefoilbend/balancing/call_trace.h"
#include "trefoilbend/balancing/entry_counter.h"
#include "trefoilbend/balancing/messages.h"
#include "trefoilbend/balancing/pending_probes.h"
#include "trefoilbend/balancing/quantile.h"
#include "trefoilbend/balancing/target_table.h"
#include "trefoilbend/rollout/evidence_book.h"
#include "trefoilbend/rollout/version_chooser.h"

namespace trefoilbend::balancing {

/** @brief Options of a dispatcher. */
struct DispatcherOptions {
  /** @brief Name of this entry. */
  core::InstanceName self;
  /** @brief Name of the strategy that chooses targets. */
  std::string strategy = "adaptive";
  /** @brief Bounds of each service's queue. */
  admission::QueueLimits queue;
  /** @brief Seed of the random numbers; different on all entries, so that they
   * do not choose alike. */
  std::uint64_t seed = 1;
  /** @brief Attempts that one call may take. */
  std::uint32_t attempts = 3;
  /** @brief Hedges and retries that a call adds to its service's budget, in
   * percent; 0 allows none but retries of what was not sent. */
  std::uint32_t further_attempts_percent = 10;
  /** @brief Part of the idempotent calls that are hedged, in percent; 0 for
   * none. */
  std::uint32_t hedge_percent = 8;
  /** @brief Time until which an entry may not know that another one has come or
   * gone. */
  core::Duration share_delay{};
  /** @brief Further attempts that all entries may make together. */
  FleetAttemptBudget fleet_attempts{};
  /** @brief Whether an idempotent call that a target failed (status 500 and
   * above) is sent to another one. */
  bool retries_failures = false;
  /** @brief Targets that are probed at a time before one is chosen; 0 to choose
   * by what is known. */
  std::uint32_t probes = 0;
  /** @brief Data centre of this entry; empty if distance does not matter. */
  core::DataCentreName data_centre{};
  /** @brief Part of a target's time that new connections of all entries may
   * cost, in percent; 0 for no pacing. */
  std::uint32_t connection_percent = 10;
};

/**
 * @brief Decides which call goes to which target, when, and what becomes of
 * failures.
 *
 * The calling duty carries the decisions out. A call is in exactly one place:
 * waiting, in flight, or over.
 */
class Dispatcher {
 public:
  /**
   * @brief Makes a dispatcher that knows no service yet.
   * @param options Options of the dispatcher.
   */
  explicit Dispatcher(DispatcherOptions options);

  /**
   * @brief Puts a configuration into force.
   * @param update Configuration and list of instances.
   * @param now Current time.
   * @return Decisions for waiting calls.
   */
  [[nodiscard]] Decisions Configure(const configuration::Update& update,
                                    core::TimePoint now);

  /**
   * @brief Takes note of how well the targets are known.
   * @param update Time as of which they are known, and who told it.
   */
  void UpdateTargetKnowledge(
      const configuration::TargetKnowledge& update) noexcept {
    this->knowledge = update;
  }

  /**
   * @brief Takes a call.
   * @param call Call that needs a target.
   * @param now Current time.
   * @return Decisions that follow.
   */
  [[nodiscard]] Decisions Submit(const SubmitCall& call, core::TimePoint now);

  /**
   * @brief Drops a call whose caller has gone; a started non-idempotent one
   * runs to its end.
   * @param call Call that nobody waits for.
   * @param now Current time.
   * @return Decisions that follow.
   */
  [[nodiscard]] Decisions Cancel(const CancelCall& call, core::TimePoint now);

  /**
   * @brief Takes note of an exchange that ended.
   * @param ended Report of the exchange.
   * @param now Current time.
   * @return Decisions that follow: another attempt, a refusal, or the next
   * waiting call.
   */
  [[nodiscard]] Decisions OnExchangeEnded(
      const forwarding::ExchangeEnded& ended, core::TimePoint now);

  /**
   * @brief Takes note that the head of a long answer came.
   * @param began Report of the exchange.
   */
  void OnExchangeBegan(const forwarding::ExchangeBegan& began);

  /**
   * @brief Takes note of a probe that ended.
   * @param ended Report of the probe.
   * @param now Current time.
   * @return Decisions for the calls that waited for it.
   */
  [[nodiscard]] Decisions OnProbeEnded(const forwarding::ProbeEnded& ended,
                                       core::TimePoint now);

  /**
   * @brief Hedges calls whose answers are late, refuses waiting calls whose
   * deadline has passed and serves those
   * that can be.
   * @param now Current time.
   * @return Decisions that follow.
   */
  [[nodiscard]] Decisions Tick(core::TimePoint now);

  /**
   * @brief Tells when something may be due.
   * @param now Current time.
   * @param latest Time to return if none is due before.
   * @return Time of the next Tick.
   */
  [[nodiscard]] core::TimePoint NextTick(core::TimePoint now,
                                         core::TimePoint latest) const;

  /**
   * @brief Gives a release's version no more calls.
   * @param release Release to stop.
   */
  void Brake(const rollout::ReleaseId& release) {
    this->versions.Brake(release);
  }

  /** @return Counts of the releases under way since the last call. */
  [[nodiscard]] rollout::Windows TakeEvidence() {
    return this->evidence.Take();
  }

  /** @return Traces of the calls that are over since the last call. */
  [[nodiscard]] std::vector<CallTrace> TakeTraces() {
    return std::exchange(this->traces, {});
  }

  /** @return Number of calls that wait or are in flight. */
  [[nodiscard]] std::size_t CallCount() const noexcept {
    return this->calls.size();
  }

 private:
  struct ServiceState {
    TargetTable targets;
    admission::Queue queue;
    AttemptBudget budget;
    Quantile hedge_delay;
    core::TimePoint overloaded_until{};
    bool trusts_refusals{};
    std::uint32_t cold_allowance{};
    std::uint32_t cold_rate{};
    std::string health_path;
  };

  struct CallState {
    std::shared_ptr<const core::CallRequest> request;
    std::vector<core::InstanceName> tried;
    /** Targets that have the request or may have run it. */
    std::uint32_t sent_attempts{};
    core::VersionName version;
    std::vector<core::ExchangeId> exchanges;
    bool began{};
    bool cancelled{};
    bool may_have_run{};
    /** Whether the caller has a part of an answer that broke. */
    bool broken{};
    std::optional<forwarding::ResumePoint> resume;
    std::uint32_t resumes{};
    /** Rounds of probes that were made for the call. */
    std::uint32_t probe_rounds{};
    CallTrace trace{};
  };

  struct Hedge {
    core::TimePoint due;
    core::CallId call;
    core::ExchangeId exchange;

    [[nodiscard]] bool operator>(const Hedge& other) const noexcept {
      return this->due > other.due;
    }
  };

  void DispatchQueued(ServiceState& service, core::TimePoint now,
                      Decisions& decisions);
  /** Probes targets for a call; returns false if it need not wait. */
  [[nodiscard]] bool StartProbes(ServiceState& service, core::CallId id,
                                 core::TimePoint now, Decisions& decisions);
  void ResumeAfterProbes(core::CallId id, core::TimePoint now,
                         Decisions& decisions);
  /** Asks cold targets in which this entry has no share whether they are warm.
   */
  void CheckColdTargets(const core::ServiceName& name, ServiceState& service,
                        core::TimePoint now, Decisions& decisions);
  [[nodiscard]] forwarding::StartProbe MakeProbe(
      const core::ServiceName& name, const ServiceState& service,
      const inventory::Instance& target, core::TimePoint now);
  /** Version that a call's next attempt goes to if its targets have room. */
  [[nodiscard]] core::VersionName PreferredVersion(CallState& call);
  [[nodiscard]] bool TryStart(ServiceState& service, core::CallId id,
                              std::optional<core::ExchangeId> beside,
                              core::TimePoint now, Decisions& decisions);
  void ScheduleHedge(const ServiceState& service, const CallState& call,
                     core::CallId id, core::TimePoint now);
  void HedgeLateCalls(core::TimePoint now, Decisions& decisions);
  void UpdateOverload(ServiceState& service,
                      const forwarding::ExchangeEnded& ended,
                      core::TimePoint now) const;
  [[nodiscard]] const inventory::Instance* ChooseTarget(ServiceState& service,
                                                        CallState& call,
                                                        AttemptPurpose purpose,
                                                        core::TimePoint now);
  [[nodiscard]] static bool IsKnownNotRun(
      const ServiceState& service,
      const forwarding::ExchangeEnded& ended) noexcept;
  void RetryOrRefuse(ServiceState& service,
                     const forwarding::ExchangeEnded& ended,
                     core::TimePoint now, Decisions& decisions);
  void ResumeOrBreak(ServiceState& service,
                     const forwarding::ExchangeEnded& ended,
                     core::TimePoint now, Decisions& decisions);
  void Refuse(core::CallId id, core::RefusalReason reason, core::TimePoint now,
              Decisions& decisions);
  /** Forgets a call that is over and keeps its trace. */
  void FinishCall(core::CallId id);

  [[nodiscard]] ServiceState& FindOrCreateService(
      const core::ServiceName& name);
  [[nodiscard]] std::uint32_t MaxAttempts(const CallState& call) const noexcept;
  [[nodiscard]] std::vector<TargetTable::Member> MakeMembers(
      const inventory::ServiceView& view,
      const Availability& availability) const;
  /** Returns whether the live entries are the same as before. */
  bool UpdateEntries(const inventory::Configuration& configuration,
                     const Availability& availability);
  void UpdateEntryCount(const configuration::Update& update,
                        const Availability& availability, core::TimePoint now);
  void UpdateConnectionShares(core::TimePoint now);

  DispatcherOptions options;
  EntryCounter entry_counter;
  EntryCount entry_count;
  std::vector<core::InstanceName> entries;
  std::map<core::ServiceName, ServiceState> services;
  rollout::VersionChooser versions;
  rollout::EvidenceBook evidence;
  std::unordered_map<core::CallId, CallState> calls;
  std::priority_queue<Hedge, std::vector<Hedge>, std::greater<>> hedges;
  core::ExchangeId last_exchange;
  PendingProbes pending_probes;
  std::unordered_map<forwarding::ProbeId, core::ServiceName> probed_services;
  forwarding::ProbeId last_probe;
  core::Revision revision;
  std::optional<configuration::TargetKnowledge> knowledge;
  std::vector<CallTrace> traces;
};

}  // namespace trefoilbend::balancing

#endif  // TREFOILBEND_BALANCING_DISPATCHER_H_
