#ifndef TREFOILBEND_HTTP_CLIENT_H_
#define TREFOILBEND_HTTP_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "trefoilbend/core/outcome.h"
#include "trefoilbend/http/address.h"
#include "trefoilbend/http/message.h"

namespace trefoilbend::http {

/** @brief How far a request that failed had come. */
enum class RequestStage : std::uint8_t {
  /** @brief No connection was made, so nothing was sent. */
  kConnecting,
  /** @brief The request may have had its effect. */
  kSent,
};

/** @brief Failure of a request. */
struct RequestError {
  /** @brief How far the request had come. */
  RequestStage stage = RequestStage::kConnecting;
  /** @brief Cause in words. */
  std::string message;
};

/** @brief Result of a request. */
using ResponseOutcome = core::Outcome<Response, RequestError>;

/** @brief Takes the result of a request, once. */
using OnResponse = std::function<void(ResponseOutcome)>;

/** @brief HTTP client for whole messages that keeps idle connections. */
class Client : public std::enable_shared_from_this<Client> {
 public:
  /**
   * @brief Makes a client.
   * @param context Event loop that carries it.
   * @return The client.
   */
  [[nodiscard]] static std::shared_ptr<Client> Create(
      boost::asio::io_context& context);

  /**
   * @brief Sends a request; a failed one is never sent again.
   * @param server Address of the server.
   * @param request Request to send; a Host field is added if it has none.
   * @param timeout Longest time until the whole response is there.
   * @param done Takes the result on the client's thread.
   */
  void Send(const Address& server, Request request,
            std::chrono::milliseconds timeout, OnResponse done);

 private:
  class Session;

  explicit Client(boost::asio::io_context& context) : context(context) {}

  boost::asio::io_context& context;
  std::map<Address, std::vector<std::shared_ptr<Session>>> idle;
};

/**
 * @brief Sends one request and waits for its result; for command-line programs.
 * @param server Address of the server.
 * @param request Request to send.
 * @param timeout Longest time until the whole response is there.
 * @return The result.
 */
[[nodiscard]] ResponseOutcome SendAndWait(const Address& server,
                                          Request request,
                                          std::chrono::milliseconds timeout);

}  // namespace trefoilbend::http

#endif  // TREFOILBEND_HTTP_CLIENT_H_
