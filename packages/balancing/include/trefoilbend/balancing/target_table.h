#ifndef TREFOILBEND_BALANCING_TARGET_TABLE_H_
#define TREFOILBEND_BALANCING_TARGET_TABLE_H_

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

#include "trefoilbend/balancing/availability.h"
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
struct Owed {
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
  /** @brief Calls that this entry has in flight there. */
  std::uint32_t in_flight{};
  /** @brief Calls that this entry may have in flight there. */
  std::uint32_t limit{};
  /** @brief Part of this entry in what the target bears while it is cold. */
  ColdShare cold_share;
  /** @brief Whether the target is cold. */
  WarmUp warm_up;
  /** @brief Answers in sequence that were far slower than usual. */
  std::uint32_t slow_answers{};
  /** @brief Last load that the target told. */
  forwarding::LoadReport report;
  /** @brief Time of the last report; the epoch before the first one. */
  core::TimePoint reported_at{};
  /** @brief Calls that this entry has sent there since the last report. */
  std::uint32_t sent_since_report{};
  /** @brief Trust in the reports, from 0 to 1. */
  double trust = 1;
  /** @brief Answers in sequence that were failures of the target. */
  std::uint32_t failures{};
  /** @brief Exchanges that wait for the head of their answer, oldest first. */
  std::vector<Owed> owed;
  /** @brief Time until which the target is left out because it failed, unless
   * all others are left out too. */
  core::TimePoint avoided_until{};
};

/** @brief Median latency of a service before its first answer. */
inline constexpr std::chrono::milliseconds kFirstMedian{20};

/** @brief How far a service's reports agree with latencies before its first
 * answer. */
inline constexpr double kFirstAgreement = 0.05;

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
  };

  /**
   * @brief Replaces the members; what is known of those that stay is kept.
   *
   * A target that joins or returns later than the first members is cold.
   *
   * @param members Targets of the service.
   * @param now Current time.
   */
  void SetMembers(std::vector<Member> members, core::TimePoint now);

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
  void ShareConnections(const EntryCount& entries) noexcept;

  /**
   * @brief Chooses a target and counts the call as in flight there.
   * @param excluded Targets that already had the call.
   * @param version Version that the target must run.
   * @param exchange Exchange that takes the call there.
   * @param now Current time.
   * @return The target, or null if none may take a call.
   */
  [[nodiscard]] const inventory::Instance* Choose(
      const std::vector<core::InstanceName>& excluded,
      const core::VersionName& version, core::ExchangeId exchange,
      core::TimePoint now);

  /**
   * @brief Takes note that the head of a long answer came.
   * @param exchange Exchange that has its answer.
   * @param target Target that answers.
   */
  void Began(core::ExchangeId exchange, const core::InstanceName& target);

  /**
   * @brief Takes note of an exchange that ended.
   * @param ended Report of the exchange.
   * @param now Current time.
   */
  void Ended(const forwarding::ExchangeEnded& ended, core::TimePoint now);

  /**
   * @brief Tells whether any target may take new calls, now or once calls in
   * flight end.
   * @param version Version that the target must run.
   * @param now Current time.
   * @return True if there is one.
   */
  [[nodiscard]] bool HasUsable(const core::VersionName& version,
                               core::TimePoint now) const noexcept;

  /** @return Requests that wait at a target for each of its slots, by the
   * reports of the recent answers. */
  [[nodiscard]] double Crowding() const noexcept { return this->crowding; }

  /** @return All targets. */
  [[nodiscard]] const std::vector<TargetState>& Targets() const noexcept {
    return this->targets;
  }

 private:
  void Collect(const std::vector<core::InstanceName>& excluded,
               const core::VersionName& version, core::TimePoint now,
               bool with_avoided);
  void TakeReport(TargetState& target, const forwarding::LoadReport& report,
                  core::TimePoint now);
  void CompareReport(const TargetState& target,
                     const forwarding::LoadReport& report,
                     core::Duration latency);
  void NoteWarmth(TargetState& target, const forwarding::ExchangeEnded& ended,
                  core::TimePoint now) const;
  void NoteFailures(TargetState& target, const forwarding::ExchangeEnded& ended,
                    core::TimePoint now) const;
  [[nodiscard]] bool MostAreWarm() const noexcept;
  [[nodiscard]] Candidate Describe(std::size_t at, core::TimePoint now) const;

  std::unique_ptr<Strategy> strategy;
  Quantile median{0.5, kFirstMedian};
  double crowding = 0;
  double mean_report = 0;
  double agreement = kFirstAgreement;
  std::vector<TargetState> targets;
  bool has_had_usable{};
  std::unordered_map<core::InstanceName, std::size_t> positions;
  std::vector<Candidate> candidates;
};

}  // namespace trefoilbend::balancing

#endif  // TREFOILBEND_BALANCING_TARGET_TABLE_H_
