#ifndef TREFOILBEND_BALANCING_TARGET_TABLE_H_
#define TREFOILBEND_BALANCING_TARGET_TABLE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "trefoilbend/balancing/availability.h"
#include "trefoilbend/balancing/cold_rate_limiter.h"
#include "trefoilbend/balancing/cold_share.h"
#include "trefoilbend/balancing/connection_share.h"
#include "trefoilbend/balancing/quantile.h"
#include "trefoilbend/balancing/strategy.h"
#include "trefoilbend/balancing/warm_up.h"
#include "trefoilbend/core/clock.h"
#include "trefoilbend/core/name.h"
#include "trefoilbend/forwarding/messages.h"
#include "trefoilbend/http/address.h"
#include "trefoilbend/inventory/objects.h"

namespace trefoilbend::balancing {

/** @brief Exchange whose response headers have not arrived. */
struct PendingResponse {
  /** @brief Identifier of the exchange. */
  core::ExchangeId exchange;
  /** @brief Start of the exchange. */
  core::TimePoint since;
};

/** @brief State of one target as seen by this entry. */
struct TargetState {
  /** @brief Target as registered in the asset register. */
  inventory::Instance instance;
  /** @brief Version whose calls the target takes. */
  core::VersionName calls_of;
  /** @brief Whether the target may take new calls. */
  bool usable{};
  /** @brief Whether the platform lists the target as live. */
  bool live{};
  /** @brief Calls of this entry in flight at the target. */
  std::uint32_t in_flight{};
  /** @brief Maximum number of this entry's calls in flight at the target. */
  std::uint32_t limit{};
  /** @brief This entry's share of the calls in flight that the target accepts
   * while it is cold. */
  ColdShare cold_share;
  /** @brief Warm-up state of the target. */
  WarmUp warm_up;
  /** @brief Time before which this entry sends no further health check to see
   * whether the target is warm. */
  core::TimePoint next_health_check{};
  /** @brief Consecutive responses that were far slower than usual. */
  std::uint32_t slow_answers{};
  /** @brief Last load report of the target. */
  forwarding::LoadReport report;
  /** @brief Time of the last report; the epoch before the first one. */
  core::TimePoint reported_at{};
  /** @brief Time at which the target last reported that it is draining; nullopt
   * if it has not, or has reported since that it no longer is. */
  std::optional<core::TimePoint> draining_since{};
  /** @brief Calls that this entry has sent to the target since the last report.
   */
  std::uint32_t sent_since_report{};
  /** @brief Trust in the reports, from 0 to 1. */
  double trust = 1;
  /** @brief Consecutive responses with a server error. */
  std::uint32_t failures{};
  /** @brief Exchanges that wait for their response headers, oldest first. */
  std::vector<PendingResponse> pending_responses;
  /** @brief Time until which the target accepts only a few requests per second.
   */
  core::TimePoint cold_until{};
  /** @brief Time for which the target stays cold after a start. */
  core::Duration warm_up_time{};
  /** @brief Limits the rate of this entry's requests while the target is cold.
   */
  ColdRateLimiter cold_rate_limiter;
  /** @brief Whether the target is in another data centre than this entry. */
  bool remote{};
  /** @brief Whether the target belongs to this entry's preferred subset. */
  bool preferred = true;
  /** @brief Whether the target takes no calls because the traffic share of its
   * version is too small for all targets. */
  bool inactive{};
  /** @brief Time until which the target is ejected because it failed. Ejected
   * targets are used if no other target can take the call. */
  core::TimePoint ejected_until{};
  /** @brief Time at which the pending probe was sent; nullopt if none is
   * pending. */
  std::optional<core::TimePoint> probe_sent_at;
  /** @brief Consecutive probes without an answer. */
  std::uint32_t unanswered_probes{};
};

/** @brief Purpose for which a target is chosen. */
enum class AttemptPurpose : std::uint8_t {
  /** @brief Attempt of a call that has no exchange in flight. */
  kAttempt,
  /** @brief Second exchange of a call whose first one is late. Cold targets get
   * none: the slower exchange is cancelled, but its target may keep working on
   * it. */
  kHedge,
};

/** @brief Assumed median latency of a service before its first response. */
inline constexpr std::chrono::milliseconds kInitialMedian{20};

/** @brief Assumed agreement of a service's reports with its latencies before
 * its first response. */
inline constexpr double kInitialAgreement = 0.05;

/** @brief Targets of one service, with the strategy that chooses among them. */
class TargetTable {
 public:
  /**
   * @brief Creates an empty table.
   * @param strategy Strategy that chooses targets.
   */
  explicit TargetTable(std::unique_ptr<Strategy> strategy)
      : strategy(std::move(strategy)) {}

