#include "trefoilbend/balancing/target_table.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "trefoilbend/core/invariant.h"

namespace trefoilbend::balancing {

namespace {

constexpr std::chrono::milliseconds kAvoidance{500};

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
    const core::VersionName& version, const core::TimePoint now) {
  this->candidates.clear();
  for (std::size_t at = 0; at < this->targets.size(); ++at) {
    const TargetState& target = this->targets[at];
    const bool tried = std::find(excluded.begin(), excluded.end(),
                                 target.instance.name) != excluded.end();
    if (target.usable && target.instance.version == version && !tried &&
        target.in_flight < target.limit && target.avoided_until <= now) {
      this->candidates.push_back(
          {.target = at,
           .in_flight = target.in_flight,
           .slots = target.instance.slots,
           .reported = target.report.in_flight + target.report.queued});
    }
  }
  if (this->candidates.empty()) {
    return nullptr;
  }
  const std::size_t chosen = this->strategy->Choose(this->candidates, now);
  TargetState& target = this->targets[this->candidates.at(chosen).target];
  ++target.in_flight;
  return &target.instance;
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
  if (ended.load) {
    target.report = *ended.load;
    target.reported_at = now;
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
