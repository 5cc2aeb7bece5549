#ifndef TREFOILBEND_ROLLOUT_INTERNAL_PEER_CODEC_H_
#define TREFOILBEND_ROLLOUT_INTERNAL_PEER_CODEC_H_

#include "rollout.capnp.h"
#include "trefoilbend/rollout/brakes.h"
#include "trefoilbend/rollout/evidence_book.h"

namespace trefoilbend::rollout::internal {

/**
 * @brief Writes brakes into a message.
 * @param brakes Brakes to write.
 * @param list List of as many elements.
 */
void Encode(const Brakes::Reasons& brakes,
            capnp::List<wire::Brake>::Builder list);

/**
 * @brief Writes counts into a message.
 * @param windows Counts to write.
 * @param list List of as many elements.
 */
void Encode(const Windows& windows, capnp::List<wire::Evidence>::Builder list);

/**
 * @brief Reads brakes from a message.
 * @param list Brakes as sent.
 * @return The brakes.
 */
[[nodiscard]] Brakes::Reasons Decode(capnp::List<wire::Brake>::Reader list);

/**
 * @brief Reads counts from a message.
 * @param list Counts as sent.
 * @return The counts.
 */
[[nodiscard]] Windows Decode(capnp::List<wire::Evidence>::Reader list);

}  // namespace trefoilbend::rollout::internal

#endif  // TREFOILBEND_ROLLOUT_INTERNAL_PEER_CODEC_H_
