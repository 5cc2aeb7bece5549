#ifndef TREFOILBEND_FEED_DUTY_H_
#define TREFOILBEND_FEED_DUTY_H_

#include <cstddef>
#include <memory>

#include "trefoilbend/core/ring.h"
#include "trefoilbend/feed/messages.h"

namespace trefoilbend::feed {

/** @brief Duty that tells peers what this entry knows of the store's tables,
 * and asks a peer for what it lacks. */
class FeedDuty {
 public:
  /**
   * @brief Makes the duty; it runs after Start.
   * @param tables Number of tables.
   */
  explicit FeedDuty(std::size_t tables);
  ~FeedDuty();

  FeedDuty(const FeedDuty&) = delete;
  FeedDuty& operator=(const FeedDuty&) = delete;

  /** @return Ring for what the registry has learnt and asks. */
  [[nodiscard]] core::Ring<ToFeed>& RegistryInlet() noexcept;

  /**
   * @brief Starts the duty.
   * @param registry Ring for the answers of peers.
   */
  void Start(core::Ring<Answer>& registry);

  /** @brief Stops the duty. */
  void Stop();

 private:
  class Loop;

  std::unique_ptr<Loop> loop;
};

}  // namespace trefoilbend::feed

#endif  // TREFOILBEND_FEED_DUTY_H_
