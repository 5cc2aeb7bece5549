#ifndef TREFOILBEND_FEED_READERS_H_
#define TREFOILBEND_FEED_READERS_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "trefoilbend/core/name.h"
#include "trefoilbend/http/address.h"

namespace trefoilbend::feed {

/** @brief A live entry, which may read the store for its peers. */
struct Candidate {
  /** @brief Name of the entry. */
  core::InstanceName name;
  /** @brief Data centre in which it stands. */
  core::DataCentreName data_centre;
  /** @brief Its processor time, in percent of a core. */
  std::uint32_t processor_percent{};
  /** @brief Address on which it tells its peers what it has read. */
  http::Address address;

  [[nodiscard]] bool operator==(const Candidate&) const = default;
};

/**
 * @brief Tells how many entries read the store for all.
 * @param entries Live entries.
 * @return Number of readers: two, and one more for each fifty entries beyond
 * the first hundred.
 */
[[nodiscard]] std::size_t ReaderCount(std::size_t entries) noexcept;

/**
 * @brief Chooses the entries that read the store for all, those with most
 * processor time first, in as many data centres as there are; entries that know
 * the same candidates choose alike.
 * @param candidates Live entries.
 * @param count Number of readers.
 * @return The readers, fewer if there are fewer candidates.
 */
[[nodiscard]] std::vector<Candidate> ChooseReaders(
    std::vector<Candidate> candidates, std::size_t count);

/**
 * @brief Puts the readers into the order in which an entry asks them: those of
 * its data centre first, otherwise by rendezvous hashing.
 * @param readers Readers of the fleet.
 * @param self Entry that asks.
 * @param data_centre Data centre of that entry.
 */
void OrderFor(std::vector<Candidate>& readers, const core::InstanceName& self,
              const core::DataCentreName& data_centre);

}  // namespace trefoilbend::feed

#endif  // TREFOILBEND_FEED_READERS_H_
