#include "trefoilbend/registry/duty.h"

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <optional>
#include <string>
#include <utility>

#include "internal/era_notes.h"
#include "internal/feed_outbox.h"
#include "internal/metrics.h"
#include "internal/peer_source.h"
#include "internal/publisher.h"
#include "internal/registration.h"
#include "internal/release_writer.h"
#include "internal/row_notes.h"
#include "internal/table_follower.h"
#include "trefoilbend/core/clock.h"
#include "trefoilbend/core/duty.h"
#include "trefoilbend/core/log.h"
#include "trefoilbend/feed/readers.h"
#include "trefoilbend/inventory/snapshot.h"
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
/** Time for which a peer may know more, beyond the pause between two watches,
 * before what the store has not confirmed since is read anew. */
constexpr std::chrono::milliseconds kBehind{600};
/** Longest time after which an entry that reads the store confirms that nothing
 * has changed; feed::kMostAge covers it. */
constexpr std::chrono::milliseconds kMostWatch{700};
/** Longest time between a failure and the next watch of an entry that reads for
 * others. */
constexpr std::chrono::milliseconds kReaderBackoff{300};
/** kMostWatch of the fleet's table, whose rows entries tell each other too. */
constexpr std::chrono::milliseconds kMostFleetWatch{2'000};
constexpr std::size_t kMostChangeLines = 24;

core::TimePoint Now() noexcept { return std::chrono::steady_clock::now(); }

}  // namespace

