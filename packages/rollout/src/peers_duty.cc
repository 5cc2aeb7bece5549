#include "trefoilbend/rollout/peers_duty.h"

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
#include "trefoilbend/rpc/link.h"
#include "trefoilbend/rpc/listener.h"

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

/** Sends reports to one peer, one at a time. */
class Reporter {
 public:
  explicit Reporter(kj::AsyncIoContext& io) : io(io), link(io) {}

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
              this->link.Close();
            });
  }

 private:
  kj::Promise<void> Report(const http::Address& address,
                           const Brakes::Reasons& brakes,
                           const Windows& windows) {
    return this->link.Open(address).then([brakes,
                                          windows](wire::Peer::Client peer) {
      auto request = peer.reportRequest();
      internal::Encode(
          brakes, request.initBrakes(static_cast<unsigned>(brakes.size())));
      internal::Encode(
          windows, request.initEvidence(static_cast<unsigned>(windows.size())));
      return request.send().ignoreResult();
    });
  }

  kj::AsyncIoContext& io;
  rpc::Link<wire::Peer> link;
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
          listener(io, wire::Peer::Client(kj::heap<ReportServer>(rollout)),
                   "reports", log) {}

    void Send(const OutgoingReport& report) {
      if (report.self) {
        this->listener.ListenOn(report.self);
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
        auto& reporter = this->reporters[peer];
        if (reporter == nullptr) {
          reporter = std::make_unique<Reporter>(this->io);
        }
        reporter->Send(peer, report.brakes, windows);
      }
    }

    kj::AsyncIoContext& io;
    rpc::Listener listener;
    std::map<http::Address, std::unique_ptr<Reporter>> reporters;
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
