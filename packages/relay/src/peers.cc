#include "internal/peers.h"

#include <chrono>
#include <memory>
#include <utility>

#include "internal/codec.h"
#include "trefoilbend/core/invariant.h"

namespace trefoilbend::relay::internal {

namespace {

/** Time beyond the deadline in which the home's own verdict may arrive. */
constexpr std::chrono::milliseconds kGrace{50};

core::Refusal Unknown(const core::RefusalReason reason) noexcept {
  return {.run = core::RunState::kUnknown, .reason = reason};
}

kj::Duration ToKj(const core::Duration time) {
  const auto nanoseconds =
      std::chrono::duration_cast<std::chrono::nanoseconds>(time);
  return std::max<std::int64_t>(0, nanoseconds.count()) * kj::NANOSECONDS;
}

}  // namespace

struct Peers::Connection : public kj::Refcounted {
  kj::Own<kj::AsyncIoStream> stream;
  kj::Own<capnp::TwoPartyClient> client;
  kj::Maybe<wire::Relay::Client> relay;
  kj::ForkedPromise<void> connected = nullptr;
};

Peers::Peers(kj::AsyncIoContext& io) : io(io), tasks(*this) {}

Peers::~Peers() = default;

void Peers::Pass(PassCall call, Done done) {
  const core::TimePoint now = std::chrono::steady_clock::now();
  const core::Duration left = call.request->deadline - now + kGrace;
  kj::Own<Connection> connection = this->ConnectionTo(call.address);
  const core::CallId id = call.call;
  const http::Address address = call.address;
  Connection& used = *connection;
  auto asked = used.connected.addBranch().then(
      [this, &used, call = std::move(call)] { return this->Ask(used, call); });
  auto timeout = this->io.provider->getTimer()
                     .afterDelay(ToKj(left))
                     .then([this, address, &used]() -> idempotency::Result {
                       this->Drop(address, used);
                       return Unknown(core::RefusalReason::kDeadline);
                     });
  this->tasks.add(
      asked.exclusiveJoin(kj::mv(timeout))
          .catch_([this, address, &used](kj::Exception&&) {
            this->Drop(address, used);
            return idempotency::Result{
                Unknown(core::RefusalReason::kHomeUnreachable)};
          })
          .then([id, done = std::move(done)](idempotency::Result&& result) {
            done({.call = id, .result = std::move(result)});
          })
          .attach(kj::mv(connection)));
}

kj::Own<Peers::Connection> Peers::ConnectionTo(const http::Address& address) {
  const auto found = this->connections.find(address);
  if (found != this->connections.end()) {
    return kj::addRef(*found->second);
  }
  auto connection = kj::refcounted<Connection>();
  Connection& opened = *connection;
  opened.connected =
      this->io.provider->getNetwork()
          .parseAddress(http::ToString(address).c_str())
          .then([](kj::Own<kj::NetworkAddress>&& parsed) {
            auto connecting = parsed->connect();
            return connecting.attach(kj::mv(parsed));
          })
          .then([&opened](kj::Own<kj::AsyncIoStream>&& stream) {
            opened.stream = kj::mv(stream);
            opened.client = kj::heap<capnp::TwoPartyClient>(*opened.stream);
            opened.relay = opened.client->bootstrap().castAs<wire::Relay>();
          })
          .fork();
  this->connections.emplace(address, kj::addRef(opened));
  this->DropWhenClosed(address, opened);
  return connection;
}

void Peers::DropWhenClosed(const http::Address& address,
                           Connection& connection) {
  this->tasks.add(
      connection.connected.addBranch()
          .then([&connection] { return connection.client->onDisconnect(); })
          .then(
              [this, address, &connection] { this->Drop(address, connection); },
              [](kj::Exception&&) {})
          .attach(kj::addRef(connection)));
}

kj::Promise<idempotency::Result> Peers::Ask(Connection& connection,
                                            const PassCall& call) {
  wire::Relay::Client& relay = KJ_ASSERT_NONNULL(connection.relay);
  auto request = relay.runRequest();
  Encode(call, std::chrono::steady_clock::now(), request.initCall());
  return request.send().then(
      [](capnp::Response<wire::Relay::RunResults>&& response) {
        return Decode(response.getResult());
      });
}

void Peers::Drop(const http::Address& address, const Connection& connection) {
  const auto found = this->connections.find(address);
  if (found != this->connections.end() && found->second.get() == &connection) {
    this->connections.erase(found);
  }
}

void Peers::taskFailed(kj::Exception&& /*exception*/) {
  core::CheckInvariant(false, "every call that is passed on gets a result");
}

}  // namespace trefoilbend::relay::internal
