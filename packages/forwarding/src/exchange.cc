#include "internal/exchange.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <utility>

#include "trefoilbend/forwarding/fields.h"
#include "trefoilbend/forwarding/load_report.h"
#include "trefoilbend/forwarding/resumption.h"

namespace trefoilbend::forwarding::internal {

namespace {

namespace beast = boost::beast;
using boost::asio::ip::tcp;

constexpr unsigned kHttp11 = 11;
constexpr std::uint32_t kHeadLimit = 32U << 10U;
constexpr std::uint64_t kNoLimit = UINT64_MAX;

beast::string_view View(const std::string_view text) {
  return {text.data(), text.size()};
}

std::string_view View(const beast::string_view text) {
  return {text.data(), text.size()};
}

beast::http::request<beast::http::string_body> Encode(
    const StartExchange& order, const core::TimePoint now) {
  const core::CallRequest& request = *order.request;
  beast::http::request<beast::http::string_body> message;
  message.version(kHttp11);
  message.method_string(request.method);
  message.target(request.path);
  for (const auto& [name, value] : request.fields) {
    message.insert(name, value);
  }
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      request.deadline - now);
  message.set(beast::http::field::host, request.service.Text());
  message.set("Trefoilbend-Timeout",
              std::to_string(std::max<std::int64_t>(left.count(), 0)));
  if (order.resume) {
    message.set(beast::http::field::range,
                "bytes=" + std::to_string(order.resume->offset) + '-');
    message.set(beast::http::field::if_range, order.resume->validator);
  }
  message.body() = request.body;
  message.prepare_payload();
  return message;
}

core::TimePoint ExpiryOf(const core::CallRequest& request) noexcept {
  return std::max(request.deadline, request.answer_until);
}

}  // namespace

Exchange::Exchange(ExchangeOwner& owner, StartExchange order)
    : owner(owner),
      order(std::move(order)),
      started(std::chrono::steady_clock::now()),
      resume(this->order.resume) {}