  /** @brief Registered target and its settings in this entry. */
  struct Member {
    /** @brief Target as registered in the asset register. */
    inventory::Instance instance;
    /** @brief Version whose calls the target takes; empty for its own. */
    core::VersionName calls_of{};
    /** @brief Whether the target may take new calls. */
    bool usable{};
    /** @brief Maximum number of this entry's calls in flight at the target. */
    std::uint32_t limit{};
    /** @brief This entry's share of the calls in flight that the target accepts
     * while it is cold. */
    ColdShare cold_share{};
    /** @brief Rate of this entry's requests while the target is cold, in
     * requests per second; ignored if warm_up_time is zero. */
    double cold_rate{};
    /** @brief Time for which the target stays cold after a start; zero if its
     * warm-up limits the calls in flight instead of the rate. */
    core::Duration warm_up_time{};
    /** @brief End of the cold period that the target has announced. */
    core::TimePoint cold_until{};
    /** @brief Whether the target is in another data centre than this entry. */
    bool remote{};
    /** @brief Whether the target belongs to this entry's preferred subset. */
    bool preferred = true;
    /** @brief Whether the platform lists the target as live. */
    bool live = true;

    /** @return Version whose calls the target takes. */
    [[nodiscard]] const core::VersionName& Calls() const noexcept {
      return this->calls_of.Empty() ? this->instance.version : this->calls_of;
    }
  };

  /**
   * @brief Replaces the members and keeps the state of those that stay.
   *
   * A target that becomes usable is marked cold, unless the table has never had
   * a usable target before.
   *
   * @param members Targets of the service.
   * @param now Current time.
   * @return Targets that were usable before and no longer are.
   */
  std::vector<core::InstanceName> SetMembers(std::vector<Member> members,
                                             core::TimePoint now);

  /**
   * @brief Limits the number of targets of a version that take calls. Each of
   * them then gets as much load as with the whole traffic, or twice as much if
   * the service is far from busy, so that faults which occur only under load
   * show at a small traffic share.
   * @param version Version to limit; empty for none.
   * @param share Traffic share of the version, in thousandths.
   * @param step Number of the release's step; each one has other targets.
   */
  void LimitActiveTargets(const core::VersionName& version, std::uint32_t share,
                          std::uint32_t step);

  /**
   * @brief Returns whether the table already has the given members, so that
   * SetMembers would change nothing.
   * @param instances Targets of the service.
   * @param availability Index of the instances that may take new calls.
   * @return True if the members are the same.
   */
  [[nodiscard]] bool Matches(
      const std::vector<const inventory::Instance*>& instances,
      const Availability& availability) const;

  /**
   * @brief Recomputes this entry's share of the connections of each target.
   * @param entries Number of entries that share the connections.
   */
  void UpdateConnectionShares(const EntryCount& entries) noexcept;

  /**
   * @brief Chooses a target and counts the call as in flight there.
   * @param excluded Targets that the call has been sent to before.
   * @param version Version that the target must run.
   * @param purpose Purpose of the exchange.
   * @param exchange Exchange that is sent to the target.
   * @param now Current time.
   * @return The target, or null if none can take the call.
   */
  [[nodiscard]] const inventory::Instance* Choose(
      const std::vector<core::InstanceName>& excluded,
      const core::VersionName& version, AttemptPurpose purpose,
      core::ExchangeId exchange, core::TimePoint now);

  /** @return State of the target chosen last, at the time of the choice. */
  [[nodiscard]] const Candidate& LastChoice() const noexcept {
    return this->last_choice;
  }

  /** @return Number of candidates of the last choice. */
  [[nodiscard]] std::size_t LastCandidateCount() const noexcept {
    return this->candidates.size();
  }

  /**
   * @brief Selects the targets to probe before a call is sent.
   *
   * The targets are taken in the order in which the strategy would choose them.
   * The selection ends at a target in this entry's data centre with a fresh
   * report that shows a free slot and no slowdown. After such a target in
   * another data centre, only targets in this entry's data centre are selected.
   *
   * @param excluded Targets that the call has been sent to before.
   * @param version Version that the target must run.
   * @param max_targets Maximum number of targets.
   * @param now Current time.
   * @return Targets without a fresh report and without a pending probe.
   */
  [[nodiscard]] std::vector<const inventory::Instance*> SelectProbeTargets(
      const std::vector<core::InstanceName>& excluded,
      const core::VersionName& version, std::size_t max_targets,
      core::TimePoint now);

  /**
   * @brief Sets the interval of health checks of cold targets in which this
   * entry has no share.
   * @param interval Time between the checks of one target by two successive
   * entries; nullopt if the service has no health checks, in which case a trial
   * call is sent instead.
   */
  void SetHealthCheckInterval(std::optional<core::Duration> interval) noexcept {
    this->health_check_interval = interval;
  }

  /**
   * @brief Returns the cold targets whose health check is due, and schedules
   * their next checks.
   * @param entries Number of entries that take turns with the checks.
   * @param now Current time.
   * @return Targets to check. The next check of each is due after one round of
   * all entries.
   */
  [[nodiscard]] std::vector<const inventory::Instance*> TakeDueHealthChecks(
      std::size_t entries, core::TimePoint now);

  /**
   * @brief Records that a probe was sent.
   * @param target Name of the target.
   * @param now Current time.
   */
  void OnProbeSent(const core::InstanceName& target, core::TimePoint now);

