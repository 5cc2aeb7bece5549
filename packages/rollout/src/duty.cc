#include "trefoilbend/rollout/duty.h"

#include <algorithm>
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
constexpr std::chrono::milliseconds kTick{100};
/** Time between two looks while no release is under way. */
constexpr std::chrono::milliseconds kIdleTick{500};
constexpr std::chrono::milliseconds kReportPeriod{200};
constexpr std::size_t kViews = 64;
/** Live entries that compete for the lease when looks are to be spared. */
constexpr std::size_t kCompetitors = 2;
constexpr const char* kLeaseKey = "lease/rollout";

}  // namespace

class RolloutDuty::Loop {
 public:
  explicit Loop(const Options& options)
      : reports(kReports),
        updates(kConfigurations),
        results(kResults),
        peer_reports(kReports),
        views(kViews),
        self(options.self),
        lease_period(options.lease_period),
        competes_sparingly(options.competes_sparingly),
        lease(kLeaseKey,
              {.name = options.self, .incarnation = options.incarnation},
              options.lease),
        store(options.store(this->duty.Context())),
        coordinator(options.pace),
        tick(this->duty.Context()),
        lease_timer(this->duty.Context()) {
    this->competitors = {this->self};
    this->duty.Read(this->reports, [this](const EvidenceReport& report) {
      this->coordinator.TakeLocal(report.windows, Now());
      for (const auto& [release, window] : report.windows) {
        Merge(this->outgoing.windows[release], window);
      }
    });
    this->duty.Read(this->updates, [this](configuration::Update&& update) {
      this->FindPeers(*update.configuration);
      this->NoteEra(update);
      this->coordinator.Configure(std::move(update), Now());
    });
    this->duty.Read(this->peer_reports, [this](const PeerReport& report) {
      this->coordinator.TakeBrakes(report.brakes);
      this->coordinator.TakePeer(report.windows);
    });
    this->duty.Read(this->views, [this](const membership::View& view) {
      this->FindCompetitors(view);
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
  core::Ring<membership::View> views;
  core::Duty duty{"rollout"};

 private:
  static core::TimePoint Now() noexcept {
    return std::chrono::steady_clock::now();
  }

  void WaitTick() {
    this->tick.expires_after(this->coordinator.HasWork() ? kTick : kIdleTick);
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
      if (error) {
        return;
      }
      if (this->Competes()) {
        this->ReadLease();
      } else {
        this->WaitLease(this->lease_period);
      }
    });
  }

  [[nodiscard]] bool Competes() const {
    return !this->competes_sparingly ||
           (this->coordinator.HasWork() &&
            std::find(this->competitors.begin(), this->competitors.end(),
                      this->self) != this->competitors.end());
  }

  /** The first live entries by name compete. */
  void FindCompetitors(const membership::View& view) {
    this->competitors = {this->self};
    for (const membership::Peer& peer : view.peers) {
      if (peer.state == membership::PeerState::kAlive) {
        this->competitors.push_back(peer.name);
      }
    }
    std::sort(this->competitors.begin(), this->competitors.end());
    this->competitors.resize(std::min(this->competitors.size(), kCompetitors));
  }

  [[nodiscard]] std::vector<core::InstanceName> Controllers() const {
    return this->competes_sparingly ? this->competitors
                                    : std::vector{this->holder};
  }

  void ReadLease() {
    this->store->Read(
        this->lease.Key(), [this](const platform::ReadOutcome& outcome) {
          const auto* found = std::get_if<platform::FoundRow>(&outcome);
          if (found != nullptr && found->row) {
            this->holder = platform::HolderOf(*found->row).name;
          }
          const auto attempt = found == nullptr
                                   ? std::nullopt
                                   : this->lease.Attempt(*found, Now());
          if (!attempt) {
            this->WaitLease(this->lease_period);
            return;
          }
          const core::TimePoint sent = Now();
          this->store->Transact(
              *attempt, [this, sent](const platform::TransactOutcome& result) {
                if (const auto* committed =
                        std::get_if<platform::Committed>(&result)) {
                  this->lease.Renew(*committed, sent);
                }
                this->WaitLease(this->lease_period);
              });
        });
  }

  /** The lease's row may be lost with the store's newest rows, so the releases
   * tell which epochs there were. */
  void NoteEra(const configuration::Update& update) {
    this->lease.NoteEra(update.era, Now());
    for (const auto& [key, object] : update.configuration->Objects()) {
      if (const auto* release = std::get_if<inventory::Release>(&object)) {
        this->lease.NoteEpoch(platform::Epoch{release->epoch});
      }
    }
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
    this->outgoing.controllers.clear();
    for (const core::InstanceName& name : this->Controllers()) {
      const auto known = this->addresses.find(name);
      if (known != this->addresses.end()) {
        this->outgoing.controllers.push_back(known->second);
      }
    }
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
    const std::chrono::sys_seconds wall = this->wall.Seconds();
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
  std::chrono::milliseconds lease_period;
  bool competes_sparingly;
  std::vector<core::InstanceName> competitors;
  core::InstanceName holder;
  std::map<core::InstanceName, http::Address> addresses;
  OutgoingReport outgoing;
  core::TimePoint reported{};
  PeersDuty peers;
  Outlets outlets;
  platform::Lease lease;
  std::unique_ptr<platform::Store> store;
  Coordinator coordinator;
  core::WallClock wall;
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

core::Ring<membership::View>& RolloutDuty::MembershipInlet() noexcept {
  return this->loop->views;
}

void RolloutDuty::Start(const Outlets outlets) { this->loop->Start(outlets); }

void RolloutDuty::Stop() { this->loop->Stop(); }

}  // namespace trefoilbend::rollout
