#include "trefoilbend/balancing/duty.h"

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <utility>

#include "internal/call_metrics.h"
#include "trefoilbend/core/duty.h"
#include "trefoilbend/core/invariant.h"
#include "trefoilbend/core/log.h"
#include "trefoilbend/core/outcome.h"

namespace trefoilbend::balancing {

namespace {

constexpr std::size_t kMessagesPerCall = 6;
constexpr std::size_t kConfigurationRingSize = 64;
constexpr std::size_t kBrakeRingSize = 1'024;
constexpr std::size_t kKnowledgeRingSize = 16;
/** Length of a log line's prefix: time, level and component. */
constexpr std::size_t kLinePrefixBytes = 48;
constexpr std::chrono::milliseconds kReportInterval{200};

}  // namespace

class BalancingDuty::Loop {
 public:
  Loop(DispatcherOptions options, const std::size_t max_calls,
       const TraceOptions& traces, prometheus::Registry& registry)
      : from_callers(max_calls * kMessagesPerCall),
        from_forwarding(max_calls * kMessagesPerCall),
        from_configuration(kConfigurationRingSize),
        from_registry(kKnowledgeRingSize),
        from_rollout(kBrakeRingSize),
        dispatcher(std::move(options)),
        sampler(traces),
        metrics(registry),
        timer(this->duty.Context()) {
    this->duty.Read(this->from_callers, [this](FromCallers&& message) {
      this->DrainConfigurations();
      std::visit(
          core::Visitor{[](std::monostate) {},
                        [this](const SubmitCall& call) {
                          this->Execute(this->dispatcher.Submit(call, Now()));
                        },
                        [this](const CancelCall& call) {
                          this->Execute(this->dispatcher.Cancel(call, Now()));
                        },
                        [this](const StopSending& order) {
                          this->Execute(this->dispatcher.Stop(order, Now()));
                        }},
          message);
    });
    this->duty.Read(
        this->from_forwarding, [this](forwarding::ToBalancing&& message) {
          this->DrainConfigurations();
          if (const auto* ended =
                  std::get_if<forwarding::ExchangeEnded>(&message)) {
            this->Execute(this->dispatcher.OnExchangeEnded(*ended, Now()));
          } else if (const auto* began =
                         std::get_if<forwarding::ExchangeBegan>(&message)) {
            this->dispatcher.OnExchangeBegan(*began);
          } else if (const auto* probed =
                         std::get_if<forwarding::ProbeEnded>(&message)) {
            this->metrics.CountProbe(probed->report.has_value());
            this->Execute(this->dispatcher.OnProbeEnded(*probed, Now()));
          }
        });
    this->duty.Read(this->from_configuration,
                    [this](const configuration::Update& update) {
                      this->Configure(update);
                    });
    this->duty.Read(this->from_registry,
                    [this](const configuration::TargetKnowledge& knowledge) {
                      this->dispatcher.UpdateTargetKnowledge(knowledge);
                    });
    this->duty.Read(this->from_rollout,
                    [this](const rollout::BrakeOrder& order) {
                      this->dispatcher.Brake(order.release);
                    });
  }

  void Start(const Outlets rings) {
    this->outlets = rings;
    this->ArmTimer();
    this->duty.Start();
  }

  core::Ring<FromCallers> from_callers;
  core::Ring<forwarding::ToBalancing> from_forwarding;
  core::Ring<configuration::Update> from_configuration;
  core::Ring<configuration::TargetKnowledge> from_registry;
  core::Ring<rollout::BrakeOrder> from_rollout;
  core::Duty duty{"balancing"};

 private:
  static core::TimePoint Now() noexcept {
    return std::chrono::steady_clock::now();
  }

  void Configure(const configuration::Update& update) {
    this->metrics.SetRevision(update.configuration->Revision());
    this->Execute(this->dispatcher.Configure(update, Now()));
  }

  /** Applies the pending configurations, so that a call that has waited in its
   * ring is handled under the newest one, not the one of its arrival. */
  void DrainConfigurations() {
    this->from_configuration.Drain([this](const configuration::Update& update) {
      this->Configure(update);
    });
  }

  /** Sets the timer if the next tick is due earlier than the timer expires. */
  void ArmTimer() {
    const core::TimePoint now = Now();
    const core::TimePoint next =
        this->dispatcher.NextTick(now, now + kReportInterval);
    if (next >= this->due) {
      return;
    }
    this->due = next;
    this->timer.expires_at(next);
    this->timer.async_wait([this](const boost::system::error_code error) {
      if (error) {
        return;
      }
      this->due = core::TimePoint::max();
      this->ReportEvidence(Now());
      this->LogDroppedTraces();
      this->Execute(this->dispatcher.Tick(Now()));
    });
  }

