#ifndef TREFOILBEND_RPC_LISTENER_H_
#define TREFOILBEND_RPC_LISTENER_H_

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <optional>
#include <string>

#include "trefoilbend/core/log.h"
#include "trefoilbend/http/address.h"

namespace trefoilbend::rpc {

/** @brief Serves a capability to peers on an address that may change. */
class Listener {
 public:
  /**
   * @brief Makes a listener without an address.
   * @param io Cap'n Proto's event loop; outlives the listener.
   * @param capability What peers get to call.
   * @param what What is taken from peers, for the log.
   * @param log Log of the duty; outlives the listener.
   */
  Listener(kj::AsyncIoContext& io, capnp::Capability::Client capability,
           std::string what, const core::Log& log);

  /**
   * @brief Listens on another address; tells the log if it cannot be used, and
   * is then without an address.
   * @param wanted Address, or nothing to stop listening.
   */
  void ListenOn(const std::optional<http::Address>& wanted);

 private:
  kj::AsyncIoContext& io;
  std::string what;
  const core::Log& log;
  capnp::TwoPartyServer server;
  std::optional<http::Address> address;
  kj::Promise<void> listening = nullptr;
};

}  // namespace trefoilbend::rpc

#endif  // TREFOILBEND_RPC_LISTENER_H_
