#include "trefoilbend/entry/entry.h"

#include <prometheus/registry.h>

#include "trefoilbend/balancing/duty.h"
#include "trefoilbend/forwarding/duty.h"
#include "trefoilbend/relay/duty.h"

namespace trefoilbend::entry {

struct Entry::Duties {
  explicit Duties(const Settings& settings)
      : forwarding(settings.callers.limits.calls),
        balancing(settings.balancing, settings.callers.limits.calls),
        relay(settings.callers.limits.calls),
        callers(settings.callers, this->registry),
        operations(settings.operations, this->registry),
        configuration(settings.configuration) {}

  prometheus::Registry registry;
  forwarding::ForwardingDuty forwarding;
  balancing::BalancingDuty balancing;
  relay::RelayDuty relay;
  callers::CallersDuty callers;
  operations::OperationsDuty operations;
  configuration::ConfigurationDuty configuration;
};

Entry::Entry(const Settings& settings)
    : duties(std::make_unique<Duties>(settings)) {}

Entry::~Entry() {
  this->duties->configuration.Stop();
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
                       .forwarding = &all.forwarding.BalancingInlet()});
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
  all.configuration.Start({.followers = {&all.callers.ConfigurationInlet(),
                                         &all.balancing.ConfigurationInlet(),
                                         &all.operations.ConfigurationInlet()},
                           .operations = &all.operations.ResultInlet()});
  return std::monostate{};
}

void Entry::Drain(std::function<void()> done) {
  this->duties->callers.Drain(std::move(done));
}

std::unique_ptr<Entry> Entry::Builder::Build() {
  return std::unique_ptr<Entry>(new Entry(this->settings));
}

}  // namespace trefoilbend::entry
