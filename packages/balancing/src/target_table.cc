#include "trefoilbend/balancing/target_table.h"

#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "trefoilbend/core/invariant.h"

namespace trefoilbend::balancing {

namespace {

/** Targets of a new version that take calls at least, so that no single one
 * stands for all. */
constexpr std::size_t kLeastLoaded = 3;
/** Age up to which a report tells how slow a target is now. */
constexpr std::chrono::milliseconds kFreshReport{40};
/** Slowness up to which a target counts as undisturbed by its neighbours. */
constexpr double kQuietSlowdown = 1.5;
constexpr std::chrono::milliseconds kAvoidance{500};
/** Doublings of the avoidance of a target that answers no probe. */
constexpr std::uint32_t kMostSilentDoublings = 3;
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
      target.drains_since && now - *target.drains_since < kDrainMark;
  return target.usable && !draining && !target.held_back;
}

/** Whether the target is cold in the sense of a rate, not of calls in flight.
 */
bool IsColdNow(const TargetState& target, const core::TimePoint now) noexcept {
  return target.cold_time > core::Duration::zero() && now < target.cold_until;
}

bool SaysThatItDrains(const forwarding::ExchangeEnded& ended) noexcept {
  return ended.load && ended.load->draining;
}

}  // namespace

std::vector<core::InstanceName> TargetTable::SetMembers(
    std::vector<Member> members, const core::TimePoint now) {
  std::vector<core::InstanceName> withdrawn;
  for (const TargetState& target : this->targets) {
    if (target.usable) {
      withdrawn.push_back(target.instance.name);
    }
  }
  std::vector<TargetState> next;
  next.reserve(members.size());
  for (Member& member : members) {
    const auto known = this->positions.find(member.instance.name);
    TargetState state = known == this->positions.end()
                            ? TargetState{}
                            : std::move(this->targets[known->second]);
    state.instance = std::move(member.instance);
    state.cold_time = member.cold_time;
    state.cold_pace.SetRate(member.cold_rate);
    state.cold_until = std::max(state.cold_until, member.cold_until);
    state.far = member.far;
    state.preferred = member.preferred;
    if (this->has_had_usable && member.usable && !state.usable) {
      state.warm_up.Chill(now);
    }
    if (member.usable && !state.usable) {
      state.report = {};
      state.reported_at = {};
    }
    if (member.live && !state.live) {
      state.drains_since.reset();
    }
    state.live = member.live;
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
  std::erase_if(withdrawn, [this](const core::InstanceName& name) {
    return this->IsUsable(name);
  });
  return withdrawn;
}

bool TargetTable::IsUsable(const core::InstanceName& name) const {
  const auto position = this->positions.find(name);
  return position != this->positions.end() &&
         this->targets[position->second].usable;
}

void TargetTable::HoldBack(const core::VersionName& version,
                           const std::uint32_t share) {
  std::vector<std::pair<std::uint64_t, TargetState*>> ranked;
  for (TargetState& target : this->targets) {
    target.held_back = false;
    if (!version.Empty() && target.instance.version == version &&
        target.usable) {
      const std::string& name = target.instance.name.Text();
      ranked.emplace_back(XXH64(name.data(), name.size(), 0), &target);
    }
  }
  std::sort(ranked.begin(), ranked.end());
  const std::size_t loaded =
      (ranked.size() * share + inventory::kWholeShare - 1) /
      inventory::kWholeShare;
  for (std::size_t at = std::max(loaded, kLeastLoaded); at < ranked.size();
       ++at) {
    ranked[at].second->held_back = true;
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
               target.usable == availability.IsUsable(*instance) &&
               target.cold_until >= availability.ColdUntil(instance->name);
      });
}

void TargetTable::ShareConnections(const EntryCount& entries) noexcept {
  for (TargetState& target : this->targets) {
    target.limit = ShareOfConnections(target.instance.connections, entries);
  }
}

const inventory::Instance* TargetTable::Choose(
    const std::vector<core::InstanceName>& excluded,
    const core::VersionName& version, const Purpose purpose,
    const core::ExchangeId exchange, const core::TimePoint now) {
  this->CollectUpTo(excluded, version, now, Range::kAll);
  if (purpose == Purpose::kHedge) {
    std::erase_if(this->candidates, [this](const Candidate& candidate) {
      return this->targets[candidate.target].warm_up.IsCold();
    });
  }
  if (this->candidates.empty()) {
    return nullptr;
  }
  const std::size_t chosen = this->strategy->Choose(this->candidates, now);
  this->last_choice = this->candidates.at(chosen);
  TargetState& target = this->targets[this->last_choice.target];
  if (IsColdNow(target, now)) {
    target.cold_pace.Take(now);
  }
  ++target.in_flight;
  ++target.sent_since_report;
  target.owed.push_back({exchange, now});
  return &target.instance;
}

