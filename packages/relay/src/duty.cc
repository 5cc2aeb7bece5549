#include "trefoilbend/relay/duty.h"

#include <kj/async-io.h>

#include <utility>

#include "internal/peers.h"
#include "internal/server.h"
#include "trefoilbend/core/invariant.h"
#include "trefoilbend/core/log.h"
#include "trefoilbend/core/outcome.h"
#include "trefoilbend/rpc/duty.h"
#include "trefoilbend/rpc/listener.h"

namespace trefoilbend::relay {

namespace {

constexpr std::size_t kMessagesPerCall = 4;

}  // namespace

class RelayDuty::Loop {
 public:
  explicit Loop(const std::size_t max_calls)
      : from_callers(max_calls * kMessagesPerCall), max_calls(max_calls) {
    this->duty.Read(this->from_callers, [this](FromCallers&& message) {
      std::visit(core::Visitor{[](std::monostate) {},
                               [this](const Listen& order) {
                                 this->state->listener.ListenOn(order.address);
                               },
                               [this](PassCall& call) {
                                 this->state->Pass(std::move(call));
                               },
                               [this](ReplyCall& reply) {
                                 this->state->server.Reply(std::move(reply));
                               }},
                 message);
    });
  }

  void Start(core::Ring<ToCallers>& writes) {
    this->callers = &writes;
    this->duty.Start([this](kj::AsyncIoContext& io) -> kj::Own<void> {
      auto made = kj::heap<State>(io, *this);
      this->state = made.get();
      return made;
    });
  }

  core::Ring<FromCallers> from_callers;
  rpc::Duty duty{"relay"};

 private:
  /** What lives on the duty's thread. */
  struct State {
    State(kj::AsyncIoContext& io, Loop& loop)
        : loop(loop),
          peers(io),
          server_capability(kj::heap<internal::Server>(
              loop.max_calls,
              [&loop](CallReceived call) {
                return loop.callers->TryPush(std::move(call));
              })),
          server(static_cast<internal::Server&>(*server_capability)),
          listener(io, wire::Relay::Client(kj::mv(server_capability)), "calls",
                   loop.log) {}

    void Pass(PassCall call) {
      this->peers.Pass(std::move(call), [this](CallReturned returned) {
        core::CheckInvariant(
            this->loop.callers->TryPush(std::move(returned)),
            "the ring to callers has room for every call passed on");
      });
    }

    Loop& loop;
    internal::Peers peers;
    kj::Own<wire::Relay::Server> server_capability;
    internal::Server& server;
    rpc::Listener listener;
  };

  std::size_t max_calls;
  core::Ring<ToCallers>* callers{};
  State* state{};
  core::Log log{"relay"};
};

RelayDuty::RelayDuty(const std::size_t max_calls)
    : loop(std::make_unique<Loop>(max_calls)) {}

RelayDuty::~RelayDuty() { this->Stop(); }

core::Ring<FromCallers>& RelayDuty::CallersInlet() noexcept {
  return this->loop->from_callers;
}

void RelayDuty::Start(core::Ring<ToCallers>& callers) {
  this->loop->Start(callers);
}

void RelayDuty::Stop() { this->loop->duty.Stop(); }

}  // namespace trefoilbend::relay
