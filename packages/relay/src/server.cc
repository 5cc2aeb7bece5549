#include "internal/server.h"

#include <chrono>
#include <utility>

#include "internal/codec.h"

namespace trefoilbend::relay::internal {

kj::Promise<void> Server::run(RunContext context) {
  CallReceived call =
      Decode(context.getParams().getCall(), std::chrono::steady_clock::now());
  context.releaseParams();
  const ReceivedId id = this->last.Next();
  this->last = id;
  call.received = id;
  if (this->waiting.size() >= this->max_calls ||
      !this->receive(std::move(call))) {
    Encode(core::Refusal{.run = core::RunState::kUnknown,
                         .reason = core::RefusalReason::kBusy},
           context.getResults().initResult());
    return kj::READY_NOW;
  }
  auto reply = kj::newPromiseAndFulfiller<idempotency::Result>();
  this->waiting.emplace(id, kj::mv(reply.fulfiller));
  return reply.promise.then([context](idempotency::Result&& result) mutable {
    Encode(result, context.getResults().initResult());
  });
}

void Server::Reply(ReplyCall reply) {
  const auto found = this->waiting.find(reply.received);
  if (found == this->waiting.end()) {
    return;
  }
  found->second->fulfill(std::move(reply.result));
  this->waiting.erase(found);
}

}  // namespace trefoilbend::relay::internal
