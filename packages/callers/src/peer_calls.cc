#include "internal/peer_calls.h"

#include <utility>

#include "trefoilbend/core/invariant.h"

namespace trefoilbend::callers::internal {

void PeerCalls::Listen(const relay::Listen& order) {
  core::CheckInvariant(
      this->relay->TryPush(order),
      "the ring to the relay has room for every configuration");
}

bool PeerCalls::PassOn(relay::PassCall call) {
  if (this->passes >= this->most || !this->relay->TryPush(std::move(call))) {
    return false;
  }
  ++this->passes;
  return true;
}

void PeerCalls::Receive(const core::CallId waiter,
                        const relay::ReceivedId peers_call) {
  this->received.emplace(waiter, peers_call);
}

void PeerCalls::Reply(const relay::ReceivedId peers_call,
                      const idempotency::Result& result) {
  core::CheckInvariant(
      this->relay->TryPush(relay::ReplyCall{peers_call, result}),
      "the ring to the relay has room for every call's result");
}

bool PeerCalls::Deliver(const core::CallId waiter,
                        const idempotency::Result& result) {
  const auto found = this->received.find(waiter);
  if (found == this->received.end()) {
    return false;
  }
  this->Reply(found->second, result);
  this->received.erase(found);
  return true;
}

}  // namespace trefoilbend::callers::internal
