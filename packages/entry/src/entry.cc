#include "trefoilbend/entry/entry.h"

#include <prometheus/registry.h>

#include <chrono>
#include <cstdint>

#include "trefoilbend/balancing/duty.h"
#include "trefoilbend/forwarding/duty.h"
#include "trefoilbend/membership/duty.h"
#include "trefoilbend/relay/duty.h"
#include "trefoilbend/rollout/duty.h"

namespace trefoilbend::entry {

namespace {

core::Incarnation DrawIncarnation() noexcept {
  return core::Incarnation{static_cast<std::uint64_t>(
      std::chrono::system_clock::now().time_since_epoch().count())};
}

rollout::Options RolloutOptions(const configuration::Options& options) {
  return {.self = options.self,
          .incarnation = DrawIncarnation(),
          .platform = options.platform,
          .timeout = options.timeout};
}

}  // namespace

struct Entry::Duties {
  explicit Duties(const Settings& settings)
      : forwarding({.max_calls = settings.callers.limits.calls,
                    .idle_timeout = settings.forwarding.idle_timeout},
                   this->registry),
        balancing(settings.balancing, settings.callers.limits.calls),
        relay(settings.callers.limits.calls),
        callers(settings.callers, this->registry),
        operations(settings.operations, this->registry),
        rollout(RolloutOptions(settings.configuration)),
        configuration(settings.configuration),
        membership(settings.membership) {}

  prometheus::Registry registry;
  forwarding::ForwardingDuty forwarding;
  balancing::BalancingDuty balancing;
  relay::RelayDuty relay;
  callers::CallersDuty callers;
  operations::OperationsDuty operations;
  rollout::RolloutDuty rollout;
  configuration::ConfigurationDuty configuration;
  membership::MembershipDuty membership;
};

Entry::Entry(const Settings& settings)
    : duties(std::make_unique<Duties>(settings)) {}

Entry::~Entry() {
  this->duties->membership.Stop();
  this->duties->configuration.Stop();
  this->duties->rollout.Stop();
  this->duties->operations.Stop();
  this->duties->callers.Stop();
  this->duties->relay.Stop();
  this->duties->balancing.Stop();
  this->duties->forwarding.Stop();
}

core::Outcome<std::monostate, std::string> Entry::Start() {
  Duties& all = *this->duties;
  all.forwarding.Start({.callers = &all.callers.ForwardingInlet(),
                        .balancing = &all.balancing.ForwardingInlet()});
  all.balancing.Start({.callers = &all.callers.BalancingInlet(),
                       .forwarding = &all.forwarding.BalancingInlet(),
                       .rollout = &all.rollout.BalancingInlet()});
  all.relay.Start(all.callers.RelayInlet());
  auto serving =
      all.callers.Start({.balancing = &all.balancing.CallersInlet(),
                         .forwarding = &all.forwarding.CallersInlet(),
                         .relay = &all.relay.CallersInlet()});
  if (!core::Succeeded(serving)) {
    return serving;
  }
  auto operating = all.operations.Start(
      {.configuration = &all.configuration.OperationsInlet()});
  if (!core::Succeeded(operating)) {
    return operating;
  }
  all.membership.Start({.followers = {&all.callers.MembershipInlet(),
                                      &all.operations.ViewInlet()},
                        .configuration = &all.configuration.PeersInlet()});
  all.configuration.Start({.followers = {&all.callers.ConfigurationInlet(),
                                         &all.balancing.ConfigurationInlet(),
                                         &all.operations.ConfigurationInlet(),
                                         &all.rollout.ConfigurationInlet()},
                           .operations = &all.operations.ResultInlet(),
                           .membership = &all.membership.ConfigurationInlet(),
                           .automation = &all.rollout.ResultInlet()});
  all.rollout.Start({.balancing = &all.balancing.RolloutInlet(),
                     .configuration = &all.configuration.AutomationInlet()});
  return std::monostate{};
}

void Entry::Drain(std::function<void()> done) {
  (void)this->duties->membership.LeaveInlet().TryPush({});
  this->duties->callers.Drain(std::move(done));
}

std::unique_ptr<Entry> Entry::Builder::Build() {
  return std::unique_ptr<Entry>(new Entry(this->settings));
}

}  // namespace trefoilbend::entry