  /**
   * @brief Records the result of a probe.
   * @param ended Result of the probe.
   * @param now Current time.
   */
  void OnProbeEnded(const forwarding::ProbeEnded& ended, core::TimePoint now);

  /**
   * @brief Records that the headers of a long response have arrived.
   * @param exchange Exchange whose response has begun.
   * @param target Target of the exchange.
   */
  void OnExchangeBegan(core::ExchangeId exchange,
                       const core::InstanceName& target);

  /**
   * @brief Records the end of an exchange.
   * @param ended Result of the exchange.
   * @param now Current time.
   */
  void OnExchangeEnded(const forwarding::ExchangeEnded& ended,
                       core::TimePoint now);

  /**
   * @brief Returns whether any target may take new calls, now or when calls in
   * flight have ended.
   * @param version Version that the target must run.
   * @param now Current time.
   * @return True if there is such a target.
   */
  [[nodiscard]] bool HasUsable(const core::VersionName& version,
                               core::TimePoint now) const noexcept;

  /**
   * @brief Returns whether the last report of a target shows that its
   * neighbours slowed it down.
   * @param name Name of the target.
   * @return False for an unknown target.
   */
  [[nodiscard]] bool IsSlowedDown(const core::InstanceName& name) const;

  /**
   * @brief Returns whether the time that a target's calls take tells of its
   * version: it is neither cold nor slowed down by its neighbours.
   * @param name Name of the target.
   * @param now Current time.
   * @return True for an unknown target.
   */
  [[nodiscard]] bool IsComparable(const core::InstanceName& name,
                                  core::TimePoint now) const {
    return !this->IsRateLimited(name, now) && !this->IsSlowedDown(name);
  }

  /**
   * @brief Returns whether a target is cold and limited to a few calls in
   * flight.
   * @param name Name of the target.
   * @return False for an unknown target.
   */
  [[nodiscard]] bool IsWarmingUp(const core::InstanceName& name) const;

  /**
   * @brief Returns whether a target is cold and limited to a few requests per
   * second.
   * @param name Name of the target.
   * @param now Current time.
   * @return False for an unknown target.
   */
  [[nodiscard]] bool IsRateLimited(const core::InstanceName& name,
                                   core::TimePoint now) const;

  /** @return Requests queued at a target per slot, averaged over the recent
   * reports of all targets. */
  [[nodiscard]] double QueuedPerSlot() const noexcept {
    return this->queued_per_slot;
  }

  /** @return All targets. */
  [[nodiscard]] const std::vector<TargetState>& Targets() const noexcept {
    return this->targets;
  }

 private:
  /** Whether the targets could bear more than their usual load. */
  [[nodiscard]] bool IsFarFromBusy() const noexcept;
  [[nodiscard]] bool IsUsable(const core::InstanceName& name) const;
  /** Pools of targets to choose from; each contains the one before. */
  enum class CandidatePool : std::uint8_t { kPreferred, kNotEjected, kAll };

  void CollectCandidates(const std::vector<core::InstanceName>& excluded,
                         const core::VersionName& version, core::TimePoint now,
                         CandidatePool pool);
  /** Collects the candidates of the first pool that has any, up to `last_pool`.
   */
  void CollectFirstCandidates(const std::vector<core::InstanceName>& excluded,
                              const core::VersionName& version,
                              core::TimePoint now, CandidatePool last_pool);
  [[nodiscard]] static bool IsInPool(const TargetState& target,
                                     CandidatePool pool,
                                     core::TimePoint now) noexcept;
  /** Applies a load report. A report requested before the target announced that
   * it is draining does not end the draining state. */
  void ApplyReport(TargetState& target, const forwarding::LoadReport& report,
                   core::TimePoint requested_at, core::TimePoint now);
  void UpdateAgreement(const TargetState& target,
                       const forwarding::LoadReport& report,
                       core::Duration latency);
  [[nodiscard]] bool HasRoom(const TargetState& target,
                             core::TimePoint now) const noexcept;
  void UpdateWarmth(TargetState& target, const forwarding::ExchangeEnded& ended,
                    core::TimePoint now) const;
  void UpdateEjection(TargetState& target,
                      const forwarding::ExchangeEnded& ended,
                      core::TimePoint now) const;
  void MarkCold(TargetState& target, core::TimePoint now) const noexcept;
  [[nodiscard]] bool MostAreWarm() const noexcept;
  [[nodiscard]] Candidate MakeCandidate(std::size_t index,
                                        core::TimePoint now) const;

  std::unique_ptr<Strategy> strategy;
  Quantile median{0.5, kInitialMedian};
  double queued_per_slot = 0;
  double mean_load = 0;
  double agreement = kInitialAgreement;
  std::vector<TargetState> targets;
  bool had_usable_target{};
  std::optional<core::Duration> health_check_interval;
  std::unordered_map<core::InstanceName, std::size_t> positions;
  std::vector<Candidate> candidates;
  Candidate last_choice;
};

}  // namespace trefoilbend::balancing

#endif  // TREFOILBEND_BALANCING_TARGET_TABLE_H_
