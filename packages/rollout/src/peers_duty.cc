#include "trefoilbend/rollout/peers_duty.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <kj/timer.h>

#include <algorithm>
#include <map>
#include <string>
#include <utility>

#include "internal/peer_codec.h"
#include "rollout.capnp.h"
#include "trefoilbend/core/log.h"
#include "trefoilbend/rpc/duty.h"

namespace trefoilbend::rollout {

namespace {

constexpr std::size_t kReports = 64;
constexpr kj::Duration kTimeout = 1 * kj::SECONDS;

/** Takes the reports of peers. */
class ReportServer final : public wire::Peer::Server {
 public:
  explicit ReportServer(core::Ring<PeerReport>& rollout) : rollout(rollout) {}

  kj::Promise<void> report(ReportContext context) override {
    const auto params = context.getParams();
    // Brakes that find the ring full come again with the next report.
    (void)this->rollout.TryPush(
        {.brakes = internal::Decode(params.getBrakes()),
         .windows = internal::Decode(params.getEvidence())});
    return kj::READY_NOW;
  }

 private:
  core::Ring<PeerReport>& rollout;
};

/** Connection to one peer, with one report under way at a time. */
class Link {
 public:
  explicit Link(kj::AsyncIoContext& io) : io(io) {}

  void Send(const http::Address& address, const Brakes::Reasons& brakes,
            const Windows& windows) {
    if (this->busy) {
      return;
    }
    this->busy = true;
    this->sending =
        this->io.provider->getTimer()
            .timeoutAfter(kTimeout, kj::evalNow([&] {
                            return this->Report(address, brakes, windows);
                          }))
            .then([this] { this->busy = false; })
            .eagerlyEvaluate([this](kj::Exception&&) {
              this->busy = false;
              this->Close();
            });
  }

 private:
  kj::Promise<void> Report(const http::Address& address,
                           const Brakes::Reasons& brakes,
                           const Windows& windows) {
    if (this->client.get() != nullptr) {
      return this->Call(brakes, windows);
    }
    return this->io.provider->getNetwork()
        .parseAddress(http::ToString(address).c_str())
        .then([](kj::Own<kj::NetworkAddress>&& parsed) {
          auto connecting = parsed->connect();
          return connecting.attach(kj::mv(parsed));
        })
        .then([this, brakes, windows](kj::Own<kj::AsyncIoStream>&& opened) {
          this->stream = kj::mv(opened);
          this->client = kj::heap<capnp::TwoPartyClient>(*this->stream);
          this->peer = this->client->bootstrap().castAs<wire::Peer>();
          return this->Call(brakes, windows);
        });
  }

  kj::Promise<void> Call(const Brakes::Reasons& brakes,
                         const Windows& windows) {
    auto request = KJ_ASSERT_NONNULL(this->peer).reportRequest();
    internal::Encode(brakes,
                     request.initBrakes(static_cast<unsigned>(brakes.size())));
    internal::Encode(
        windows, request.initEvidence(static_cast<unsigned>(windows.size())));
    return request.send().ignoreResult();
  }

  void Close() {
    this->peer = nullptr;
    this->client = nullptr;
    this->stream = nullptr;
  }

  kj::AsyncIoContext& io;
  kj::Own<kj::AsyncIoStream> stream;
  kj::Own<capnp::TwoPartyClient> client;
  // A second bootstrap on a closed connection would throw.
  kj::Maybe<wire::Peer::Client> peer;
  bool busy = false;
  kj::Promise<void> sending = nullptr;
};

}  // namespace

class PeersDuty::Loop {
 public:
  Loop() : reports(kReports) {
    this->duty.Read(this->reports, [this](const OutgoingReport& report) {
      this->state->Send(report);
    });
  }

  void Start(core::Ring<PeerReport>& rollout) {
    this->duty.Start([this, &rollout](kj::AsyncIoContext& io) {
      auto made = kj::heap<State>(io, rollout, this->log);
      this->state = made.get();
      return kj::Own<void>(kj::mv(made));
    });
  }

  core::Ring<OutgoingReport> reports;
  rpc::Duty duty{"rollout-peers"};

 private:
  /** What lives on the duty's thread. */
  struct State {
    State(kj::AsyncIoContext& io, core::Ring<PeerReport>& rollout,
          const core::Log& log)
        : io(io),
          log(log),
          two_party(wire::Peer::Client(kj::heap<ReportServer>(rollout))) {}

    void Send(const OutgoingReport& report) {
      if (report.self && this->address != report.self) {
        this->ListenOn(*report.self);
      }
      static const Windows kNone;
      for (const http::Address& peer : report.peers) {
        const bool controls =
            std::find(report.controllers.begin(), report.controllers.end(),
                      peer) != report.controllers.end();
        const Windows& windows = controls ? report.windows : kNone;
        if (report.brakes.empty() && windows.empty()) {
          continue;
        }
        auto& link = this->links[peer];
        if (link == nullptr) {
          link = std::make_unique<Link>(this->io);
        }
        link->Send(peer, report.brakes, windows);
      }
    }

    void ListenOn(const http::Address& wanted) {
      this->address = wanted;
      this->listening =
          this->io.provider->getNetwork()
              .parseAddress(http::ToString(wanted).c_str())
              .then([this](kj::Own<kj::NetworkAddress>&& parsed) {
                auto receiver = parsed->listen();
                auto accepting = this->two_party.listen(*receiver);
                return accepting.attach(kj::mv(receiver), kj::mv(parsed));
              })
              .eagerlyEvaluate([this](kj::Exception&& exception) {
                this->log.Warn("Cannot take peers' reports: {}.",
                               exception.getDescription().cStr());
                this->address.reset();
              });
    }

    kj::AsyncIoContext& io;
    const core::Log& log;
    capnp::TwoPartyServer two_party;
    std::map<http::Address, std::unique_ptr<Link>> links;
    kj::Promise<void> listening = nullptr;
    std::optional<http::Address> address;
  };

  State* state{};
  core::Log log{"rollout"};
};

PeersDuty::PeersDuty() : loop(std::make_unique<Loop>()) {}

PeersDuty::~PeersDuty() { this->Stop(); }

core::Ring<OutgoingReport>& PeersDuty::RolloutInlet() noexcept {
  return this->loop->reports;
}

void PeersDuty::Start(core::Ring<PeerReport>& rollout) {
  this->loop->Start(rollout);
}

void PeersDuty::Stop() { this->loop->duty.Stop(); }

}  // namespace trefoilbend::rollout
