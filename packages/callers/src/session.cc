#include "internal/session.h"

#include <chrono>
#include <utility>

namespace trefoilbend::callers::internal {

namespace {

namespace beast = boost::beast;
using boost::asio::ip::tcp;

constexpr unsigned kHttp11 = 11;
/** Time for which a client may take the last answer before its connection is
 * closed. */
constexpr std::chrono::seconds kLinger{1};

}  // namespace

Session::Session(SessionOwner& owner, tcp::socket socket,
                 std::shared_ptr<const void> token)
    : owner(owner), token(std::move(token)), stream(std::move(socket)) {
  boost::system::error_code ignored;
  this->stream.socket().set_option(tcp::no_delay(true), ignored);
}

void Session::WatchCaller() {
  if (this->buffer.size() >= kMostEarly) {
    return;
  }
  this->stream.socket().async_wait(
      tcp::socket::wait_read,
      [self = this->shared_from_this(),
       watched = *this->call](const boost::system::error_code error) {
        if (error || self->call != watched) {
          return;
        }
        self->ReadEarly();
      });
}

/** A client may send its next request early; only reading its bytes tells
 * whether it leaves meanwhile. */
void Session::ReadEarly() {
  boost::system::error_code failure;
  this->stream.socket().non_blocking(true, failure);
  const std::size_t room = kMostEarly - this->buffer.size();
  const std::size_t length =
      this->stream.socket().receive(this->buffer.prepare(room), 0, failure);
  this->buffer.commit(length);
  if (failure && failure != boost::asio::error::would_block) {
    this->Break();
  } else {
    this->WatchCaller();
  }
}

void Session::Answer(core::AnswerHead head) {
  if (head.complete) {
    this->SendWhole(std::move(head));
  } else {
    this->BeginStream(std::move(head));
  }
}

void Session::Answer(core::AnswerPart part) {
  this->WritePart(std::move(part.body), part.complete);
}

void Session::Refuse(const core::Refusal& refusal) {
  this->call.reset();
  this->Send(this->owner.Protocol().ToResponse(refusal));
}

void Session::Send(http::Response response) {
  core::AnswerHead head{.status = response.status,
                        .fields = std::move(response.fields),
                        .length = response.body.size(),
                        .body = std::move(response.body),
                        .complete = true};
  head.fields.emplace_back("Content-Type", response.content_type);
  this->SendWhole(std::move(head));
}

template <typename Message>
void Session::BeginMessage(Message& message, const core::AnswerHead& head) {
  message = {};
  message.version(kHttp11);
  message.result(head.status);
  for (const auto& [name, value] : head.fields) {
    message.insert(name, value);
  }
  this->keep_alive = this->keep_alive && !this->owner.IsDraining();
  message.keep_alive(this->keep_alive);
}

void Session::SendWhole(core::AnswerHead head) {
  StringResponse& message = this->whole;
  this->BeginMessage(message, head);
  if (this->is_head) {
    if (head.length) {
      message.content_length(*head.length);
    }
  } else {
    message.body() = std::move(head.body);
    message.prepare_payload();
  }
  this->writes_whole = true;
  this->stream.expires_after(this->owner.GetLimits().send);
  beast::http::async_write(
      this->stream, message,
      [self = this->shared_from_this()](const boost::system::error_code error,
                                        std::size_t) {
        self->writes_whole = false;
        if (error) {
          self->AbandonCall();
          return;
        }
        self->FinishAnswer();
      });
}

void Session::BeginStream(core::AnswerHead head) {
  StreamResponse& message = this->streamed;
  this->BeginMessage(message, head);
  if (head.length) {
    message.content_length(*head.length);
  } else {
    message.chunked(true);
  }
  this->serializer.emplace(message);
  this->WritePart(std::move(head.body), false);
}

void Session::WritePart(std::string body, const bool complete) {
  this->part = std::move(body);
  this->part_is_last = complete;
  auto& out = this->streamed.body();
  out.data = this->part.empty() ? nullptr : this->part.data();
  out.size = this->part.size();
  out.more = !complete;
  this->stream.expires_after(this->owner.GetLimits().send);
  beast::http::async_write(this->stream, *this->serializer,
                           [self = this->shared_from_this()](
                               const boost::system::error_code error,
                               std::size_t) { self->OnPartWritten(error); });
}

void Session::OnPartWritten(const boost::system::error_code error) {
  if (error && error != beast::http::error::need_buffer) {
    this->AbandonCall();
    return;
  }
  if (this->part_is_last) {
    this->FinishAnswer();
    return;
  }
  this->stream.expires_never();
  if (this->call) {
    this->owner.Continue(*this->call);
  }
}

void Session::FinishAnswer() {
  if (this->call) {
    this->owner.Close(*std::exchange(this->call, std::nullopt));
  }
  this->serializer.reset();
  if (this->keep_alive) {
    this->Read();
    return;
  }
  boost::system::error_code ignored;
  this->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
  this->stream.socket().cancel(ignored);
  this->stream.expires_after(
      this->has_read ? core::Duration{kLinger}
                     : core::Duration{this->owner.GetLimits().receive});
  this->Linger();
}

/** What still arrives is discarded, as closing before would reset the
 * connection and take the answer away, also while the client still sends its
 * request. A client that never closes may not hold the connection for good. */
void Session::Linger() {
  this->buffer.clear();
  this->stream.async_read_some(
      this->buffer.prepare(kMostEarly),
      [self = this->shared_from_this()](const boost::system::error_code error,
                                        std::size_t) {
        if (!error) {
          self->Linger();
        }
      });
}

void Session::Break() {
  this->AbandonCall();
  this->stream.close();
}

void Session::GiveUp(const core::Refusal& refusal) {
  if (this->serializer) {
    this->Break();
  } else if (!this->writes_whole) {
    this->AbandonCall();
    this->Refuse(refusal);
  }
}

void Session::CloseIfIdle(const core::Duration least) {
  boost::system::error_code error;
  if (this->idle_since &&
      std::chrono::steady_clock::now() - *this->idle_since >= least &&
      this->stream.socket().available(error) == 0) {
    this->stream.close();
  }
}

void Session::AbandonCall() {
  if (this->call) {
    this->owner.Abandon(*std::exchange(this->call, std::nullopt));
  }
}

}  // namespace trefoilbend::callers::internal
