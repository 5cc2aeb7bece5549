#ifndef TREFOILBEND_FORWARDING_INTERNAL_CONNECTION_POOL_H_
#define TREFOILBEND_FORWARDING_INTERNAL_CONNECTION_POOL_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "internal/connection_metrics.h"
#include "internal/target_connection.h"
#include "trefoilbend/core/clock.h"
#include "trefoilbend/http/address.h"

namespace trefoilbend::forwarding::internal {

/** @brief What an exchange may do about its connection. */
enum class Grant : std::uint8_t {
  /** @brief Use the idle connection that comes with the grant. */
  kReuse,
  /** @brief Open a new connection. */
  kOpen,
  /** @brief Give up, since the deadline has passed. */
  kGiveUp,
};

/** @brief Bounds of this entry's connections to one target. */
struct ConnectionBounds {
  /** @brief Connections that may be open. */
  std::uint32_t open{};
  /** @brief Least time between two new connections. */
  core::Duration interval{};
  /** @brief Longest time for which the connection may have been idle. */
  core::Duration most_idle = core::Duration::max();
  /** @brief Request that the connection must not have refused; nothing for a
   * health check. */
  std::optional<RequestDigest> request{};
};

/** @brief Times after which idle connections are closed. */
struct IdleTimeouts {
  /** @brief Time for a connection beside others to the same target. */
  std::chrono::milliseconds usual{};
  /** @brief Time for the only connection to a target. */
  std::chrono::milliseconds only{};
};

/**
 * @brief Decides who uses which connection to a target, and when a new one is
 * opened.
 *
 * A connection counts as open from the grant until the target is known to have
 * given it up.
 */
class ConnectionPool {
 public:
  /** @brief Takes a grant, and the idle connection or null. */
  using Ready = std::function<void(Grant, Connection)>;

  /**
   * @brief Makes an empty pool.
   * @param context Event loop that carries the connections.
   * @param timeouts Times after which idle connections are closed.
   * @param metrics Metrics to update; outlives the pool.
   */
  ConnectionPool(boost::asio::io_context& context, const IdleTimeouts& timeouts,
                 ConnectionMetrics& metrics);

  /**
   * @brief Asks for a connection. The grant comes at once if nothing stands in
   * its way.
   * @param address Address of the target.
   * @param bounds Bounds of the connections to that target from now on.
   * @param deadline Time at which the request gives up.
   * @param ready Takes the grant.
   */
  void Acquire(const http::Address& address, const ConnectionBounds& bounds,
               core::TimePoint deadline, Ready ready);

  /** @return A connection that the holder of a grant opens. */
  [[nodiscard]] Connection Make();

  /**
   * @brief Keeps a connection for a later exchange, or closes it if too many
   * are open or it may carry nothing more.
   * @param address Address of the target.
   * @param connection Connection whose last answer was whole.
   * @param most_idle Time for which the target keeps it open at least.
   */
  void Keep(const http::Address& address, Connection connection,
            core::Duration most_idle);

  /**
   * @brief Takes note that a connection was closed or not made.
   * @param address Address of the target.
   */
  void Release(const http::Address& address);

  /**
   * @brief Takes note that a connection was cut whose target may not know yet;
   * it counts as open for a few seconds.
   * @param address Address of the target.
   */
  void ReleaseLater(const http::Address& address);

  /**
   * @brief Closes a connection whose answer has not begun. It counts as open
   * until the target has closed it too, for a few seconds at most.
   * @param address Address of the target.
   * @param connection Connection to close.
   */
  void CloseGracefully(const http::Address& address, Connection connection);

 private:
  struct IdleConnection {
    Connection connection;
    core::TimePoint since;
    core::Duration most_idle;
  };

  struct Waiter {
    core::TimePoint deadline;
    ConnectionBounds bounds;
    Ready ready;
  };

  struct Server {
    ConnectionBounds bounds;
    std::uint32_t open{};
    core::TimePoint next_open{};
    std::vector<IdleConnection> idle;
    std::deque<Waiter> waiters;
  };

  [[nodiscard]] Connection TakeIdle(Server& server,
                                    const ConnectionBounds& bounds);
  [[nodiscard]] bool MayOpen(const Server& server, core::TimePoint now) const;
  void CountOpened(Server& server, core::TimePoint now);
  void CountClosed(Server& server);
  /** Serves the waiters, now and when the next may have its turn. */
  void Serve(Server& server);
  void ServeNow(Server& server, core::TimePoint now);
  void DropLate(Server& server, core::TimePoint now);
  void ServeLater();
  void Sweep();
  void CloseIdle(Server& server, core::TimePoint now);
  void Post(Waiter waiter, Grant grant, Connection connection);

  boost::asio::io_context& context;
  IdleTimeouts timeouts;
  ConnectionMetrics& metrics;
  std::uint64_t last_number{};
  std::map<http::Address, Server> servers;
  boost::asio::steady_timer pace;
  boost::asio::steady_timer sweep;
};

}  // namespace trefoilbend::forwarding::internal

#endif  // TREFOILBEND_FORWARDING_INTERNAL_CONNECTION_POOL_H_
