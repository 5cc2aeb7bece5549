#include "trefoilbend/membership/duty.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <algorithm>
#include <array>
#include <random>
#include <utility>

#include "gossip.capnp.h"
#include "trefoilbend/core/log.h"
#include "trefoilbend/inventory/codec.h"
#include "trefoilbend/inventory/snapshot.h"
#include "trefoilbend/rpc/duty.h"
#include "trefoilbend/rpc/listener.h"

namespace trefoilbend::membership {

namespace {

constexpr std::size_t kMessages = 64;
constexpr std::size_t kPeersToldOfLeaving = 16;
constexpr std::size_t kMostRowsHeard = 1'024;
constexpr unsigned kMostExchanges = 32;
constexpr kj::Duration kExchangeTimeout = 1 * kj::SECONDS;
constexpr kj::Duration kRevisionsTimeout = 3 * kj::SECONDS;

const char* TextOf(const PeerState state) noexcept {
  static constexpr std::array<const char*, 4> kTexts{"alive", "suspect",
                                                     "leaving", "dead"};
  return kTexts.at(static_cast<std::size_t>(state));
}

core::TimePoint Now() { return std::chrono::steady_clock::now(); }

template <typename Builder>
void Write(const std::vector<MemberRow>& rows, Builder list) {
  for (unsigned at = 0; at < rows.size(); ++at) {
    auto member = list[at];
    member.setId(static_cast<std::uint32_t>(rows[at].id.Value()));
    member.setIncarnation(rows[at].incarnation.Value());
    member.setHeartbeat(static_cast<std::uint32_t>(rows[at].heartbeat.Value()));
    member.setLeaving(rows[at].leaving);
    member.setRevision(static_cast<std::uint32_t>(rows[at].revision.Value()));
    member.setAge(static_cast<std::uint16_t>(rows[at].age.count()));
  }
}

std::vector<MemberRow> Read(const capnp::List<wire::Member>::Reader members) {
  std::vector<MemberRow> rows;
  for (const wire::Member::Reader member : members) {
    if (rows.size() == kMostRowsHeard) {
      break;
    }
    rows.push_back({.id = MemberId{member.getId()},
                    .incarnation = core::Incarnation{member.getIncarnation()},
                    .heartbeat = Heartbeat{member.getHeartbeat()},
                    .leaving = member.getLeaving(),
                    .revision = core::Revision{member.getRevision()},
                    .age = std::chrono::milliseconds{member.getAge()}});
  }
  return rows;
}

/** A connection to a peer for one exchange. */
struct Connection {
  explicit Connection(kj::Own<kj::AsyncIoStream> stream)
      : stream(kj::mv(stream)), client(*this->stream) {}

  wire::Gossip::Client Gossip() {
    return this->client.bootstrap().castAs<wire::Gossip>();
  }

  kj::Own<kj::AsyncIoStream> stream;
  capnp::TwoPartyClient client;
};

}  // namespace

class MembershipDuty::Loop {
 public:
  explicit Loop(Options options)
      : progress(kMessages), leave(kMessages), options(std::move(options)) {
    this->duty.Read(this->progress, [this](configuration::Progress&& news) {
      this->state->Learn(std::move(news));
    });
    this->duty.Read(this->leave,
                    [this](const Leave&) { this->state->TellLeaving(); });
  }

  void Start(Outlets writes) {
    this->outlets = std::move(writes);
    this->duty.Start([this](kj::AsyncIoContext& io) -> kj::Own<void> {
      auto made = kj::heap<State>(io, *this);
      this->state = made.get();
      return made;
    });
  }

  core::Ring<configuration::Progress> progress;
  core::Ring<Leave> leave;
  rpc::Duty duty{"membership"};

 private:
  /** What lives on the duty's thread. */
  struct State final : kj::TaskSet::ErrorHandler {
    State(kj::AsyncIoContext& io, Loop& loop)
        : io(io),
          loop(loop),
          table(loop.options.self, loop.options.incarnation,
                loop.options.limits, std::random_device{}()),
          listener(io, wire::Gossip::Client(kj::heap<Server>(*this)), "gossip",
                   loop.log),
          tasks(*this) {
      this->delivered.assign(loop.outlets.followers.size(), true);
      this->rounds =
          this->Round().eagerlyEvaluate([this](kj::Exception&& exception) {
            this->taskFailed(kj::mv(exception));
          });
    }

