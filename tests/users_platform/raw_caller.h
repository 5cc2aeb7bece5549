#ifndef TREFOILBEND_TESTS_USERS_PLATFORM_RAW_CALLER_H_
#define TREFOILBEND_TESTS_USERS_PLATFORM_RAW_CALLER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <chrono>
#include <optional>
#include <string>

#include "trefoilbend/http/address.h"
#include "trefoilbend/http/message.h"

namespace trefoilbend::tests {

/**
 * @brief Makes the text of a client's request without a body.
 * @param method Method of the request.
 * @param path Path of the request.
 * @param id Identity of the request.
 * @param left Time that the client waits.
 * @return The head of the request.
 */
[[nodiscard]] std::string RequestOf(const std::string& method,
                                    const std::string& path,
                                    const std::string& id,
                                    std::chrono::milliseconds left);

/** @brief Connection of a client that writes its bytes itself. */
class RawCaller {
 public:
  /**
   * @brief Connects.
   * @param address Address that serves clients.
   */
  explicit RawCaller(const http::Address& address);

  /** @return Whether the connection was made. */
  [[nodiscard]] bool IsConnected() const noexcept { return this->connected; }

  /**
   * @brief Sends bytes.
   * @param bytes What is sent.
   * @return False once the connection is closed.
   */
  bool Send(const std::string& bytes);

  /**
   * @brief Waits for the next whole response.
   * @param without_body Whether it is the answer to a HEAD request.
   * @return The response; nothing if the connection ends first.
   */
  [[nodiscard]] std::optional<http::Response> Receive(
      bool without_body = false);

  /** @brief Closes the connection. */
  void Close();

 private:
  boost::asio::io_context context{1};
  boost::asio::ip::tcp::socket socket{this->context};
  boost::beast::flat_buffer buffer;
  bool connected = false;
};

}  // namespace trefoilbend::tests

#endif  // TREFOILBEND_TESTS_USERS_PLATFORM_RAW_CALLER_H_
