#ifndef TREFOILBEND_RELAY_INTERNAL_CODEC_H_
#define TREFOILBEND_RELAY_INTERNAL_CODEC_H_

#include "relay.capnp.h"
#include "trefoilbend/relay/messages.h"

namespace trefoilbend::relay::internal {

/**
 * @brief Writes a call; its deadline goes as the time that is left.
 * @param call Call to write.
 * @param now Current time.
 * @param out Message to fill.
 */
void Encode(const PassCall& call, core::TimePoint now, wire::Call::Builder out);

/**
 * @brief Reads a call.
 * @param in Message to read.
 * @param now Current time, from which the deadline counts.
 * @return The call, without an identity.
 */
[[nodiscard]] CallReceived Decode(wire::Call::Reader in, core::TimePoint now);

/**
 * @brief Writes a result.
 * @param result Result to write.
 * @param out Message to fill.
 */
void Encode(const idempotency::Result& result, wire::Result::Builder out);

/**
 * @brief Reads a result.
 * @param in Message to read.
 * @return The result.
 */
[[nodiscard]] idempotency::Result Decode(wire::Result::Reader in);

}  // namespace trefoilbend::relay::internal

#endif  // TREFOILBEND_RELAY_INTERNAL_CODEC_H_