    void taskFailed(kj::Exception&& exception) override {
      this->loop.log.Debug("Exchange failed: {}.",
                           exception.getDescription().cStr());
    }

    kj::Promise<void> Round() {
      this->table.Beat();
      for (const http::Address& peer :
           this->table.ChoosePeers(this->loop.options.limits.peers, Now())) {
        this->Exchange(peer);
      }
      this->Fetch();
      this->Publish();
      const std::int64_t round = this->loop.options.limits.round.count();
      std::uniform_int_distribution<std::int64_t> jitter{round * 9 / 10,
                                                         round * 11 / 10};
      return this->io.provider->getTimer()
          .afterDelay(jitter(this->random) * kj::MILLISECONDS)
          .then([this] { return this->Round(); });
    }

    kj::Promise<kj::Own<Connection>> Connect(const http::Address& peer) {
      return this->io.provider->getNetwork()
          .parseAddress(http::ToString(peer).c_str())
          .then([](kj::Own<kj::NetworkAddress>&& address) {
            auto connecting = address->connect();
            return connecting.attach(kj::mv(address));
          })
          .then([](kj::Own<kj::AsyncIoStream>&& stream) {
            return kj::heap<Connection>(kj::mv(stream));
          });
    }

    void Exchange(const http::Address& peer) {
      if (this->exchanges == kMostExchanges) {
        return;
      }
      ++this->exchanges;
      auto exchanging = this->Connect(peer).then([this](kj::Own<Connection>&&
                                                            connection) {
        const core::TimePoint asked = Now();
        const std::vector<MemberRow> rows = this->table.Tell(asked);
        auto request = connection->Gossip().exchangeRequest();
        Write(rows, request.initMembers(static_cast<unsigned>(rows.size())));
        return request.send()
            .then(
                [this, asked](
                    capnp::Response<wire::Gossip::ExchangeResults>&& response) {
                  this->table.HearAnswer(Read(response.getMembers()), asked,
                                         Now());
                })
            .attach(kj::mv(connection));
      });
      this->tasks.add(this->io.provider->getTimer()
                          .timeoutAfter(kExchangeTimeout, kj::mv(exchanging))
                          .attach(kj::defer([this] { --this->exchanges; })));
    }

    void Fetch() {
      const auto peer = this->ChooseSource();
      if (this->fetching || !peer || !this->WantsRevisions()) {
        return;
      }
      this->fetching = true;
      auto fetching =
          this->Connect(*peer).then([this](kj::Own<Connection>&& connection) {
            auto request = connection->Gossip().revisionsRequest();
            request.setAfter(this->Revision().Value());
            return request.send()
                .then([this](capnp::Response<wire::Gossip::RevisionsResults>&&
                                 response) {
                  this->Pass(response.getRevisions());
                })
                .attach(kj::mv(connection));
          });
      this->tasks.add(
          this->io.provider->getTimer()
              .timeoutAfter(kRevisionsTimeout, kj::mv(fetching))
              .attach(kj::defer([this] { this->fetching = false; })));
    }

    /** Without recent revisions a peer sends its whole configuration, which is
     * of use only to an entry that hears nothing of the platform. */
    [[nodiscard]] bool WantsRevisions() const {
      return this->news.configuration == nullptr ||
             this->news.recent != nullptr ||
             !this->table.HasFreshPlatform(Now());
    }

    [[nodiscard]] core::Revision Revision() const {
      return this->news.configuration == nullptr
                 ? core::Revision{}
                 : this->news.configuration->Revision();
    }

    std::optional<http::Address> ChooseSource() {
      const auto& seeds = this->loop.options.seeds;
      if (this->Revision() != core::Revision{} || seeds.empty()) {
        return this->table.ChooseAhead();
      }
      std::uniform_int_distribution<std::size_t> index{0, seeds.size() - 1};
      return seeds[index(this->random)];
    }

    void Pass(const wire::Revisions::Reader& revisions) {
      configuration::PeerRevisions passed;
      if (revisions.isSnapshot()) {
        passed.snapshot = revisions.getSnapshot().cStr();
      } else {
        for (const capnp::Text::Reader row : revisions.getRows()) {
          passed.rows.emplace_back(row.cStr());
        }
      }
      if (!this->loop.outlets.configuration->TryPush(std::move(passed))) {
        this->loop.log.Debug("Revisions of a peer wait for the next round.");
      }
    }

