#include <algorithm>
#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "internal/session.h"
#include "trefoilbend/forwarding/fields.h"

namespace trefoilbend::callers::internal {

namespace {

namespace beast = boost::beast;
using boost::asio::ip::tcp;

std::string_view View(const beast::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace

void Session::Read() {
  this->body_lease.reset();
  this->is_head = false;
  this->has_read = false;
  this->parser.emplace();
  this->parser->header_limit(this->owner.GetLimits().header);
  this->parser->body_limit(this->owner.GetLimits().body);
  this->buffer.max_size(std::max<std::size_t>(
      this->buffer.size(), this->owner.GetLimits().header + kMostBuffered));
  if (this->buffer.size() > 0) {
    this->ReadRequest();
    return;
  }
  this->buffer.shrink_to_fit();
  this->idle_since = std::chrono::steady_clock::now();
  this->stream.socket().async_wait(
      tcp::socket::wait_read,
      [self = this->shared_from_this()](const boost::system::error_code error) {
        self->idle_since.reset();
        if (!error) {
          self->ReadRequest();
        }
      });
}

void Session::ReadRequest() {
  this->stream.expires_after(this->owner.GetLimits().receive);
  beast::http::async_read_header(
      this->stream, this->buffer, *this->parser,
      [self = this->shared_from_this()](const boost::system::error_code error,
                                        std::size_t) { self->OnHead(error); });
}

void Session::OnHead(const boost::system::error_code error) {
  if (error) {
    this->RefuseRequest(error);
    return;
  }
  this->buffer.max_size(std::max(this->buffer.size(), kMostBuffered));
  this->parser->eager(true);
  if (!this->parser->is_done()) {
    this->body_lease = this->owner.LeaseBody();
    this->buffer.reserve(static_cast<std::size_t>(std::min<std::uint64_t>(
        this->parser->content_length().value_or(kMostBuffered),
        kMostBuffered)));
  }
  this->stream.expires_after(this->owner.GetLimits().receive);
  this->ReadBody();
}

void Session::ReadBody() {
  if (!this->HoldBody()) {
    this->RefuseBody();
    return;
  }
  if (this->parser->is_done()) {
    this->OnRead();
    return;
  }
  beast::http::async_read_some(
      this->stream, this->buffer, *this->parser,
      [self = this->shared_from_this()](const boost::system::error_code error,
                                        std::size_t) {
        if (error) {
          self->RefuseRequest(error);
          return;
        }
        self->ReadBody();
      });
}

bool Session::HoldBody() {
  if (!this->body_lease) {
    return true;
  }
  const std::string& body = this->parser->get().body();
  const std::uint64_t read = body.empty() ? 0 : body.capacity();
  const std::uint64_t told =
      this->parser->content_length().value_or(std::uint64_t{0});
  return this->body_lease->Hold(std::max(read, told));
}

void Session::RefuseBody() {
  core::CallRequest head = this->MakeRequest();
  head.id = this->owner.Protocol().WishesOf(head.fields).id;
  this->keep_alive = false;
  this->parser.reset();
  this->body_lease.reset();
  this->Refuse(this->owner.RefuseForRoom(head));
}

void Session::OnRead() {
  this->has_read = true;
  this->stream.expires_never();
  this->keep_alive = this->parser->get().keep_alive();
  this->is_head = this->parser->get().method() == beast::http::verb::head;
  this->Serve();
}

void Session::RefuseRequest(const boost::system::error_code error) {
  struct Status {
    boost::system::error_code error;
    std::uint16_t status;
  };
  static const std::array<Status, 3> kStatuses{
      {{beast::http::error::body_limit, 413},
       {beast::http::error::header_limit, 431},
       {beast::error::timeout, 408}}};
  const bool partly_read = this->parser->got_some();
  this->keep_alive = false;
  for (const Status& known : kStatuses) {
    if (error == known.error && partly_read) {
      this->Send(
          {.status = known.status,
           .content_type = "text/plain",
           .fields = {{std::string{forwarding::kOutcomeField}, "not-run"}},
           .body = {}});
      return;
    }
  }
  static const boost::system::error_code kEndOfStream =
      beast::http::error::end_of_stream;
  if (error.category() == kEndOfStream.category() && error != kEndOfStream &&
      error != beast::http::error::partial_message) {
    this->RefuseAsBad(error.message());
  }
}

void Session::RefuseAsBad(std::string why) {
  this->Send({.status = 400,
              .content_type = "text/plain",
              .fields = {{std::string{forwarding::kOutcomeField}, "not-run"}},
              .body = std::move(why)});
}

void Session::Serve() {
  if (this->parser->get().method() == beast::http::verb::trace &&
      !this->parser->get().body().empty()) {
    this->RefuseAsBad("A TRACE request has no content.");
    return;
  }
  auto question = this->owner.ReadQuestion(View(this->parser->get().target()));
  if (!question) {
    this->ServeCall();
    return;
  }
  question->caller = this->CallerAddress();
  this->Send(this->owner.Protocol().ToResponse(this->owner.Ask(*question)));
}

std::string Session::CallerAddress() {
  boost::system::error_code error;
  const auto peer = this->stream.socket().remote_endpoint(error);
  return peer.address().to_string() + ':' + std::to_string(peer.port());
}

core::CallRequest Session::MakeRequest() const {
  const auto& message = this->parser->get();
  core::CallRequest request;
  request.host = std::string{View(message[beast::http::field::host])};
  request.method = std::string{View(message.method_string())};
  request.path = std::string{View(message.target())};
  for (const auto& field : message) {
    const std::string_view name = View(field.name_string());
    if (!forwarding::IsHopByHop(name) &&
        field.name() != beast::http::field::host &&
        field.name() != beast::http::field::expect) {
      request.fields.emplace_back(name, field.value());
    }
  }
  return request;
}

void Session::ServeCall() {
  core::CallRequest request = this->MakeRequest();
  request.body = std::move(this->parser->get().body());
  request.body_lease = std::move(this->body_lease);
  const Wishes wishes = this->owner.Protocol().WishesOf(request.fields);
  request.id = wishes.id;
  auto submitted =
      this->owner.Submit(this->shared_from_this(), std::move(request), wishes);
  if (!core::Succeeded(submitted)) {
    this->Refuse(core::ProblemOf(submitted));
    return;
  }
  this->call = core::ValueOf(submitted);
  this->WatchCaller();
}

}  // namespace trefoilbend::callers::internal
