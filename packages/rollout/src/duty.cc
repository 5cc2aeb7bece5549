#include "trefoilbend/rollout/duty.h"

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "trefoilbend/core/duty.h"
#include "trefoilbend/core/log.h"
#include "trefoilbend/platform/client.h"
#include "trefoilbend/platform/lease.h"
#include "trefoilbend/rollout/coordinator.h"
#include "trefoilbend/rollout/peers_duty.h"

namespace trefoilbend::rollout {

namespace {

constexpr std::size_t kReports = 64;
constexpr std::size_t kConfigurations = 64;
constexpr std::size_t kResults = 64;
constexpr std::chrono::milliseconds kTick{250};
constexpr std::chrono::milliseconds kReportPeriod{500};
constexpr std::chrono::milliseconds kLeasePeriod{1'500};
constexpr const char* kLeaseKey = "lease/rollout";

}  // namespace

class RolloutDuty::Loop {
 public:
  explicit Loop(const Options& options)
      : reports(kReports),
        updates(kConfigurations),
        results(kResults),
        peer_reports(kReports),
        self(options.self),
        lease(kLeaseKey,
              {.name = options.self, .incarnation = options.incarnation}),
        platform(http::Client::Create(this->duty.Context()), options.platform,
                 options.timeout),
        tick(this->duty.Context()),
        lease_timer(this->duty.Context()) {
    this->duty.Read(this->reports, [this](const EvidenceReport& report) {
      this->coordinator.TakeLocal(report.windows, Now());
      for (const auto& [release, window] : report.windows) {
        Merge(this->outgoing.windows[release], window);
      }
    });
    this->duty.Read(this->updates, [this](configuration::Update&& update) {
      this->FindPeers(*update.configuration);
      this->coordinator.Configure(std::move(update), Now());
    });
    this->duty.Read(this->peer_reports, [this](const PeerReport& report) {
      this->coordinator.TakeBrakes(report.brakes);
      this->coordinator.TakePeer(report.windows);
    });
    this->duty.Read(this->results,
                    [this](const configuration::ChangeResult& result) {
                      this->Finish(result);
                    });
  }

  void Start(const Outlets writes) {
    this->outlets = writes;
    this->WaitTick();
    this->WaitLease(std::chrono::milliseconds{0});
    this->peers.Start(this->peer_reports);
    this->duty.Start();
  }

  void Stop() {
    this->peers.Stop();
    this->duty.Stop();
  }

  core::Ring<EvidenceReport> reports;
  core::Ring<configuration::Update> updates;
  core::Ring<configuration::ChangeResult> results;
  core::Ring<PeerReport> peer_reports;
  core::Duty duty{"rollout"};

 private:
  static core::TimePoint Now() noexcept {
    return std::chrono::steady_clock::now();
  }

  void WaitTick() {
    this->tick.expires_after(kTick);
    this->tick.async_wait([this](const boost::system::error_code error) {
      if (!error) {
        this->Decide();
        this->Report(Now());
        this->WaitTick();
      }
    });
  }

  void WaitLease(const std::chrono::milliseconds wait) {
    this->lease_timer.expires_after(wait);
    this->lease_timer.async_wait([this](const boost::system::error_code error) {
      if (!error) {
        this->ReadLease();
      }
    });
  }

  void ReadLease() {
    this->platform.Read(
        this->lease.Key(), [this](const platform::ReadOutcome& outcome) {
          const auto* row = std::get_if<std::optional<platform::Row>>(&outcome);
          if (row != nullptr && *row) {
            this->holder = platform::HolderOf(**row).name;
          }
          const auto attempt =
              row == nullptr ? std::nullopt : this->lease.Attempt(*row, Now());
          if (!attempt) {
            this->WaitLease(kLeasePeriod);
            return;
          }
          const core::TimePoint sent = Now();
          this->platform.Transact(
              *attempt, [this, sent](const platform::TransactOutcome& result) {
                if (std::holds_alternative<platform::Committed>(result)) {
                  this->lease.Renew(sent);
                }
                this->WaitLease(kLeasePeriod);
              });
        });
  }