void TargetTable::CollectUpTo(const std::vector<core::InstanceName>& excluded,
                              const core::VersionName& version,
                              const core::TimePoint now, const Range last) {
  for (const Range range :
       {Range::kPreferred, Range::kNotAvoided, Range::kAll}) {
    this->Collect(excluded, version, now, range);
    if (!this->candidates.empty() || range == last) {
      return;
    }
  }
}

bool TargetTable::IsIn(const TargetState& target, const Range range,
                       const core::TimePoint now) noexcept {
  if (range == Range::kAll) {
    return true;
  }
  const bool preferred = target.preferred || IsColdNow(target, now);
  return target.avoided_until <= now &&
         (preferred || range == Range::kNotAvoided);
}

void TargetTable::Collect(const std::vector<core::InstanceName>& excluded,
                          const core::VersionName& version,
                          const core::TimePoint now, const Range range) {
  this->candidates.clear();
  for (std::size_t at = 0; at < this->targets.size(); ++at) {
    const TargetState& target = this->targets[at];
    const bool tried = std::find(excluded.begin(), excluded.end(),
                                 target.instance.name) != excluded.end();
    if (MayTakeCalls(target, now) && target.instance.version == version &&
        !tried && IsIn(target, range, now) && HasRoom(target, now)) {
      this->candidates.push_back(this->Describe(at, now));
    }
  }
}

bool TargetTable::HasRoom(const TargetState& target,
                          const core::TimePoint now) const noexcept {
  if (target.cold_time > core::Duration::zero()) {
    return target.in_flight < target.limit &&
           (!IsColdNow(target, now) || target.cold_pace.Allows(now));
  }
  const WarmthTrial trial =
      this->check_interval ? WarmthTrial::kHealthCheck : WarmthTrial::kCall;
  return target.in_flight <
         target.warm_up.Allowed(target.cold_share, target.limit, trial, now);
}

std::vector<const inventory::Instance*> TargetTable::ToCheck(
    const std::size_t entries, const core::TimePoint now) {
  std::vector<const inventory::Instance*> due;
  if (!this->check_interval) {
    return due;
  }
  const core::Duration round =
      static_cast<core::Duration::rep>(std::max<std::size_t>(entries, 1)) *
      *this->check_interval;
  for (TargetState& target : this->targets) {
    const bool shares = target.cold_share.calls > 0 ||
                        target.cold_time > core::Duration::zero();
    if (shares || !target.usable || !target.warm_up.NeedsCheck()) {
      continue;
    }
    const core::TimePoint first =
        target.warm_up.ColdSince() +
        target.cold_share.rank * *this->check_interval;
    const core::TimePoint check = std::max(first, target.next_check);
    if (now < check) {
      continue;
    }
    target.next_check = now + round - (now - check) % round;
    due.push_back(&target.instance);
  }
  return due;
}

std::vector<const inventory::Instance*> TargetTable::ToProbe(
    const std::vector<core::InstanceName>& excluded,
    const core::VersionName& version, const std::size_t most,
    const core::TimePoint now) {
  std::vector<const inventory::Instance*> chosen;
  this->CollectUpTo(excluded, version, now, Range::kNotAvoided);
  bool near_only = false;
  while (!this->candidates.empty() && chosen.size() < most) {
    const std::size_t at = this->strategy->Choose(this->candidates, now);
    const Candidate candidate = this->candidates.at(at);
    const bool fresh = candidate.report_age < kFreshReport;
    const bool good = fresh &&
                      candidate.slowdown.value_or(1) <= kQuietSlowdown &&
                      candidate.reported < candidate.slots;
    if (good && !candidate.far) {
      return chosen;
    }
    near_only = near_only || good;
    const bool asked = candidate.silence > core::Duration::zero();
    if (!fresh && !asked && !(near_only && candidate.far)) {
      chosen.push_back(&this->targets[candidate.target].instance);
    }
    this->candidates.erase(this->candidates.begin() +
                           static_cast<std::ptrdiff_t>(at));
  }
  return chosen;
}

