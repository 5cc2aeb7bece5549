#include "trefoilbend/balancing/target_table.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "trefoilbend/core/invariant.h"

namespace trefoilbend::balancing {

namespace {

constexpr std::chrono::milliseconds kAvoidance{500};
constexpr std::chrono::milliseconds kFirstAvoidance{100};
constexpr std::uint32_t kMostDoublings = 4;
constexpr std::uint32_t kFailuresToAvoid = 3;
constexpr std::uint16_t kServerError = 500;
/** Latency, in medians, of which a few in sequence tell that a target has
 * become cold. */
constexpr int kColdLatency = 12;
constexpr std::uint32_t kSlowAnswersToChill = 4;
constexpr double kSampleWeight = 0.02;
/** Factor of the trust for a report that tells less than this entry's own
 * calls. */
constexpr double kDistrust = 0.8;
/** Trust that a report without contradiction gives back. */
constexpr double kTrust = 0.002;
constexpr double kLeastTrust = 0.5;
/** Weight of one answer in how far reports agree with latencies, from -1 to 1.
 */
constexpr double kAgreementWeight = 0.0007;
constexpr double kLeastAgreement = 0.03;
/** Time after which a drain that nothing has confirmed since is forgotten. */
constexpr std::chrono::seconds kDrainMark{60};

bool MayTakeCalls(const TargetState& target,
                  const core::TimePoint now) noexcept {
  const bool draining =
      target.report.draining && now - target.reported_at < kDrainMark;
  return target.usable && !draining;
}

bool SaysThatItDrains(const forwarding::ExchangeEnded& ended) noexcept {
  return ended.load && ended.load->draining;
}

}  // namespace

void TargetTable::SetMembers(std::vector<Member> members,
                             const core::TimePoint now) {
  std::vector<TargetState> next;
  next.reserve(members.size());
  for (Member& member : members) {
    const auto known = this->positions.find(member.instance.name);
    TargetState state = known == this->positions.end()
                            ? TargetState{}
                            : std::move(this->targets[known->second]);
    state.instance = std::move(member.instance);
    if (this->has_had_usable && member.usable && !state.usable) {
      state.warm_up.Chill(now);
    }
    if (member.usable && !state.usable) {
      state.report = {};
      state.reported_at = {};
    }
    state.usable = member.usable;
    state.cold_share = member.cold_share;
    state.limit = member.limit;
    next.push_back(std::move(state));
  }
  this->targets = std::move(next);
  this->has_had_usable =
      this->has_had_usable ||
      std::any_of(this->targets.begin(), this->targets.end(),
                  [](const TargetState& target) { return target.usable; });
  this->positions.clear();
  for (std::size_t at = 0; at < this->targets.size(); ++at) {
    this->positions.emplace(this->targets[at].instance.name, at);
  }
}

bool TargetTable::Matches(
    const std::vector<const inventory::Instance*>& instances,
    const Availability& availability) const {
  return std::equal(
      this->targets.begin(), this->targets.end(), instances.begin(),
      instances.end(),
      [&](const TargetState& target, const inventory::Instance* instance) {
        return target.instance == *instance &&
               target.usable == availability.IsUsable(*instance);
      });
}

void TargetTable::ShareConnections(const EntryCount& entries) noexcept {
  for (TargetState& target : this->targets) {
    target.limit = ShareOfConnections(target.instance.connections, entries);
  }
}

const inventory::Instance* TargetTable::Choose(
    const std::vector<core::InstanceName>& excluded,
    const core::VersionName& version, const core::ExchangeId exchange,
    const core::TimePoint now) {
  this->Collect(excluded, version, now, false);
  if (this->candidates.empty()) {
    this->Collect(excluded, version, now, true);
  }
  if (this->candidates.empty()) {
    return nullptr;
  }
  const std::size_t chosen = this->strategy->Choose(this->candidates, now);
  TargetState& target = this->targets[this->candidates.at(chosen).target];
  ++target.in_flight;
  ++target.sent_since_report;
  target.owed.push_back({exchange, now});
  return &target.instance;
}

void TargetTable::Collect(const std::vector<core::InstanceName>& excluded,
                          const core::VersionName& version,
                          const core::TimePoint now, const bool with_avoided) {
  this->candidates.clear();
  for (std::size_t at = 0; at < this->targets.size(); ++at) {
    const TargetState& target = this->targets[at];
    const bool tried = std::find(excluded.begin(), excluded.end(),
                                 target.instance.name) != excluded.end();
    const bool avoided = target.avoided_until > now && !with_avoided;
    if (MayTakeCalls(target, now) && target.instance.version == version &&
        !tried && !avoided &&
        target.in_flight <
            target.warm_up.Allowed(target.cold_share, target.limit, now)) {
      this->candidates.push_back(this->Describe(at, now));
    }
  }
}

Candidate TargetTable::Describe(const std::size_t at,
                                const core::TimePoint now) const {
  const TargetState& target = this->targets[at];
  const std::chrono::duration<double> median = this->median.Value();
  const core::Duration owed =
      target.owed.empty() ? core::Duration{} : now - target.owed.front().since;
  return {.target = at,
          .in_flight = target.in_flight,
          .slots = target.instance.slots,
          .reported = target.report.in_flight + target.report.queued,
          .trusted = target.reported_at != core::TimePoint{} &&
                     target.trust >= kLeastTrust &&
                     this->agreement >= kLeastAgreement,
          .report_age = now - target.reported_at,
          .sent_since_report = target.sent_since_report,
          .owed = owed / median};
}

void TargetTable::Began(const core::ExchangeId exchange,
                        const core::InstanceName& target) {
  const auto position = this->positions.find(target);
  if (position != this->positions.end()) {
    std::erase_if(this->targets[position->second].owed,
                  [&](const Owed& owed) { return owed.exchange == exchange; });
  }
}

void TargetTable::Ended(const forwarding::ExchangeEnded& ended,
                        const core::TimePoint now) {
  const auto position = this->positions.find(ended.target);
  if (position == this->positions.end()) {
    return;
  }
  TargetState& target = this->targets[position->second];
  if (target.in_flight > 0) {
    --target.in_flight;
  }
  this->Began(ended.exchange, ended.target);
  const bool answered = ended.result == forwarding::ExchangeResult::kAnswered;
  if (ended.load) {
    this->TakeReport(target, *ended.load, now);
  }
  if (ended.load && answered) {
    this->CompareReport(target, *ended.load, ended.latency);
  }
  if (answered) {
    this->median.Add(ended.latency);
  }
  this->NoteWarmth(target, ended, now);
  this->NoteFailures(target, ended, now);
}

void TargetTable::NoteWarmth(TargetState& target,
                             const forwarding::ExchangeEnded& ended,
                             const core::TimePoint now) const {
  if (ended.load && ended.load->cold) {
    target.warm_up.Chill(now);
    return;
  }
  if (ended.result != forwarding::ExchangeResult::kAnswered ||
      ended.status >= kServerError) {
    return;
  }
  if (ended.latency > kColdLatency * this->median.Value()) {
    if (++target.slow_answers >= kSlowAnswersToChill && this->MostAreWarm()) {
      target.warm_up.Chill(now);
    }
    return;
  }
  target.slow_answers = 0;
  target.warm_up.AddGoodAnswer();
}

void TargetTable::TakeReport(TargetState& target,
                             const forwarding::LoadReport& report,
                             const core::TimePoint now) {
  const std::uint32_t requests = report.in_flight + report.queued;
  const core::TimePoint arrived = now - this->median.Value() / 2;
  const auto owed =
      std::count_if(target.owed.begin(), target.owed.end(),
                    [&](const Owed& one) { return one.since <= arrived; });
  if (requests < owed) {
    target.trust *= kDistrust;
  } else {
    target.trust = std::min(1.0, target.trust + kTrust);
  }
  target.report = report;
  target.reported_at = now;
  target.sent_since_report = 0;
  const double queued = report.queued;
  this->crowding +=
      kSampleWeight * (queued / target.instance.slots - this->crowding);
}

void TargetTable::CompareReport(const TargetState& target,
                                const forwarding::LoadReport& report,
                                const core::Duration latency) {
  const double load = static_cast<double>(report.in_flight + report.queued) /
                      target.instance.slots;
  const bool agrees =
      (load > this->mean_report) == (latency > this->median.Value());
  this->mean_report += kSampleWeight * (load - this->mean_report);
  this->agreement += kAgreementWeight * ((agrees ? 1 : -1) - this->agreement);
}

void TargetTable::NoteFailures(TargetState& target,
                               const forwarding::ExchangeEnded& ended,
                               const core::TimePoint now) const {
  using forwarding::ExchangeResult;
  if (ended.result == ExchangeResult::kNotSent ||
      ended.result == ExchangeResult::kBrokenBeforeAnswer) {
    target.avoided_until = now + kAvoidance;
  }
  const bool answered = ended.result == ExchangeResult::kAnswered ||
                        ended.result == ExchangeResult::kRefused;
  if (!answered || SaysThatItDrains(ended)) {
    return;
  }
  if (ended.status < kServerError) {
    target.failures = 0;
    return;
  }
  ++target.failures;
  if (target.failures >= kFailuresToAvoid) {
    if (this->MostAreWarm()) {
      target.warm_up.Chill(now);
    }
    const std::uint32_t doublings =
        std::min(target.failures - kFailuresToAvoid, kMostDoublings);
    target.avoided_until = now + kFirstAvoidance * (1U << doublings);
  }
}

bool TargetTable::MostAreWarm() const noexcept {
  std::size_t usable = 0;
  std::size_t cold = 0;
  for (const TargetState& target : this->targets) {
    usable += target.usable ? 1 : 0;
    cold += target.usable && target.warm_up.IsCold() ? 1 : 0;
  }
  return 2 * (cold + 1) <= usable;
}

bool TargetTable::HasUsable(const core::VersionName& version,
                            const core::TimePoint now) const noexcept {
  return std::any_of(this->targets.begin(), this->targets.end(),
                     [&](const TargetState& target) {
                       return MayTakeCalls(target, now) &&
                              target.instance.version == version;
                     });
}

}  // namespace trefoilbend::balancing
