#include "internal/exchange.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "internal/open_connection.h"
#include "internal/request_encoding.h"
#include "internal/text_view.h"
#include "trefoilbend/forwarding/fields.h"

namespace trefoilbend::forwarding::internal {

namespace beast = boost::beast;

Exchange::Exchange(ExchangeOwner& owner, StartExchange order)
    : owner(owner),
      order(std::move(order)),
      started(std::chrono::steady_clock::now()),
      resume(this->order.resume) {}

void Exchange::Start() {
  const Options& options = this->owner.GetOptions();
  this->out = Encode(this->order, *options.protocol, this->started);
  this->owner.Pool().Acquire(
      this->order.address,
      {.open = this->order.connections,
       .interval = this->order.connection_interval,
       .most_idle = this->order.request->idempotent
                        ? core::Duration::max()
                        : core::Duration{options.unsafe_idle},
       .request = DigestOf(options.protocol->IdentityOf(*this->order.request))},
      this->order.request->deadline,
      [self = this->shared_from_this()](const Grant grant, Connection granted) {
        self->TakeConnection(grant, std::move(granted));
      });
}

void Exchange::TakeConnection(const Grant grant, Connection granted) {
  if (grant == Grant::kGiveUp) {
    this->Finish(ExchangeResult::kNotSent);
    return;
  }
  if (this->ended && granted) {
    this->owner.Pool().Keep(this->order.address, std::move(granted),
                            core::Duration::max());
    return;
  }
  if (this->ended) {
    this->owner.Pool().Release(this->order.address);
    return;
  }
  if (grant == Grant::kOpen) {
    this->Connect();
    return;
  }
  this->connection = std::move(granted);
  this->connection->stream.expires_at(this->Expiry());
  this->Write();
}

void Exchange::Connect() {
  this->connection = this->owner.Pool().Make();
  const core::TimePoint expiry = this->Expiry();
  const auto patience = this->owner.GetOptions().connect_timeout;
  this->connection->stream.expires_at(
      patience.count() == 0
          ? expiry
          : std::min(expiry, std::chrono::steady_clock::now() + patience));
  OpenConnection(this->connection->stream, this->order.address,
                 [self = this->shared_from_this()](
                     const boost::system::error_code failure) {
                   if (failure) {
                     self->Fail(failure);
                     return;
                   }
                   self->connection->stream.expires_at(self->Expiry());
                   self->Write();
                 });
}

void Exchange::Write() {
  if (this->ended) {
    return;
  }
  this->waited = this->Elapsed();
  this->use = {.connection = this->connection->number,
               .carried = this->connection->requests++,
               .skipped = 0};
  beast::http::async_write(
      this->connection->stream, this->out,
      [self = this->shared_from_this()](const boost::system::error_code error,
                                        std::size_t) {
        if (error) {
          self->Fail(error);
          return;
        }
        self->ReadHead();
      });
}

void Exchange::Continue() {
  if (!this->ended && !this->reading) {
    this->ReadPart();
  }
}

void Exchange::Abandon() {
  if (this->ended || this->abandoned) {
    return;
  }
  this->abandoned = true;
  if (this->head_passed && !this->reading) {
    this->ReadPart();
  }
}

void Exchange::Withdraw() {
  if (!this->waited) {
    this->Finish(ExchangeResult::kNotSent);
  }
}

void Exchange::Cancel() { this->Finish(ExchangeResult::kCancelled); }

void Exchange::Fail(const boost::system::error_code error) {
  if (this->ended) {
    return;
  }
  if (this->withheld) {
    this->Finish(*this->withheld);
    return;
  }
  if (this->head_passed) {
    if (!this->abandoned && !this->resume) {
      this->owner.Answer(AnswerBroken{this->order.call});
    }
    this->Finish(ExchangeResult::kBrokenWithinAnswer);
    return;
  }
  if (!this->waited) {
    this->Finish(ExchangeResult::kNotSent);
    return;
  }
  this->Finish(error == beast::error::timeout
                   ? ExchangeResult::kTimedOut
                   : ExchangeResult::kBrokenBeforeAnswer);
}

void Exchange::Finish(const ExchangeResult result) {
  if (this->ended) {
    return;
  }
  this->ended = true;
  const bool answered =
      result == ExchangeResult::kAnswered || result == this->withheld;
  const auto status =
      answered ? static_cast<std::uint16_t>(this->parser->get().result_int())
               : std::uint16_t{0};
  this->GiveBackConnection(result, answered);
  this->owner.End({.call = this->order.call,
                   .exchange = this->order.exchange,
                   .target = this->order.target,
                   .result = result,
                   .status = status,
                   .latency = answered ? this->latency : this->Elapsed(),
                   .waited = this->waited,
                   .load = this->load,
                   .use = this->use,
                   .resume = answered ? std::nullopt : this->resume});
}

void Exchange::GiveBackConnection(const ExchangeResult result,
                                  const bool answered) {
  ConnectionPool& pool = this->owner.Pool();
  if (!this->connection) {
    return;
  }
  if (answered && this->parser->is_done() && this->parser->keep_alive() &&
      this->buffer.size() == 0) {
    pool.Keep(
        this->order.address, std::move(this->connection),
        KeepAliveOf(View(this->parser->get()[beast::http::field::keep_alive])));
    return;
  }
  this->connection->stream.cancel();
  if (this->awaits_head) {
    return;
  }
  this->connection->stream.close();
  if (result == ExchangeResult::kTimedOut) {
    pool.ReleaseLater(this->order.address);
  } else {
    pool.Release(this->order.address);
  }
}

void Exchange::CloseAfterCancel() {
  this->owner.Pool().CloseGracefully(this->order.address,
                                     std::move(this->connection));
}

core::TimePoint Exchange::Expiry() const noexcept {
  return std::max(this->order.request->deadline,
                  this->order.request->answer_until);
}

core::Duration Exchange::Elapsed() const noexcept {
  return std::chrono::steady_clock::now() - this->started;
}

}  // namespace trefoilbend::forwarding::internal
