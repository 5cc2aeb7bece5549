#include "raw_caller.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include "trefoilbend/wire/headers.h"

namespace trefoilbend::tests {

namespace {

namespace beast = boost::beast;
using boost::asio::ip::tcp;

}  // namespace

std::string RequestOf(const std::string& method, const std::string& path,
                      const std::string& id,
                      const std::chrono::milliseconds left) {
  return method + ' ' + path + " HTTP/1.1\r\nHost: a.example\r\n" +
         std::string{wire::kRequestIdHeader} + ": " + id + "\r\n" +
         std::string{wire::kTimeLeftHeader} + ": " +
         std::to_string(left.count()) + "\r\n\r\n";
}

RawCaller::RawCaller(const http::Address& address) {
  boost::system::error_code error;
  this->socket.connect(
      tcp::endpoint{boost::asio::ip::make_address(address.host), address.port},
      error);
  this->connected = !error;
}

bool RawCaller::Send(const std::string& bytes) {
  boost::system::error_code error;
  boost::asio::write(this->socket, boost::asio::buffer(bytes), error);
  return !error;
}

std::optional<http::Response> RawCaller::Receive(const bool without_body) {
  beast::http::response_parser<beast::http::string_body> parser;
  parser.skip(without_body);
  boost::system::error_code error;
  beast::http::read(this->socket, this->buffer, parser, error);
  if (error) {
    return std::nullopt;
  }
  http::Response response{
      .status = static_cast<std::uint16_t>(parser.get().result_int()),
      .fields = {},
      .body = parser.get().body()};
  for (const auto& field : parser.get()) {
    response.fields.emplace_back(field.name_string(), field.value());
  }
  return response;
}

void RawCaller::Close() {
  boost::system::error_code ignored;
  this->socket.close(ignored);
}

}  // namespace trefoilbend::tests
