#include "trefoilbend/balancing/target_table.h"

#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "trefoilbend/core/invariant.h"

namespace trefoilbend::balancing {

namespace {

/** Load that active targets of a new version get, as a multiple of the usual
 * one, if the targets are far from busy: targets differ in their usual load. */
constexpr std::size_t kPressFactor = 2;
/** Part of the targets' slots in use, in percent, up to which they are. */
constexpr std::uint64_t kMostPressedPercent = 15;
/** Age up to which a report shows the current slowdown of a target. */
constexpr std::chrono::milliseconds kFreshReportAge{40};
/** Slowdown up to which a target counts as not slowed down by its neighbours.
 */
constexpr double kMaxNormalSlowdown = 1.5;
/** Ejection time after a connection failure, a misdirected exchange or a failed
 * probe. */
constexpr std::chrono::milliseconds kEjectionTime{500};
/** Maximum doublings of the ejection time of a target that answers no probes.
 */
constexpr std::uint32_t kMaxUnansweredDoublings = 3;
/** Ejection time after kFailuresUntilEjection consecutive server errors;
 * doubles with each further one. */
constexpr std::chrono::milliseconds kBaseEjectionTime{100};
constexpr std::uint32_t kMaxEjectionDoublings = 4;
constexpr std::uint32_t kFailuresUntilEjection = 3;
constexpr std::uint16_t kServerError = 500;
/** Multiple of the median latency. Several slower responses in a row show that
 * a target has become cold. */
constexpr int kColdLatencyFactor = 12;
constexpr std::uint32_t kSlowAnswersUntilCold = 4;
constexpr double kSampleWeight = 0.02;
/** Factor applied to the trust when a report shows fewer requests than this
 * entry has in flight at the target. */
constexpr double kTrustDecay = 0.8;
/** Trust that each consistent report restores. */
constexpr double kTrustRecovery = 0.002;
constexpr double kMinTrust = 0.5;
/** Weight of one response in the moving average of the agreement between
 * reports and latencies, which ranges from -1 to 1. */
constexpr double kAgreementWeight = 0.0007;
constexpr double kMinAgreement = 0.03;
/** Time after the last confirmation at which a draining state expires. */
constexpr std::chrono::seconds kDrainingTimeout{60};

bool MayTakeCalls(const TargetState& target,
                  const core::TimePoint now) noexcept {
  const bool draining =
      target.draining_since && now - *target.draining_since < kDrainingTimeout;
  return target.usable && !draining && !target.inactive;
}

/** Returns whether the target is in a cold period that limits its request rate.
 * Targets without a warm-up time have their calls in flight limited instead. */
bool IsInColdPeriod(const TargetState& target,
                    const core::TimePoint now) noexcept {
  return target.warm_up_time > core::Duration::zero() &&
         now < target.cold_until;
}

bool ReportsDraining(const forwarding::ExchangeEnded& ended) noexcept {
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
    state.calls_of = member.Calls();
    state.instance = std::move(member.instance);
    state.warm_up_time = member.warm_up_time;
    state.cold_rate_limiter.SetRate(member.cold_rate);
    state.cold_until = std::max(state.cold_until, member.cold_until);
    state.remote = member.remote;
    state.preferred = member.preferred;
    if (this->had_usable_target && member.usable && !state.usable) {
      state.warm_up.MarkCold(now);
    }
    if (member.usable && !state.usable) {
      state.report = {};
      state.reported_at = {};
    }
    if (member.live && !state.live) {
      state.draining_since.reset();
    }
    state.live = member.live;
    state.usable = member.usable;
    state.cold_share = member.cold_share;
    state.limit = member.limit;
    next.push_back(std::move(state));
  }
  this->targets = std::move(next);
  this->had_usable_target =
      this->had_usable_target ||
      std::any_of(this->targets.begin(), this->targets.end(),
                  [](const TargetState& target) { return target.usable; });
  this->positions.clear();
  for (std::size_t index = 0; index < this->targets.size(); ++index) {
    this->positions.emplace(this->targets[index].instance.name, index);
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

void TargetTable::LimitActiveTargets(const core::VersionName& version,
                                     const std::uint32_t share,
                                     const std::uint32_t step) {
  std::vector<std::pair<std::uint64_t, TargetState*>> ranked;
  for (TargetState& target : this->targets) {
    target.inactive = false;
    if (!version.Empty() && target.calls_of == version && target.usable) {
      const std::string& name = target.instance.name.Text();
      ranked.emplace_back(XXH64(name.data(), name.size(), 0), &target);
    }
  }
  std::sort(ranked.begin(), ranked.end());
  if (ranked.empty()) {
    return;
  }
  const std::size_t parts =
      inventory::kWholeShare * (this->IsFarFromBusy() ? kPressFactor : 1);
  const std::size_t active = (ranked.size() * share + parts - 1) / parts;
  const std::size_t first = step * active % ranked.size();
  for (std::size_t place = active; place < ranked.size(); ++place) {
    ranked[(first + place) % ranked.size()].second->inactive = true;
  }
}

bool TargetTable::IsFarFromBusy() const noexcept {
  std::uint64_t slots = 0;
  std::uint64_t used = 0;
  for (const TargetState& target : this->targets) {
    if (target.usable && target.reported_at != core::TimePoint{}) {
      slots += target.instance.slots;
      used += target.report.in_flight + target.report.queued;
    }
  }
  return slots > 0 && used * 100 <= slots * kMostPressedPercent;
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

void TargetTable::UpdateConnectionShares(const EntryCount& entries) noexcept {
  for (TargetState& target : this->targets) {
    target.limit = ComputeConnectionShare(target.instance.connections, entries);
  }
}

const inventory::Instance* TargetTable::Choose(
    const std::vector<core::InstanceName>& excluded,
    const core::VersionName& version, const AttemptPurpose purpose,
    const core::ExchangeId exchange, const core::TimePoint now) {
  this->CollectFirstCandidates(excluded, version, now, CandidatePool::kAll);
  if (purpose == AttemptPurpose::kHedge) {
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
  if (IsInColdPeriod(target, now)) {
    target.cold_rate_limiter.TakeToken(now);
  }
  ++target.in_flight;
  ++target.sent_since_report;
  target.pending_responses.push_back({exchange, now});
  return &target.instance;
}

void TargetTable::CollectFirstCandidates(
    const std::vector<core::InstanceName>& excluded,
    const core::VersionName& version, const core::TimePoint now,
    const CandidatePool last_pool) {
  for (const CandidatePool pool :
       {CandidatePool::kPreferred, CandidatePool::kNotEjected,
        CandidatePool::kAll}) {
    this->CollectCandidates(excluded, version, now, pool);
    if (!this->candidates.empty() || pool == last_pool) {
      return;
    }
  }
}

bool TargetTable::IsInPool(const TargetState& target, const CandidatePool pool,
                           const core::TimePoint now) noexcept {
  if (pool == CandidatePool::kAll) {
    return true;
  }
  const bool preferred = target.preferred || IsInColdPeriod(target, now);
  return target.ejected_until <= now &&
         (preferred || pool == CandidatePool::kNotEjected);
}

void TargetTable::CollectCandidates(
    const std::vector<core::InstanceName>& excluded,
    const core::VersionName& version, const core::TimePoint now,
    const CandidatePool pool) {
  this->candidates.clear();
  for (std::size_t index = 0; index < this->targets.size(); ++index) {
    const TargetState& target = this->targets[index];
    const bool tried = std::find(excluded.begin(), excluded.end(),
                                 target.instance.name) != excluded.end();
    if (MayTakeCalls(target, now) && target.calls_of == version && !tried &&
        IsInPool(target, pool, now) && HasRoom(target, now)) {
      this->candidates.push_back(this->MakeCandidate(index, now));
    }
  }
}

bool TargetTable::HasRoom(const TargetState& target,
                          const core::TimePoint now) const noexcept {
  if (target.warm_up_time > core::Duration::zero()) {
    return target.in_flight < target.limit &&
           (!IsInColdPeriod(target, now) ||
            target.cold_rate_limiter.HasToken(now));
  }
  const WarmUpTrial trial = this->health_check_interval
                                ? WarmUpTrial::kHealthCheck
                                : WarmUpTrial::kCall;
  return target.in_flight < target.warm_up.ConcurrencyLimit(
                                target.cold_share, target.limit, trial, now);
}

std::vector<const inventory::Instance*> TargetTable::TakeDueHealthChecks(
    const std::size_t entries, const core::TimePoint now) {
  std::vector<const inventory::Instance*> due;
  if (!this->health_check_interval) {
    return due;
  }
  const core::Duration round =
      static_cast<core::Duration::rep>(std::max<std::size_t>(entries, 1)) *
      *this->health_check_interval;
  for (TargetState& target : this->targets) {
    const bool needs_no_trial = target.cold_share.calls > 0 ||
                                target.warm_up_time > core::Duration::zero();
    if (needs_no_trial || !target.usable ||
        !target.warm_up.NeedsHealthCheck()) {
      continue;
    }
    const core::TimePoint first =
        target.warm_up.ColdSince() +
        target.cold_share.rank * *this->health_check_interval;
    const core::TimePoint check = std::max(first, target.next_health_check);
    if (now < check) {
      continue;
    }
    target.next_health_check = now + round - (now - check) % round;
    due.push_back(&target.instance);
  }
  return due;
}

std::vector<const inventory::Instance*> TargetTable::SelectProbeTargets(
    const std::vector<core::InstanceName>& excluded,
    const core::VersionName& version, const std::size_t max_targets,
    const core::TimePoint now) {
  std::vector<const inventory::Instance*> chosen;
  this->CollectFirstCandidates(excluded, version, now,
                               CandidatePool::kNotEjected);
  bool local_only = false;
  while (!this->candidates.empty() && chosen.size() < max_targets) {
    const std::size_t index = this->strategy->Choose(this->candidates, now);
    const Candidate candidate = this->candidates.at(index);
    const bool fresh = candidate.report_age < kFreshReportAge;
    const bool lightly_loaded =
        fresh && candidate.slowdown.value_or(1) <= kMaxNormalSlowdown &&
        candidate.reported_requests < candidate.slots;
    if (lightly_loaded && !candidate.remote) {
      return chosen;
    }
    local_only = local_only || lightly_loaded;
    const bool probe_pending = candidate.probe_wait > core::Duration::zero();
    if (!fresh && !probe_pending && !(local_only && candidate.remote)) {
      chosen.push_back(&this->targets[candidate.target].instance);
    }
    this->candidates.erase(this->candidates.begin() +
                           static_cast<std::ptrdiff_t>(index));
  }
  return chosen;
}

void TargetTable::OnProbeSent(const core::InstanceName& name,
                              const core::TimePoint now) {
  const auto position = this->positions.find(name);
  if (position == this->positions.end()) {
    return;
  }
  TargetState& target = this->targets[position->second];
  target.probe_sent_at = target.probe_sent_at.value_or(now);
}

void TargetTable::OnProbeEnded(const forwarding::ProbeEnded& ended,
                               const core::TimePoint now) {
  const auto position = this->positions.find(ended.target);
  if (position == this->positions.end()) {
    return;
  }
  TargetState& target = this->targets[position->second];
  const auto& report = ended.report;
  const bool is_other_instance =
      report && !report->name.Empty() && report->name != target.instance.name;
  const core::TimePoint requested_at = target.probe_sent_at.value_or(now);
  target.probe_sent_at.reset();
  target.unanswered_probes = report ? 0 : target.unanswered_probes + 1;
  if (!report || !report->healthy || is_other_instance) {
    const std::uint32_t doublings = std::min(
        std::max(target.unanswered_probes, 1U) - 1, kMaxUnansweredDoublings);
    target.ejected_until = now + kEjectionTime * (1U << doublings);
  }
  if (!report || is_other_instance) {
    return;
  }
  if (report->load) {
    this->ApplyReport(target, *report->load, requested_at, now);
    if (report->healthy && !report->load->cold) {
      target.warm_up.OnWarmHealthCheck();
    }
  }
  if (report->cold_for.count() > 0) {
    target.cold_until = std::max(target.cold_until, now + report->cold_for);
  }
}

Candidate TargetTable::MakeCandidate(const std::size_t index,
                                     const core::TimePoint now) const {
  const TargetState& target = this->targets[index];
  const std::chrono::duration<double> median = this->median.Value();
  const core::Duration oldest_pending =
      target.pending_responses.empty()
          ? core::Duration{}
          : now - target.pending_responses.front().since;
  return {
      .target = index,
      .in_flight = target.in_flight,
      .slots = target.instance.slots,
      .reported_requests = target.report.in_flight + target.report.queued,
      .trusted = target.reported_at != core::TimePoint{} &&
                 target.trust >= kMinTrust && this->agreement >= kMinAgreement,
      .report_age = now - target.reported_at,
      .sent_since_report = target.sent_since_report,
      .oldest_pending = oldest_pending / median,
      .slowdown = target.report.slowdown,
      .probe_wait = target.probe_sent_at ? std::max(now - *target.probe_sent_at,
                                                    core::Duration{1})
                                         : core::Duration::zero(),
      .remote = target.remote};
}

void TargetTable::OnExchangeBegan(const core::ExchangeId exchange,
                                  const core::InstanceName& target) {
  const auto position = this->positions.find(target);
  if (position != this->positions.end()) {
    std::erase_if(this->targets[position->second].pending_responses,
                  [&](const PendingResponse& pending) {
                    return pending.exchange == exchange;
                  });
  }
}

void TargetTable::OnExchangeEnded(const forwarding::ExchangeEnded& ended,
                                  const core::TimePoint now) {
  const auto position = this->positions.find(ended.target);
  if (position == this->positions.end()) {
    return;
  }
  TargetState& target = this->targets[position->second];
  if (target.in_flight > 0) {
    --target.in_flight;
  }
  this->OnExchangeBegan(ended.exchange, ended.target);
  const bool answered = ended.result == forwarding::ExchangeResult::kAnswered;
  if (ended.load) {
    this->ApplyReport(target, *ended.load, now - ended.latency, now);
  }
  if (ended.load && answered) {
    this->UpdateAgreement(target, *ended.load, ended.latency);
  }
  if (answered) {
    this->median.Record(ended.latency);
  }
  this->UpdateWarmth(target, ended, now);
  this->UpdateEjection(target, ended, now);
}

void TargetTable::UpdateWarmth(TargetState& target,
                               const forwarding::ExchangeEnded& ended,
                               const core::TimePoint now) const {
  if (ended.load && ended.load->cold) {
    this->MarkCold(target, now);
    return;
  }
  if (ended.result != forwarding::ExchangeResult::kAnswered ||
      ended.status >= kServerError) {
    return;
  }
  if (ended.latency > kColdLatencyFactor * this->median.Value()) {
    if (++target.slow_answers >= kSlowAnswersUntilCold && this->MostAreWarm()) {
      this->MarkCold(target, now);
    }
    return;
  }
  target.slow_answers = 0;
  target.warm_up.OnSuccess();
}

void TargetTable::ApplyReport(TargetState& target,
                              const forwarding::LoadReport& report,
                              const core::TimePoint requested_at,
                              const core::TimePoint now) {
  if (report.draining) {
    target.draining_since = now;
  } else if (target.draining_since && requested_at > *target.draining_since) {
    target.draining_since.reset();
  }
  const std::uint32_t requests = report.in_flight + report.queued;
  const core::TimePoint latest_counted = now - this->median.Value() / 2;
  const auto expected_requests = std::count_if(
      target.pending_responses.begin(), target.pending_responses.end(),
      [&](const PendingResponse& pending) {
        return pending.since <= latest_counted;
      });
  if (requests < expected_requests) {
    target.trust *= kTrustDecay;
  } else {
    target.trust = std::min(1.0, target.trust + kTrustRecovery);
  }
  target.report = report;
  target.reported_at = now;
  target.sent_since_report = 0;
  const double queued = report.queued;
  this->queued_per_slot +=
      kSampleWeight * (queued / target.instance.slots - this->queued_per_slot);
}

void TargetTable::UpdateAgreement(const TargetState& target,
                                  const forwarding::LoadReport& report,
                                  const core::Duration latency) {
  const double load = static_cast<double>(report.in_flight + report.queued) /
                      target.instance.slots;
  const bool agrees =
      (load > this->mean_load) == (latency > this->median.Value());
  this->mean_load += kSampleWeight * (load - this->mean_load);
  this->agreement += kAgreementWeight * ((agrees ? 1 : -1) - this->agreement);
}

void TargetTable::UpdateEjection(TargetState& target,
                                 const forwarding::ExchangeEnded& ended,
                                 const core::TimePoint now) const {
  using forwarding::ExchangeResult;
  if (ended.result == ExchangeResult::kNotSent ||
      ended.result == ExchangeResult::kBrokenBeforeAnswer ||
      ended.result == ExchangeResult::kMisdirected) {
    target.ejected_until = now + kEjectionTime;
  }
  if (ended.result == ExchangeResult::kNotSent) {
    target.cold_until = now + kEjectionTime + target.warm_up_time;
  }
  const bool may_have_restarted =
      ended.result == ExchangeResult::kNotSent ||
      ended.result == ExchangeResult::kBrokenBeforeAnswer;
  if (may_have_restarted && target.warm_up_time == core::Duration::zero() &&
      this->MostAreWarm()) {
    target.warm_up.MarkCold(now);
  }
  const bool answered = ended.result == ExchangeResult::kAnswered ||
                        ended.result == ExchangeResult::kFailed ||
                        ended.result == ExchangeResult::kRefused;
  if (!answered || ReportsDraining(ended)) {
    return;
  }
  if (ended.status < kServerError) {
    target.failures = 0;
    return;
  }
  ++target.failures;
  if (target.failures >= kFailuresUntilEjection) {
    if (this->MostAreWarm()) {
      this->MarkCold(target, now);
    }
    const std::uint32_t doublings = std::min(
        target.failures - kFailuresUntilEjection, kMaxEjectionDoublings);
    target.ejected_until = now + kBaseEjectionTime * (1U << doublings);
  }
}

void TargetTable::MarkCold(TargetState& target,
                           const core::TimePoint now) const noexcept {
  target.warm_up.MarkCold(now);
  target.cold_until = std::max(target.cold_until, now + target.warm_up_time);
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

bool TargetTable::IsSlowedDown(const core::InstanceName& name) const {
  const auto position = this->positions.find(name);
  return position != this->positions.end() &&
         this->targets[position->second].report.slowdown.value_or(1) >
             kMaxNormalSlowdown;
}

bool TargetTable::IsWarmingUp(const core::InstanceName& name) const {
  const auto position = this->positions.find(name);
  return position != this->positions.end() &&
         this->targets[position->second].warm_up.IsCold();
}

bool TargetTable::IsRateLimited(const core::InstanceName& name,
                                const core::TimePoint now) const {
  const auto position = this->positions.find(name);
  return position != this->positions.end() &&
         IsInColdPeriod(this->targets[position->second], now);
}

bool TargetTable::HasUsable(const core::VersionName& version,
                            const core::TimePoint now) const noexcept {
  return std::any_of(this->targets.begin(), this->targets.end(),
                     [&](const TargetState& target) {
                       return MayTakeCalls(target, now) &&
                              target.calls_of == version;
                     });
}

}  // namespace trefoilbend::balancing
