#include "internal/open_connection.h"

#include <boost/asio/ip/tcp.hpp>
#include <utility>

namespace trefoilbend::forwarding::internal {

using boost::asio::ip::tcp;

void OpenConnection(boost::beast::tcp_stream& stream,
                    const http::Address& address,
                    std::function<void(boost::system::error_code)> done) {
  boost::system::error_code unreadable;
  const auto host = boost::asio::ip::make_address(address.host, unreadable);
  stream.async_connect(
      tcp::endpoint{host, address.port},
      [&stream,
       done = std::move(done)](const boost::system::error_code failure) {
        if (!failure) {
          boost::system::error_code ignored;
          stream.socket().set_option(tcp::no_delay(true), ignored);
        }
        done(failure);
      });
}

}  // namespace trefoilbend::forwarding::internal
