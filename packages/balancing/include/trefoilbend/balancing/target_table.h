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

/** @brief An exchange that waits for the head of its answer. */
struct PendingResponse {
  /** @brief The exchange. */
  core::ExchangeId exchange;
  /** @brief Time at which it was started. */
  core::TimePoint since;
};

/** @brief What this entry knows of one target. */
struct TargetState {
  /** @brief The target as the asset register has it. */
  inventory::Instance instance;
  /** @brief Whether the target may take new calls. */
  bool usable{};
  /** @brief Whether the platform lists the target as live. */
  bool live{};
  /** @brief Calls that this entry has in flight there. */
  std::uint32_t in_flight{};
  /** @brief Calls that this entry may have in flight there. */
  std::uint32_t limit{};
  /** @brief Part of this entry in what the target bears while it is cold. */
  ColdShare cold_share;
  /** @brief Whether the target is cold. */
  WarmUp warm_up;
  /** @brief Time before which this entry does not check again whether the
   * target is warm. */
  core::TimePoint next_health_check{};
  /** @brief Answers in sequence that were far slower than usual. */
  std::uint32_t slow_answers{};
  /** @brief Last load that the target told. */
  forwarding::LoadReport report;
  /** @brief Time of the last report; the epoch before the first one. */
  core::TimePoint reported_at{};
  /** @brief Time at which the target last said that it drains; nothing if it
   * has not, or has taken it back. */
  std::optional<core::TimePoint> draining_since{};
  /** @brief Calls that this entry has sent there since the last report. */
  std::uint32_t sent_since_report{};
  /** @brief Trust in the reports, from 0 to 1. */
  double trust = 1;
  /** @brief Answers in sequence that were failures of the target. */
  std::uint32_t failures{};
  /** @brief Exchanges that wait for the head of their answer, oldest first. */
  std::vector<PendingResponse> pending_responses;
  /** @brief Time until which the target bears only a few requests a second. */
  core::TimePoint cold_until{};
  /** @brief Time for which it stays cold after a start. */
  core::Duration warm_up_time{};
  /** @brief Pace of this entry's requests while it is cold. */
  ColdRateLimiter cold_rate_limiter;
  /** @brief Whether it stands in another data centre than this entry. */
  bool remote{};
  /** @brief Whether it belongs to the entry's subset. */
  bool preferred = true;
  /** @brief Whether its version's share is too small for it to take calls. */
  bool inactive{};
  /** @brief Time until which the target is left out because it failed, unless
   * all others are left out too. */
  core::TimePoint ejected_until{};
  /** @brief Time at which the probe was sent that waits for its answer. */
  std::optional<core::TimePoint> probe_sent_at;
  /** @brief Probes in sequence that got no answer. */
  std::uint32_t unanswered_probes{};
};

/** @brief What a target is chosen for. */
enum class AttemptPurpose : std::uint8_t {
  /** @brief A call that no target works on. */
  kAttempt,
  /** @brief A second exchange beside one that is late. A cold target gets none:
   * the slower of the two is cancelled, and the target may work on at it. */
  kHedge,
};

/** @brief Median latency of a service before its first answer. */
inline constexpr std::chrono::milliseconds kInitialMedian{20};

/** @brief How far a service's reports agree with latencies before its first
 * answer. */
inline constexpr double kInitialAgreement = 0.05;

/** @brief The targets of one service and the way of choosing among them. */
class TargetTable {
 public:
  /**
   * @brief Makes an empty table.
   * @param strategy Way of choosing.
   */
  explicit TargetTable(std::unique_ptr<Strategy> strategy)
      : strategy(std::move(strategy)) {}

  /** @brief A target that the register has, and whether it may take new calls.
   */
  struct Member {
    /** @brief The target. */
    inventory::Instance instance;
    /** @brief Whether it may take new calls. */
    bool usable{};
    /** @brief Calls that this entry may have in flight there. */
    std::uint32_t limit{};
    /** @brief Part of this entry in what it bears while it is cold. */
    ColdShare cold_share{};
    /** @brief Requests a second of this entry that it bears while it is cold; 0
     * if only the calls in flight are bounded. */
    double cold_rate{};
    /** @brief Time for which it stays cold after a start. */
    core::Duration warm_up_time{};
    /** @brief Time until which it is cold by its own account. */
    core::TimePoint cold_until{};
    /** @brief Whether it stands in another data centre than this entry. */
    bool remote{};
    /** @brief Whether the entry uses it before others. */
    bool preferred = true;
    /** @brief Whether the platform lists it as live. */
    bool live = true;
  };

  /**
   * @brief Replaces the members; what is known of those that stay is kept.
   *
   * A target that joins or returns later than the first members is cold.
   *
   * @param members Targets of the service.
   * @param now Current time.
   * @return Targets that could be used before and cannot any more.
   */
  std::vector<core::InstanceName> SetMembers(std::vector<Member> members,
                                             core::TimePoint now);

  /**
   * @brief Lets only some targets of a version take calls, so that a small
   * share of the traffic loads each of them as the whole would load them all,
   * and a fault under load shows.
   * @param version Version whose targets are held back; empty for none.
   * @param share Share of the traffic that the version gets, in thousandths.
   */
  void LimitActiveTargets(const core::VersionName& version,
                          std::uint32_t share);

  /**
   * @brief Tells whether SetMembers would change nothing.
   * @param instances Targets of the service.
   * @param availability Tells which of them may take new calls.
   * @return True if the members are the same.
   */
  [[nodiscard]] bool Matches(
      const std::vector<const inventory::Instance*>& instances,
      const Availability& availability) const;

