#include "trefoilbend/http/address.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace trefoilbend::http {

std::optional<Address> ParseAddress(const std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return std::nullopt;
  }
  std::string_view host = text.substr(0, colon);
  if (host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  boost::system::error_code error;
  boost::asio::ip::make_address(std::string{host}, error);
  const std::string_view digits = text.substr(colon + 1);
  std::uint16_t port{};
  const auto [end, problem] =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (error || problem != std::errc{} || end != digits.data() + digits.size() ||
      port == 0) {
    return std::nullopt;
  }
  return Address{.host = std::string{host}, .port = port};
}

std::string ToString(const Address& address) {
  const bool v6 = address.host.find(':') != std::string::npos;
  const std::string host = v6 ? '[' + address.host + ']' : address.host;
  return host + ':' + std::to_string(address.port);
}

}  // namespace trefoilbend::http
