#ifndef TREFOILBEND_BALANCING_ENTRY_COUNTER_H_
#define TREFOILBEND_BALANCING_ENTRY_COUNTER_H_

#include <cstdint>
#include <vector>

#include "trefoilbend/core/clock.h"

namespace trefoilbend::balancing {

/** @brief Entries among which shares are divided. */
struct EntryCount {
  /** @brief Entries of the asset register. */
  std::uint32_t registered{};
  /** @brief Entries of the platform's list. */
  std::uint32_t listed{};
  /** @brief Whether all other entries count this one too. */
  bool known_to_peers{};

  [[nodiscard]] bool operator==(const EntryCount&) const = default;
};

/**
 * @brief Counts entries so that shares never overlap while entries come and go.
 *
 * More entries count at once, fewer only after a delay. An entry that has been
 * listed for less than the delay is not settled: the others may not know it
 * yet. The delay must be longer than a list or configuration needs to be known
 * everywhere;
 * with a delay of zero all entries are settled.
 */
class EntryCounter {
 public:
  /**
   * @brief Makes a counter that knows no entry.
   * @param delay Time until which a change may be unknown to an entry.
   */
  explicit EntryCounter(core::Duration delay) : delay(delay) {}

  /**
   * @brief Takes note of the register and the list.
   * @param registered Entries of the asset register.
   * @param listed Those of them that the platform lists, live or leaving.
   * @param self_listed Whether this entry is among them; if not, all registered
   * ones count.
   * @param now Current time.
   */
  void Observe(std::uint32_t registered, std::uint32_t listed, bool self_listed,
               core::TimePoint now);

  /**
   * @brief Counts the entries.
   * @param now Current time.
   * @return The greatest counts within the delay.
   */
  [[nodiscard]] EntryCount CountAt(core::TimePoint now) const noexcept;

 private:
  struct Observation {
    std::uint32_t registered;
    std::uint32_t listed;
    /** Time from which the next observation holds. */
    core::TimePoint until;
  };

  core::Duration delay;
  std::vector<Observation> observations;
  bool self_listed{};
  core::TimePoint listed_since{};
};

}  // namespace trefoilbend::balancing

#endif  // TREFOILBEND_BALANCING_ENTRY_COUNTER_H_
