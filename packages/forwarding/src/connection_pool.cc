#include "internal/connection_pool.h"

namespace trefoilbend::forwarding::internal {

namespace {

bool IsUntouched(boost::beast::tcp_stream& stream) {
  boost::system::error_code error;
  stream.socket().non_blocking(true, error);
  char byte{};
  stream.socket().receive(boost::asio::buffer(&byte, 1),
                          boost::asio::ip::tcp::socket::message_peek, error);
  return error == boost::asio::error::would_block;
}

}  // namespace

Connection ConnectionPool::Take(const http::Address& address) {
  auto& connections = this->idle[address];
  while (!connections.empty()) {
    Connection connection = std::move(connections.back());
    connections.pop_back();
    if (IsUntouched(*connection)) {
      return connection;
    }
  }
  return nullptr;
}

void ConnectionPool::Keep(const http::Address& address, Connection connection) {
  connection->expires_never();
  this->idle[address].push_back(std::move(connection));
}

}  // namespace trefoilbend::forwarding::internal
