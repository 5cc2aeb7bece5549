#ifndef TREFOILBEND_TESTS_SUPPORT_LOOPBACK_NETWORK_H_
#define TREFOILBEND_TESTS_SUPPORT_LOOPBACK_NETWORK_H_

#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <string>

#include "trefoilbend/http/address.h"

namespace trefoilbend::tests {

/** @brief Network of 250 loopback addresses that no other test uses as long as
 * this object lives, so that tests can run side by side. */
class LoopbackNetwork {
 public:
  /** @brief Takes the first free network, beginning at one that follows from
   * the process id. */
  LoopbackNetwork() {
    constexpr int kNetworks = kOctet * kOctet;
    int number = static_cast<int>(getpid()) % kNetworks;
    while (!this->Claim(number)) {
      number = (number + 1) % kNetworks;
    }
  }

  /**
   * @brief Returns an address of the network.
   * @param host Number of the host, from 1 to 249.
   * @param port Port of the address.
   * @return The address.
   */
  [[nodiscard]] http::Address At(const int host,
                                 const std::uint16_t port) const {
    return {.host = this->prefix + std::to_string(host), .port = port};
  }

 private:
  using Acceptor = boost::asio::ip::tcp::acceptor;

  static constexpr int kOctet = 250;
  static constexpr std::uint16_t kClaimPort = 6'999;

  /** A listening socket on the last address marks the network as taken. */
  bool Claim(const int number) {
    this->prefix = "127." + std::to_string(number / kOctet + 1) + '.' +
                   std::to_string(number % kOctet) + '.';
    const boost::asio::ip::tcp::endpoint endpoint{
        boost::asio::ip::make_address(this->prefix + std::to_string(kOctet)),
        kClaimPort};
    boost::system::error_code error;
    this->claim = Acceptor{this->context};
    this->claim.open(endpoint.protocol());
    this->claim.bind(endpoint, error);
    if (!error) {
      this->claim.listen(Acceptor::max_listen_connections, error);
    }
    return !error;
  }

  boost::asio::io_context context;
  Acceptor claim{this->context};
  std::string prefix;
};

}  // namespace trefoilbend::tests

#endif  // TREFOILBEND_TESTS_SUPPORT_LOOPBACK_NETWORK_H_
