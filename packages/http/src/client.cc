#include "trefoilbend/http/client.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <utility>

namespace trefoilbend::http {

namespace {

namespace beast = boost::beast;
using boost::asio::ip::tcp;

constexpr std::uint64_t kResponseLimit = 64U << 20U;
/** Bytes that wait to be parsed: a head, or the line of a chunk. */
constexpr std::size_t kMostBuffered = 1U << 20U;

beast::http::request<beast::http::string_body> Encode(const Address& server,
                                                      Request request) {
  beast::http::request<beast::http::string_body> message;
  message.method_string(request.method);
  message.target(request.target);
  message.version(11);
  message.set(beast::http::field::host, ToString(server));
  for (const auto& [name, value] : request.fields) {
    message.set(name, value);
  }
  message.body() = std::move(request.body);
  message.prepare_payload();
  return message;
}

Response Decode(beast::http::response<beast::http::string_body> message) {
  Response response{
      .status = static_cast<std::uint16_t>(message.result_int()),
      .content_type = std::string{message[beast::http::field::content_type]},
      .fields = {},
      .body = std::move(message.body())};
  for (const auto& field : message) {
    response.fields.emplace_back(field.name_string(), field.value());
  }
  return response;
}

}  // namespace

class Client::Session : public std::enable_shared_from_this<Client::Session> {
 public:
  Session(const std::shared_ptr<Client>& client, Address server)
      : client(client), server(std::move(server)), stream(client->context) {}

  void Send(Request request, const std::chrono::milliseconds timeout,
            OnResponse on_response) {
    this->out = Encode(this->server, std::move(request));
    this->done = std::move(on_response);
    this->stream.expires_after(timeout);
    if (this->connected) {
      this->Write();
      return;
    }
    boost::system::error_code error;
    const auto host = boost::asio::ip::make_address(this->server.host, error);
    this->stream.async_connect(tcp::endpoint{host, this->server.port},
                               [self = this->shared_from_this()](auto failure) {
                                 self->OnConnect(failure);
                               });
  }

  [[nodiscard]] bool IsUsable() {
    boost::system::error_code error;
    this->stream.socket().non_blocking(true, error);
    char byte{};
    this->stream.socket().receive(boost::asio::buffer(&byte, 1),
                                  tcp::socket::message_peek, error);
    return error == boost::asio::error::would_block;
  }

 private:
  void OnConnect(const boost::system::error_code error) {
    if (error) {
      this->Finish(RequestError{RequestStage::kConnecting,
                                "cannot connect to " + ToString(this->server) +
                                    ": " + error.message()});
      return;
    }
    this->connected = true;
    boost::system::error_code ignored;
    this->stream.socket().set_option(tcp::no_delay(true), ignored);
    this->Write();
  }

  void Write() {
    beast::http::async_write(
        this->stream, this->out,
        [self = this->shared_from_this()](auto error, std::size_t) {
          self->OnWrite(error);
        });
  }

  void OnWrite(const boost::system::error_code error) {
    if (error) {
      this->Fail(error);
      return;
    }
    this->parser.emplace();
    this->parser->body_limit(kResponseLimit);
    if (this->out.method() == beast::http::verb::head) {
      this->parser->skip(true);
    }
    beast::http::async_read(
        this->stream, this->buffer, *this->parser,
        [self = this->shared_from_this()](auto failure, std::size_t) {
          self->OnRead(failure);
        });
  }

  void OnRead(const boost::system::error_code error) {
    if (error) {
      this->Fail(error);
      return;
    }
    auto message = this->parser->release();
    const std::shared_ptr<Client> keeper = this->client.lock();
    if (keeper && message.keep_alive()) {
      this->stream.expires_never();
      keeper->idle[this->server].push_back(this->shared_from_this());
    }
    this->Finish(Decode(std::move(message)));
  }

  void Fail(const boost::system::error_code error) {
    this->Finish(RequestError{
        RequestStage::kSent,
        ToString(this->server) + " did not answer: " + error.message()});
  }

  void Finish(ResponseOutcome outcome) {
    std::exchange(this->done, nullptr)(std::move(outcome));
  }

  std::weak_ptr<Client> client;
  Address server;
  beast::tcp_stream stream;
  beast::flat_buffer buffer{kMostBuffered};
  beast::http::request<beast::http::string_body> out;
  std::optional<beast::http::response_parser<beast::http::string_body>> parser;
  OnResponse done;
  bool connected{};
};

std::shared_ptr<Client> Client::Create(boost::asio::io_context& context) {
  return std::shared_ptr<Client>(new Client(context));
}

void Client::Send(const Address& server, Request request,
                  const std::chrono::milliseconds timeout, OnResponse done) {
  auto& sessions = this->idle[server];
  while (!sessions.empty()) {
    const std::shared_ptr<Session> session = std::move(sessions.back());
    sessions.pop_back();
    if (session->IsUsable()) {
      session->Send(std::move(request), timeout, std::move(done));
      return;
    }
  }
  std::make_shared<Session>(this->shared_from_this(), server)
      ->Send(std::move(request), timeout, std::move(done));
}

ResponseOutcome SendAndWait(const Address& server, Request request,
                            const std::chrono::milliseconds timeout) {
  boost::asio::io_context context{1};
  ResponseOutcome outcome{RequestError{}};
  Client::Create(context)->Send(
      server, std::move(request), timeout,
      [&](ResponseOutcome result) { outcome = std::move(result); });
  context.run();
  return outcome;
}

}  // namespace trefoilbend::http