  /**
   * @brief Divides the targets' connections among the entries anew.
   * @param entries Entries that share them.
   */
  void UpdateConnectionShares(const EntryCount& entries) noexcept;

  /**
   * @brief Chooses a target and counts the call as in flight there.
   * @param excluded Targets that already had the call.
   * @param version Version that the target must run.
   * @param purpose What the target is chosen for.
   * @param exchange Exchange that takes the call there.
   * @param now Current time.
   * @return The target, or null if none may take a call.
   */
  [[nodiscard]] const inventory::Instance* Choose(
      const std::vector<core::InstanceName>& excluded,
      const core::VersionName& version, AttemptPurpose purpose,
      core::ExchangeId exchange, core::TimePoint now);

  /** @return What was known of the target that was chosen last. */
  [[nodiscard]] const Candidate& LastChoice() const noexcept {
    return this->last_choice;
  }

  /** @return Number of targets among which the last one was chosen. */
  [[nodiscard]] std::size_t LastCandidateCount() const noexcept {
    return this->candidates.size();
  }

  /**
   * @brief Lists the targets to probe before one is chosen.
   * @param excluded Targets that already had the call.
   * @param version Version that the target must run.
   * @param max_targets Greatest number of targets.
   * @param now Current time.
   * @return The targets that would be chosen first and of which nothing fresh
   * is known; none once a target of the same data centre is known to be quiet,
   * and only those of it once a far one is.
   */
  [[nodiscard]] std::vector<const inventory::Instance*> SelectProbeTargets(
      const std::vector<core::InstanceName>& excluded,
      const core::VersionName& version, std::size_t max_targets,
      core::TimePoint now);

  /**
   * @brief Sets how often cold targets are checked in which this entry has no
   * share.
   * @param interval Time between two entries' checks of one target; nothing if
   * targets cannot be checked, and are tried with a call instead.
   */
  void SetHealthCheckInterval(std::optional<core::Duration> interval) noexcept {
    this->health_check_interval = interval;
  }

  /**
   * @brief Lists the cold targets that are to be checked now.
   * @param entries Number of entries that share the checks.
   * @param now Current time.
   * @return The targets; their next checks are due one round of all entries
   * later.
   */
  [[nodiscard]] std::vector<const inventory::Instance*> TakeDueHealthChecks(
      std::size_t entries, core::TimePoint now);

  /**
   * @brief Takes note of a probe that is sent.
   * @param target Name of the target.
   * @param now Current time.
   */
  void OnProbeSent(const core::InstanceName& target, core::TimePoint now);

  /**
   * @brief Takes note of a probe's answer.
   * @param ended Report of the probe.
   * @param now Current time.
   */
  void OnProbeEnded(const forwarding::ProbeEnded& ended, core::TimePoint now);

  /**
   * @brief Takes note that the head of a long answer came.
   * @param exchange Exchange that has its answer.
   * @param target Target that answers.
   */
  void OnExchangeBegan(core::ExchangeId exchange,
                       const core::InstanceName& target);

  /**
   * @brief Takes note of an exchange that ended.
   * @param ended Report of the exchange.
   * @param now Current time.
   */
  void OnExchangeEnded(const forwarding::ExchangeEnded& ended,
                       core::TimePoint now);

  /**
   * @brief Tells whether any target may take new calls, now or once calls in
   * flight end.
   * @param version Version that the target must run.
   * @param now Current time.
   * @return True if there is one.
   */
  [[nodiscard]] bool HasUsable(const core::VersionName& version,
                               core::TimePoint now) const noexcept;

  /**
   * @brief Tells whether a target was slowed down by its neighbours at its last
   * report.
   * @param name Name of the target.
   * @return False for an unknown target.
   */
  [[nodiscard]] bool IsSlowedDown(const core::InstanceName& name) const;

  /**
   * @brief Tells whether a target is cold and bears a few calls at a time.
   * @param name Name of the target.
   * @return False for an unknown target.
   */
  [[nodiscard]] bool IsWarmingUp(const core::InstanceName& name) const;

  /**
   * @brief Tells whether a target is cold and bears a few requests a second.
   * @param name Name of the target.
   * @param now Current time.
   * @return False for an unknown target.
   */
  [[nodiscard]] bool IsRateLimited(const core::InstanceName& name,
                                   core::TimePoint now) const;

  /** @return Requests that wait at a target for each of its slots, by the
   * reports of the recent answers. */
  [[nodiscard]] double QueuedPerSlot() const noexcept {
    return this->queued_per_slot;
  }

  /** @return All targets. */
  [[nodiscard]] const std::vector<TargetState>& Targets() const noexcept {
    return this->targets;
  }

 private:
  [[nodiscard]] bool IsUsable(const core::InstanceName& name) const;
  /** Targets among which is chosen; each range holds the one before. */
  enum class CandidatePool : std::uint8_t { kPreferred, kNotEjected, kAll };

  void CollectCandidates(const std::vector<core::InstanceName>& excluded,
                         const core::VersionName& version, core::TimePoint now,
                         CandidatePool pool);
  /** Collects from the first range that has a candidate. */
  void CollectFirstCandidates(const std::vector<core::InstanceName>& excluded,
                              const core::VersionName& version,
                              core::TimePoint now, CandidatePool last_pool);
  [[nodiscard]] static bool IsInPool(const TargetState& target,
                                     CandidatePool pool,
                                     core::TimePoint now) noexcept;
  /** Takes a report; one that was asked for before the target said that it
   * drains does not take that back. */
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