class RegistryDuty::Loop final : public internal::FollowerOwner,
                                 public internal::PeerSourceOwner {
 public:
  Loop(Options options, prometheus::Registry& metrics)
      : from_automation(kRequests),
        from_peers(kPeerMessages),
        leave(kOrders),
        views(kViews),
        from_feed(kPeerMessages),
        options(std::move(options)),
        store(this->options.store(this->duty.Context())),
        catalogue(*this->options.codec),
        metrics(metrics),
        orders(*this, this->duty.Context(), Table::kOrders,
               this->options.codec->OrdersTable(),
               WatchPace{.wait = this->options.watch}),
        targets(*this, this->duty.Context(), Table::kTargets,
                this->options.codec->TargetsTable(),
                WatchPace{.wait = this->options.watch}),
        fleet(*this, this->duty.Context(), Table::kFleet, kFleetTable,
              WatchPace{.wait = this->options.watch}),
        outbox(this->duty.Context()),
        source(*this, this->duty.Context(), this->options.self),
        releases(*this->store, this->catalogue, this->metrics),
        registration(*this->store, this->duty.Context(), this->options.self,
                     this->metrics),
        publisher(this->duty.Context()),
        behind_timer(this->duty.Context()) {
    this->duty.Read(this->from_automation,
                    [this](const configuration::ChangeRequest& request) {
                      this->releases.Commit(request);
                    });
    this->duty.Read(this->from_feed, [this](const feed::Answer& answer) {
      this->source.Take(answer);
    });
    this->duty.Read(this->from_peers,
                    [this](const configuration::PeerRevisions& passed) {
                      this->TakeFromPeer(passed);
                    });
    this->duty.Read(this->views, [this](const membership::View& view) {
      this->NotePeers(view);
    });
    this->duty.Read(this->leave,
                    [this](const Leave&) { this->registration.Remove(); });
  }

  void Start(Outlets writes) {
    this->outlets = std::move(writes);
    this->publisher.Start(this->outlets.followers);
    if (this->outlets.automation != nullptr) {
      this->releases.Start(*this->outlets.automation);
    }
    boost::asio::post(this->duty.Context(), [this] {
      this->outbox.Start(*this->outlets.feed);
      this->outbox.Send(feed::Listen{this->options.self.feed});
      this->source.Start(*this->outlets.feed);
      this->orders.Read();
      this->targets.Read();
      this->registration.Write([this] { this->ReadOwnRow(); });
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

  void NoteAnswers() override { this->Confirm(); }

  void NoteLearnt(const Table table, feed::TableNews news) override {
    this->outbox.Send(feed::Learnt{.table = static_cast<std::size_t>(table),
                                   .news = std::move(news)});
    if (table == Table::kFleet) {
      boost::asio::post(this->duty.Context(), [this] {
        this->ConfigureSource();
        this->CheckRegistration();
      });
    }
    this->Confirm();
  }

  [[nodiscard]] bool IsBacklogged() const noexcept override {
    return this->outbox.IsBacklogged();
  }

  /** Once all tables were read anew, this entry knows what its peers know. */
  void NoteRead() override {
    const bool reading = this->orders.IsReading() ||
                         this->targets.IsReading() || this->fleet.IsReading();
    if (!reading && this->heard_of != core::Revision{}) {
      this->catalogue.CatchUp(this->heard_of);
    }
    this->NoteEra();
    this->ConfigureSource();
  }

  /** Changes of one batch are published together. */
  void NoteChange() override {
    if (std::exchange(this->changed, true)) {
      return;
    }
    boost::asio::post(this->duty.Context(), [this] {
      this->changed = false;
      this->Rebuild();
    });
  }

  [[nodiscard]] std::vector<platform::Position> KnownPositions()
      const override {
    std::vector<platform::Position> positions;
    positions.reserve(kTables);
    for (const Table table : kAllTables) {
      positions.push_back(this->catalogue.PositionOf(table));
    }
    return positions;
  }

  /** A reader of an earlier era confirms nothing that is in force here. */
  [[nodiscard]] bool Hear(const feed::Heard& heard) override {
    if (heard.era < this->catalogue.Era()) {
      return false;
    }
    for (const feed::Learnt& learnt : heard.tables) {
      this->Followers().at(learnt.table)->Hear(learnt.news, heard.confirmed);
    }
    this->NoteEra();
    if (!heard.confirmed || heard.era != this->catalogue.Era()) {
      return true;
    }
    for (internal::TableFollower* follower : this->Followers()) {
      follower->HearConfirmed(*heard.confirmed);
    }
    this->Confirm();
    this->TellMembership(*heard.confirmed);
    return true;
  }

  /** A peer that has started since the store came back tells nothing. */
  void HearEarlier(const std::optional<feed::EarlierEra>& earlier) override {
    const core::TimePoint now = Now();
    const bool held =
        earlier &&
        this->catalogue.TakeEarlier(
            earlier->tables, std::min(earlier->until, now + kRewriteTime), now);
    if (held) {
      this->log.Info("Took from a peer what the store lacks. rows={}",
                     this->catalogue.HeldCount());
    }
    this->NoteChange();
  }

  void ReadStore() override {
    this->metrics.listens.Set(0);
    this->SetPace();
    for (internal::TableFollower* follower : this->Followers()) {
      follower->Activate();
    }
  }

  void LeaveStoreToPeer() override {
    this->metrics.listens.Set(1);
    for (internal::TableFollower* follower : this->Followers()) {
      follower->Rest();
    }
  }

  void NoteWatched(const core::TimePoint sent) override {
    this->TellMembership(sent);
  }

  core::Ring<configuration::ChangeRequest> from_automation;
  core::Ring<configuration::PeerRevisions> from_peers;
  core::Ring<Leave> leave;
  core::Ring<membership::View> views;
  core::Ring<feed::Answer> from_feed;
  core::Duty duty{"registry"};

 private:
  /** A watch on a connection that went silent hears nothing; peers do. */
  void NotePeers(const membership::View& view) {
    core::Revision newest;
    for (const membership::Peer& peer : view.peers) {
      if (peer.state == membership::PeerState::kAlive) {
        newest = std::max(newest, peer.revision);
      }
    }
    this->newest_of_peers = newest;
    this->peers = view.peers;
    this->ConfigureSource();
    if (!this->IsBehind() || std::exchange(this->waits_for_news, true)) {
      return;
    }
    this->behind_timer.expires_after(this->pause + kBehind);
    this->behind_timer.async_wait(
        [this, noted = Now()](const boost::system::error_code error) {
          this->waits_for_news = false;
          if (!error && this->IsBehind()) {
            this->ReadBehind(noted);
          }
        });
  }

  /** What the store has confirmed since the peers knew more holds all that they
   * knew, so that only other tables are read anew. */
  void ReadBehind(const core::TimePoint noted) {
    this->heard_of = this->newest_of_peers;
    bool reads = false;
    for (internal::TableFollower* follower : this->Followers()) {
      if (follower->ConfirmedAt().value_or(core::TimePoint{}) < noted) {
        follower->Read();
        reads = true;
      }
    }
    if (reads) {
      this->log.Info("Peers know more, reads anew. of_peers={} own={}",
                     this->newest_of_peers.Value(),
                     this->update.configuration->Revision().Value());
    } else {
      this->NoteRead();
    }
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
    if (!this->KnowsTargets() && this->catalogue.Restore(*configuration)) {
      this->log.Info("Took a peer's configuration. revision={}",
                     (*configuration)->Revision().Value());
      this->NoteChange();
    }
  }

  /** Whether what is known of the targets is as fresh as a peer may tell it. */
  [[nodiscard]] bool KnowsTargets() const {
    const auto as_of = this->targets.ConfirmedAt();
    return as_of && Now() - *as_of < feed::kMostAge;
  }

  /** A call of an earlier run that the store performs late may remove the row
   * of this one. */
  void CheckRegistration() {
    if (!this->catalogue.HasEntry(this->options.self.name)) {
      this->registration.NoteMissing(this->catalogue.PositionOf(Table::kFleet));
    }
  }

  /** The fleet's table is read once the own row should be in it. */
  void ReadOwnRow() {
    if (!this->fleet.IsKnown() && !this->fleet.IsReading()) {
      this->fleet.Read();
    }
  }

  /** The first update waits until operators' and targets' tables are known,
   * so that nothing is refused for want of what is only unread. */
  void Rebuild() {
    if (this->source.AsksEarlier()) {
      return;
    }
    auto built = this->catalogue.Build(this->wall.Seconds());
    this->rows.Note(this->catalogue);
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
    this->SetPace();
    this->publisher.Publish(this->update);
    this->TellMembership(std::nullopt);
  }

  [[nodiscard]] std::array<internal::TableFollower*, kTables>
  Followers() noexcept {
    return {&this->orders, &this->targets, &this->fleet};
  }

  /** Every entry that reads confirms what it knows often, so that it notices a
   * watch that went silent; all that read for themselves alone take turns. */
  void SetPace() {
    const std::size_t entries = this->catalogue.EntryCount();
    const bool for_peers = this->source.ReadsForPeers();
    this->pause = WatchPause(for_peers ? feed::ReaderCount(entries) : entries);
    WatchPace pace{.wait = std::min(kMostWatch, this->options.watch),
                   .pause = this->pause};
    if (for_peers) {
      pace.most_backoff = kReaderBackoff;
    }
    this->orders.SetPace(pace);
    this->targets.SetPace(pace);
    pace.wait = std::min(kMostFleetWatch, this->options.watch);
    this->fleet.SetPace(pace);
  }

  /** Entries that are registered and not known to be in trouble may read. */
  void ConfigureSource() {
    std::vector<feed::Candidate> live;
    for (const inventory::Instance& entry : this->catalogue.Entries()) {
      if (entry.feed && this->IsLive(entry.name)) {
        live.push_back({.name = entry.name,
                        .data_centre = entry.data_centre,
                        .processor_percent = entry.processor_percent,
                        .address = *entry.feed});
      }
    }
    this->source.Configure(live);
    this->AskEarlier(live);
  }

  /** An entry that starts finds in the store what an older copy has; what was
   * in force before, and is still to be written again, its peers know. */
  void AskEarlier(const std::vector<feed::Candidate>& live) {
    if (!this->ForAll(&internal::TableFollower::IsKnown) ||
        std::exchange(this->has_read_all, true) ||
        this->catalogue.Era() == platform::Era{}) {
      return;
    }
    const auto peer = std::find_if(
        live.begin(), live.end(), [this](const feed::Candidate& candidate) {
          return candidate.name != this->options.self.name;
        });
    if (peer != live.end()) {
      this->source.AskEarlier(*peer);
    }
  }

  [[nodiscard]] bool IsLive(const core::InstanceName& entry) const {
    const auto found = std::find_if(
        this->peers.begin(), this->peers.end(),
        [&](const membership::Peer& peer) { return peer.name == entry; });
    return found == this->peers.end() ||
           found->state == membership::PeerState::kAlive;
  }

  /** All tables are read in a new era, which comes into force with the last of
   * them; then each is known as of what was read. */
  void NoteEra() {
    if (this->catalogue.IsChangingEra()) {
      this->ReadInLatestEra();
      return;
    }
    for (internal::TableFollower* follower : this->Followers()) {
      follower->ConfirmEra();
    }
    if (const auto change = this->catalogue.TakeEraChange()) {
      this->era_notes.NoteChange(*change, Now());
      this->NoteChange();
      this->CheckRegistration();
    }
  }

  void ReadInLatestEra() {
    for (const Table table : kAllTables) {
      auto* follower = this->Followers().at(static_cast<std::size_t>(table));
      if (!this->catalogue.HasLatestEra(table) && !follower->IsReading()) {
        follower->Read();
      }
    }
  }

  /** Tells the peers' duty how well the tables are known. Entries tell each
   * other of their own rows, so the fleet's table may be older. */
  void Confirm() {
    const bool dropped = this->catalogue.DropLapsed();
    const bool settled = this->catalogue.TakeSettled();
    const bool unheld = this->catalogue.SettleHeld(Now());
    if (dropped || settled || unheld) {
      this->NoteChange();
    }
    this->era_notes.NoteHeld(this->catalogue.HeldCount(), Now());
    feed::Confirmation confirmation{
        .at = std::nullopt,
        .era = this->catalogue.Era(),
        .store_answers = this->orders.Answers() && this->targets.Answers()};
    if (this->ForAll(&internal::TableFollower::IsKnown)) {
      confirmation.at = std::min(this->orders.ConfirmedAt().value_or(Now()),
                                 this->targets.ConfirmedAt().value_or(Now()));
    }
    this->outbox.Send(confirmation);
    this->TellChoosing();
  }

  /** The duty that chooses targets tells with each call how old what it knew
   * was; a word that finds the ring full is followed by another. */
  void TellChoosing() {
    if (this->outlets.choosing == nullptr || !this->targets.ConfirmedAt()) {
      return;
    }
    if (!this->outlets.choosing->TryPush({.as_of = *this->targets.ConfirmedAt(),
                                          .told_by = this->targets.ToldBy()})) {
      this->log.Debug("The ring of what is known of targets is full.");
    }
  }

  [[nodiscard]] bool ForAll(bool (internal::TableFollower::*holds)()
                                const noexcept) const {
    return (this->orders.*holds)() && (this->targets.*holds)() &&
           (this->fleet.*holds)();
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

  Options options;
  Outlets outlets;
  std::unique_ptr<platform::WatchedStore> store;
  Catalogue catalogue;
  internal::Metrics metrics;
  internal::RowNotes rows{this->metrics};
  internal::EraNotes era_notes{this->metrics};
  internal::TableFollower orders;
  internal::TableFollower targets;
  internal::TableFollower fleet;
  internal::FeedOutbox outbox;
  internal::PeerSource source;
  internal::ReleaseWriter releases;
  internal::Registration registration;
  internal::Publisher publisher;
  boost::asio::steady_timer behind_timer;
  configuration::Update update;
  core::WallClock wall;
  /** Time between a change of a table and the next watch. */
  std::chrono::milliseconds pause = kLeastWatchPause;
  std::vector<membership::Peer> peers;
  core::Revision newest_of_peers;
  /** Newest revision of a peer for which the tables were read anew. */
  core::Revision heard_of;
  bool waits_for_news = false;
  std::uint64_t desired{};
  bool has_update = false;
  bool has_read_all = false;
  bool changed = false;
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

core::Ring<feed::Answer>& RegistryDuty::FeedInlet() noexcept {
  return this->loop->from_feed;
}

void RegistryDuty::Start(Outlets outlets) {
  this->loop->Start(std::move(outlets));
}

void RegistryDuty::Stop() { this->loop->duty.Stop(); }

}  // namespace trefoilbend::registry
