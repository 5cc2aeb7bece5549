#ifndef TREFOILBEND_RPC_LINK_H_
#define TREFOILBEND_RPC_LINK_H_

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include "trefoilbend/http/address.h"

namespace trefoilbend::rpc {

/**
 * @brief Connection to one peer that is kept for several calls.
 * @tparam Interface Cap'n Proto interface that the peer serves.
 */
template <typename Interface>
class Link {
 public:
  /**
   * @brief Makes a link without a connection.
   * @param io Cap'n Proto's event loop; outlives the link.
   */
  explicit Link(kj::AsyncIoContext& io) : io(io) {}

  /**
   * @brief Connects if there is no connection.
   * @param address Address of the peer.
   * @return Resolved to what the peer serves; the link outlives the promise.
   */
  [[nodiscard]] kj::Promise<typename Interface::Client> Open(
      const http::Address& address) {
    KJ_IF_MAYBE (known, this->peer) {
      return *known;
    }
    return this->io.provider->getNetwork()
        .parseAddress(http::ToString(address).c_str())
        .then([](kj::Own<kj::NetworkAddress>&& parsed) {
          auto connecting = parsed->connect();
          return connecting.attach(kj::mv(parsed));
        })
        .then([this](kj::Own<kj::AsyncIoStream>&& opened) {
          this->stream = kj::mv(opened);
          this->client = kj::heap<capnp::TwoPartyClient>(*this->stream);
          auto served = this->client->bootstrap().template castAs<Interface>();
          this->peer = served;
          return served;
        });
  }

  /** @brief Closes the connection; the next call opens another one. */
  void Close() {
    this->peer = nullptr;
    this->client = nullptr;
    this->stream = nullptr;
  }

 private:
  kj::AsyncIoContext& io;
  kj::Own<kj::AsyncIoStream> stream;
  kj::Own<capnp::TwoPartyClient> client;
  // A second bootstrap on a closed connection would throw.
  kj::Maybe<typename Interface::Client> peer;
};

}  // namespace trefoilbend::rpc

#endif  // TREFOILBEND_RPC_LINK_H_
