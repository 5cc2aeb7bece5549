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
#include "trefoilbend/inventory/version_roles.h"
#include "trefoilbend/rollout/evidence_book.h"
#include "trefoilbend/rollout/version_chooser.h"

namespace trefoilbend::balancing {

/** @brief Options of a dispatcher. */
struct DispatcherOptions {
  /** @brief Name of this entry. */
  core::InstanceName self;
  /** @brief Name of the load-balancing strategy; one of StrategyNames(). */
  std::string strategy = "adaptive";
  /** @brief Limits of each service's queue. */
  admission::QueueLimits queue;
  /** @brief Seed of the random numbers; differs between entries, so that they
   * do not all choose the same targets. */
  std::uint64_t seed = 1;
  /** @brief Maximum number of attempts for a call whose request sets no limit
   * of its own. */
  std::uint32_t attempts = 3;
  /** @brief Hedges and retries that each call adds to its service's budget, in
   * percent of one attempt; 0 allows only retries of requests that were not
   * sent. */
  std::uint32_t further_attempts_percent = 10;
  /** @brief Percentage of the idempotent calls that are hedged; 0 disables
   * hedging. */
  std::uint32_t hedge_percent = 8;
  /** @brief Maximum delay until every entry has learned that another entry
   * joined or left. */
  core::Duration share_delay{};
  /** @brief Budget of hedges and retries that all entries share. */
  FleetAttemptBudget fleet_attempts{};
  /** @brief Whether an idempotent call is retried at another target after a
   * target failed it (status 500 and above). */
  bool retries_failures = false;
  /** @brief Maximum number of targets that are probed at a time before one is
   * chosen; 0 chooses without probes. */
  std::uint32_t probes = 0;
  /** @brief Data centre of this entry; empty if targets in all data centres are
   * treated alike. */
  core::DataCentreName data_centre{};
  /** @brief Percentage of a target's time that new connections from all entries
   * may take up; 0 does not limit the rate of new connections. */
  std::uint32_t connection_percent = 10;
};

/**
 * @brief Assigns calls to targets and decides on hedges, retries and refusals.
 *
 * The duty that uses the dispatcher executes the returned decisions. A call is
 * in exactly one state: waiting, in flight, or finished.
 */
class Dispatcher {
 public:
  /**
   * @brief Makes a dispatcher without services.
   * @param options Options of the dispatcher.
   */
  explicit Dispatcher(DispatcherOptions options);

  /**
   * @brief Applies a configuration.
   * @param update Configuration and list of instances.
   * @param now Current time.
   * @return Decisions about waiting calls and withdrawn targets.
   */
  [[nodiscard]] Decisions Configure(const configuration::Update& update,
                                    core::TimePoint now);

  /**
   * @brief Records how current the list of targets is.
   * @param update Time as of which the list is current, and its source.
   */
  void UpdateTargetKnowledge(
      const configuration::TargetKnowledge& update) noexcept {
    this->knowledge = update;
  }

  /**
   * @brief Accepts a new call.
   * @param call Call that needs a target.
   * @param now Current time.
   * @return Resulting decisions.
   */
  [[nodiscard]] Decisions Submit(const SubmitCall& call, core::TimePoint now);

  /**
   * @brief Cancels a call whose caller disconnected; a non-idempotent call that
   * has started runs to its end.
   * @param call Call to cancel.
   * @param now Current time.
   * @return Resulting decisions.
   */
  [[nodiscard]] Decisions Cancel(const CancelCall& call, core::TimePoint now);

  /**
   * @brief Begins a planned stop: refuses the calls that could outlast it if
   * they wait or come later, and takes back each of their exchanges whose
   * request is not written yet.
   * @param order End of the stop.
   * @param now Current time.
   * @return Resulting decisions.
   */
  [[nodiscard]] Decisions Stop(const StopSending& order, core::TimePoint now);

  /**
   * @brief Handles the end of an exchange.
   * @param ended Report of the exchange.
   * @param now Current time.
   * @return Resulting decisions: a further attempt, a refusal, or the start of
   * waiting calls.
   */
  [[nodiscard]] Decisions OnExchangeEnded(
      const forwarding::ExchangeEnded& ended, core::TimePoint now);

  /**
   * @brief Handles the arrival of the head of a long answer.
   * @param began Report of the exchange.
   */
  void OnExchangeBegan(const forwarding::ExchangeBegan& began);

