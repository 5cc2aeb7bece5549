#include "internal/connection_pool.h"

#include <algorithm>
#include <boost/asio/post.hpp>

#include "internal/closing_connection.h"

namespace trefoilbend::forwarding::internal {

namespace {

constexpr std::chrono::seconds kSweep{1};

/** Time for which a cut connection counts as open. */
constexpr std::chrono::seconds kCutConnection{5};

bool IsUntouched(TargetConnection& connection) {
  boost::system::error_code error;
  auto& socket = connection.stream.socket();
  socket.non_blocking(true, error);
  char byte{};
  socket.receive(boost::asio::buffer(&byte, 1),
                 boost::asio::ip::tcp::socket::message_peek, error);
  return error == boost::asio::error::would_block;
}

core::TimePoint Now() noexcept { return std::chrono::steady_clock::now(); }

}  // namespace

ConnectionPool::ConnectionPool(boost::asio::io_context& context,
                               const IdleTimeouts& timeouts,
                               ConnectionMetrics& metrics)
    : context(context),
      timeouts(timeouts),
      metrics(metrics),
      pace(context),
      sweep(context) {
  this->Sweep();
}

void ConnectionPool::Acquire(const http::Address& address,
                             const ConnectionBounds& bounds,
                             const core::TimePoint deadline, Ready ready) {
  const core::TimePoint now = Now();
  Server& server = this->servers[address];
  server.bounds = bounds;
  if (server.waiters.empty()) {
    if (Connection connection = this->TakeIdle(server, bounds)) {
      ready(Grant::kReuse, std::move(connection));
      return;
    }
    if (this->MayOpen(server, now)) {
      this->CountOpened(server, now);
      ready(Grant::kOpen, nullptr);
      return;
    }
  }
  this->metrics.waits.Increment();
  server.waiters.push_back({deadline, bounds, std::move(ready)});
  this->ServeLater();
}

Connection ConnectionPool::Make() {
  return std::make_unique<TargetConnection>(this->context, ++this->last_number);
}

void ConnectionPool::Keep(const http::Address& address, Connection connection,
                          const core::Duration most_idle) {
  Server& server = this->servers[address];
  if (server.open > server.bounds.open || !connection->refused.AllowMore()) {
    connection->stream.close();
    this->Release(address);
    return;
  }
  connection->stream.expires_never();
  server.idle.push_back({std::move(connection), Now(), most_idle});
  this->Serve(server);
}

void ConnectionPool::Release(const http::Address& address) {
  Server& server = this->servers[address];
  this->CountClosed(server);
  this->Serve(server);
}

void ConnectionPool::ReleaseLater(const http::Address& address) {
  auto timer = std::make_shared<boost::asio::steady_timer>(this->context);
  timer->expires_after(kCutConnection);
  timer->async_wait(
      [this, timer, address](const boost::system::error_code error) {
        if (!error) {
          this->Release(address);
        }
      });
}

void ConnectionPool::CloseGracefully(const http::Address& address,
                                     Connection connection) {
  std::make_shared<ClosingConnection>(std::move(connection), [this, address] {
    this->Release(address);
  })->Start();
}

Connection ConnectionPool::TakeIdle(Server& server,
                                    const ConnectionBounds& bounds) {
  const core::TimePoint now = Now();
  while (!server.idle.empty()) {
    IdleConnection& newest = server.idle.back();
    const core::Duration age = now - newest.since;
    if (age > bounds.most_idle && age <= newest.most_idle) {
      return nullptr;
    }
    Connection connection = std::move(newest.connection);
    const bool expired = age > newest.most_idle;
    const bool refused =
        bounds.request && connection->refused.Contains(*bounds.request);
    server.idle.pop_back();
    this->metrics.avoided.Increment(refused ? 1 : 0);
    if (!expired && !refused && IsUntouched(*connection)) {
      return connection;
    }
    this->CountClosed(server);
  }
  return nullptr;
}

bool ConnectionPool::MayOpen(const Server& server,
                             const core::TimePoint now) const {
  return server.open < server.bounds.open && server.next_open <= now;
}

void ConnectionPool::CountOpened(Server& server, const core::TimePoint now) {
  ++server.open;
  server.next_open = now + server.bounds.interval;
  this->metrics.open.Increment();
  this->metrics.opened.Increment();
}

void ConnectionPool::CountClosed(Server& server) {
  --server.open;
  this->metrics.open.Decrement();
}

void ConnectionPool::Serve(Server& server) {
  this->ServeNow(server, Now());
  if (!server.waiters.empty()) {
    this->ServeLater();
  }
}

void ConnectionPool::ServeNow(Server& server, const core::TimePoint now) {
  this->DropLate(server, now);
  while (!server.waiters.empty()) {
    Connection connection =
        this->TakeIdle(server, server.waiters.front().bounds);
    if (!connection && !this->MayOpen(server, now)) {
      return;
    }
    Waiter waiter = std::move(server.waiters.front());
    server.waiters.pop_front();
    if (connection) {
      this->Post(std::move(waiter), Grant::kReuse, std::move(connection));
    } else {
      this->CountOpened(server, now);
      this->Post(std::move(waiter), Grant::kOpen, nullptr);
    }
  }
}

void ConnectionPool::DropLate(Server& server, const core::TimePoint now) {
  auto& waiters = server.waiters;
  const auto late = std::stable_partition(
      waiters.begin(), waiters.end(),
      [&](const Waiter& waiter) { return waiter.deadline > now; });
  std::for_each(late, waiters.end(), [this](Waiter& waiter) {
    this->Post(std::move(waiter), Grant::kGiveUp, nullptr);
  });
  waiters.erase(late, waiters.end());
}

void ConnectionPool::ServeLater() {
  core::TimePoint next = core::TimePoint::max();
  for (const auto& [address, server] : this->servers) {
    for (const Waiter& waiter : server.waiters) {
      next = std::min(next, waiter.deadline);
    }
    if (!server.waiters.empty() && server.open < server.bounds.open) {
      next = std::min(next, server.next_open);
    }
  }
  if (next == core::TimePoint::max()) {
    return;
  }
  this->pace.expires_at(next);
  this->pace.async_wait([this](const boost::system::error_code error) {
    if (error) {
      return;
    }
    for (auto& [address, server] : this->servers) {
      this->ServeNow(server, Now());
    }
    this->ServeLater();
  });
}

void ConnectionPool::Sweep() {
  this->sweep.expires_after(kSweep);
  this->sweep.async_wait([this](const boost::system::error_code error) {
    if (error) {
      return;
    }
    for (auto& [address, server] : this->servers) {
      this->CloseIdle(server, Now());
    }
    this->Sweep();
  });
}

void ConnectionPool::CloseIdle(Server& server, const core::TimePoint now) {
  auto& idle = server.idle;
  while (!idle.empty()) {
    const core::Duration age = now - idle.front().since;
    const core::Duration limit =
        server.open > 1 ? this->timeouts.usual : this->timeouts.only;
    if (age < std::min(limit, idle.front().most_idle)) {
      return;
    }
    idle.front().connection->stream.close();
    idle.erase(idle.begin());
    this->CountClosed(server);
  }
}

void ConnectionPool::Post(Waiter waiter, const Grant grant,
                          Connection connection) {
  boost::asio::post(this->context,
                    [ready = std::move(waiter.ready), grant,
                     connection = std::move(connection)]() mutable {
                      ready(grant, std::move(connection));
                    });
}

}  // namespace trefoilbend::forwarding::internal
