#ifndef TREFOILBEND_CALLERS_INTERNAL_PEER_CALLS_H_
#define TREFOILBEND_CALLERS_INTERNAL_PEER_CALLS_H_

#include <cstddef>
#include <unordered_map>

#include "trefoilbend/core/call.h"
#include "trefoilbend/core/number.h"
#include "trefoilbend/core/ring.h"
#include "trefoilbend/relay/messages.h"

namespace trefoilbend::callers::internal {

/** @brief Calls that this entry passes on to the homes of their keys, and calls
 * that peers pass on to this entry. */
class PeerCalls {
 public:
  /**
   * @brief Makes an empty collection.
   * @param most Calls that may be passed on at the same time.
   */
  explicit PeerCalls(const std::size_t most) : most(most) {}

  /**
   * @brief Sets the ring to the duty that carries the calls.
   * @param ring The ring, which outlives the collection; null if there is no
   * such duty.
   */
  void Start(core::Ring<relay::FromCallers>* ring) noexcept {
    this->relay = ring;
  }

  /**
   * @brief Has peers' calls taken on an address.
   * @param order The address.
   */
  void Listen(const relay::Listen& order);

  /**
   * @brief Passes a call on to a peer.
   * @param call Call to pass on.
   * @return False if too many are under way.
   */
  [[nodiscard]] bool PassOn(relay::PassCall call);

  /** @brief Takes note that a call that was passed on has its result. */
  void NoteReturned() noexcept { --this->passes; }

  /**
   * @brief Takes note of a peer's call.
   * @param waiter Identity of the call in this entry.
   * @param received Identity of the peer's call.
   */
  void Receive(core::CallId waiter, relay::ReceivedId received);

  /**
   * @brief Sends a peer the result of its call.
   * @param received Identity of the peer's call.
   * @param result The result.
   */
  void Reply(relay::ReceivedId received, const idempotency::Result& result);

  /**
   * @brief Sends the result of a call to the peer that waits for it.
   * @param waiter Identity of the call in this entry.
   * @param result The result.
   * @return False if it is no peer's call.
   */
  [[nodiscard]] bool Deliver(core::CallId waiter,
                             const idempotency::Result& result);

  /** @return Whether no peer's call is open. */
  [[nodiscard]] bool IsIdle() const noexcept { return this->received.empty(); }

 private:
  std::size_t most;
  std::size_t passes{};
  core::Ring<relay::FromCallers>* relay{};
  std::unordered_map<core::CallId, relay::ReceivedId> received;
};

}  // namespace trefoilbend::callers::internal

#endif  // TREFOILBEND_CALLERS_INTERNAL_PEER_CALLS_H_
