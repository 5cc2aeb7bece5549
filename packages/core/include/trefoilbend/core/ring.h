#ifndef TREFOILBEND_CORE_RING_H_
#define TREFOILBEND_CORE_RING_H_

#include <atomic>
#include <bit>
#include <cstddef>
#include <functional>
#include <utility>
#include <vector>

namespace trefoilbend::core {

/**
 * @brief Bounded queue from one writing thread to one reading thread.
 *
 * The reader is woken once for each batch, never polled. A full ring refuses
 * the message.
 *
 * @tparam Message Movable and default-constructible type of what is passed on.
 */
template <typename Message>
class Ring {
 public:
  /**
   * @brief Makes an empty ring.
   * @param capacity Least number of messages that it holds; rounded up to a
   * power of two.
   */
  explicit Ring(std::size_t capacity)
      : slots(std::bit_ceil(capacity)), mask(slots.size() - 1) {}

  Ring(const Ring&) = delete;
  Ring& operator=(const Ring&) = delete;

  /**
   * @brief Sets how the reader is woken; called before the first message.
   * @param function Function that makes the reader call Drain, safe to call
   * from the writer's thread.
   */
  template <typename Wake>
  void SetWake(Wake&& function) {
    this->wake = std::forward<Wake>(function);
  }

  /**
   * @brief Adds a message; called by the writer only.
   * @param message Message, moved from only on success.
   * @return False if the ring is full.
   */
  [[nodiscard]] bool TryPush(Message&& message) {
    const std::size_t at = this->tail.load(std::memory_order_relaxed);
    if (at - this->head.load(std::memory_order_acquire) == this->slots.size()) {
      return false;
    }
    this->slots[at & this->mask] = std::move(message);
    this->tail.store(at + 1, std::memory_order_release);
    if (!this->wake_pending.exchange(true, std::memory_order_acq_rel) &&
        this->wake) {
      this->wake();
    }
    return true;
  }

  /**
   * @brief Hands every waiting message to a handler; called by the reader only.
   * @param handler Function that takes a message by rvalue reference.
   * @return Number of messages handed over.
   */
  template <typename Handler>
  std::size_t Drain(Handler&& handler) {
    this->wake_pending.exchange(false, std::memory_order_acq_rel);
    const std::size_t end = this->tail.load(std::memory_order_acquire);
    const std::size_t begin = this->head.load(std::memory_order_relaxed);
    for (std::size_t at = begin; at != end; ++at) {
      Message message = std::exchange(this->slots[at & this->mask], Message{});
      this->head.store(at + 1, std::memory_order_release);
      handler(std::move(message));
    }
    return end - begin;
  }

  /** @return Number of messages that the ring holds at most. */
  [[nodiscard]] std::size_t Capacity() const noexcept {
    return this->slots.size();
  }

 private:
  static constexpr std::size_t kCacheLine = 64;

  std::vector<Message> slots;
  std::size_t mask;
  std::function<void()> wake;
  alignas(kCacheLine) std::atomic<std::size_t> head{};
  alignas(kCacheLine) std::atomic<std::size_t> tail{};
  alignas(kCacheLine) std::atomic<bool> wake_pending{};
};

}  // namespace trefoilbend::core

#endif  // TREFOILBEND_CORE_RING_H_
