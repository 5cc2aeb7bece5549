#ifndef TREFOILBEND_RELAY_INTERNAL_SERVER_H_
#define TREFOILBEND_RELAY_INTERNAL_SERVER_H_

#include <kj/async.h>

#include <cstddef>
#include <functional>
#include <unordered_map>

#include "relay.capnp.h"
#include "trefoilbend/relay/messages.h"

namespace trefoilbend::relay::internal {

/** @brief Takes calls that peers pass on. */
class Server final : public wire::Relay::Server {
 public:
  /** @brief Hands a call on; false if there is no room for it. */
  using Receive = std::function<bool(CallReceived)>;

  /**
   * @brief Makes a server.
   * @param max_calls Greatest number of calls in progress.
   * @param receive Hands a call on.
   */
  Server(std::size_t max_calls, Receive receive)
      : max_calls(max_calls), receive(std::move(receive)) {}

  /**
   * @brief Answers a peer's call.
   * @param reply Result of the call.
   */
  void Reply(ReplyCall reply);

  kj::Promise<void> run(RunContext context) override;

 private:
  std::size_t max_calls;
  Receive receive;
  ReceivedId last;
  std::unordered_map<ReceivedId,
                     kj::Own<kj::PromiseFulfiller<idempotency::Result>>>
      waiting;
};

}  // namespace trefoilbend::relay::internal

#endif  // TREFOILBEND_RELAY_INTERNAL_SERVER_H_
