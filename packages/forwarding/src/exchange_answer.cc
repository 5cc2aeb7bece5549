#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

#include "internal/exchange.h"
#include "internal/status.h"
#include "internal/text_view.h"
#include "trefoilbend/forwarding/fields.h"
#include "trefoilbend/forwarding/resumption.h"

namespace trefoilbend::forwarding::internal {

namespace beast = boost::beast;

namespace {

constexpr std::uint32_t kHeadLimit = 32U << 10U;
constexpr std::uint64_t kNoLimit = UINT64_MAX;
/** Bytes that are read to keep a connection though nobody gets them. */
constexpr std::size_t kMostDiscarded = 64U << 10U;
/** What the head of an answer to another request counts among them. */
constexpr std::size_t kDiscardedHead = 1U << 10U;
/** Time for which the rest of an answer that is not passed on is awaited. */
constexpr std::chrono::milliseconds kDiscardTime{100};
constexpr std::uint16_t kFirstServerError = 500;

}  // namespace

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
      this->connection->stream, this->buffer, *this->parser,
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
  const unsigned status = this->parser->get().result_int();
  if (IsInterim(status)) {
    this->SkipInterim();
    return;
  }
  if (!IsFinal(status)) {
    this->Fail(beast::http::error::bad_status);
    return;
  }
  this->latency = this->Elapsed();
  const TargetProtocol& protocol = *this->owner.GetOptions().protocol;
  const core::AnswerHead head = this->MakeHead();
  const AnswerKind kind = protocol.Judge(this->order, head);
  if (kind == AnswerKind::kInvalid ||
      (this->parser->need_eof() && !protocol.AllowsEndByClose())) {
    this->Fail(beast::http::error::partial_message);
    return;
  }
  this->TakeHead(kind, head);
  if (this->ended) {
    return;
  }
  if (this->parser->is_done()) {
    this->Deliver("", true);
    return;
  }
  if (this->withheld) {
    this->connection->stream.expires_at(std::min(
        this->Expiry(), std::chrono::steady_clock::now() + kDiscardTime));
  }
  this->ReadPart();
}

void Exchange::TakeHead(const AnswerKind kind, const core::AnswerHead& head) {
  if (kind == AnswerKind::kForeign) {
    this->foreign = true;
    return;
  }
  const TargetProtocol& protocol = *this->owner.GetOptions().protocol;
  this->load = protocol.LoadOf(head.fields);
  if (this->ProvesNotRun(kind)) {
    this->connection->refused.Add(protocol.IdentityOf(*this->order.request));
  }
  if (kind == AnswerKind::kMisdirected) {
    this->withheld = ExchangeResult::kMisdirected;
  } else if (kind == AnswerKind::kRefusal && this->order.holds_refusals) {
    this->withheld = ExchangeResult::kRefused;
  } else if (kind == AnswerKind::kUnprovenRefusal ||
             (kind == AnswerKind::kAnswer && this->order.holds_failures &&
              head.status >= kFirstServerError)) {
    this->withheld = ExchangeResult::kFailed;
  } else if (this->order.resume && !Continues(*this->order.resume, head)) {
    this->resume.reset();
    this->Finish(ExchangeResult::kBrokenWithinAnswer);
    return;
  }
  this->abandoned = this->abandoned || this->withheld.has_value();
  this->holding = this->MayHold(head);
}

bool Exchange::ProvesNotRun(const AnswerKind kind) const noexcept {
  return kind == AnswerKind::kMisdirected ||
         (kind == AnswerKind::kRefusal && this->order.trusts_refusals);
}

bool Exchange::MayHold(const core::AnswerHead& head) const noexcept {
  return this->order.request->idempotent && !this->order.resume &&
         head.length.value_or(0) <= this->owner.GetOptions().hold &&
         this->owner.GetOptions().hold > 0;
}

void Exchange::ReadPart() {
  this->reading = true;
  auto& body = this->parser->get().body();
  body.data = this->part.data();
  body.size = this->part.size();
  body.more = true;
  beast::http::async_read_some(
      this->connection->stream, this->buffer, *this->parser,
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
  this->Deliver(std::string{this->part.data(), length}, complete);
}

bool Exchange::FitsWholeBody(const std::size_t length,
                             const bool complete) const {
  if (!this->order.resume || this->withheld || this->abandoned) {
    return true;
  }
  const auto range = ParseContentRange(
      View(this->parser->get()[beast::http::field::content_range]));
  const std::uint64_t told = this->resume->offset + length;
  return range && (complete ? told == range->length : told <= range->length);
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
    if (!IsHopByHop(name) && !IsEntryField(name)) {
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
    if (this->resume) {
      this->resume->offset += body.size();
    }
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
  if (this->foreign || this->withheld) {
    if (!this->MayDiscard(body.size())) {
      this->Fail(beast::http::error::body_limit);
      return;
    }
  }
  if (this->foreign) {
    complete ? this->SkipAnswer() : this->ReadPart();
    return;
  }
  if (!this->FitsWholeBody(body.size(), complete)) {
    this->resume.reset();
    this->Finish(ExchangeResult::kBrokenWithinAnswer);
    return;
  }
  if (!this->abandoned) {
    this->Hold(std::move(body), complete);
  }
  if (complete) {
    this->Finish(this->withheld.value_or(ExchangeResult::kAnswered));
  } else if (this->abandoned || this->holding) {
    this->ReadPart();
  }
}

void Exchange::Hold(std::string body, const bool complete) {
  if (!this->holding) {
    this->PassOn(std::move(body), complete);
    return;
  }
  this->held += body;
  if (complete || this->held.size() > this->owner.GetOptions().hold) {
    this->holding = false;
    this->PassOn(std::move(this->held), complete);
  }
}

bool Exchange::MayDiscard(const std::size_t bytes) {
  this->discarded += bytes;
  return this->discarded <= kMostDiscarded;
}

void Exchange::SkipAnswer() {
  if (!this->parser->keep_alive() || !this->MayDiscard(kDiscardedHead)) {
    this->Fail(beast::http::error::end_of_stream);
    return;
  }
  this->foreign = false;
  ++this->use->skipped;
  this->owner.CountSkippedAnswer();
  this->ReadHead();
}

void Exchange::SkipInterim() {
  if (!this->MayDiscard(kDiscardedHead)) {
    this->Fail(beast::http::error::header_limit);
    return;
  }
  this->ReadHead();
}

}  // namespace trefoilbend::forwarding::internal
