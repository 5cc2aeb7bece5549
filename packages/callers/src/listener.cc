#include "internal/listener.h"

namespace trefoilbend::callers::internal {

using boost::asio::ip::tcp;

namespace {

constexpr std::chrono::seconds kSweep{1};

}  // namespace

core::Outcome<std::monostate, std::string> Listener::Open(
    const http::Address& address) {
  boost::system::error_code error;
  const tcp::endpoint endpoint{
      boost::asio::ip::make_address(address.host, error), address.port};
  this->acceptor.open(endpoint.protocol(), error);
  this->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  this->acceptor.bind(endpoint, error);
  if (!error) {
    this->acceptor.listen(boost::asio::socket_base::max_listen_connections,
                          error);
  }
  if (error) {
    return "cannot listen on " + http::ToString(address) + ": " +
           error.message();
  }
  this->Accept();
  this->Sweep();
  return std::monostate{};
}

void Listener::Close() {
  boost::system::error_code ignored;
  this->acceptor.close(ignored);
}

void Listener::CloseIdleSessions(const core::Duration least) {
  for (const std::weak_ptr<Session>& weak : this->sessions) {
    if (const auto session = weak.lock()) {
      session->CloseIfIdle(least);
    }
  }
}

void Listener::Sweep() {
  this->sweep.expires_after(kSweep);
  this->sweep.async_wait([this](const boost::system::error_code error) {
    if (!error) {
      this->CloseIdleSessions(this->owner.GetLimits().idle);
      this->Sweep();
    }
  });
}

void Listener::Accept() {
  this->acceptor.async_accept([this](const boost::system::error_code error,
                                     tcp::socket socket) {
    if (!this->acceptor.is_open()) {
      return;
    }
    if (!error && this->OpenSessions() < this->owner.GetLimits().connections) {
      this->Begin(std::move(socket));
    }
    this->Accept();
  });
}

void Listener::Begin(tcp::socket socket) {
  if (this->sessions.size() > 2 * this->OpenSessions()) {
    std::erase_if(this->sessions,
                  [](const auto& one) { return one.expired(); });
  }
  const auto session =
      std::make_shared<Session>(this->owner, std::move(socket), this->token);
  this->sessions.push_back(session);
  session->Read();
}

}  // namespace trefoilbend::callers::internal