  void ReportEvidence(const core::TimePoint now) {
    if (this->outlets.rollout == nullptr ||
        now - this->reported_at < kReportInterval) {
      return;
    }
    this->reported_at = now;
    if (auto windows = this->dispatcher.TakeEvidence(now); !windows.empty()) {
      // If the ring is full, the report is lost, which only delays the
      // evidence.
      (void)this->outlets.rollout->TryPush({std::move(windows)});
    }
  }

  void Execute(Decisions decisions) {
    for (Decision& decision : decisions) {
      const bool pushed = std::visit(
          core::Visitor{
              [this](CallRefused& refused) {
                return this->outlets.callers->TryPush(ToCallers{refused});
              },
              [this](CallBroken& broken) {
                return this->outlets.callers->TryPush(ToCallers{broken});
              },
              [this](forwarding::WithdrawTargets& withdrawal) {
                this->withdrawn.insert(this->withdrawn.end(),
                                       withdrawal.targets.begin(),
                                       withdrawal.targets.end());
                return true;
              },
              [this](auto& order) {
                return this->outlets.forwarding->TryPush(std::move(order));
              }},
          decision);
      core::CheckInvariant(
          pushed,
          "the rings that balancing writes to have room for every call");
    }
    this->SendWithdrawn();
    this->WriteTraces();
    this->ArmTimer();
  }

  /** Sends the withdrawn targets; if the ring is full, they are sent with the
   * next decisions. */
  void SendWithdrawn() {
    if (!this->withdrawn.empty() &&
        this->outlets.withdrawals->TryPush({this->withdrawn})) {
      this->withdrawn.clear();
    }
  }

  void WriteTraces() {
    const core::TimePoint now = Now();
    for (const CallTrace& trace : this->dispatcher.TakeTraces()) {
      this->metrics.Count(trace);
      if (!this->sampler.ShouldSample(trace)) {
        continue;
      }
      const std::vector<std::string> lines = trace.Lines();
      std::size_t bytes = 0;
      for (const std::string& line : lines) {
        bytes += line.size() + kLinePrefixBytes;
      }
      if (!this->sampler.TryWithdraw(bytes, now)) {
        continue;
      }
      for (const std::string& line : lines) {
        this->log.Info("{}", line);
      }
    }
  }

  void LogDroppedTraces() {
    if (const std::uint64_t dropped = this->sampler.TakeDropped()) {
      this->metrics.CountDroppedTraces(dropped);
      this->log.Warn(
          "Dropped call traces to stay within the trace budget. traces={}",
          dropped);
    }
  }

  Dispatcher dispatcher;
  TraceSampler sampler;
  internal::CallMetrics metrics;
  Outlets outlets;
  core::Log log{"balancing"};
  std::vector<core::InstanceName> withdrawn;
  core::TimePoint reported_at{};
  core::TimePoint due = core::TimePoint::max();
  boost::asio::steady_timer timer;
};

BalancingDuty::BalancingDuty(DispatcherOptions options,
                             const std::size_t max_calls,
                             const TraceOptions& traces,
                             prometheus::Registry& registry)
    : loop(std::make_unique<Loop>(std::move(options), max_calls, traces,
                                  registry)) {}

BalancingDuty::~BalancingDuty() { this->Stop(); }

core::Ring<FromCallers>& BalancingDuty::CallersInlet() noexcept {
  return this->loop->from_callers;
}

core::Ring<forwarding::ToBalancing>& BalancingDuty::ForwardingInlet() noexcept {
  return this->loop->from_forwarding;
}

core::Ring<configuration::Update>&
BalancingDuty::ConfigurationInlet() noexcept {
  return this->loop->from_configuration;
}

core::Ring<configuration::TargetKnowledge>&
BalancingDuty::KnowledgeInlet() noexcept {
  return this->loop->from_registry;
}

core::Ring<rollout::BrakeOrder>& BalancingDuty::RolloutInlet() noexcept {
  return this->loop->from_rollout;
}

void BalancingDuty::Start(const Outlets outlets) { this->loop->Start(outlets); }

void BalancingDuty::Stop() { this->loop->duty.Stop(); }

}  // namespace trefoilbend::balancing
