#include "trefoilbend/rpc/listener.h"

#include <utility>

namespace trefoilbend::rpc {

Listener::Listener(kj::AsyncIoContext& io, capnp::Capability::Client capability,
                   std::string what, const core::Log& log)
    : io(io), what(std::move(what)), log(log), server(kj::mv(capability)) {}

void Listener::ListenOn(const std::optional<http::Address>& wanted) {
  if (this->address == wanted) {
    return;
  }
  this->address = wanted;
  if (!wanted) {
    this->listening = nullptr;
    return;
  }
  this->listening =
      this->io.provider->getNetwork()
          .parseAddress(http::ToString(*wanted).c_str())
          .then([this](kj::Own<kj::NetworkAddress>&& parsed) {
            auto receiver = parsed->listen();
            auto accepting = this->server.listen(*receiver);
            return accepting.attach(kj::mv(receiver), kj::mv(parsed));
          })
          .eagerlyEvaluate([this](kj::Exception&& exception) {
            this->log.Warn("Cannot take peers' {}: {}.", this->what,
                           exception.getDescription().cStr());
            this->address.reset();
          });
}

}  // namespace trefoilbend::rpc
