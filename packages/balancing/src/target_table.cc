#include "trefoilbend/balancing/target_table.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "trefoilbend/core/invariant.h"

namespace trefoilbend::balancing {

namespace {

constexpr std::chrono::milliseconds kAvoidance{500};
constexpr double kSampleWeight = 0.02;

}  // namespace

void TargetTable::SetMembers(std::vector<Member> members) {
  std::vector<TargetState> next;
  next.reserve(members.size());
  for (Member& member : members) {
    const auto known = this->positions.find(member.instance.name);
    TargetState state = known == this->positions.end()
                            ? TargetState{}
                            : std::move(this->targets[known->second]);
    state.instance = std::move(member.instance);
    state.usable = member.usable;
    state.limit = member.limit;
    next.push_back(std::move(state));
  }
  this->targets = std::move(next);
  this->positions.clear();
  for (std::size_t at = 0; at < this->targets.size(); ++at) {
    this->positions.emplace(this->targets[at].instance.name, at);
  }
}

const inventory::Instance* TargetTable::Choose(
    const std::vector<core::InstanceName>& excluded,
    const core::VersionName& version, const core::ExchangeId exchange,
    const core::TimePoint now) {
  this->candidates.clear();
  for (std::size_t at = 0; at < this->targets.size(); ++at) {
    const TargetState& target = this->targets[at];
    const bool tried = std::find(excluded.begin(), excluded.end(),
                                 target.instance.name) != excluded.end();
    if (target.usable && target.instance.version == version && !tried &&
        target.in_flight < target.limit && target.avoided_until <= now) {
      this->candidates.push_back(this->Describe(at, now));
    }
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
          .trusted = target.reported_at != core::TimePoint{},
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
  if (ended.load) {
    target.report = *ended.load;
    target.reported_at = now;
    target.sent_since_report = 0;
    const double queued = ended.load->queued;
    this->crowding +=
        kSampleWeight * (queued / target.instance.slots - this->crowding);
  }
  if (ended.result == forwarding::ExchangeResult::kAnswered) {
    this->median.Add(ended.latency);
  }
  if (ended.result == forwarding::ExchangeResult::kNotSent ||
      ended.result == forwarding::ExchangeResult::kBrokenBeforeAnswer) {
    target.avoided_until = now + kAvoidance;
  }
}

bool TargetTable::HasUsable(const core::VersionName& version) const noexcept {
  return std::any_of(this->targets.begin(), this->targets.end(),
                     [&](const TargetState& target) {
                       return target.usable &&
                              target.instance.version == version;
                     });
}

}  // namespace trefoilbend::balancing
