#ifndef TREFOILBEND_FORWARDING_INTERNAL_CONNECTION_POOL_H_
#define TREFOILBEND_FORWARDING_INTERNAL_CONNECTION_POOL_H_

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "trefoilbend/http/address.h"

namespace trefoilbend::forwarding::internal {

/** @brief A connection to a target. */
using Connection = std::unique_ptr<boost::beast::tcp_stream>;

/** @brief Keeps idle connections to targets. */
class ConnectionPool {
 public:
  /**
   * @brief Takes an idle connection on which nothing has happened since it was
   * kept.
   * @param address Address of the target.
   * @return The connection, or null.
   */
  [[nodiscard]] Connection Take(const http::Address& address);

  /**
   * @brief Keeps a connection for a later exchange.
   * @param address Address of the target.
   * @param connection Connection whose last answer was whole.
   */
  void Keep(const http::Address& address, Connection connection);

 private:
  std::map<http::Address, std::vector<Connection>> idle;
};

}  // namespace trefoilbend::forwarding::internal

#endif  // TREFOILBEND_FORWARDING_INTERNAL_CONNECTION_POOL_H_
