#ifndef TREFOILBEND_FEED_INTERNAL_FEED_CODEC_H_
#define TREFOILBEND_FEED_INTERNAL_FEED_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "feed.capnp.h"
#include "trefoilbend/core/clock.h"
#include "trefoilbend/feed/messages.h"

namespace trefoilbend::feed::internal {

/**
 * @brief Writes the age of what is known.
 * @param confirmed Time as of which it is known.
 * @param now Current time.
 * @return Age in milliseconds, rounded up.
 */
[[nodiscard]] std::uint32_t AgeOf(core::TimePoint confirmed,
                                  core::TimePoint now) noexcept;

/**
 * @brief Writes what a peer lacks.
 * @param heard What it lacks.
 * @param now Current time, from which the age counts.
 * @param news Message to fill in.
 */
void Encode(const Heard& heard, core::TimePoint now, wire::News::Builder news);

/**
 * @brief Reads what a peer has told.
 * @param news Message of the peer.
 * @param tables Number of tables; others are passed over.
 * @param now Current time, from which the age counts.
 * @return What the peer knows.
 */
[[nodiscard]] Heard Decode(wire::News::Reader news, std::size_t tables,
                           core::TimePoint now);

}  // namespace trefoilbend::feed::internal

#endif  // TREFOILBEND_FEED_INTERNAL_FEED_CODEC_H_
