#ifndef TREFOILBEND_REGISTRY_INTERNAL_FEED_OUTBOX_H_
#define TREFOILBEND_REGISTRY_INTERNAL_FEED_OUTBOX_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>

#include "trefoilbend/core/ring.h"
#include "trefoilbend/feed/messages.h"

namespace trefoilbend::registry::internal {

/** @brief Passes what is learnt on to the duty of the feed, in order and
 * without a gap: what finds the ring full waits here. */
class FeedOutbox {
 public:
  /**
   * @brief Makes an outbox without a ring; what it gets waits.
   * @param context Event loop of the duty.
   */
  explicit FeedOutbox(boost::asio::io_context& context) : timer(context) {}

  /**
   * @brief Sets the ring and sends what waits.
   * @param ring Ring that outlives the outbox.
   */
  void Start(core::Ring<feed::ToFeed>& ring);

  /**
   * @brief Sends a message, after those that wait.
   * @param message Message to send.
   */
  void Send(feed::ToFeed message);

  /** @return Whether messages wait. */
  [[nodiscard]] bool IsBacklogged() const noexcept {
    return !this->waiting.empty();
  }

 private:
  void Flush();

  core::Ring<feed::ToFeed>* ring{};
  std::deque<feed::ToFeed> waiting;
  boost::asio::steady_timer timer;
};

}  // namespace trefoilbend::registry::internal

#endif  // TREFOILBEND_REGISTRY_INTERNAL_FEED_OUTBOX_H_
