#include "trefoilbend/balancing/dispatcher.h"

#include <algorithm>

#include "trefoilbend/core/invariant.h"

namespace trefoilbend::balancing {

namespace {

using forwarding::ExchangeResult;

constexpr std::chrono::milliseconds kRetryAfter{1'000};
constexpr std::chrono::milliseconds kFirstHedgeDelay{100};
constexpr std::chrono::milliseconds kLeastHedgeDelay{5};
constexpr std::chrono::milliseconds kOverload{500};
constexpr double kPercent = 100;
constexpr std::uint32_t kMostResumes = 8;
/** Requests that wait at targets for each slot, above which hedges stop. */
constexpr double kMostCrowding = 0.6;
constexpr std::uint16_t kFirstServerError = 500;

bool IsDrainingRefusal(const forwarding::ExchangeEnded& ended) noexcept {
  return ended.status == forwarding::kRefusalStatus && ended.load &&
         ended.load->draining;
}

/** Whether a further attempt costs the budget nothing. */
bool IsFreeOfCharge(const forwarding::ExchangeEnded& ended) noexcept {
  return ended.result == ExchangeResult::kNotSent || IsDrainingRefusal(ended);
}

rollout::ExchangeSummary SummaryOf(const forwarding::ExchangeEnded& ended,
                                   const core::RouteName& route) {
  const bool spared = ended.result == ExchangeResult::kAnswered ||
                      ended.result == ExchangeResult::kCancelled;
  const bool failed = !spared || ended.status >= kFirstServerError;
  return {.target = ended.target,
          .route = route,
          .failed = failed && !IsDrainingRefusal(ended),
          .cold = ended.load && ended.load->cold,
          .latency = ended.latency};
}

}  // namespace

Dispatcher::Dispatcher(DispatcherOptions options)
    : options(std::move(options)), entry_counter(this->options.share_delay) {}

Decisions Dispatcher::Configure(const configuration::Update& update,
                                const core::TimePoint now) {
  const Availability availability{update};
  const inventory::Configuration& configuration = *update.configuration;
  this->versions.Configure(configuration);
  this->evidence.Configure(update.configuration);
  this->CountEntries(update, availability, now);
  const bool same_entries = this->TakeEntries(configuration, availability);
  Decisions decisions;
  for (const auto& [name, view] : configuration.Services()) {
    ServiceState& service = this->StateOf(name);
    const bool same = same_entries &&
                      service.cold_allowance == view.service->cold_allowance &&
                      service.targets.Matches(view.targets, availability);
    if (!same) {
      service.cold_allowance = view.service->cold_allowance;
      service.targets.SetMembers(this->MembersOf(view, availability), now);
    }
    service.trusts_refusals = view.service->trusts_refusals;
    this->Serve(service, now, decisions);
  }
  for (auto& [name, state] : this->services) {
    if (!configuration.Services().contains(name)) {
      state.targets.SetMembers({}, now);
    }
  }
  return decisions;
}

Dispatcher::ServiceState& Dispatcher::StateOf(const core::ServiceName& name) {
  const auto known = this->services.find(name);
  if (known != this->services.end()) {
    return known->second;
  }
  ServiceState state{
      TargetTable{MakeStrategy(this->options.strategy, this->options.seed)},
      admission::Queue{this->options.queue},
      AttemptBudget{this->options.further_attempts_percent / kPercent},
      Quantile{1 - this->options.hedge_percent / kPercent, kFirstHedgeDelay}};
  return this->services.emplace(name, std::move(state)).first->second;
}

std::vector<TargetTable::Member> Dispatcher::MembersOf(
    const inventory::ServiceView& view,
    const Availability& availability) const {
  std::vector<TargetTable::Member> members;
  members.reserve(view.targets.size());
  for (const inventory::Instance* target : view.targets) {
    members.push_back(
        {.instance = *target,
         .usable = availability.IsUsable(*target),
         .limit = ShareOfConnections(target->connections, this->entry_count),
         .cold_share =
             ShareOfColdTarget(target->name, this->options.self, this->entries,
                               view.service->cold_allowance)});
  }
  return members;
}

bool Dispatcher::TakeEntries(const inventory::Configuration& configuration,
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

void Dispatcher::CountEntries(const configuration::Update& update,
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
  this->entry_counter.Note(static_cast<std::uint32_t>(registered.size()),
                           static_cast<std::uint32_t>(listed), self_listed,
                           now);
  this->ShareConnections(now);
}

void Dispatcher::ShareConnections(const core::TimePoint now) {
  const EntryCount count = this->entry_counter.At(now);
  if (count == this->entry_count) {
    return;
  }
  this->entry_count = count;
  for (auto& [name, service] : this->services) {
    service.targets.ShareConnections(count);
  }
}

Decisions Dispatcher::Submit(const SubmitCall& call,
                             const core::TimePoint now) {
  Decisions decisions;
  const bool fresh = this->calls
                         .emplace(call.call, CallState{.request = call.request,
                                                       .tried = {},
                                                       .exchanges = {}})
                         .second;
  core::CheckInvariant(fresh, "a call is submitted once");
  const auto service = this->services.find(call.request->service);
  if (service == this->services.end()) {
    this->Refuse(call.call, core::RefusalReason::kUnknownService, decisions);
    return decisions;
  }
  ServiceState& state = service->second;
  if (!state.targets.HasUsable(this->versions.Stable(service->first), now)) {
    this->Refuse(call.call, core::RefusalReason::kNoTarget, decisions);
    return decisions;
  }
  if (!state.queue.Add({.id = call.call,
                        .urgency = call.request->urgency,
                        .deadline = call.request->deadline})) {
    this->Refuse(call.call, core::RefusalReason::kBusy, decisions);
    return decisions;
  }
  if (call.request->idempotent) {
    state.budget.PayIn();
  }
  this->Serve(state, now, decisions);
  return decisions;
}

Decisions Dispatcher::Cancel(const CancelCall& call,
                             const core::TimePoint /*now*/) {
  const auto found = this->calls.find(call.call);
  if (found == this->calls.end()) {
    return {};
  }
  CallState& state = found->second;
  if (state.exchanges.empty()) {
    this->services.at(state.request->service).queue.Remove(call.call);
    this->calls.erase(found);
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

Decisions Dispatcher::Ended(const forwarding::ExchangeEnded& ended,
                            const core::TimePoint now) {
  Decisions decisions;
  const auto found = this->calls.find(ended.call);
  core::CheckInvariant(
      found != this->calls.end() &&
          std::erase(found->second.exchanges, ended.exchange) == 1,
      "an exchange that ended belongs to a call in flight");
  CallState& call = found->second;
  ServiceState& service = this->services.at(call.request->service);
  service.targets.Ended(ended, now);
  this->evidence.Add(SummaryOf(ended, call.request->route));
  this->NoteOverload(service, ended, now);
  call.began = call.began || ended.result == ExchangeResult::kAnswered ||
               ended.result == ExchangeResult::kBrokenWithinAnswer;
  call.perhaps_run = call.perhaps_run || !IsKnownNotRun(service, ended);
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
      this->calls.erase(found);
    } else {
      this->RetryOrRefuse(service, ended, now, decisions);
    }
  }
  this->Serve(service, now, decisions);
  return decisions;
}

void Dispatcher::Began(const forwarding::ExchangeBegan& began) {
  const auto call = this->calls.find(began.call);
  if (call == this->calls.end()) {
    return;
  }
  call->second.began = true;
  this->services.at(call->second.request->service)
      .targets.Began(began.exchange, call->second.tried.back());
}

core::TimePoint Dispatcher::NextTick(const core::TimePoint latest) const {
  return this->hedges.empty() ? latest
                              : std::min(latest, this->hedges.top().due);
}

Decisions Dispatcher::Tick(const core::TimePoint now) {
  Decisions decisions;
  this->ShareConnections(now);
  this->HedgeLateCalls(now, decisions);
  for (auto& [name, service] : this->services) {
    for (const core::CallId id : service.queue.Expire(now)) {
      this->Refuse(id, core::RefusalReason::kDeadline, decisions);
    }
    this->Serve(service, now, decisions);
  }
  return decisions;
}

void Dispatcher::Serve(ServiceState& service, const core::TimePoint now,
                       Decisions& decisions) {
  for (auto next = service.queue.Next(); next; next = service.queue.Next()) {
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
  const inventory::Instance* target = this->ChooseTarget(service, call, now);
  if (target == nullptr) {
    return false;
  }
  this->last_exchange = this->last_exchange.Next();
  call.exchanges.push_back(this->last_exchange);
  call.tried.push_back(target->name);
  decisions.push_back(forwarding::StartExchange{
      .call = id,
      .exchange = this->last_exchange,
      .target = target->name,
      .address = target->address,
      .request = call.request,
      .beside = beside,
      .holds_refusals = call.request->idempotent || service.trusts_refusals,
      .resume = call.resume,
      .connections = ShareOfConnections(target->connections, this->entry_count),
      .connection_interval = ConnectionInterval(
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
      std::max<core::Duration>(kLeastHedgeDelay, service.hedge_delay.Value());
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
    service.hedge_delay.Above();
    if (service.queue.Size() == 0 && service.overloaded_until <= now &&
        service.targets.Crowding() < kMostCrowding &&
        service.budget.Take(now)) {
      (void)this->TryStart(service, hedge.call, hedge.exchange, now, decisions);
    }
  }
}

void Dispatcher::NoteOverload(ServiceState& service,
                              const forwarding::ExchangeEnded& ended,
                              const core::TimePoint now) const {
  const bool answered = ended.result == ExchangeResult::kAnswered;
  if (ended.status == forwarding::kRefusalStatus && !IsDrainingRefusal(ended)) {
    service.overloaded_until = now + kOverload;
  }
  if (answered && ended.latency < service.hedge_delay.Value()) {
    service.hedge_delay.Below();
  }
}

const inventory::Instance* Dispatcher::ChooseTarget(ServiceState& service,
                                                    CallState& call,
                                                    const core::TimePoint now) {
  const core::ServiceName& name = call.request->service;
  const core::VersionName stable = this->versions.Stable(name);
  if (call.tried.empty() && call.version.Empty()) {
    call.version = this->versions.Choose(name);
  }
  const bool is_bound = call.tried.empty() || call.broken;
  const bool prefers_new = is_bound && call.version != stable &&
                           this->versions.Serves(name, call.version);
  if (prefers_new) {
    if (const auto* target = service.targets.Choose(
            call.tried, call.version, this->last_exchange.Next(), now)) {
      return target;
    }
  }
  return service.targets.Choose(call.tried, stable, this->last_exchange.Next(),
                                now);
}

bool Dispatcher::IsKnownNotRun(
    const ServiceState& service,
    const forwarding::ExchangeEnded& ended) noexcept {
  return ended.result == ExchangeResult::kNotSent ||
         (ended.result == ExchangeResult::kRefused && service.trusts_refusals);
}

void Dispatcher::RetryOrRefuse(ServiceState& service,
                               const forwarding::ExchangeEnded& ended,
                               const core::TimePoint now,
                               Decisions& decisions) {
  CallState& call = this->calls.at(ended.call);
  const bool refused = ended.result == ExchangeResult::kRefused;
  if (ended.result == ExchangeResult::kTimedOut ||
      now >= call.request->deadline) {
    this->Refuse(ended.call, core::RefusalReason::kDeadline, decisions);
    return;
  }
  const bool may_run = call.request->idempotent || !call.perhaps_run;
  const bool may_retry = call.tried.size() < this->options.attempts &&
                         may_run &&
                         (IsFreeOfCharge(ended) || service.budget.Take(now));
  if (!may_retry ||
      !this->TryStart(service, ended.call, std::nullopt, now, decisions)) {
    this->Refuse(ended.call,
                 refused ? core::RefusalReason::kBusy
                         : core::RefusalReason::kTargetFailed,
                 decisions);
  }
}

void Dispatcher::ResumeOrBreak(ServiceState& service,
                               const forwarding::ExchangeEnded& ended,
                               const core::TimePoint now,
                               Decisions& decisions) {
  CallState& call = this->calls.at(ended.call);
  const bool may_resume = call.resume && now < call.request->deadline &&
                          ++call.resumes <= kMostResumes &&
                          (IsFreeOfCharge(ended) || service.budget.Take(now));
  if (may_resume) {
    call.tried = {ended.target};
    if (this->TryStart(service, ended.call, std::nullopt, now, decisions)) {
      return;
    }
    call.tried.clear();
    if (this->TryStart(service, ended.call, std::nullopt, now, decisions)) {
      return;
    }
  }
  this->calls.erase(ended.call);
  decisions.push_back(CallBroken{ended.call});
}

void Dispatcher::Refuse(const core::CallId id, const core::RefusalReason reason,
                        Decisions& decisions) {
  const auto found = this->calls.find(id);
  const bool perhaps_run = found->second.perhaps_run;
  this->calls.erase(found);
  decisions.push_back(
      CallRefused{.call = id,
                  .refusal = {.run = perhaps_run ? core::RunState::kUnknown
                                                 : core::RunState::kNotRun,
                              .reason = reason,
                              .retry_after = kRetryAfter}});
}

}  // namespace trefoilbend::balancing
