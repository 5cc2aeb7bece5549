#include "trefoilbend/forwarding/duty.h"

#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "internal/connection_metrics.h"
#include "internal/exchange.h"
#include "internal/probe.h"
#include "trefoilbend/core/invariant.h"
#include "trefoilbend/core/outcome.h"

namespace trefoilbend::forwarding {

namespace {

constexpr std::size_t kOrdersPerCall = 6;
constexpr std::size_t kWithdrawals = 16;

}  // namespace

class ForwardingDuty::Loop final : public internal::ExchangeOwner {
 public:
  Loop(const Options& options, prometheus::Registry& registry)
      : from_balancing(options.max_calls * kOrdersPerCall),
        withdrawals(kWithdrawals),
        from_callers(options.max_calls * kOrdersPerCall),
        options(options),
        connection_metrics(registry),
        pool(this->duty.Context(),
             {.usual = options.idle_timeout, .only = options.only_idle_timeout},
             this->connection_metrics) {
    this->duty.Read(this->from_balancing, [this](FromBalancing&& message) {
      this->Take(std::move(message));
    });
    this->duty.Read(this->withdrawals, [this](const WithdrawTargets& message) {
      this->Withdraw(message);
    });
    this->duty.Read(this->from_callers, [this](FromCallers&& message) {
      std::visit(core::Visitor{
                     [](std::monostate) {},
                     [this](const ContinueAnswer& order) {
                       this->ForCall(order.call, &internal::Exchange::Continue);
                     },
                     [this](const AbandonAnswer& order) {
                       this->ForCall(order.call, &internal::Exchange::Abandon);
                     }},
                 message);
    });
  }

  [[nodiscard]] internal::ConnectionPool& Pool() noexcept override {
    return this->pool;
  }

  [[nodiscard]] const Options& GetOptions() const noexcept override {
    return this->options;
  }

  [[nodiscard]] boost::asio::io_context& Context() noexcept override {
    return this->duty.Context();
  }

  void Begin(const ExchangeBegan began, const bool complete) override {
    this->ForOthers(began, &internal::Exchange::Cancel);
    if (!complete) {
      this->Report(began);
    }
  }

  void Answer(ToCallers message) override {
    core::CheckInvariant(
        this->outlets.callers->TryPush(std::move(message)),
        "the ring to callers has room for every call's answer");
  }

  void CountSkippedAnswer() override {
    this->connection_metrics.skipped.Increment();
  }

  void End(ExchangeEnded ended) override {
    this->exchanges.erase(ended.exchange);
    const auto by_call = this->exchanges_of_call.find(ended.call);
    if (by_call != this->exchanges_of_call.end()) {
      std::erase(by_call->second, ended.exchange);
      if (by_call->second.empty()) {
        this->exchanges_of_call.erase(by_call);
      }
    }
    this->Report(std::move(ended));
  }

  void EndProbe(ProbeEnded ended) override { this->Report(std::move(ended)); }

  core::Ring<FromBalancing> from_balancing;
  core::Ring<WithdrawTargets> withdrawals;
  core::Ring<FromCallers> from_callers;
  Outlets outlets;
  core::Duty duty{"forwarding"};

 private:
  void Take(FromBalancing&& message) {
    std::visit(
        core::Visitor{
            [](std::monostate) {},
            [this](StartExchange& order) { this->Start(std::move(order)); },
            [this](const CancelExchange& order) {
              this->ForExchange(order.exchange, &internal::Exchange::Cancel);
            },
            [this](const WithdrawExchange& order) {
              this->ForExchange(order.exchange, &internal::Exchange::Withdraw);
            },
            [this](StartProbe& order) {
              std::make_shared<internal::Probe>(*this, std::move(order))
                  ->Start();
            }},
        message);
  }

  /** Orders that were given before come first, so that none is missed. */
  void Withdraw(const WithdrawTargets& message) {
    this->from_balancing.Drain(
        [this](FromBalancing&& order) { this->Take(std::move(order)); });
    const std::set<core::InstanceName> left{message.targets.begin(),
                                            message.targets.end()};
    std::vector<std::shared_ptr<internal::Exchange>> affected;
    for (const auto& [id, exchange] : this->exchanges) {
      if (left.contains(exchange->Target())) {
        affected.push_back(exchange);
      }
    }
    for (const auto& exchange : affected) {
      exchange->Withdraw();
    }
  }

  void Start(StartExchange order) {
    const core::ExchangeId id = order.exchange;
    if (order.beside && !this->IsAwaited(*order.beside)) {
      this->Report(ExchangeEnded{.call = order.call,
                                 .exchange = id,
                                 .target = order.target,
                                 .result = ExchangeResult::kCancelled,
                                 .load = std::nullopt});
      return;
    }
    this->exchanges_of_call[order.call].push_back(id);
    const auto exchange =
        std::make_shared<internal::Exchange>(*this, std::move(order));
    this->exchanges.emplace(id, exchange);
    exchange->Start();
  }

  void ForExchange(const core::ExchangeId id,
                   void (internal::Exchange::*action)()) {
    const auto found = this->exchanges.find(id);
    if (found != this->exchanges.end()) {
      const std::shared_ptr<internal::Exchange> exchange = found->second;
      (*exchange.*action)();
    }
  }

  [[nodiscard]] bool IsAwaited(const core::ExchangeId id) const {
    const auto found = this->exchanges.find(id);
    return found != this->exchanges.end() && !found->second->HasBegun();
  }

  void Report(ToBalancing message) {
    core::CheckInvariant(
        this->outlets.balancing->TryPush(std::move(message)),
        "the ring to balancing has room for every call's reports");
  }

  void ForCall(const core::CallId call, void (internal::Exchange::*action)()) {
    this->ForOthers({call, core::ExchangeId{}}, action);
  }

  void ForOthers(const ExchangeBegan& but,
                 void (internal::Exchange::*action)()) {
    const auto found = this->exchanges_of_call.find(but.call);
    if (found == this->exchanges_of_call.end()) {
      return;
    }
    const std::vector<core::ExchangeId> ids = found->second;
    for (const core::ExchangeId id : ids) {
      if (id != but.exchange) {
        const std::shared_ptr<internal::Exchange> exchange =
            this->exchanges.at(id);
        (*exchange.*action)();
      }
    }
  }

  Options options;
  internal::ConnectionMetrics connection_metrics;
  internal::ConnectionPool pool;
  std::unordered_map<core::ExchangeId, std::shared_ptr<internal::Exchange>>
      exchanges;
  std::unordered_map<core::CallId, std::vector<core::ExchangeId>>
      exchanges_of_call;
};

ForwardingDuty::ForwardingDuty(const Options& options,
                               prometheus::Registry& registry)
    : loop(std::make_unique<Loop>(options, registry)) {}

ForwardingDuty::~ForwardingDuty() { this->Stop(); }

core::Ring<FromBalancing>& ForwardingDuty::BalancingInlet() noexcept {
  return this->loop->from_balancing;
}

core::Ring<WithdrawTargets>& ForwardingDuty::WithdrawalsInlet() noexcept {
  return this->loop->withdrawals;
}

core::Ring<FromCallers>& ForwardingDuty::CallersInlet() noexcept {
  return this->loop->from_callers;
}

void ForwardingDuty::Start(const Outlets outlets) {
  this->loop->outlets = outlets;
  this->loop->duty.Start();
}

void ForwardingDuty::Stop() { this->loop->duty.Stop(); }

}  // namespace trefoilbend::forwarding
