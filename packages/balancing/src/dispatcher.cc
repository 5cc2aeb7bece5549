#include "trefoilbend/balancing/dispatcher.h"

#include <algorithm>
#include <utility>

#include "internal/refusals.h"
#include "trefoilbend/balancing/subset.h"
#include "trefoilbend/core/invariant.h"
#include "trefoilbend/rollout/brisk_ladder.h"

namespace trefoilbend::balancing {

namespace {

using forwarding::ExchangeResult;

constexpr std::chrono::milliseconds kInitialHedgeDelay{100};
constexpr std::chrono::milliseconds kMinHedgeDelay{5};
constexpr std::chrono::milliseconds kOverloadPeriod{500};
constexpr double kPercent = 100;
/** Calls are hedged only while fewer requests than this are queued per slot of
 * the targets. */
constexpr double kMaxQueuedPerSlot = 0.6;
constexpr std::uint16_t kFirstServerError = 500;
/** Tick interval while calls are queued. */
constexpr std::chrono::milliseconds kQueueTickInterval{5};

rollout::Ending EndingOf(const forwarding::ExchangeEnded& ended,
                         const bool overtaken, const bool untimed) {
  if (ended.result == ExchangeResult::kCancelled) {
    return overtaken ? rollout::Ending::kOvertaken : rollout::Ending::kGivenUp;
  }
  if (untimed && ended.status == forwarding::kRefusalStatus) {
    return rollout::Ending::kGivenUp;
  }
  const bool failed = ended.result != ExchangeResult::kAnswered ||
                      ended.status >= kFirstServerError;
  return failed && !IsDrainingRefusal(ended) ? rollout::Ending::kFailed
                                             : rollout::Ending::kAnswered;
}

rollout::ExchangeSummary Summarize(const forwarding::ExchangeEnded& ended,
                                   const core::RouteName& route,
                                   const bool overtaken,
                                   const bool comparable) {
  const bool untimed = !comparable || (ended.load && ended.load->cold);
  return {.exchange = ended.exchange,
          .target = ended.target,
          .route = route,
          .ending = EndingOf(ended, overtaken, untimed),
          .untimed = untimed,
          .latency = ended.latency};
}

/** Returns the time between two health checks of a target by all entries
 * together; empty if targets are not checked. */
std::optional<core::Duration> HealthCheckInterval(
    const inventory::Service& service) {
  if (service.health_path.empty() || service.probe_budget == 0) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<core::Duration>(std::chrono::seconds{1}) /
         service.probe_budget;
}

}  // namespace

Dispatcher::Dispatcher(DispatcherOptions options)
    : options(std::move(options)),
      entry_counter(this->options.share_delay),
      evidence(this->LoadsPartOfTargets()) {}

Decisions Dispatcher::Configure(const configuration::Update& update,
                                const core::TimePoint now) {
  const Availability availability{update};
  const inventory::Configuration& configuration = *update.configuration;
  this->revision = configuration.Revision();
  this->versions.Configure(configuration);
  this->evidence.Configure(update.configuration);
  this->UpdateEntryCount(update, availability, now);
  const bool same_entries = this->UpdateEntries(configuration, availability);
  Decisions decisions;
  forwarding::WithdrawTargets withdrawal;
  const auto replace = [&](ServiceState& service,
                           std::vector<TargetTable::Member> members) {
    const auto removed = service.targets.SetMembers(std::move(members), now);
    withdrawal.targets.insert(withdrawal.targets.end(), removed.begin(),
                              removed.end());
  };
  for (const auto& [name, view] : configuration.Services()) {
    ServiceState& service = this->FindOrCreateService(name);
    const auto* release = configuration.Find<inventory::Release>(name.Text());
    inventory::VersionRoles roles{*view.service, release};
    const bool same = same_entries && service.roles == roles &&
                      service.cold_allowance == view.service->cold_allowance &&
                      service.cold_rate == view.service->cold_rate &&
                      service.targets.Matches(view.targets, availability);
    service.budget.LimitToFleetShare(this->options.fleet_attempts,
                                     configuration.Entries().size());
    if (!same) {
      service.cold_allowance = view.service->cold_allowance;
      service.cold_rate = view.service->cold_rate;
      service.roles = std::move(roles);
      replace(service, this->MakeMembers(view, service.roles, availability));
    }
    const bool loads_part = release != nullptr && this->LoadsPartOfTargets() &&
                            rollout::MovesTraffic(*release) &&
                            rollout::LoadsPartOfTargets(release->share);
    service.targets.LimitActiveTargets(
        loads_part ? release->version : core::VersionName{},
        loads_part ? release->share : 0, loads_part ? release->step : 0);
    service.trusts_refusals = view.service->trusts_refusals;
    service.health_path = view.service->health_path;
    service.targets.SetHealthCheckInterval(HealthCheckInterval(*view.service));
    this->DispatchQueued(service, now, decisions);
  }
  for (auto& [name, state] : this->services) {
    if (!configuration.Services().contains(name)) {
      replace(state, {});
    }
  }
  if (!withdrawal.targets.empty()) {
    decisions.emplace_back(std::move(withdrawal));
  }
  return decisions;
}

Dispatcher::ServiceState& Dispatcher::FindOrCreateService(
    const core::ServiceName& name) {
  const auto known = this->services.find(name);
  if (known != this->services.end()) {
    return known->second;
  }
  ServiceState state{
      TargetTable{MakeStrategy(this->options.strategy, this->options.seed)},
      admission::Queue{this->options.queue},
      AttemptBudget{this->options.further_attempts_percent / kPercent},
      Quantile{1 - this->options.hedge_percent / kPercent, kInitialHedgeDelay}};
  return this->services.emplace(name, std::move(state)).first->second;
}

std::vector<TargetTable::Member> Dispatcher::MakeMembers(
    const inventory::ServiceView& view, const inventory::VersionRoles& roles,
    const Availability& availability) const {
  std::vector<TargetTable::Member> members;
  members.reserve(view.targets.size());
  const auto senders = std::clamp<std::uint32_t>(
      static_cast<std::uint32_t>(this->entries.size()), 1, kMaxColdSenders);
  for (const inventory::Instance* target : view.targets) {
    const ColdShare share =
        ComputeColdShare(target->name, this->options.self, this->entries,
                         view.service->cold_allowance);
    members.push_back(
        {.instance = *target,
         .calls_of = roles.CallsOf(target->version),
         .usable = availability.IsUsable(*target),
         .limit =
             ComputeConnectionShare(target->connections, this->entry_count),
         .cold_share = share,
         .cold_rate =
             share.rank < senders
                 ? static_cast<double>(view.service->cold_rate) / senders
                 : 0,
         .warm_up_time = view.service->warm_up,
         .cold_until = availability.ColdUntil(target->name),
         .remote = !this->options.data_centre.Empty() &&
                   target->data_centre != this->options.data_centre,
         .live = availability.IsLive(target->name)});
  }
  MarkPreferredSubset(members, this->options.self);
  return members;
}

bool Dispatcher::UpdateEntries(const inventory::Configuration& configuration,
                               const Availability& availability) {
  std::vector<core::InstanceName> live;
  for (const inventory::Instance* entry : configuration.Entries()) {
    if (availability.IsLive(entry->name)) {
      live.push_back(entry->name);
    }
  }
  const bool same = live == this->entries;
  this->entries = std::move(live);
  return same;
}

void Dispatcher::UpdateEntryCount(const configuration::Update& update,
                                  const Availability& availability,
                                  const core::TimePoint now) {
  const auto& registered = update.configuration->Entries();
  const auto listed = std::count_if(registered.begin(), registered.end(),
                                    [&](const inventory::Instance* entry) {
                                      return availability.IsListed(entry->name);
                                    });
  const bool self_listed =
      std::any_of(registered.begin(), registered.end(),
                  [&](const inventory::Instance* entry) {
                    return entry->name == this->options.self &&
                           availability.IsListed(entry->name);
                  });
  this->entry_counter.Observe(static_cast<std::uint32_t>(registered.size()),
                              static_cast<std::uint32_t>(listed), self_listed,
                              now);
  this->UpdateConnectionShares(now);
}

void Dispatcher::UpdateConnectionShares(const core::TimePoint now) {
  const EntryCount count = this->entry_counter.CountAt(now);
  if (count == this->entry_count) {
    return;
  }
  this->entry_count = count;
  for (auto& [name, service] : this->services) {
    service.targets.UpdateConnectionShares(count);
  }
}

Decisions Dispatcher::Submit(const SubmitCall& call,
                             const core::TimePoint now) {
  Decisions decisions;
  const bool fresh =
      this->calls
          .emplace(call.call,
                   CallState{.request = call.request,
                             .tried = {},
                             .exchanges = {},
                             .trace = {call.request, this->revision, now}})
          .second;
  core::CheckInvariant(fresh, "a call is submitted only once");
  if (!this->MaySend(this->calls.at(call.call))) {
    this->Refuse(call.call, core::RefusalReason::kStopping, now, decisions);
    return decisions;
  }
  const auto service = this->services.find(call.request->service);
  if (service == this->services.end()) {
    this->Refuse(call.call, core::RefusalReason::kUnknownService, now,
                 decisions);
    return decisions;
  }
  ServiceState& state = service->second;
  if (!state.targets.HasUsable(this->versions.Stable(service->first), now)) {
    this->Refuse(call.call, core::RefusalReason::kNoTarget, now, decisions);
    return decisions;
  }
  if (!state.queue.TryPush({.id = call.call,
                            .urgency = call.request->urgency,
                            .deadline = call.request->deadline})) {
    this->Refuse(call.call, core::RefusalReason::kBusy, now, decisions);
    return decisions;
  }
  state.budget.Deposit();
  this->DispatchQueued(state, now, decisions);
  return decisions;
}

Decisions Dispatcher::Cancel(const CancelCall& call,
                             const core::TimePoint now) {
  const auto found = this->calls.find(call.call);
  if (found == this->calls.end()) {
    return {};
  }
  CallState& state = found->second;
  state.trace.Add(TraceCallerLeft{}, now);
  if (state.exchanges.empty()) {
    this->RemoveWaiting(call.call, state);
    this->FinishCall(call.call);
    return {};
  }
  state.cancelled = true;
  if (!state.request->idempotent) {
    return {};
  }
  Decisions decisions;
  for (const core::ExchangeId exchange : state.exchanges) {
    decisions.emplace_back(forwarding::CancelExchange{exchange});
  }
  return decisions;
}

Decisions Dispatcher::OnExchangeEnded(const forwarding::ExchangeEnded& ended,
                                      const core::TimePoint now) {
  Decisions decisions;
  const auto found = this->calls.find(ended.call);
  core::CheckInvariant(
      found != this->calls.end() &&
          std::erase(found->second.exchanges, ended.exchange) == 1,
      "an exchange that ended belongs to a call in flight");
  CallState& call = found->second;
  call.trace.Add(TraceEnded{.target = ended.target,
                            .waited = ended.waited,
                            .result = ended.result,
                            .status = ended.status,
                            .use = ended.use},
                 now);
  ServiceState& service = this->services.at(call.request->service);
  service.targets.OnExchangeEnded(ended, now);
  const bool overtaken =
      !call.cancelled && call.hedge && *call.hedge != ended.exchange;
  this->evidence.Add(
      Summarize(ended, call.request->route, overtaken,
                service.targets.IsComparable(ended.target, now)));
  this->UpdateOverload(service, ended, now);
  call.began = call.began || ended.result == ExchangeResult::kAnswered ||
               ended.result == ExchangeResult::kBrokenWithinAnswer;
  const bool not_run = IsKnownNotRun(service, ended);
  call.may_have_run = call.may_have_run || !not_run;
  call.sent_attempts -= not_run ? 1 : 0;
  if (ended.result == ExchangeResult::kAnswered) {
    call.broken = false;
  } else if (ended.result != ExchangeResult::kCancelled &&
             (ended.resume || call.broken)) {
    call.broken = true;
    call.resume = ended.resume;
  }
  if (call.exchanges.empty()) {
    if (call.broken && !call.cancelled) {
      this->ResumeOrBreak(service, ended, now, decisions);
    } else if (call.began || call.cancelled) {
      this->FinishCall(ended.call);
    } else {
      this->RetryOrRefuse(service, ended, now, decisions);
    }
  }
  this->DispatchQueued(service, now, decisions);
  return decisions;
}

void Dispatcher::OnExchangeBegan(const forwarding::ExchangeBegan& began) {
  const auto call = this->calls.find(began.call);
  if (call == this->calls.end()) {
    return;
  }
  call->second.began = true;
  this->services.at(call->second.request->service)
      .targets.OnExchangeBegan(began.exchange, call->second.tried.back());
}

rollout::Windows Dispatcher::TakeEvidence(const core::TimePoint now) {
  return this->evidence.Take(now, [&](const core::ServiceName& service,
                                      const core::InstanceName& target) {
    return this->services.at(service).targets.IsComparable(target, now);
  });
}

core::TimePoint Dispatcher::NextTick(const core::TimePoint now,
                                     const core::TimePoint latest) const {
  core::TimePoint next = latest;
  const bool waits = std::any_of(
      this->services.begin(), this->services.end(),
      [](const auto& entry) { return entry.second.queue.Size() > 0; });
  if (waits) {
    next = std::min(next, now + kQueueTickInterval);
  }
  if (!this->hedges.empty()) {
    next = std::min(next, this->hedges.top().due);
  }
  return std::min(next, this->pending_probes.NextExpiry().value_or(next));
}

Decisions Dispatcher::Tick(const core::TimePoint now) {
  Decisions decisions;
  this->UpdateConnectionShares(now);
  this->HedgeLateCalls(now, decisions);
  for (const core::CallId id : this->pending_probes.Expire(now)) {
    this->ResumeAfterProbes(id, now, decisions);
  }
  for (auto& [name, service] : this->services) {
    this->CheckColdTargets(name, service, now, decisions);
    for (const core::CallId id : service.queue.Expire(now)) {
      this->Refuse(id, core::RefusalReason::kDeadline, now, decisions);
    }
    this->DispatchQueued(service, now, decisions);
  }
  return decisions;
}

void Dispatcher::DispatchQueued(ServiceState& service,
                                const core::TimePoint now,
                                Decisions& decisions) {
  for (auto next = service.queue.Front(); next; next = service.queue.Front()) {
    if (this->StartProbes(service, *next, now, decisions)) {
      service.queue.Remove(*next);
      continue;
    }
    if (!this->TryStart(service, *next, std::nullopt, now, decisions)) {
      return;
    }
    service.queue.Remove(*next);
    this->ScheduleHedge(service, this->calls.at(*next), *next, now);
  }
}

bool Dispatcher::TryStart(ServiceState& service, const core::CallId id,
                          const std::optional<core::ExchangeId> beside,
                          const core::TimePoint now, Decisions& decisions) {
  CallState& call = this->calls.at(id);
  const inventory::Instance* target = this->ChooseTarget(
      service, call, beside ? AttemptPurpose::kHedge : AttemptPurpose::kAttempt,
      now);
  if (target == nullptr) {
    return false;
  }
  this->last_exchange = this->last_exchange.Next();
  call.exchanges.push_back(this->last_exchange);
  const AttemptKind kind = beside               ? AttemptKind::kHedge
                           : call.tried.empty() ? AttemptKind::kFirst
                                                : AttemptKind::kRetry;
  call.trace.Add(TraceSent{.kind = kind,
                           .target = target->name,
                           .candidate = service.targets.LastChoice(),
                           .candidates = service.targets.LastCandidateCount(),
                           .knowledge = this->knowledge},
                 now);
  call.tried.push_back(target->name);
  if (beside) {
    call.hedge = this->last_exchange;
  }
  this->evidence.Begin({.exchange = this->last_exchange,
                        .target = target->name,
                        .route = call.request->route,
                        .since = now});
  ++call.sent_attempts;
  decisions.push_back(forwarding::StartExchange{
      .call = id,
      .exchange = this->last_exchange,
      .target = target->name,
      .address = target->address,
      .request = call.request,
      .beside = beside,
      .holds_refusals = call.request->idempotent || service.trusts_refusals,
      .trusts_refusals = service.trusts_refusals,
      .holds_failures = this->options.retries_failures &&
                        call.request->idempotent &&
                        call.sent_attempts < this->MaxAttempts(call),
      .resume = call.resume,
      .connections =
          ComputeConnectionShare(target->connections, this->entry_count),
      .connection_interval = ComputeConnectionInterval(
          target->connection_cost, this->options.connection_percent,
          this->entry_count)});
  return true;
}

void Dispatcher::ScheduleHedge(const ServiceState& service,
                               const CallState& call, const core::CallId id,
                               const core::TimePoint now) {
  if (!call.request->idempotent || this->options.hedge_percent == 0) {
    return;
  }
  const core::Duration delay =
      std::max<core::Duration>(kMinHedgeDelay, service.hedge_delay.Value());
  this->hedges.push(
      {.due = now + delay, .call = id, .exchange = call.exchanges.back()});
}

void Dispatcher::HedgeLateCalls(const core::TimePoint now,
                                Decisions& decisions) {
  while (!this->hedges.empty() && this->hedges.top().due <= now) {
    const Hedge hedge = this->hedges.top();
    this->hedges.pop();
    const auto found = this->calls.find(hedge.call);
    if (found == this->calls.end() || found->second.began ||
        found->second.cancelled || found->second.exchanges.empty() ||
        found->second.exchanges.front() != hedge.exchange) {
      continue;
    }
    ServiceState& service = this->services.at(found->second.request->service);
    service.hedge_delay.RecordAbove();
    if (found->second.sent_attempts < this->MaxAttempts(found->second) &&
        !service.targets.IsWarmingUp(found->second.tried.back()) &&
        service.queue.Size() == 0 && service.overloaded_until <= now &&
        service.targets.QueuedPerSlot() < kMaxQueuedPerSlot &&
        service.budget.TryWithdraw(now)) {
      (void)this->TryStart(service, hedge.call, hedge.exchange, now, decisions);
    }
  }
}

void Dispatcher::UpdateOverload(ServiceState& service,
                                const forwarding::ExchangeEnded& ended,
                                const core::TimePoint now) const {
  const bool answered = ended.result == ExchangeResult::kAnswered;
  if (ended.status == forwarding::kRefusalStatus && !IsDrainingRefusal(ended)) {
    service.overloaded_until = now + kOverloadPeriod;
  }
  if (answered && ended.latency < service.hedge_delay.Value()) {
    service.hedge_delay.RecordBelow();
  }
}

const inventory::Instance* Dispatcher::ChooseTarget(
    ServiceState& service, CallState& call, const AttemptPurpose purpose,
    const core::TimePoint now) {
  const core::VersionName stable = this->versions.Stable(call.request->service);
  const core::VersionName preferred = this->PreferredVersion(call);
  const core::ExchangeId exchange = this->last_exchange.Next();
  if (preferred != stable) {
    if (const auto* target = service.targets.Choose(call.tried, preferred,
                                                    purpose, exchange, now)) {
      return target;
    }
  }
  return service.targets.Choose(call.tried, stable, purpose, exchange, now);
}

core::VersionName Dispatcher::PreferredVersion(CallState& call) {
  const core::ServiceName& name = call.request->service;
  if (call.tried.empty() && call.version.Empty()) {
    call.version = this->versions.Choose(name);
  }
  const bool is_bound = call.tried.empty() || call.broken;
  return is_bound && this->versions.Serves(name, call.version)
             ? call.version
             : this->versions.Stable(name);
}

}  // namespace trefoilbend::balancing
