#include "trefoilbend/registry/duty.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <optional>
#include <random>
#include <string>
#include <utility>

#include "internal/metrics.h"
#include "internal/table_follower.h"
#include "trefoilbend/core/clock.h"
#include "trefoilbend/core/duty.h"
#include "trefoilbend/core/invariant.h"
#include "trefoilbend/core/log.h"
#include "trefoilbend/inventory/codec.h"
#include "trefoilbend/inventory/snapshot.h"
#include "trefoilbend/platform/backoff.h"
#include "trefoilbend/registry/catalogue.h"
#include "trefoilbend/registry/change_lines.h"
#include "trefoilbend/registry/watch_pause.h"

namespace trefoilbend::registry {

namespace {

constexpr std::size_t kRequests = 64;
constexpr std::size_t kPeerMessages = 16;
constexpr std::size_t kOrders = 2;
constexpr const char* kFleetTable = "fleet";
constexpr std::size_t kViews = 64;
constexpr std::chrono::milliseconds kPublishRetry{50};
/** Time for which a peer may know more, beyond the pause between two watches,
 * before the tables are read anew. */
constexpr std::chrono::milliseconds kBehind{200};
constexpr platform::BackoffLimits kBackoff{
    .first = std::chrono::milliseconds{200},
    .most = std::chrono::milliseconds{1'000}};
constexpr std::size_t kMostUnreadableNamed = 8;
constexpr std::size_t kMostChangeLines = 24;

core::TimePoint Now() noexcept { return std::chrono::steady_clock::now(); }

}  // namespace

class RegistryDuty::Loop final : public internal::FollowerOwner {
 public:
  Loop(Options options, prometheus::Registry& metrics)
      : from_automation(kRequests),
        from_peers(kPeerMessages),
        leave(kOrders),
        views(kViews),
        options(std::move(options)),
        store(this->options.store(this->duty.Context())),
        catalogue(*this->options.codec),
        metrics(metrics),
        orders(*this, this->duty.Context(), Table::kOrders,
               this->options.codec->OrdersTable(), this->options.watch),
        targets(*this, this->duty.Context(), Table::kTargets,
                this->options.codec->TargetsTable(), this->options.watch),
        fleet(*this, this->duty.Context(), Table::kFleet, kFleetTable,
              this->options.watch),
        registration_timer(this->duty.Context()),
        drop_timer(this->duty.Context()),
        behind_timer(this->duty.Context()),
        publish_timer(this->duty.Context()) {
    this->duty.Read(this->from_automation,
                    [this](configuration::ChangeRequest&& request) {
                      this->Commit(std::move(request));
                    });
    this->duty.Read(this->from_peers,
                    [this](const configuration::PeerRevisions& passed) {
                      this->TakeFromPeer(passed);
                    });
    this->duty.Read(this->views, [this](const membership::View& view) {
      this->NotePeers(view);
    });
    this->duty.Read(this->leave, [this](const Leave&) { this->Unregister(); });
  }

  void Start(Outlets writes) {
    this->outlets = std::move(writes);
    this->delivered.assign(this->outlets.followers.size(), true);
    boost::asio::post(this->duty.Context(), [this] {
      this->ReadTables();
      this->Register();
    });
    this->duty.Start();
  }

  [[nodiscard]] platform::WatchedStore& GetStore() noexcept override {
    return *this->store;
  }

  [[nodiscard]] Catalogue& GetCatalogue() noexcept override {
    return this->catalogue;
  }

  [[nodiscard]] internal::Metrics& GetMetrics() noexcept override {
    return this->metrics;
  }

  void NoteAnswers() override {
    this->catalogue.NoteStore(this->ForAll(&internal::TableFollower::Answers),
                              Now());
    this->AwaitDrop();
  }

  /** Once all tables were read anew, this entry knows what its peers know. */
  void NoteRead() override {
    const bool reading = this->orders.IsReading() ||
                         this->targets.IsReading() || this->fleet.IsReading();
    if (!reading && this->heard_of != core::Revision{}) {
      this->catalogue.CatchUp(this->heard_of);
    }
  }

  /** Changes of one batch are published together. */
  void NoteChange() override {
    if (std::exchange(this->changed, true)) {
      return;
    }
    boost::asio::post(this->duty.Context(), [this] { this->Publish(); });
  }

  void NoteWatched(const core::TimePoint sent) override {
    this->TellMembership(sent);
  }

  core::Ring<configuration::ChangeRequest> from_automation;
  core::Ring<configuration::PeerRevisions> from_peers;
  core::Ring<Leave> leave;
  core::Ring<membership::View> views;
  core::Duty duty{"registry"};

 private:
  void ReadTables() {
    this->orders.Read();
    this->targets.Read();
    this->fleet.Read();
  }

  /** A watch on a connection that went silent hears nothing; peers do. */
  void NotePeers(const membership::View& view) {
    core::Revision newest;
    for (const membership::Peer& peer : view.peers) {
      if (peer.state == membership::PeerState::kAlive) {
        newest = std::max(newest, peer.revision);
      }
    }
    this->newest_of_peers = newest;
    if (!this->IsBehind() || std::exchange(this->waits_for_news, true)) {
      return;
    }
    this->behind_timer.expires_after(this->pause + kBehind);
    this->behind_timer.async_wait(
        [this](const boost::system::error_code error) {
          this->waits_for_news = false;
          if (error || !this->IsBehind()) {
            return;
          }
          this->log.Info("Peers know more, reads anew. of_peers={} own={}",
                         this->newest_of_peers.Value(),
                         this->update.configuration->Revision().Value());
          this->heard_of = this->newest_of_peers;
          this->ReadTables();
        });
  }

  [[nodiscard]] bool IsBehind() const noexcept {
    return this->has_update && this->newest_of_peers > this->heard_of &&
           this->newest_of_peers > this->update.configuration->Revision();
  }

  void TakeFromPeer(const configuration::PeerRevisions& passed) {
    if (passed.snapshot.empty()) {
      return;
    }
    const auto read = inventory::DecodeSnapshot(passed.snapshot);
    const auto* configuration = std::get_if<inventory::ConfigurationPtr>(&read);
    if (configuration == nullptr) {
      this->log.Warn("A peer's configuration cannot be read.");
      return;
    }
    if (!(this->targets.IsKnown() && this->targets.Answers()) &&
        this->catalogue.Restore(*configuration)) {
      this->log.Info("Took a peer's configuration. revision={}",
                     (*configuration)->Revision().Value());
      this->NoteChange();
    }
  }

  void Register() {
    const std::string key = kEntryRows + this->options.self.name.Text();
    this->store->Transact(
        {.conditions = {},
         .writes = {{.key = key,
                     .value = inventory::Encode(
                         inventory::Object{this->options.self})}}},
        [this](const platform::TransactOutcome& outcome) {
          const bool done =
              std::holds_alternative<platform::Committed>(outcome);
          this->metrics.CountCall("write", done);
          if (done) {
            this->log.Info("Registered.");
            return;
          }
          this->registration_timer.expires_after(
              this->registration_backoff.Fail());
          this->registration_timer.async_wait(
              [this](const boost::system::error_code error) {
                if (!error && !this->leaving) {
                  this->Register();
                }
              });
        });
  }

  void Unregister() {
    this->leaving = true;
    this->store->Transact(
        {.conditions = {},
         .writes = {{.key = kEntryRows + this->options.self.name.Text(),
                     .value = std::nullopt}}},
        [this](const platform::TransactOutcome& outcome) {
          if (!std::holds_alternative<platform::Committed>(outcome)) {
            this->log.Warn(
                "The registration was not taken back; peers will "
                "see the heartbeat stop.");
          }
        });
  }

  void Publish() {
    if (std::exchange(this->changed, false)) {
      this->AwaitDrop();
      this->Rebuild();
    }
    bool all = true;
    for (std::size_t at = 0; at < this->delivered.size(); ++at) {
      if (!this->delivered[at]) {
        this->delivered[at] = this->outlets.followers[at]->TryPush(
            configuration::Update{this->update});
      }
      all = all && this->delivered[at];
    }
    if (!all) {
      this->publish_timer.expires_after(kPublishRetry);
      this->publish_timer.async_wait(
          [this](const boost::system::error_code error) {
            if (!error) {
              this->Publish();
            }
          });
    }
  }

  /** The first update waits until operators' and targets' tables are known,
   * so that nothing is refused for want of what is only unread. */
  void Rebuild() {
    auto built = this->catalogue.Build(this->wall.Seconds());
    this->WarnUnreadable();
    if (!built ||
        !(this->has_update || this->ForAll(&internal::TableFollower::IsKnown) ||
          built->bounds == std::nullopt)) {
      return;
    }
    if (!this->has_update ||
        this->desired != this->catalogue.DesiredVersion()) {
      this->desired = this->catalogue.DesiredVersion();
      this->log.Info("Desired state is in force. version={} revision={}",
                     this->desired, built->configuration->Revision().Value());
    }
    this->has_update = true;
    for (const std::string& line :
         ChangeLines(this->update, *built, Now(), kMostChangeLines)) {
      this->log.Info("{}", line);
    }
    this->update = std::move(*built);
    this->SetPause(WatchPause(this->update.configuration->Entries().size()));
    this->delivered.assign(this->outlets.followers.size(), false);
    this->TellMembership(std::nullopt);
  }

  void SetPause(const std::chrono::milliseconds time) noexcept {
    this->pause = time;
    for (internal::TableFollower* follower :
         {&this->orders, &this->targets, &this->fleet}) {
      follower->SetPause(time);
    }
  }

  [[nodiscard]] bool ForAll(bool (internal::TableFollower::*holds)()
                                const noexcept) const {
    return (this->orders.*holds)() && (this->targets.*holds)() &&
           (this->fleet.*holds)();
  }

  void WarnUnreadable() {
    const auto keys = this->catalogue.TakeUnreadable();
    this->metrics.unreadable.Increment(static_cast<double>(keys.size()));
    for (std::size_t at = 0; at < std::min(keys.size(), kMostUnreadableNamed);
         ++at) {
      this->log.Warn("Row cannot be read, passed over. row={}", keys[at]);
    }
  }

  void TellMembership(const std::optional<core::TimePoint> answered) {
    if (this->outlets.membership == nullptr || !this->has_update) {
      return;
    }
    if (!this->outlets.membership->TryPush(
            {.configuration = this->update.configuration,
             .recent = nullptr,
             .platform_answered = answered})) {
      this->log.Debug("The membership's ring is full.");
    }
  }

  void AwaitDrop() {
    const auto next = this->catalogue.NextDrop();
    if (!next) {
      return;
    }
    this->drop_timer.expires_at(*next);
    this->drop_timer.async_wait([this](const boost::system::error_code error) {
      if (!error && this->catalogue.DropLapsed(Now())) {
        this->NoteChange();
      }
    });
  }

  void Commit(configuration::ChangeRequest request) {
    for (const inventory::Change& change : request.changes) {
      const auto* after = change.after
                              ? std::get_if<inventory::Release>(&*change.after)
                              : nullptr;
      if (after != nullptr) {
        platform::Transaction transaction = this->catalogue.MoveRelease(*after);
        transaction.conditions.insert(transaction.conditions.end(),
                                      request.fences.begin(),
                                      request.fences.end());
        this->CommitRelease(request.request, *after, transaction);
        return;
      }
    }
    this->Finish(request.request,
                 configuration::ChangeRefused{
                     .effect_unknown = false,
                     .message = "Only releases can be changed here."});
  }

  void CommitRelease(const configuration::RequestId request,
                     const inventory::Release& after,
                     const platform::Transaction& transaction) {
    this->store->Transact(
        transaction,
        [this, request, after](const platform::TransactOutcome& outcome) {
          if (std::holds_alternative<platform::Committed>(outcome)) {
            this->log.Info(
                "Release moved. service={} version={} state={} share={}",
                after.name.Text(), after.version.Text(),
                static_cast<int>(after.state), after.share);
            this->Finish(request, configuration::ChangeAccepted{});
            return;
          }
          const auto* failure = std::get_if<platform::Unavailable>(&outcome);
          this->metrics.CountCall("write", failure == nullptr);
          this->Finish(
              request,
              configuration::ChangeRefused{
                  .effect_unknown =
                      failure != nullptr && failure->effect_unknown,
                  .message = failure == nullptr ? "A row has changed meanwhile."
                                                : failure->message});
        });
  }

  void Finish(const configuration::RequestId request,
              decltype(configuration::ChangeResult::result) result) {
    core::CheckInvariant(
        this->outlets.automation->TryPush(
            {.request = request, .result = std::move(result)}),
        "the ring for results has room for every request's result");
  }

  Options options;
  Outlets outlets;
  std::unique_ptr<platform::WatchedStore> store;
  Catalogue catalogue;
  internal::Metrics metrics;
  internal::TableFollower orders;
  internal::TableFollower targets;
  internal::TableFollower fleet;
  boost::asio::steady_timer registration_timer;
  boost::asio::steady_timer drop_timer;
  boost::asio::steady_timer behind_timer;
  boost::asio::steady_timer publish_timer;
  platform::Backoff registration_backoff{kBackoff, std::random_device{}()};
  std::vector<bool> delivered;
  configuration::Update update;
  core::WallClock wall;
  /** Time between a change of a table and the next watch. */
  std::chrono::milliseconds pause = kLeastWatchPause;
  core::Revision newest_of_peers;
  /** Newest revision of a peer for which the tables were read anew. */
  core::Revision heard_of;
  bool waits_for_news = false;
  std::uint64_t desired{};
  bool has_update = false;
  bool changed = false;
  bool leaving = false;
  core::Log log{"registry"};
};

RegistryDuty::RegistryDuty(Options options, prometheus::Registry& metrics)
    : loop(std::make_unique<Loop>(std::move(options), metrics)) {}

RegistryDuty::~RegistryDuty() { this->Stop(); }

core::Ring<configuration::ChangeRequest>&
RegistryDuty::AutomationInlet() noexcept {
  return this->loop->from_automation;
}

core::Ring<configuration::PeerRevisions>& RegistryDuty::PeersInlet() noexcept {
  return this->loop->from_peers;
}

core::Ring<membership::View>& RegistryDuty::MembershipInlet() noexcept {
  return this->loop->views;
}

core::Ring<Leave>& RegistryDuty::LeaveInlet() noexcept {
  return this->loop->leave;
}

void RegistryDuty::Start(Outlets outlets) {
  this->loop->Start(std::move(outlets));
}

void RegistryDuty::Stop() { this->loop->duty.Stop(); }

}  // namespace trefoilbend::registry
