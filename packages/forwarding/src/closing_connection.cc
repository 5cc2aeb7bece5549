#include "internal/closing_connection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>

namespace trefoilbend::forwarding::internal {

namespace {

constexpr std::chrono::seconds kLongestClosing{5};

}  // namespace

void ClosingConnection::Start() {
  boost::system::error_code ignored;
  this->connection->stream.socket().shutdown(
      boost::asio::ip::tcp::socket::shutdown_send, ignored);
  this->connection->stream.expires_after(kLongestClosing);
  this->Read();
}

void ClosingConnection::Read() {
  this->connection->stream.async_read_some(
      boost::asio::buffer(this->scratch),
      [self = this->shared_from_this()](const boost::system::error_code error,
                                        std::size_t) {
        if (!error) {
          self->Read();
          return;
        }
        self->connection->stream.close();
        self->done();
      });
}

}  // namespace trefoilbend::forwarding::internal
