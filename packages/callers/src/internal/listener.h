#ifndef TREFOILBEND_CALLERS_INTERNAL_LISTENER_H_
#define TREFOILBEND_CALLERS_INTERNAL_LISTENER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "internal/session.h"
#include "trefoilbend/core/outcome.h"
#include "trefoilbend/http/address.h"

namespace trefoilbend::callers::internal {

/** @brief Accepts callers' connections and knows those that are open. */
class Listener {
 public:
  /**
   * @brief Makes a listener that does not listen yet.
   * @param context Event loop of the duty.
   * @param owner Duty that carries the sessions; outlives them.
   */
  Listener(boost::asio::io_context& context, SessionOwner& owner)
      : owner(owner), acceptor(context), sweep(context) {}

  /**
   * @brief Begins to accept connections.
   * @param address Address that serves callers.
   * @return Nothing, or the reason why the address cannot be used.
   */
  [[nodiscard]] core::Outcome<std::monostate, std::string> Open(
      const http::Address& address);

  /** @brief Accepts no more connections; open ones stay. */
  void Close();

  /**
   * @brief Closes the connections that wait for a request.
   * @param least Time for which they have waited at least.
   */
  void CloseIdleSessions(core::Duration least);

  /** @return Number of open connections. */
  [[nodiscard]] std::size_t OpenSessions() const noexcept {
    return static_cast<std::size_t>(this->token.use_count()) - 1;
  }

 private:
  void Accept();
  void Sweep();
  void Begin(boost::asio::ip::tcp::socket socket);

  SessionOwner& owner;
  boost::asio::ip::tcp::acceptor acceptor;
  boost::asio::steady_timer sweep;
  std::vector<std::weak_ptr<Session>> sessions;
  std::shared_ptr<const void> token = std::make_shared<int>();
};

}  // namespace trefoilbend::callers::internal

#endif  // TREFOILBEND_CALLERS_INTERNAL_LISTENER_H_
