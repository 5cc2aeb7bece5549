#include "simulation.h"

#include <algorithm>
#include <utility>

#include "trefoilbend/core/outcome.h"

namespace trefoilbend::bench {

namespace {

using forwarding::ExchangeResult;

constexpr std::chrono::milliseconds kTick{1};
constexpr std::chrono::milliseconds kWarmUp{500};
constexpr std::chrono::microseconds kFastFailure{200};
constexpr std::uint16_t kFailed = 500;
constexpr std::uint16_t kShed = 503;

std::string NameOf(const std::size_t target) {
  return "stock-" + std::to_string(target);
}

/** Share of a target's time that slow periods leave. */
double CapacityFactor(const Scenario& scenario) {
  const double slow = std::chrono::duration<double>(scenario.slow_for) /
                      std::chrono::duration<double>(scenario.slow_every);
  return 1 - slow + slow / scenario.slow_factor;
}

}  // namespace

Simulation::Simulation(const Scenario& scenario, const std::string& strategy)
    : scenario(scenario), oracle(strategy == kOracle), random(scenario.seed) {
  std::uint32_t slots = 0;
  for (std::uint32_t number = 0; number < scenario.targets; ++number) {
    this->targets.emplace_back(this->scenario, number);
    slots += this->targets.back().Slots();
  }
  this->under_way.resize(scenario.targets);
  this->flight_of_exchange.resize(scenario.entries);
  const double rate = scenario.load * slots * CapacityFactor(scenario) /
                      std::chrono::duration<double>(scenario.service).count();
  this->gap_seconds = scenario.entries / rate;
  for (std::uint32_t entry = 0; entry < scenario.entries; ++entry) {
    balancing::DispatcherOptions options;
    options.self = core::InstanceName{"entry-" + std::to_string(entry)};
    options.seed = scenario.seed * 100 + entry;
    options.hedge_percent = scenario.hedge_percent;
    if (!this->oracle) {
      options.strategy = strategy;
    }
    this->entries.push_back(std::make_unique<balancing::Dispatcher>(options));
  }
  this->Configure();
}

Result Simulation::Run() {
  using Handler = void (Simulation::*)(std::size_t);
  static constexpr Handler kHandlers[] = {
      &Simulation::OnArrival, &Simulation::OnAtTarget, &Simulation::OnServed,
      &Simulation::OnAtEntry, &Simulation::OnTick};
  for (std::size_t entry = 0; entry < this->entries.size(); ++entry) {
    this->Schedule({}, Kind::kArrival, entry);
    this->Schedule(kTick * entry / this->entries.size(), Kind::kTick, entry);
  }
  const core::TimePoint end = this->LastArrival() + this->scenario.timeout;
  while (!this->events.empty() && this->events.top().at <= end) {
    const Event event = this->events.top();
    this->events.pop();
    this->clock.Advance(event.at - this->clock.Now());
    (this->*kHandlers[static_cast<std::size_t>(event.kind)])(event.subject);
  }
  return std::move(this->result);
}

core::TimePoint Simulation::LastArrival() const {
  return core::TimePoint{kWarmUp + this->scenario.length};
}

void Simulation::Configure() {
  inventory::Configuration::Builder builder;
  builder.Put(inventory::Service{.name = core::ServiceName{"stock"},
                                 .cold_allowance = 1,
                                 .probe_budget = 10});
  builder.Put(inventory::DataCentre{.name = core::DataCentreName{"xela"}});
  auto listed = std::make_shared<std::vector<platform::ListedInstance>>();
  for (std::size_t number = 0; number < this->targets.size(); ++number) {
    inventory::Instance target;
    target.name = core::InstanceName{NameOf(number)};
    target.service = core::ServiceName{"stock"};
    target.data_centre = core::DataCentreName{"xela"};
    target.slots = this->targets[number].Slots();
    target.connections = this->scenario.connections;
    builder.Put(target);
    listed->push_back({target.name, platform::InstanceState::kLive});
  }
  for (std::size_t number = 0; number < this->entries.size(); ++number) {
    inventory::Instance entry;
    entry.name = core::InstanceName{"entry-" + std::to_string(number)};
    entry.role = inventory::Role::kEntry;
    entry.data_centre = core::DataCentreName{"xela"};
    builder.Put(entry);
    listed->push_back({entry.name, platform::InstanceState::kLive});
  }
  const configuration::Update update{builder.Build(), listed};
  for (const auto& entry : this->entries) {
    (void)entry->Configure(update, this->clock.Now());
  }
}

void Simulation::Schedule(const core::Duration after, const Kind kind,
                          const std::size_t subject) {
  this->events.push({.at = this->clock.Now() + after,
                     .order = this->order++,
                     .kind = kind,
                     .subject = subject});
}

void Simulation::OnArrival(const std::size_t entry) {
  if (this->clock.Now() >= this->LastArrival()) {
    return;
  }
  const double gap = std::exponential_distribution<double>{
      1 / this->gap_seconds}(this->random);
  this->Schedule(std::chrono::duration_cast<core::Duration>(
                     std::chrono::duration<double>(gap)),
                 Kind::kArrival, entry);
  std::uniform_real_distribution<double> share;
  const core::TimePoint now = this->clock.Now();
  const std::size_t call = this->calls.size();
  this->calls.push_back({.arrived = now,
                         .entry = entry,
                         .urgent = share(this->random) < this->scenario.urgent,
                         .measured = now >= core::TimePoint{kWarmUp},
                         .flights = {}});
  this->result.arrived += this->calls.back().measured ? 1 : 0;
  const bool idempotent = share(this->random) >= this->scenario.non_idempotent;
  this->calls.back().idempotent = idempotent;
  if (this->oracle) {
    this->Send(entry, call, core::ExchangeId{}, this->ChooseAsOracle());
    return;
  }
  auto request = std::make_shared<core::CallRequest>();
  request->service = core::ServiceName{"stock"};
  request->idempotent = idempotent;
  request->urgency = this->calls.back().urgent ? core::Urgency::kUrgent
                                               : core::Urgency::kOrdinary;
  request->deadline = now + this->scenario.timeout;
  this->Carry(entry, this->entries[entry]->Submit(
                         {core::CallId{call}, std::move(request)}, now));
}

void Simulation::OnAtTarget(const std::size_t flight) {
  const Flight& sent = this->flights[flight];
  FakeTarget& target = this->targets[sent.target];
  --this->under_way[sent.target];
  if (sent.ended) {
    return;
  }
  switch (target.Arrive(flight, this->clock.Now())) {
    case FakeTarget::Arrival::kRuns:
      this->Schedule(target.DrawTime(this->clock.Now()), Kind::kServed, flight);
      return;
    case FakeTarget::Arrival::kWaits:
      return;
    case FakeTarget::Arrival::kShed:
      this->flights[flight].status = kShed;
      break;
    case FakeTarget::Arrival::kFailed:
      this->flights[flight].status = kFailed;
      break;
  }
  this->flights[flight].load = target.Report(this->clock.Now());
  this->Schedule(this->scenario.network + kFastFailure, Kind::kAtEntry, flight);
}

void Simulation::OnServed(const std::size_t flight) {
  FakeTarget& target = this->targets[this->flights[flight].target];
  if (const auto next = target.Finish(this->clock.Now())) {
    this->Schedule(target.DrawTime(this->clock.Now()), Kind::kServed, *next);
  }
  this->flights[flight].load = target.Report(this->clock.Now());
  this->Schedule(this->scenario.network, Kind::kAtEntry, flight);
}

void Simulation::OnAtEntry(const std::size_t flight) {
  if (this->flights[flight].ended) {
    return;
  }
  this->Reply(flight);
  const std::vector<std::size_t> all =
      this->calls[this->flights[flight].call].flights;
  for (const std::size_t other : all) {
    if (other != flight && !this->flights[other].ended) {
      this->targets[this->flights[other].target].Cancel(other);
      this->End(other, ExchangeResult::kCancelled);
    }
  }
  this->End(flight, ExchangeResult::kAnswered);
}

void Simulation::Reply(const std::size_t flight) {
  Call& call = this->calls[this->flights[flight].call];
  if (call.over || !call.measured) {
    call.over = true;
    return;
  }
  call.over = true;
  if (this->flights[flight].status != 200) {
    ++this->result.failed;
    return;
  }
  const auto time = std::chrono::duration_cast<std::chrono::microseconds>(
      this->clock.Now() - call.arrived);
  if (time > this->scenario.timeout) {
    ++this->result.failed;
    return;
  }
  this->result.times.push_back(time);
  if (call.urgent) {
    this->result.urgent_times.push_back(time);
  }
  if (call.idempotent) {
    this->result.idempotent_times.push_back(time);
  }
}

void Simulation::End(const std::size_t flight, const ExchangeResult result) {
  Flight& ended = this->flights[flight];
  ended.ended = true;
  if (this->oracle) {
    return;
  }
  const bool answered = result == ExchangeResult::kAnswered;
  const forwarding::ExchangeEnded report{
      .call = core::CallId{ended.call},
      .exchange = ended.exchange,
      .target = core::InstanceName{NameOf(ended.target)},
      .result = result,
      .status = answered ? ended.status : std::uint16_t{0},
      .latency = this->clock.Now() - ended.started,
      .load = answered ? std::optional{ended.load} : std::nullopt};
  const std::size_t entry = ended.entry;
  this->Carry(entry,
              this->entries[entry]->OnExchangeEnded(report, this->clock.Now()));
}

void Simulation::OnTick(const std::size_t entry) {
  this->Schedule(kTick, Kind::kTick, entry);
  this->Carry(entry, this->entries[entry]->Tick(this->clock.Now()));
}

void Simulation::Carry(const std::size_t entry,
                       const balancing::Decisions& decisions) {
  for (const balancing::Decision& decision : decisions) {
    std::visit(
        core::Visitor{
            [&](const forwarding::StartExchange& order) {
              const std::string& name = order.target.Text();
              this->Send(entry, order.call.Value(), order.exchange,
                         std::stoul(name.substr(name.find('-') + 1)));
            },
            [&](const forwarding::CancelExchange& order) {
              const std::size_t flight =
                  this->flight_of_exchange[entry][order.exchange.Value()];
              if (!this->flights[flight].ended) {
                this->targets[this->flights[flight].target].Cancel(flight);
                this->End(flight, ExchangeResult::kCancelled);
              }
            },
            [](const forwarding::StartProbe&) {},
            [](const forwarding::WithdrawTargets&) {},
            [](const forwarding::WithdrawExchange&) {},
            [](const balancing::CallBroken&) {},
            [&](const balancing::CallRefused& refused) {
              const Call& call = this->calls[refused.call.Value()];
              this->result.refused += call.measured ? 1 : 0;
              this->result.urgent_refused +=
                  call.measured && call.urgent ? 1 : 0;
            }},
        decision);
  }
}

void Simulation::Send(const std::size_t entry, const std::size_t call,
                      const core::ExchangeId exchange,
                      const std::size_t target) {
  const std::size_t flight = this->flights.size();
  this->flights.push_back({.call = call,
                           .entry = entry,
                           .exchange = exchange,
                           .target = target,
                           .started = this->clock.Now(),
                           .load = {}});
  this->calls[call].flights.push_back(flight);
  auto& by_exchange = this->flight_of_exchange[entry];
  by_exchange.resize(
      std::max<std::size_t>(by_exchange.size(), exchange.Value() + 1));
  by_exchange[exchange.Value()] = flight;
  ++this->under_way[target];
  this->result.exchanges += this->calls[call].measured ? 1 : 0;
  this->Schedule(this->scenario.network, Kind::kAtTarget, flight);
}

std::size_t Simulation::ChooseAsOracle() const {
  std::size_t best = 0;
  double least = 0;
  for (std::size_t target = 0; target < this->targets.size(); ++target) {
    const double time = this->targets[target].ExpectedTime(
        this->clock.Now(), this->under_way[target]);
    if (target == 0 || time < least) {
      best = target;
      least = time;
    }
  }
  return best;
}

}  // namespace trefoilbend::bench
