#include "trefoilbend/http/server.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <optional>

namespace trefoilbend::http {

namespace internal {

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::asio::ip::tcp;

/** Bytes that wait to be parsed: a head, or the line of a chunk. */
constexpr std::size_t kMostBuffered = 16U << 10U;

class ServerSession : public std::enable_shared_from_this<ServerSession> {
 public:
  ServerSession(tcp::socket socket, Handler handler, ServerLimits limits,
                std::shared_ptr<bool> closing)
      : stream(std::move(socket)),
        handler(std::move(handler)),
        limits(limits),
        closing(std::move(closing)) {
    boost::system::error_code ignored;
    this->stream.socket().set_option(tcp::no_delay(true), ignored);
  }

  void Read() {
    this->parser.emplace();
    this->parser->body_limit(this->limits.body);
    this->stream.expires_after(this->limits.idle);
    beast::http::async_read(
        this->stream, this->buffer, *this->parser,
        [self = this->shared_from_this()](auto error, std::size_t) {
          self->OnRead(error);
        });
  }

 private:
  void OnRead(const boost::system::error_code error) {
    if (error == beast::http::error::body_limit) {
      this->Write({.status = 413,
                   .content_type = "text/plain",
                   .fields = {},
                   .body = ""},
                  false);
      return;
    }
    if (error) {
      return;
    }
    this->stream.expires_never();
    auto message = this->parser->release();
    const bool keep_alive = message.keep_alive();
    Request request{.method = std::string{message.method_string()},
                    .target = std::string{message.target()},
                    .fields = {},
                    .body = std::move(message.body())};
    for (const auto& field : message) {
      request.fields.emplace_back(field.name_string(), field.value());
    }
    this->handler(std::move(request), [self = this->shared_from_this(),
                                       keep_alive](Response response) mutable {
      asio::dispatch(
          self->stream.get_executor(),
          [self, keep_alive, response = std::move(response)]() mutable {
            self->Write(std::move(response), keep_alive);
          });
    });
  }

  void Write(Response response, const bool keep_alive) {
    auto& message = this->out;
    message = {};
    message.result(response.status);
    message.set(beast::http::field::content_type, response.content_type);
    for (const auto& [name, value] : response.fields) {
      message.set(name, value);
    }
    message.body() = std::move(response.body);
    message.keep_alive(keep_alive && !*this->closing);
    message.prepare_payload();
    this->stream.expires_after(this->limits.idle);
    beast::http::async_write(
        this->stream, message,
        [self = this->shared_from_this()](auto error, std::size_t) {
          if (!error && self->out.keep_alive()) {
            self->Read();
          }
        });
  }

  beast::tcp_stream stream;
  beast::flat_buffer buffer{kMostBuffered};
  std::optional<beast::http::request_parser<beast::http::string_body>> parser;
  beast::http::response<beast::http::string_body> out;
  Handler handler;
  ServerLimits limits;
  std::shared_ptr<bool> closing;
};

}  // namespace internal

Server::Server(boost::asio::io_context& context, Address address,
               Handler handler, const ServerLimits limits)
    : acceptor(context),
      address(std::move(address)),
      handler(std::move(handler)),
      limits(limits) {}

core::Outcome<std::monostate, std::string> Server::Listen() {
  using boost::asio::ip::tcp;
  boost::system::error_code error;
  const auto host = boost::asio::ip::make_address(this->address.host, error);
  const tcp::endpoint endpoint{host, this->address.port};
  const auto then = [&error](auto step) {
    if (!error) {
      step();
    }
  };
  then([&] { this->acceptor.open(endpoint.protocol(), error); });
  then([&] {
    this->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  });
  then([&] { this->acceptor.bind(endpoint, error); });
  then([&] {
    this->acceptor.listen(boost::asio::socket_base::max_listen_connections,
                          error);
  });
  if (error) {
    return "cannot listen on " + ToString(this->address) + ": " +
           error.message();
  }
  this->address.port = this->acceptor.local_endpoint().port();
  this->Accept();
  return std::monostate{};
}

void Server::Accept() {
  this->acceptor.async_accept(
      [self = this->shared_from_this()](auto error, auto socket) {
        if (!self->acceptor.is_open()) {
          return;
        }
        if (!error) {
          std::make_shared<internal::ServerSession>(
              std::move(socket), self->handler, self->limits, self->closing)
              ->Read();
        }
        self->Accept();
      });
}

void Server::Close() {
  *this->closing = true;
  boost::system::error_code ignored;
  this->acceptor.close(ignored);
}

std::shared_ptr<Server> Server::Builder::Build(
    boost::asio::io_context& context) {
  return std::shared_ptr<Server>(new Server(context, std::move(this->address),
                                            std::move(this->handler),
                                            this->limits));
}

}  // namespace trefoilbend::http