void Exchange::Start() {
  this->out = Encode(this->order, this->started);
  this->owner.Pool().Acquire(
      this->order.address,
      {.open = this->order.connections,
       .interval = this->order.connection_interval},
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
    this->owner.Pool().Keep(this->order.address, std::move(granted));
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
  this->connection->expires_at(ExpiryOf(*this->order.request));
  this->Write();
}

void Exchange::Connect() {
  this->connection = std::make_unique<beast::tcp_stream>(this->owner.Context());
  this->connection->expires_at(ExpiryOf(*this->order.request));
  boost::system::error_code error;
  const auto host =
      boost::asio::ip::make_address(this->order.address.host, error);
  this->connection->async_connect(
      tcp::endpoint{host, this->order.address.port},
      [self =
           this->shared_from_this()](const boost::system::error_code failure) {
        if (failure) {
          self->Fail(failure);
          return;
        }
        boost::system::error_code ignored;
        self->connection->socket().set_option(tcp::no_delay(true), ignored);
        self->Write();
      });
}

void Exchange::Write() {
  if (this->ended) {
    return;
  }
  this->sent = true;
  beast::http::async_write(
      *this->connection, this->out,
      [self = this->shared_from_this()](const boost::system::error_code error,
                                        std::size_t) {
        if (error) {
          self->Fail(error);
          return;
        }
        self->ReadHead();
      });
}

void Exchange::ReadHead() {
  if (this->ended) {
    return;
  }
  this->parser.emplace();
  this->parser->header_limit(kHeadLimit);
  this->parser->body_limit(kNoLimit);
  this->parser->skip(this->out.method() == beast::http::verb::head);
  this->awaits_head = true;
  beast::http::async_read_header(
      *this->connection, this->buffer, *this->parser,
      [self = this->shared_from_this()](const boost::system::error_code error,
                                        std::size_t) { self->OnHead(error); });
}

void Exchange::OnHead(const boost::system::error_code error) {
  this->awaits_head = false;
  if (this->ended) {
    this->CloseAfterCancel();
    return;
  }
  if (error) {
    this->Fail(error);
    return;
  }
  this->latency = this->Elapsed();
  const auto report = this->parser->get().find(View(kLoadField));
  if (report != this->parser->get().end()) {
    this->load = ParseLoadReport(View(report->value()));
  }
  if (this->order.holds_refusals &&
      this->parser->get().result_int() == kRefusalStatus) {
    this->refused = true;
    this->abandoned = true;
  } else if (this->order.resume &&
             !Continues(*this->order.resume, this->MakeHead())) {
    this->resume.reset();
    this->Finish(ExchangeResult::kBrokenWithinAnswer);
    return;
  }
  if (this->parser->is_done()) {
    this->Deliver("", true);
    return;
  }
  if (this->parser->need_eof()) {
    this->Fail(beast::http::error::partial_message);
    return;
  }
  this->ReadPart();
}

void Exchange::ReadPart() {
  this->reading = true;
  auto& body = this->parser->get().body();
  body.data = this->part.data();
  body.size = this->part.size();
  body.more = true;
  beast::http::async_read_some(
      *this->connection, this->buffer, *this->parser,
      [self = this->shared_from_this()](const boost::system::error_code error,
                                        std::size_t) { self->OnPart(error); });
}

void Exchange::OnPart(boost::system::error_code error) {
  this->reading = false;
  if (error == beast::http::error::need_buffer) {
    error = {};
  }
  if (error || this->ended) {
    this->Fail(error);
    return;
  }
  const std::size_t length =
      this->part.size() - this->parser->get().body().size;
  const bool complete = this->parser->is_done();
  if (length == 0 && !complete) {
    this->ReadPart();
    return;
  }
  if (this->resume) {
    this->resume->offset += length;
  }
  if (complete && this->order.resume && !this->IsWholeBody()) {
    this->resume.reset();
    this->Finish(ExchangeResult::kBrokenWithinAnswer);
    return;
  }
  this->Deliver(std::string{this->part.data(), length}, complete);
}

bool Exchange::IsWholeBody() const noexcept {
  const auto range = ParseContentRange(
      View(this->parser->get()[beast::http::field::content_range]));
  return range && this->resume->offset == range->length;
}

core::AnswerHead Exchange::MakeHead() const {
  const auto& message = this->parser->get();
  core::AnswerHead head{
      .status = static_cast<std::uint16_t>(message.result_int()),
      .fields = {},
      .length = std::nullopt,
      .body = {}};
  if (const auto length = this->parser->content_length()) {
    head.length = *length;
  }
  for (const auto& field : message) {
    const std::string_view name = View(field.name_string());
    if (!IsHopByHop(name)) {
      head.fields.emplace_back(name, field.value());
    }
  }
  return head;
}

void Exchange::PassOn(std::string body, const bool complete) {
  const bool is_first = !std::exchange(this->head_passed, true);
  if (is_first) {
    this->owner.Begin({this->order.call, this->order.exchange}, complete);
  }
  if (!is_first || this->order.resume) {
    this->owner.Answer(AnswerContinued{
        this->order.call, {.body = std::move(body), .complete = complete}});
    return;
  }
  core::AnswerHead head = this->MakeHead();
  this->resume = ResumptionOf(*this->order.request, head);
  if (this->resume) {
    this->resume->offset = body.size();
  }
  head.body = std::move(body);
  head.complete = complete;
  this->owner.Answer(AnswerStarted{this->order.call, std::move(head)});
}

void Exchange::Deliver(std::string body, const bool complete) {
  if (!this->abandoned) {
    this->PassOn(std::move(body), complete);
  }
  if (complete) {
    this->Finish(this->refused ? ExchangeResult::kRefused
                               : ExchangeResult::kAnswered);
  } else if (this->abandoned) {
    this->ReadPart();
  }
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

void Exchange::Cancel() { this->Finish(ExchangeResult::kCancelled); }

void Exchange::Fail(const boost::system::error_code error) {
  if (this->ended) {
    return;
  }
  if (this->head_passed) {
    if (!this->abandoned && !this->resume) {
      this->owner.Answer(AnswerBroken{this->order.call});
    }
    this->Finish(ExchangeResult::kBrokenWithinAnswer);
    return;
  }
  if (!this->sent) {
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
      result == ExchangeResult::kAnswered || result == ExchangeResult::kRefused;
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
                   .load = this->load,
                   .resume = answered ? std::nullopt : this->resume});
}

void Exchange::GiveBackConnection(const ExchangeResult result,
                                  const bool answered) {
  ConnectionPool& pool = this->owner.Pool();
  if (!this->connection) {
    return;
  }
  if (answered && this->parser->keep_alive() && this->buffer.size() == 0) {
    pool.Keep(this->order.address, std::move(this->connection));
    return;
  }
  this->connection->cancel();
  if (this->awaits_head) {
    return;
  }
  this->connection->close();
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

core::Duration Exchange::Elapsed() const noexcept {
  return std::chrono::steady_clock::now() - this->started;
}

}  // namespace trefoilbend::forwarding::internal
