#ifndef TREFOILBEND_FORWARDING_INTERNAL_CLOSING_CONNECTION_H_
#define TREFOILBEND_FORWARDING_INTERNAL_CLOSING_CONNECTION_H_

#include <array>
#include <functional>
#include <memory>
#include <utility>

#include "internal/connection_pool.h"

namespace trefoilbend::forwarding::internal {

/** @brief A connection that waits until the target has closed its side. */
class ClosingConnection
    : public std::enable_shared_from_this<ClosingConnection> {
 public:
  /**
   * @brief Makes the session.
   * @param connection Connection to close.
   * @param done Called once when it is closed on both sides or given up.
   */
  ClosingConnection(Connection connection, std::function<void()> done)
      : connection(std::move(connection)), done(std::move(done)) {}

  /** @brief Closes this side and waits for the other. */
  void Start();

 private:
  static constexpr std::size_t kScratch = 4'096;

  void Read();

  Connection connection;
  std::function<void()> done;
  std::array<char, kScratch> scratch{};
};

}  // namespace trefoilbend::forwarding::internal

#endif  // TREFOILBEND_FORWARDING_INTERNAL_CLOSING_CONNECTION_H_