  /**
   * @brief Handles the end of a probe.
   * @param ended Report of the probe.
   * @param now Current time.
   * @return Decisions about the calls that waited for the probe.
   */
  [[nodiscard]] Decisions OnProbeEnded(const forwarding::ProbeEnded& ended,
                                       core::TimePoint now);

  /**
   * @brief Hedges calls whose answers are late, sends due health checks,
   * refuses waiting calls whose deadline has passed and starts those for which
   * a target is free.
   * @param now Current time.
   * @return Resulting decisions.
   */
  [[nodiscard]] Decisions Tick(core::TimePoint now);

  /**
   * @brief Returns the time at which Tick is due next.
   * @param now Current time.
   * @param latest Upper bound of the returned time.
   * @return Time of the next Tick.
   */
  [[nodiscard]] core::TimePoint NextTick(core::TimePoint now,
                                         core::TimePoint latest) const;

  /**
   * @brief Stops sending new calls to a release's version.
   * @param release Release to stop.
   */
  void Brake(const rollout::ReleaseId& release) {
    this->versions.Brake(release);
  }

  /**
   * @brief Hands over the evidence about the releases under way since the
   * previous invocation.
   * @param now Current time.
   * @return Counts of each release.
   */
  [[nodiscard]] rollout::Windows TakeEvidence(core::TimePoint now);

  /** @return Traces of the calls that finished since the previous invocation.
   */
  [[nodiscard]] std::vector<CallTrace> TakeTraces() {
    return std::exchange(this->traces, {});
  }

  /** @return Number of calls that are waiting or in flight. */
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
    inventory::VersionRoles roles;
  };

  struct CallState {
    std::shared_ptr<const core::CallRequest> request;
    std::vector<core::InstanceName> tried;
    /** Attempts in flight, and ended ones whose target may have run the
     * request. */
    std::uint32_t sent_attempts{};
    core::VersionName version;
    std::vector<core::ExchangeId> exchanges;
    /** The latest exchange that was begun beside another one. */
    std::optional<core::ExchangeId> hedge;
    bool began{};
    bool cancelled{};
    bool may_have_run{};
    /** Whether the caller has received a part of an answer that was
     * interrupted. */
    bool broken{};
    std::optional<forwarding::ResumePoint> resume;
    std::uint32_t resumes{};
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

  /** Whether some shares of a release go to a part of its targets, which takes
   * probes to find the quiet ones among them. */
  [[nodiscard]] bool LoadsPartOfTargets() const noexcept {
    return this->options.probes > 0;
  }
  /** Whether a call has its answer before a planned stop ends. */
  [[nodiscard]] bool MaySend(const CallState& call) const noexcept;
  /** Removes a call that has no exchange from where it waits. */
  void RemoveWaiting(core::CallId id, const CallState& call);
  void DispatchQueued(ServiceState& service, core::TimePoint now,
                      Decisions& decisions);
  /** Probes targets for a call; returns false if the call does not have to
   * wait. */
  [[nodiscard]] bool StartProbes(ServiceState& service, core::CallId id,
                                 core::TimePoint now, Decisions& decisions);
  void ResumeAfterProbes(core::CallId id, core::TimePoint now,
                         Decisions& decisions);
  /** Sends health checks, when due, to cold targets in which this entry has no
   * share, to find out whether they are warm. */
  void CheckColdTargets(const core::ServiceName& name, ServiceState& service,
                        core::TimePoint now, Decisions& decisions);
  [[nodiscard]] forwarding::StartProbe MakeProbe(
      const core::ServiceName& name, const ServiceState& service,
      const inventory::Instance& target, core::TimePoint now);
  /** Returns the version that gets a call's next attempt if one of its targets
   * has capacity. */
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
  /** Removes a finished call and keeps its trace. */
  void FinishCall(core::CallId id);

  [[nodiscard]] ServiceState& FindOrCreateService(
      const core::ServiceName& name);
  [[nodiscard]] std::uint32_t MaxAttempts(const CallState& call) const noexcept;
  [[nodiscard]] std::vector<TargetTable::Member> MakeMembers(
      const inventory::ServiceView& view, const inventory::VersionRoles& roles,
      const Availability& availability) const;
  /** Updates the live entries; returns whether they are the same as before. */
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
  /** Time by which answers are on their way in a planned stop. */
  core::TimePoint answers_until = core::TimePoint::max();
  std::optional<configuration::TargetKnowledge> knowledge;
  std::vector<CallTrace> traces;
};

}  // namespace trefoilbend::balancing

#endif  // TREFOILBEND_BALANCING_DISPATCHER_H_
