#ifndef TREFOILBEND_HTTP_SERVER_H_
#define TREFOILBEND_HTTP_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <utility>

#include "trefoilbend/core/outcome.h"
#include "trefoilbend/http/address.h"
#include "trefoilbend/http/message.h"

namespace trefoilbend::http {

/** @brief Sends the response to one request; called once, on the server's
 * thread. */
using Respond = std::function<void(Response)>;

/** @brief Takes a request and answers it, at once or later. */
using Handler = std::function<void(Request, Respond)>;

/** @brief Bounds of a server. */
struct ServerLimits {
  /** @brief Longest body of a request in bytes. */
  std::size_t body = 16U << 20U;
  /** @brief Longest wait for a request on an open connection. */
  std::chrono::milliseconds idle = std::chrono::seconds{60};
};

/** @brief HTTP server for whole messages. */
class Server : public std::enable_shared_from_this<Server> {
 public:
  /** @brief Assembles a server. */
  class Builder;

  /**
   * @brief Starts to accept connections.
   * @return Nothing, or the reason why the address cannot be used.
   */
  [[nodiscard]] core::Outcome<std::monostate, std::string> Listen();

  /** @brief Stops accepting connections; open ones close after their response.
   */
  void Close();

  /** @return Port that the server listens on. */
  [[nodiscard]] std::uint16_t Port() const noexcept {
    return this->address.port;
  }

 private:
  Server(boost::asio::io_context& context, Address address, Handler handler,
         ServerLimits limits);

  void Accept();

  boost::asio::ip::tcp::acceptor acceptor;
  Address address;
  Handler handler;
  ServerLimits limits;
  std::shared_ptr<bool> closing = std::make_shared<bool>(false);
};

/** @brief Assembles a server. */
class Server::Builder {
 public:
  /**
   * @brief Sets where the server listens.
   * @param address Address; port 0 takes any free port.
   * @return This builder.
   */
  Builder& On(Address address) {
    this->address = std::move(address);
    return *this;
  }

  /**
   * @brief Sets what answers the requests.
   * @param handler Handler, called on the server's thread.
   * @return This builder.
   */
  Builder& WithHandler(Handler handler) {
    this->handler = std::move(handler);
    return *this;
  }

  /**
   * @brief Sets the bounds.
   * @param limits Bounds of the server.
   * @return This builder.
   */
  Builder& WithLimits(ServerLimits limits) {
    this->limits = limits;
    return *this;
  }

  /**
   * @brief Makes the server.
   * @param context Event loop that carries it.
   * @return The server, which does not listen yet.
   */
  [[nodiscard]] std::shared_ptr<Server> Build(boost::asio::io_context& context);

 private:
  Address address;
  Handler handler;
  ServerLimits limits;
};

}  // namespace trefoilbend::http

#endif  // TREFOILBEND_HTTP_SERVER_H_
