#ifndef TREFOILBEND_RELAY_INTERNAL_PEERS_H_
#define TREFOILBEND_RELAY_INTERNAL_PEERS_H_

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <functional>
#include <map>

#include "relay.capnp.h"
#include "trefoilbend/relay/messages.h"

namespace trefoilbend::relay::internal {

/** @brief Connections to the homes of keys, opened when needed. */
class Peers final : private kj::TaskSet::ErrorHandler {
 public:
  /** @brief Takes the result of a call. */
  using Done = std::function<void(CallReturned)>;

  /**
   * @brief Makes an empty set of connections.
   * @param io Event loop that carries them.
   */
  explicit Peers(kj::AsyncIoContext& io);
  ~Peers();

  Peers(const Peers&) = delete;
  Peers& operator=(const Peers&) = delete;

  /**
   * @brief Passes a call on; done gets its result, at the latest a little after
   * the call's deadline.
   * @param call Call to pass on.
   * @param done Takes the result, once.
   */
  void Pass(PassCall call, Done done);

 private:
  struct Connection;

  [[nodiscard]] kj::Own<Connection> ConnectionTo(const http::Address& address);
  [[nodiscard]] kj::Promise<idempotency::Result> Ask(Connection& connection,
                                                     const PassCall& call);
  void DropWhenClosed(const http::Address& address, Connection& connection);
  void Drop(const http::Address& address, const Connection& connection);
  void taskFailed(kj::Exception&& exception) override;

  kj::AsyncIoContext& io;
  std::map<http::Address, kj::Own<Connection>> connections;
  kj::TaskSet tasks;
};

}  // namespace trefoilbend::relay::internal

#endif  // TREFOILBEND_RELAY_INTERNAL_PEERS_H_
