#include "trefoilbend/rollout/coordinator.h"

#include <algorithm>
#include <set>
#include <utility>

#include "trefoilbend/inventory/version_roles.h"

namespace trefoilbend::rollout {

namespace {

constexpr const char* kWho = "release controller";
constexpr const char* kLostRelease =
    "the store came back from a copy without this state";

std::string ChangeIdOf(const inventory::Release& after) {
  return "release/" + after.name.Text() + '/' +
         std::to_string(after.begun.time_since_epoch().count()) + '/' +
         std::to_string(after.epoch) + '/' + std::to_string(after.step) + '/' +
         std::to_string(static_cast<int>(after.state));
}

}  // namespace

void Coordinator::Configure(configuration::Update update,
                            const core::TimePoint now) {
  this->update = std::move(update);
  const inventory::Configuration& configuration = *this->update.configuration;
  this->brakes.Prune(configuration);
  std::erase_if(this->fresh_brakes, [this](const ReleaseId& release) {
    return !this->brakes.All().contains(release);
  });
  std::map<core::ServiceName, State> next;
  for (const auto& [name, view] : configuration.Services()) {
    const auto* release = configuration.Find<inventory::Release>(name.Text());
    if (release == nullptr || !IsUnderWay(*release)) {
      continue;
    }
    const auto known = this->states.find(name);
    const bool goes_on =
        known != this->states.end() && known->second.id == IdOf(*release);
    State state = goes_on ? std::move(known->second) : State{};
    state.id = IdOf(*release);
    if (state.controller != nullptr) {
      state.controller->Accept(*release, now);
    }
    next.emplace(name, std::move(state));
  }
  this->states = std::move(next);
}

void Coordinator::TakeLocal(const Windows& windows, const core::TimePoint now) {
  this->TakePeer(windows);
  for (const auto& [id, window] : windows) {
    const auto state = this->states.find(id.service);
    if (state == this->states.end() || state->second.id != id) {
      continue;
    }
    state->second.local.Observe(window, now);
    this->BrakeOn(state->second.local, id);
  }
}

void Coordinator::TakePeer(const Windows& windows) {
  for (const auto& [id, window] : windows) {
    const auto state = this->states.find(id.service);
    if (state != this->states.end() && state->second.id == id) {
      Merge(state->second.merged, window);
    }
  }
}

void Coordinator::TakeBrakes(const Brakes::Reasons& peer) {
  for (const auto& [id, why] : peer) {
    this->Brake(id, why);
  }
}

void Coordinator::Finish(const configuration::ChangeResult& result) {
  for (auto& [name, state] : this->states) {
    if (state.pending == result.request) {
      state.pending.reset();
    }
  }
  std::erase_if(this->restoring, [&result](const auto& entry) {
    return entry.second == result.request;
  });
}

Orders Coordinator::Decide(const std::optional<HeldLease>& lease,
                           const core::TimePoint now,
                           const std::chrono::sys_seconds wall) {
  Orders orders;
  for (auto& [name, state] : this->states) {
    if (!lease) {
      this->WatchWithoutLease(state, now);
      continue;
    }
    this->Control(state, *lease, {.now = now, .wall = wall, .capacity = {}},
                  orders);
  }
  if (lease) {
    this->Restore(*lease, orders);
  }
  orders.brakes = std::exchange(this->fresh_brakes, {});
  return orders;
}

void Coordinator::Restore(const HeldLease& lease, Orders& orders) {
  for (const core::ServiceName& service : this->update.lost_releases) {
    const auto* release =
        this->update.configuration->Find<inventory::Release>(service.Text());
    if (release == nullptr || this->restoring.contains(service)) {
      continue;
    }
    Verdict verdict{.after = *release, .why = kLostRelease};
    verdict.after.epoch = lease.epoch;
    orders.changes.push_back(this->RequestFor(verdict, lease));
    this->restoring.emplace(service, orders.changes.back().request);
  }
}

bool Coordinator::IsLost(const core::ServiceName& service) const {
  const auto& lost = this->update.lost_releases;
  return std::find(lost.begin(), lost.end(), service) != lost.end();
}

std::vector<std::string> Coordinator::ConcernsOf(
    const core::ServiceName& service) const {
  const auto state = this->states.find(service);
  if (state == this->states.end() || state->second.controller == nullptr) {
    return {};
  }
  return state->second.controller->Concerns();
}

void Coordinator::Brake(const ReleaseId& release, const std::string& why) {
  if (this->brakes.Add(release, why)) {
    this->fresh_brakes.push_back(release);
  }
}

void Coordinator::BrakeOn(const FaultDetector& detector,
                          const ReleaseId& release) {
  const auto finding = detector.Strongest();
  if (finding && finding->IsProofAlone()) {
    this->Brake(release, ToString(*finding));
  }
}

void Coordinator::WatchWithoutLease(State& state, const core::TimePoint now) {
  state.controller.reset();
  state.fleet.Observe(std::exchange(state.merged, {}), now);
  this->BrakeOn(state.fleet, state.id);
}

void Coordinator::Control(State& state, const HeldLease& lease,
                          const Situation& situation, Orders& orders) {
  const auto* release = this->update.configuration->Find<inventory::Release>(
      state.id.service.Text());
  if (state.controller == nullptr || state.epoch != lease.epoch) {
    state.controller = std::make_unique<Controller>(*release, lease.epoch,
                                                    situation.now, this->pace);
    state.epoch = lease.epoch;
    state.merged.clear();
  }
  state.controller->Observe(std::exchange(state.merged, {}), situation.now);
  const auto brake = this->brakes.All().find(state.id);
  if (brake != this->brakes.All().end()) {
    state.controller->Brake(brake->second);
  }
  Situation seen = situation;
  seen.capacity = this->CapacityOf(*release);
  const auto verdict = state.controller->Decide(seen);
  if (!verdict) {
    return;
  }
  if (verdict->after.state == inventory::ReleaseState::kTakenBack) {
    this->Brake(state.id, verdict->why);
  }
  if (!state.pending && !this->IsLost(state.id.service)) {
    orders.changes.push_back(this->RequestFor(*verdict, lease));
    state.pending = orders.changes.back().request;
  }
}

configuration::ChangeRequest Coordinator::RequestFor(const Verdict& verdict,
                                                     const HeldLease& lease) {
  const inventory::Configuration& configuration = *this->update.configuration;
  const std::string& name = verdict.after.name.Text();
  this->last_request = this->last_request.Next();
  configuration::ChangeRequest request{.request = this->last_request,
                                       .change_id = ChangeIdOf(verdict.after),
                                       .who = kWho,
                                       .why = verdict.why,
                                       .changes = {},
                                       .based_on = std::nullopt,
                                       .fences = {lease.fence}};
  request.changes.push_back(
      {.before = *configuration.Find<inventory::Release>(name),
       .after = verdict.after});
  if (verdict.after.state == inventory::ReleaseState::kDone) {
    const auto& before = *configuration.Find<inventory::Service>(name);
    inventory::Service after = before;
    after.version = verdict.after.version;
    request.changes.push_back({.before = before, .after = after});
  }
  return request;
}

Capacity Coordinator::CapacityOf(const inventory::Release& release) const {
  std::set<core::InstanceName> live;
  for (const platform::ListedInstance& one : *this->update.listed) {
    if (one.state == platform::InstanceState::kLive) {
      live.insert(one.name);
    }
  }
  const inventory::Configuration& configuration = *this->update.configuration;
  const inventory::ServiceView& view =
      configuration.Services().at(release.name);
  const inventory::VersionRoles roles{*view.service, &release};
  Capacity capacity;
  for (const inventory::Instance* target : view.targets) {
    if (!live.contains(target->name) ||
        configuration.IsOut(target->data_centre)) {
      continue;
    }
    if (target->version == release.version) {
      capacity.new_slots += target->slots;
      ++capacity.new_targets;
    } else if (roles.CallsOf(target->version) == view.service->version) {
      capacity.old_slots += target->slots;
    }
  }
  return capacity;
}

}  // namespace trefoilbend::rollout
