#include "trefoilbend/feed/duty.h"

#include <kj/async-io.h>
#include <kj/timer.h>

#include <optional>
#include <utility>

#include "internal/feed_codec.h"
#include "internal/server.h"
#include "trefoilbend/core/invariant.h"
#include "trefoilbend/core/log.h"
#include "trefoilbend/core/outcome.h"
#include "trefoilbend/rpc/duty.h"
#include "trefoilbend/rpc/link.h"
#include "trefoilbend/rpc/listener.h"

namespace trefoilbend::feed {

namespace {

constexpr std::size_t kMessages = 256;
/** Time that a peer has for an answer beside the wait that it is asked for. */
constexpr std::chrono::milliseconds kAnswerTime{400};

kj::Duration ToKj(const std::chrono::milliseconds time) {
  return time.count() * kj::MILLISECONDS;
}

}  // namespace

class FeedDuty::Loop {
 public:
  explicit Loop(const std::size_t tables)
      : from_registry(kMessages), tables(tables) {
    this->duty.Read(this->from_registry, [this](const ToFeed& message) {
      std::visit(
          core::Visitor{[](std::monostate) {},
                        [this](const Listen& order) {
                          this->state->listener.ListenOn(order.address);
                        },
                        [this](const Learnt& learnt) {
                          this->state->server.Take(learnt);
                        },
                        [this](const Confirmation& confirmation) {
                          this->state->server.Take(confirmation);
                        },
                        [this](const Ask& ask) { this->state->Send(ask); }},
          message);
    });
  }

  void Start(core::Ring<Answer>& writes) {
    this->registry = &writes;
    this->duty.Start([this](kj::AsyncIoContext& io) -> kj::Own<void> {
      auto made = kj::heap<State>(io, *this);
      this->state = made.get();
      return made;
    });
  }

  core::Ring<ToFeed> from_registry;
  rpc::Duty duty{"feed"};

 private:
  /** What lives on the duty's thread. */
  struct State {
    State(kj::AsyncIoContext& io, Loop& loop)
        : io(io),
          loop(loop),
          server_capability(
              kj::heap<internal::Server>(loop.tables, io.provider->getTimer())),
          server(static_cast<internal::Server&>(*server_capability)),
          listener(io, wire::Feed::Client(kj::mv(server_capability)),
                   "questions for the store's tables", loop.log) {}

    /** A question under way is given up for the next one. */
    void Send(const Ask& ask) {
      this->asking = nullptr;
      if (this->peer != ask.peer) {
        this->peer = ask.peer;
        this->link.emplace(this->io);
      }
      this->asking =
          this->io.provider->getTimer()
              .timeoutAfter(ToKj(ask.wait + kAnswerTime),
                            kj::evalNow([&] { return this->Watch(ask); }))
              .then([this, id = ask.id, from = ask.peer](Heard&& heard) {
                this->Pass(
                    {.id = id, .peer = from, .result = std::move(heard)});
              })
              .eagerlyEvaluate([this, id = ask.id,
                                from = ask.peer](kj::Exception&& exception) {
                this->link->Close();
                this->Pass(
                    {.id = id,
                     .peer = from,
                     .result = NotHeard{exception.getDescription().cStr()}});
              });
    }

    kj::Promise<Heard> Watch(const Ask& ask) {
      return this->link->Open(ask.peer).then([this,
                                              ask](wire::Feed::Client client) {
        auto request = client.watchRequest();
        request.setWaitMs(static_cast<std::uint32_t>(ask.wait.count()));
        // Earlier programs wait only if told what they believe themselves.
        request.setStoreAnswers(true);
        request.setWantsEarlier(ask.wants_earlier);
        request.setKnown(ask.confirmed.has_value());
        if (ask.confirmed) {
          request.setAgeMs(internal::AgeOf(*ask.confirmed,
                                           std::chrono::steady_clock::now()));
        }
        auto after = request.initAfter(static_cast<unsigned>(ask.after.size()));
        auto eras = request.initEras(static_cast<unsigned>(ask.after.size()));
        for (unsigned at = 0; at < after.size(); ++at) {
          after.set(at, ask.after[at].Version().Value());
          eras.set(at, ask.after[at].Era().Value());
        }
        return request.send().then(
            [this](capnp::Response<wire::Feed::WatchResults>&& response) {
              return internal::Decode(response.getNews(), this->loop.tables,
                                      std::chrono::steady_clock::now());
            });
      });
    }

    void Pass(Answer&& answer) {
      core::CheckInvariant(this->loop.registry->TryPush(std::move(answer)),
                           "the ring has room for the only answer under way");
    }

    kj::AsyncIoContext& io;
    Loop& loop;
    kj::Own<wire::Feed::Server> server_capability;
    internal::Server& server;
    rpc::Listener listener;
    http::Address peer;
    std::optional<rpc::Link<wire::Feed>> link;
    kj::Promise<void> asking = nullptr;
  };

  std::size_t tables;
  core::Ring<Answer>* registry{};
  State* state{};
  core::Log log{"feed"};
};

FeedDuty::FeedDuty(const std::size_t tables)
    : loop(std::make_unique<Loop>(tables)) {}

FeedDuty::~FeedDuty() { this->Stop(); }

core::Ring<ToFeed>& FeedDuty::RegistryInlet() noexcept {
  return this->loop->from_registry;
}

void FeedDuty::Start(core::Ring<Answer>& registry) {
  this->loop->Start(registry);
}

void FeedDuty::Stop() { this->loop->duty.Stop(); }

}  // namespace trefoilbend::feed
