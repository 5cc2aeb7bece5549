#include "trefoilbend/entry/entry.h"

#include <prometheus/registry.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "trefoilbend/balancing/duty.h"
#include "trefoilbend/core/log.h"
#include "trefoilbend/feed/duty.h"
#include "trefoilbend/forwarding/duty.h"
#include "trefoilbend/membership/duty.h"
#include "trefoilbend/platform/client.h"
#include "trefoilbend/registry/catalogue.h"
#include "trefoilbend/registry/duty.h"
#include "trefoilbend/relay/duty.h"
#include "trefoilbend/rollout/duty.h"

namespace trefoilbend::entry {

namespace {

core::Incarnation DrawIncarnation() noexcept {
  return core::Incarnation{static_cast<std::uint64_t>(
      std::chrono::system_clock::now().time_since_epoch().count())};
}

/** A lease that is taken over within a release of a few seconds. */
constexpr platform::LeaseTimes kShortLease{
    .length = std::chrono::milliseconds{2'500},
    .margin = std::chrono::milliseconds{500}};
constexpr std::chrono::milliseconds kShortLeasePeriod{800};

rollout::Options RolloutOptions(const Settings& settings) {
  const configuration::Options& options = settings.configuration;
  rollout::Options made{.self = options.self,
                        .incarnation = DrawIncarnation(),
                        .store = settings.rollout_store};
  if (made.store) {
    made.lease = kShortLease;
    made.lease_period = kShortLeasePeriod;
    made.competes_sparingly = true;
    made.pace = rollout::Pace::kBrisk;
  } else {
    made.store = [address = options.platform,
                  timeout = options.timeout](boost::asio::io_context& context) {
      return std::make_unique<platform::Client>(http::Client::Create(context),
                                                address, timeout);
    };
  }
  return made;
}

forwarding::Options ForwardingOptions(const Settings& settings) {
  forwarding::Options options = settings.forwarding;
  options.max_calls = settings.callers.limits.calls;
  return options;
}

}  // namespace

struct Entry::Duties {
  explicit Duties(const Settings& settings)
      : forwarding(ForwardingOptions(settings), this->metrics),
        balancing(settings.balancing, settings.callers.limits.calls,
                  settings.traces, this->metrics),
        callers(settings.callers, this->metrics),
        operations(settings.operations, this->metrics),
        rollout(RolloutOptions(settings)),
        membership(settings.membership) {
    if (settings.registry) {
      this->catalogue.emplace(*settings.registry, this->metrics);
      this->feed.emplace(registry::kTables);
    } else {
      this->relay.emplace(settings.callers.limits.calls);
      this->configuration.emplace(settings.configuration);
    }
  }

  prometheus::Registry metrics;
  forwarding::ForwardingDuty forwarding;
  balancing::BalancingDuty balancing;
  /** Only with the project's own table, whose keys have homes. */
  std::optional<relay::RelayDuty> relay;
  callers::CallersDuty callers;
  operations::OperationsDuty operations;
  rollout::RolloutDuty rollout;
  /** Follows the project's own table. */
  std::optional<configuration::ConfigurationDuty> configuration;
  /** Follows the users' store, in place of the one before. */
  std::optional<registry::RegistryDuty> catalogue;
  /** Tells peers what the registry knows, and asks them. */
  std::optional<feed::FeedDuty> feed;
  membership::MembershipDuty membership;
};

Entry::Entry(const Settings& settings)
    : duties(std::make_unique<Duties>(settings)) {}

Entry::~Entry() {
  Duties& all = *this->duties;
  all.membership.Stop();
  if (all.catalogue) {
    all.feed->Stop();
    all.catalogue->Stop();
  }
  if (all.configuration) {
    all.configuration->Stop();
  }
  all.rollout.Stop();
  all.operations.Stop();
  all.callers.Stop();
  if (all.relay) {
    all.relay->Stop();
  }
  all.balancing.Stop();
  all.forwarding.Stop();
}

core::Outcome<std::monostate, std::string> Entry::Start() {
  Duties& all = *this->duties;
  all.forwarding.Start({.callers = &all.callers.ForwardingInlet(),
                        .balancing = &all.balancing.ForwardingInlet()});
  all.balancing.Start({.callers = &all.callers.BalancingInlet(),
                       .forwarding = &all.forwarding.BalancingInlet(),
                       .withdrawals = &all.forwarding.WithdrawalsInlet(),
                       .rollout = &all.rollout.BalancingInlet()});
  if (all.relay) {
    all.relay->Start(all.callers.RelayInlet());
  }
  auto serving = all.callers.Start(
      {.balancing = &all.balancing.CallersInlet(),
       .forwarding = &all.forwarding.CallersInlet(),
       .relay = all.relay ? &all.relay->CallersInlet() : nullptr});
  if (!core::Succeeded(serving)) {
    return serving;
  }
  auto operating = all.operations.Start(
      {.configuration = all.configuration
                            ? &all.configuration->OperationsInlet()
                            : nullptr});
  if (!core::Succeeded(operating) && !all.catalogue) {
    return operating;
  }
  if (!core::Succeeded(operating)) {
    core::Log{"entry"}.Warn("Metrics are not served. cause=\"{}\"",
                            core::ProblemOf(operating));
  }
  std::vector<core::Ring<membership::View>*> viewers{
      &all.callers.MembershipInlet(), &all.operations.ViewInlet(),
      &all.rollout.MembershipInlet()};
  if (all.catalogue) {
    viewers.push_back(&all.catalogue->MembershipInlet());
  }
  all.membership.Start({.followers = viewers,
                        .configuration = all.configuration
                                             ? &all.configuration->PeersInlet()
                                             : &all.catalogue->PeersInlet()});
  this->FollowConfiguration();
  all.rollout.Start(
      {.balancing = &all.balancing.RolloutInlet(),
       .configuration = all.configuration
                            ? &all.configuration->AutomationInlet()
                            : &all.catalogue->AutomationInlet()});
  return std::monostate{};
}

void Entry::FollowConfiguration() {
  Duties& all = *this->duties;
  const std::vector<core::Ring<configuration::Update>*> followers{
      &all.callers.ConfigurationInlet(), &all.balancing.ConfigurationInlet(),
      &all.operations.ConfigurationInlet(), &all.rollout.ConfigurationInlet()};
  if (all.configuration) {
    all.configuration->Start(
        {.followers = followers,
         .operations = &all.operations.ResultInlet(),
         .membership = &all.membership.ConfigurationInlet(),
         .automation = &all.rollout.ResultInlet()});
  } else {
    all.feed->Start(all.catalogue->FeedInlet());
    all.catalogue->Start({.followers = followers,
                          .feed = &all.feed->RegistryInlet(),
                          .membership = &all.membership.ConfigurationInlet(),
                          .choosing = &all.balancing.KnowledgeInlet(),
                          .automation = &all.rollout.ResultInlet()});
  }
}

void Entry::Drain(std::function<void()> done) {
  (void)this->duties->membership.LeaveInlet().TryPush({});
  if (this->duties->catalogue) {
    (void)this->duties->catalogue->LeaveInlet().TryPush({});
  }
  this->duties->callers.Drain(std::move(done));
}

std::unique_ptr<Entry> Entry::Builder::Build() {
  return std::unique_ptr<Entry>(new Entry(this->settings));
}

}  // namespace trefoilbend::entry
