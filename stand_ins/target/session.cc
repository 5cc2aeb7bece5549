#include "target/session.h"

#include <boost/asio/write.hpp>
#include <sstream>

namespace trefoilbend::stand_ins {

namespace beast = boost::beast;
using boost::asio::ip::tcp;

Session::Session(tcp::socket socket, Target& target)
    : stream(std::move(socket)), target(target) {
  boost::system::error_code ignored;
  this->stream.socket().set_option(tcp::no_delay(true), ignored);
}

Session::~Session() {
  if (this->counted) {
    this->target.CountClosed();
  }
}

void Session::Read() {
  this->in = {};
  beast::http::async_read(
      this->stream, this->buffer, this->in,
      [self = this->shared_from_this()](const boost::system::error_code error,
                                        std::size_t) { self->OnRead(error); });
}

void Session::OnRead(const boost::system::error_code error) {
  if (error) {
    return;
  }
  if (this->copy.empty()) {
    this->Handle();
    return;
  }
  boost::asio::async_write(
      this->stream, boost::asio::buffer(this->copy),
      [self = this->shared_from_this()](const boost::system::error_code failure,
                                        std::size_t) {
        self->copy.clear();
        if (!failure) {
          self->Handle();
        }
      });
}

void Session::Handle() {
  this->in_progress = this->target.Token();
  http::Request request{.method = std::string{this->in.method_string()},
                        .target = std::string{this->in.target()},
                        .fields = {},
                        .body = std::move(this->in.body())};
  for (const auto& field : this->in) {
    request.fields.emplace_back(field.name_string(), field.value());
  }
  if (!this->counted && !request.target.starts_with("/control/")) {
    this->counted = true;
    this->target.CountOpened();
  }
  this->target.Handle(std::move(request),
                      [self = this->shared_from_this()](Reply reply) {
                        self->Write(std::move(reply));
                      });
}

void Session::Write(Reply reply) {
  if (reply.reset) {
    boost::system::error_code ignored;
    this->stream.socket().set_option(boost::asio::socket_base::linger(true, 0),
                                     ignored);
    this->stream.close();
    return;
  }
  this->out = {};
  this->out.result(reply.response.status);
  this->out.set(beast::http::field::content_type, reply.response.content_type);
  for (const auto& [name, value] : reply.response.fields) {
    this->out.set(name, value);
  }
  this->out.body() = std::move(reply.response.body);
  this->out.keep_alive(this->in.keep_alive());
  this->out.prepare_payload();
  if (this->in.method() == beast::http::verb::head) {
    this->out.body().clear();
  }
  if (reply.truncate) {
    this->WriteCut();
    return;
  }
  if (reply.repeat) {
    std::ostringstream text;
    text << this->out;
    this->copy = text.str();
  }
  beast::http::async_write(
      this->stream, this->out,
      [self = this->shared_from_this()](const boost::system::error_code error,
                                        std::size_t) {
        self->in_progress.reset();
        if (!error && self->out.keep_alive()) {
          self->Read();
        }
      });
}

void Session::WriteCut() {
  std::ostringstream text;
  text << this->out;
  this->cut = text.str();
  this->cut.resize(this->cut.size() - this->out.body().size() / 2 - 1);
  boost::asio::async_write(this->stream, boost::asio::buffer(this->cut),
                           [self = this->shared_from_this()](
                               boost::system::error_code, std::size_t) {
                             self->in_progress.reset();
                             self->stream.close();
                           });
}

}  // namespace trefoilbend::stand_ins
