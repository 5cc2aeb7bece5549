#include "raw_target.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstddef>
#include <string_view>
#include <utility>

#include "trefoilbend/wire/headers.h"

namespace trefoilbend::tests {

namespace {

using boost::asio::ip::tcp;

constexpr std::chrono::milliseconds kPoll{2};
/** Connections beyond it are closed at once, as the users' targets do. */
constexpr std::size_t kMostConnections = 512;

}  // namespace

bool IsHealthCheck(const std::string& head) {
  return head.starts_with("GET /health");
}

std::string IdOf(const std::string& head) {
  const std::string name = std::string{wire::kRequestIdHeader} + ": ";
  const std::size_t begin = head.find(name);
  if (begin == std::string::npos) {
    return "";
  }
  const std::size_t value = begin + name.size();
  return head.substr(value, head.find("\r\n", value) - value);
}

std::string RawConnection::ReadHead() {
  std::string head;
  boost::system::error_code closed;
  this->socket.non_blocking(true, closed);
  if (closed) {
    return {};
  }
  while (!head.ends_with("\r\n\r\n") && !this->stopping) {
    char byte{};
    boost::system::error_code error;
    this->socket.read_some(boost::asio::buffer(&byte, 1), error);
    if (error == boost::asio::error::would_block) {
      std::this_thread::sleep_for(kPoll);
    } else if (error) {
      return {};
    } else {
      head += byte;
    }
  }
  return this->stopping ? std::string{} : head;
}

bool RawConnection::Write(const std::string& bytes) {
  std::string_view left = bytes;
  while (!left.empty() && !this->stopping) {
    boost::system::error_code error;
    const std::size_t written = this->socket.write_some(
        boost::asio::buffer(left.data(), left.size()), error);
    left.remove_prefix(written);
    if (error == boost::asio::error::would_block) {
      std::this_thread::sleep_for(kPoll);
    } else if (error) {
      return false;
    }
  }
  return !this->stopping;
}

void RawConnection::WriteWithoutEnd(const std::string& bytes) {
  while (this->Write(bytes)) {
  }
}

void RawConnection::Close() {
  boost::system::error_code ignored;
  this->socket.shutdown(tcp::socket::shutdown_both, ignored);
  this->socket.close(ignored);
}

RawTarget::RawTarget(const http::Address& address, Story story)
    : acceptor(this->context,
               tcp::endpoint{boost::asio::ip::make_address(address.host),
                             address.port}),
      story(std::move(story)) {
  this->acceptor.non_blocking(true);
  this->accepting = std::thread([this] { this->Accept(); });
}

RawTarget::~RawTarget() {
  this->stopping = true;
  this->accepting.join();
  for (ServedConnection& connection : this->connections) {
    connection.thread.join();
  }
}

void RawTarget::Accept() {
  while (!this->stopping) {
    tcp::socket socket{this->context};
    boost::system::error_code error;
    this->acceptor.accept(socket, error);
    if (error) {
      std::this_thread::sleep_for(kPoll);
      continue;
    }
    this->JoinEnded();
    if (this->connections.size() >= kMostConnections) {
      continue;
    }
    ServedConnection& served = this->connections.emplace_back();
    served.thread =
        std::thread([this, &served, accepted = std::move(socket)]() mutable {
          this->Serve(std::move(accepted));
          served.ended = true;
        });
  }
}

/** Callers that break connections off open many more. */
void RawTarget::JoinEnded() {
  this->connections.remove_if([](ServedConnection& connection) {
    if (connection.ended) {
      connection.thread.join();
    }
    return !connection.thread.joinable();
  });
}

void RawTarget::Serve(tcp::socket socket) {
  RawConnection connection{std::move(socket), ++this->accepted, this->stopping};
  for (std::string head = connection.ReadHead(); !head.empty();
       head = connection.ReadHead()) {
    this->story(connection, head);
  }
}

}  // namespace trefoilbend::tests