  void FindPeers(const inventory::Configuration& configuration) {
    this->addresses.clear();
    for (const inventory::Instance* entry : configuration.Entries()) {
      if (entry->rollout) {
        this->addresses.emplace(entry->name, *entry->rollout);
      }
    }
  }

  void Report(const core::TimePoint now) {
    const auto own = this->addresses.find(this->self);
    if (own == this->addresses.end() || now - this->reported < kReportPeriod) {
      return;
    }
    this->reported = now;
    this->outgoing.self = own->second;
    this->outgoing.peers.clear();
    for (const auto& [name, address] : this->addresses) {
      if (name != this->self) {
        this->outgoing.peers.push_back(address);
      }
    }
    const auto known = this->addresses.find(this->holder);
    this->outgoing.holder = known == this->addresses.end()
                                ? std::nullopt
                                : std::optional{known->second};
    this->outgoing.brakes = this->coordinator.KnownBrakes().All();
    if (this->peers.RolloutInlet().TryPush(std::move(this->outgoing))) {
      this->outgoing = {};
    }
  }

  void Decide() {
    const core::TimePoint now = Now();
    std::optional<HeldLease> held;
    if (this->lease.Held(now)) {
      held = HeldLease{.epoch = this->lease.Current().Value(),
                       .fence = this->lease.Fence()};
    }
    this->TellLease(held.has_value());
    const auto wall = std::chrono::floor<std::chrono::seconds>(
        std::chrono::system_clock::now());
    Orders orders = this->coordinator.Decide(held, now, wall);
    for (const ReleaseId& release : orders.brakes) {
      this->log.Warn("Brakes version {} of {}: {}.", release.version.Text(),
                     release.service.Text(),
                     this->coordinator.KnownBrakes().All().at(release));
      this->unsent.push_back(release);
    }
    std::erase_if(this->unsent, [this](const ReleaseId& release) {
      return this->outlets.balancing->TryPush({release});
    });
    for (configuration::ChangeRequest& change : orders.changes) {
      this->Commit(std::move(change));
    }
  }

  void TellLease(const bool held) {
    if (std::exchange(this->was_held, held) == held) {
      return;
    }
    if (held) {
      this->log.Info("Holds the lease of the release controller.");
    } else {
      this->log.Info("Holds the lease of the release controller no longer.");
    }
  }

  void Commit(configuration::ChangeRequest change) {
    const configuration::RequestId request = change.request;
    if (!this->outlets.configuration->TryPush(std::move(change))) {
      this->coordinator.Finish(
          {.request = request,
           .result = configuration::ChangeRefused{
               .effect_unknown = false, .message = "the ring is full"}});
    }
  }

  void Finish(const configuration::ChangeResult& result) {
    this->coordinator.Finish(result);
    if (const auto* refused =
            std::get_if<configuration::ChangeRefused>(&result.result)) {
      this->log.Warn("A step was not committed: {}", refused->message);
    }
  }

  core::InstanceName self;
  core::InstanceName holder;
  std::map<core::InstanceName, http::Address> addresses;
  OutgoingReport outgoing;
  core::TimePoint reported{};
  PeersDuty peers;
  Outlets outlets;
  platform::Lease lease;
  platform::Client platform;
  Coordinator coordinator;
  boost::asio::steady_timer tick;
  boost::asio::steady_timer lease_timer;
  std::vector<ReleaseId> unsent;
  bool was_held = false;
  core::Log log{"rollout"};
};

RolloutDuty::RolloutDuty(const Options& options)
    : loop(std::make_unique<Loop>(options)) {}

RolloutDuty::~RolloutDuty() { this->Stop(); }

core::Ring<EvidenceReport>& RolloutDuty::BalancingInlet() noexcept {
  return this->loop->reports;
}

core::Ring<configuration::Update>& RolloutDuty::ConfigurationInlet() noexcept {
  return this->loop->updates;
}

core::Ring<configuration::ChangeResult>& RolloutDuty::ResultInlet() noexcept {
  return this->loop->results;
}

void RolloutDuty::Start(const Outlets outlets) { this->loop->Start(outlets); }

void RolloutDuty::Stop() { this->loop->Stop(); }

}  // namespace trefoilbend::rollout
