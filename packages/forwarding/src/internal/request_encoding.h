#ifndef TREFOILBEND_FORWARDING_INTERNAL_REQUEST_ENCODING_H_
#define TREFOILBEND_FORWARDING_INTERNAL_REQUEST_ENCODING_H_

#include <boost/beast/http.hpp>

#include "trefoilbend/core/clock.h"
#include "trefoilbend/forwarding/messages.h"
#include "trefoilbend/forwarding/target_protocol.h"

namespace trefoilbend::forwarding::internal {

/** @brief Request whose body stays where its call has it. */
using EncodedRequest =
    boost::beast::http::request<boost::beast::http::span_body<const char>>;

/**
 * @brief Makes the request of an exchange as its target gets it.
 * @param order What is sent where.
 * @param protocol What entries and targets say to each other.
 * @param now Current time, from which the time that is left counts.
 * @return The request; the order's call outlives it.
 */
[[nodiscard]] EncodedRequest Encode(const StartExchange& order,
                                    const TargetProtocol& protocol,
                                    core::TimePoint now);

}  // namespace trefoilbend::forwarding::internal

#endif  // TREFOILBEND_FORWARDING_INTERNAL_REQUEST_ENCODING_H_
