#include "internal/probe.h"

#include <utility>

#include "internal/open_connection.h"
#include "internal/status.h"
#include "internal/text_view.h"
#include "trefoilbend/forwarding/fields.h"

namespace trefoilbend::forwarding::internal {

namespace {

namespace beast = boost::beast;

constexpr unsigned kHttp11 = 11;
constexpr std::uint32_t kHeadLimit = 8U << 10U;
constexpr std::uint64_t kBodyLimit = 64U << 10U;
/** Answers to requests that may come before the one that is due. */
constexpr std::uint32_t kMostSkipped = 16;

core::AnswerHead HeadOf(
    const beast::http::response<beast::http::string_body>& message) {
  core::AnswerHead head{
      .status = static_cast<std::uint16_t>(message.result_int()),
      .fields = {},
      .length = std::nullopt,
      .body = {}};
  for (const auto& field : message) {
    head.fields.emplace_back(field.name_string(), field.value());
  }
  return head;
}

}  // namespace

void Probe::Start() {
  this->out.method(beast::http::verb::get);
  this->out.target(this->order.path);
  this->out.version(kHttp11);
  this->out.set(beast::http::field::host, http::ToString(this->order.address));
  this->owner.Pool().Acquire(
      this->order.address, {.open = this->order.connections, .interval = {}},
      this->order.deadline,
      [self = this->shared_from_this()](const Grant grant, Connection granted) {
        self->TakeConnection(grant, std::move(granted));
      });
}

void Probe::TakeConnection(const Grant grant, Connection granted) {
  if (grant == Grant::kGiveUp) {
    this->owner.EndProbe({this->order.probe, this->order.target, std::nullopt});
    return;
  }
  if (grant == Grant::kOpen) {
    this->Connect();
    return;
  }
  this->connection = std::move(granted);
  this->connection->stream.expires_at(this->order.deadline);
  this->Write();
}

void Probe::Connect() {
  this->connection = this->owner.Pool().Make();
  this->connection->stream.expires_at(this->order.deadline);
  OpenConnection(this->connection->stream, this->order.address,
                 [self = this->shared_from_this()](
                     const boost::system::error_code failure) {
                   if (failure) {
                     self->GiveUp();
                     return;
                   }
                   self->Write();
                 });
}

void Probe::Write() {
  ++this->connection->requests;
  beast::http::async_write(
      this->connection->stream, this->out,
      [self = this->shared_from_this()](const boost::system::error_code error,
                                        std::size_t) {
        if (error) {
          self->GiveUp();
          return;
        }
        self->Read();
      });
}

void Probe::Read() {
  this->parser.emplace();
  this->parser->header_limit(kHeadLimit);
  this->parser->body_limit(kBodyLimit);
  beast::http::async_read(
      this->connection->stream, this->buffer, *this->parser,
      [self = this->shared_from_this()](const boost::system::error_code error,
                                        std::size_t) { self->OnRead(error); });
}

void Probe::OnRead(const boost::system::error_code error) {
  const unsigned status = this->parser->get().result_int();
  if (!error && IsInterim(status)) {
    this->Read();
    return;
  }
  if (error || !IsFinal(status)) {
    this->GiveUp();
    return;
  }
  const core::AnswerHead head = HeadOf(this->parser->get());
  if (this->owner.GetOptions().protocol->NamesRequest(head.fields)) {
    this->SkipAnswer();
    return;
  }
  this->Finish(this->owner.GetOptions().protocol->HealthOf(head));
}

void Probe::SkipAnswer() {
  if (!this->parser->keep_alive() || ++this->skipped > kMostSkipped) {
    this->GiveUp();
    return;
  }
  this->owner.CountSkippedAnswer();
  this->Read();
}

void Probe::Finish(HealthReport report) {
  if (!report.healthy) {
    // It may be a refusal that comes twice.
    this->connection->refused.Add({});
  }
  ConnectionPool& pool = this->owner.Pool();
  if (this->parser->keep_alive() && this->buffer.size() == 0) {
    pool.Keep(
        this->order.address, std::move(this->connection),
        KeepAliveOf(View(this->parser->get()[beast::http::field::keep_alive])));
  } else {
    this->connection->stream.close();
    pool.Release(this->order.address);
  }
  this->owner.EndProbe(
      {this->order.probe, this->order.target, std::move(report)});
}

void Probe::GiveUp() {
  this->connection->stream.close();
  this->owner.Pool().Release(this->order.address);
  this->owner.EndProbe({this->order.probe, this->order.target, std::nullopt});
}

}  // namespace trefoilbend::forwarding::internal