void TargetTable::NoteProbe(const core::InstanceName& name,
                            const core::TimePoint now) {
  const auto position = this->positions.find(name);
  if (position == this->positions.end()) {
    return;
  }
  TargetState& target = this->targets[position->second];
  target.probed_since = target.probed_since.value_or(now);
}

void TargetTable::Probed(const forwarding::ProbeEnded& ended,
                         const core::TimePoint now) {
  const auto position = this->positions.find(ended.target);
  if (position == this->positions.end()) {
    return;
  }
  TargetState& target = this->targets[position->second];
  const auto& report = ended.report;
  const bool is_other =
      report && !report->name.Empty() && report->name != target.instance.name;
  const core::TimePoint asked = target.probed_since.value_or(now);
  target.probed_since.reset();
  target.silent_probes = report ? 0 : target.silent_probes + 1;
  if (!report || !report->healthy || is_other) {
    const std::uint32_t doublings =
        std::min(std::max(target.silent_probes, 1U) - 1, kMostSilentDoublings);
    target.avoided_until = now + kAvoidance * (1U << doublings);
  }
  if (!report || is_other) {
    return;
  }
  if (report->load) {
    this->TakeReport(target, *report->load, asked, now);
    if (report->healthy && !report->load->cold) {
      target.warm_up.AddGoodCheck();
    }
  }
  if (report->cold_for.count() > 0) {
    target.cold_until = std::max(target.cold_until, now + report->cold_for);
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
          .owed = owed / median,
          .slowdown = target.report.slowdown,
          .silence = target.probed_since ? std::max(now - *target.probed_since,
                                                    core::Duration{1})
                                         : core::Duration::zero(),
          .far = target.far};
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
    this->TakeReport(target, *ended.load, now - ended.latency, now);
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
    this->Chill(target, now);
    return;
  }
  if (ended.result != forwarding::ExchangeResult::kAnswered ||
      ended.status >= kServerError) {
    return;
  }
  if (ended.latency > kColdLatency * this->median.Value()) {
    if (++target.slow_answers >= kSlowAnswersToChill && this->MostAreWarm()) {
      this->Chill(target, now);
    }
    return;
  }
  target.slow_answers = 0;
  target.warm_up.AddGoodAnswer();
}

void TargetTable::TakeReport(TargetState& target,
                             const forwarding::LoadReport& report,
                             const core::TimePoint asked,
                             const core::TimePoint now) {
  if (report.draining) {
    target.drains_since = now;
  } else if (target.drains_since && asked > *target.drains_since) {
    target.drains_since.reset();
  }
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
      ended.result == ExchangeResult::kBrokenBeforeAnswer ||
      ended.result == ExchangeResult::kMisdirected) {
    target.avoided_until = now + kAvoidance;
  }
  if (ended.result == ExchangeResult::kNotSent) {
    target.cold_until = now + kAvoidance + target.cold_time;
  }
  const bool may_have_restarted =
      ended.result == ExchangeResult::kNotSent ||
      ended.result == ExchangeResult::kBrokenBeforeAnswer;
  if (may_have_restarted && target.cold_time == core::Duration::zero() &&
      this->MostAreWarm()) {
    target.warm_up.Chill(now);
  }
  const bool answered = ended.result == ExchangeResult::kAnswered ||
                        ended.result == ExchangeResult::kFailed ||
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
      this->Chill(target, now);
    }
    const std::uint32_t doublings =
        std::min(target.failures - kFailuresToAvoid, kMostDoublings);
    target.avoided_until = now + kFirstAvoidance * (1U << doublings);
  }
}

void TargetTable::Chill(TargetState& target,
                        const core::TimePoint now) const noexcept {
  target.warm_up.Chill(now);
  target.cold_until = std::max(target.cold_until, now + target.cold_time);
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

bool TargetTable::IsDisturbed(const core::InstanceName& name) const {
  const auto position = this->positions.find(name);
  return position != this->positions.end() &&
         this->targets[position->second].report.slowdown.value_or(1) >
             kQuietSlowdown;
}

bool TargetTable::IsWarming(const core::InstanceName& name) const {
  const auto position = this->positions.find(name);
  return position != this->positions.end() &&
         this->targets[position->second].warm_up.IsCold();
}

bool TargetTable::IsPaced(const core::InstanceName& name,
                          const core::TimePoint now) const {
  const auto position = this->positions.find(name);
  return position != this->positions.end() &&
         IsColdNow(this->targets[position->second], now);
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
