#ifndef TREFOILBEND_BALANCING_ENTRY_COUNTER_H_
#define TREFOILBEND_BALANCING_ENTRY_COUNTER_H_

#include <cstdint>
#include <vector>

#include "trefoilbend/core/clock.h"

namespace trefoilbend::balancing {

/** @brief Numbers of entries among which shares are divided. */
struct EntryCount {
  /** @brief Entries in the asset register. */
  std::uint32_t registered{};
  /** @brief Entries in the platform's list. */
  std::uint32_t listed{};
  /** @brief Whether all other entries include this one in their counts. */
  bool known_to_peers{};

  [[nodiscard]] bool operator==(const EntryCount&) const = default;
};

/**
 * @brief Counts entries so that their shares never overlap while entries join
 * and leave.
 *
 * An increase takes effect at once, a decrease only after a delay. An entry
 * that has been listed for less than the delay does not count as known to its
 * peers, since some of them may not have received the list yet. The delay must
 * be longer than a list or configuration takes to reach all entries; with a
 * delay of zero, an entry always counts as known to its peers.
 */
class EntryCounter {
 public:
  /**
   * @brief Creates a counter without observations.
   * @param delay Time that a change may take to reach all entries.
   */
  explicit EntryCounter(core::Duration delay) : delay(delay) {}

  /**
   * @brief Records the numbers of entries in the asset register and in the
   * platform's list.
   * @param registered Entries in the asset register.
   * @param listed Registered entries that the platform lists, live or leaving.
   * @param self_listed Whether this entry is listed; if not, all registered
   * entries count as listed.
   * @param now Current time.
   */
  void Observe(std::uint32_t registered, std::uint32_t listed, bool self_listed,
               core::TimePoint now);

  /**
   * @brief Returns the highest counts within the delay.
   * @param now Current time.
   * @return Numbers of entries.
   */
  [[nodiscard]] EntryCount CountAt(core::TimePoint now) const noexcept;

 private:
  struct Observation {
    std::uint32_t registered;
    std::uint32_t listed;
    /** Time at which the next observation replaced this one. */
    core::TimePoint until;
  };

  core::Duration delay;
  std::vector<Observation> observations;
  bool self_listed{};
  core::TimePoint listed_since{};
};

}  // namespace trefoilbend::balancing

#endif  // TREFOILBEND_BALANCING_ENTRY_COUNTER_H_