    void Learn(configuration::Progress&& progress) {
      if (progress.platform_answered) {
        this->table.NotePlatform(*progress.platform_answered);
      }
      if (progress.configuration == this->news.configuration) {
        return;
      }
      this->news = std::move(progress);
      this->table.Configure(this->news.configuration, Now());
      this->listener.ListenOn(this->table.OwnAddress());
      this->Publish();
    }

    void TellLeaving() {
      this->table.Leave();
      this->table.Beat();
      for (const http::Address& peer :
           this->table.ChoosePeers(kPeersToldOfLeaving, Now())) {
        this->Exchange(peer);
      }
    }

    void Publish() {
      View now = this->table.Observe(Now());
      if (now != this->view) {
        if (now.current != this->view.current) {
          this->loop.log.Info(
              "The configuration is {}.",
              now.current ? "current" : "not known to be current");
        }
        this->TellPeers(now);
        this->view = std::move(now);
        this->delivered.assign(this->delivered.size(), false);
      }
      for (std::size_t at = 0; at < this->delivered.size(); ++at) {
        if (!this->delivered[at]) {
          this->delivered[at] =
              this->loop.outlets.followers[at]->TryPush(View{this->view});
        }
      }
    }

    /** One line for each peer whose state has changed. */
    void TellPeers(const View& now) {
      for (const Peer& peer : now.peers) {
        const auto before = std::find_if(
            this->view.peers.begin(), this->view.peers.end(),
            [&](const Peer& one) { return one.name == peer.name; });
        const bool same = before != this->view.peers.end() &&
                          before->state == peer.state &&
                          before->incarnation == peer.incarnation;
        if (!same) {
          this->loop.log.Info("Peer is {}. peer={} incarnation={} revision={}",
                              TextOf(peer.state), peer.name.Text(),
                              peer.incarnation.Value(), peer.revision.Value());
        }
      }
    }

    kj::AsyncIoContext& io;
    Loop& loop;
    MemberTable table;
    configuration::Progress news;
    View view;
    std::vector<bool> delivered;
    std::mt19937_64 random{std::random_device{}()};
    unsigned exchanges = 0;
    bool fetching = false;
    rpc::Listener listener;
    kj::TaskSet tasks;
    kj::Promise<void> rounds = nullptr;
  };

  /** Answers the peers. */
  class Server final : public wire::Gossip::Server {
   public:
    explicit Server(State& state) : state(state) {}

    kj::Promise<void> exchange(ExchangeContext context) override {
      this->state.table.Hear(Read(context.getParams().getMembers()), Now());
      const std::vector<MemberRow> rows = this->state.table.Tell(Now());
      Write(rows, context.getResults().initMembers(
                      static_cast<unsigned>(rows.size())));
      return kj::READY_NOW;
    }

    kj::Promise<void> revisions(RevisionsContext context) override {
      const core::Revision after{context.getParams().getAfter()};
      auto results = context.getResults().initRevisions();
      const configuration::Progress& news = this->state.news;
      if (news.configuration == nullptr ||
          news.configuration->Revision() <= after) {
        results.initRows(0);
        return kj::READY_NOW;
      }
      if (news.recent == nullptr || news.recent->empty() ||
          news.recent->front().revision > after.Next()) {
        results.setSnapshot(
            inventory::EncodeSnapshot(*news.configuration).c_str());
        return kj::READY_NOW;
      }
      const auto newer = static_cast<unsigned>(
          news.recent->back().revision.Value() - after.Value());
      auto rows = results.initRows(newer);
      for (unsigned at = 0; at < newer; ++at) {
        const auto& revised = (*news.recent)[news.recent->size() - newer + at];
        rows.set(at, inventory::Encode(revised).c_str());
      }
      return kj::READY_NOW;
    }

   private:
    State& state;
  };

  Options options;
  Outlets outlets;
  State* state{};
  core::Log log{"membership"};
};

MembershipDuty::MembershipDuty(Options options)
    : loop(std::make_unique<Loop>(std::move(options))) {}

MembershipDuty::~MembershipDuty() { this->Stop(); }

core::Ring<configuration::Progress>&
MembershipDuty::ConfigurationInlet() noexcept {
  return this->loop->progress;
}

core::Ring<Leave>& MembershipDuty::LeaveInlet() noexcept {
  return this->loop->leave;
}

void MembershipDuty::Start(Outlets outlets) {
  this->loop->Start(std::move(outlets));
}

void MembershipDuty::Stop() { this->loop->duty.Stop(); }

}  // namespace trefoilbend::membership
