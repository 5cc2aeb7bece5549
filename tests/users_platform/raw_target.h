#ifndef TREFOILBEND_TESTS_USERS_PLATFORM_RAW_TARGET_H_
#define TREFOILBEND_TESTS_USERS_PLATFORM_RAW_TARGET_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <list>
#include <string>
#include <thread>

#include "trefoilbend/http/address.h"

namespace trefoilbend::tests {

/** @brief Whole answer of a healthy target to a health check. */
inline constexpr const char* kHealthy =
    "HTTP/1.1 200 OK\r\nTrefoilbend-Instance-Id: raw\r\n"
    "Trefoilbend-Server-Load: 0,0,6,100\r\nContent-Length: 0\r\n\r\n";

/**
 * @brief Tells whether a request is a health check.
 * @param head Head of the request.
 * @return Whether it is.
 */
[[nodiscard]] bool IsHealthCheck(const std::string& head);

/**
 * @brief Finds the identity of a request.
 * @param head Head of the request.
 * @return The identity; empty without one.
 */
[[nodiscard]] std::string IdOf(const std::string& head);

/** @brief One connection of a target that writes bytes as a story says. */
class RawConnection {
 public:
  /**
   * @brief Takes a connection.
   * @param socket The connection.
   * @param number Number that no other connection of the target has.
   * @param stopping Whether the target ends.
   */
  RawConnection(boost::asio::ip::tcp::socket socket, const int number,
                const std::atomic<bool>& stopping)
      : socket(std::move(socket)), number(number), stopping(stopping) {}

  /** @return Number that no other connection of the target has. */
  [[nodiscard]] int Number() const noexcept { return this->number; }

  /**
   * @brief Waits for the head of a request without a body.
   * @return The head; empty once the caller has closed.
   */
  [[nodiscard]] std::string ReadHead();

  /**
   * @brief Writes bytes.
   * @param bytes What is written.
   * @return False once the caller has closed.
   */
  bool Write(const std::string& bytes);

  /**
   * @brief Writes bytes again and again until the caller closes.
   * @param bytes What is written.
   */
  void WriteWithoutEnd(const std::string& bytes);

  /** @brief Closes the connection after what was written. */
  void Close();

 private:
  boost::asio::ip::tcp::socket socket;
  int number;
  const std::atomic<bool>& stopping;
};

/** @brief Target whose answers are written byte for byte by a story. */
class RawTarget {
 public:
  /** @brief Answers one request, given its head. */
  using Story = std::function<void(RawConnection&, const std::string&)>;

  /**
   * @brief Starts to listen.
   * @param address Address to listen on.
   * @param story What it does with each request.
   */
  RawTarget(const http::Address& address, Story story);
  ~RawTarget();

  RawTarget(const RawTarget&) = delete;
  RawTarget& operator=(const RawTarget&) = delete;

 private:
  /** A connection and the thread that serves it. */
  struct ServedConnection {
    std::thread thread;
    std::atomic<bool> ended{};
  };

  void Accept();
  void JoinEnded();
  void Serve(boost::asio::ip::tcp::socket socket);

  boost::asio::io_context context{1};
  boost::asio::ip::tcp::acceptor acceptor;
  Story story;
  std::atomic<bool> stopping{};
  std::atomic<int> accepted{};
  std::list<ServedConnection> connections;
  std::thread accepting;
};

}  // namespace trefoilbend::tests

#endif  // TREFOILBEND_TESTS_USERS_PLATFORM_RAW_TARGET_H_
