#ifndef TREFOILBEND_FORWARDING_INTERNAL_TARGET_CONNECTION_H_
#define TREFOILBEND_FORWARDING_INTERNAL_TARGET_CONNECTION_H_

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <cstdint>
#include <memory>

#include "trefoilbend/forwarding/refused_requests.h"

namespace trefoilbend::forwarding::internal {

/** @brief A connection to a target and what it has carried. */
struct TargetConnection {
  /**
   * @brief Makes a connection that is not open yet.
   * @param context Event loop that carries it.
   * @param number Number that no other connection of this process has.
   */
  TargetConnection(boost::asio::io_context& context, const std::uint64_t number)
      : stream(context), number(number) {}

  /** @brief The connection itself. */
  boost::beast::tcp_stream stream;
  /** @brief Number of the connection. */
  std::uint64_t number;
  /** @brief Requests and health checks that were written on it. */
  std::uint32_t requests{};
  /** @brief Requests that the target has refused on it. */
  RefusedRequests refused;
};

/** @brief The one who may use a connection. */
using Connection = std::unique_ptr<TargetConnection>;

}  // namespace trefoilbend::forwarding::internal

#endif  // TREFOILBEND_FORWARDING_INTERNAL_TARGET_CONNECTION_H_
