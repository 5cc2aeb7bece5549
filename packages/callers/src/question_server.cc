#include "internal/question_server.h"

#include <cstddef>
#include <cstdint>
#include <utility>

namespace trefoilbend::callers::internal {

namespace {

constexpr std::uint16_t kOk = 200;
constexpr std::uint16_t kNotFound = 404;
constexpr std::uint16_t kUnavailable = 503;
/** Bytes of a body, which no question needs. */
constexpr std::size_t kMostBody = 4U << 10U;

http::Response TextResponse(const std::uint16_t status, std::string text) {
  return {.status = status,
          .content_type = "text/plain",
          .fields = {},
          .body = std::move(text)};
}

}  // namespace

QuestionServer::QuestionServer(SessionOwner& owner,
                               std::function<bool()> is_ready)
    : owner(owner), is_ready(std::move(is_ready)) {}

core::Outcome<std::monostate, std::string> QuestionServer::Open(
    boost::asio::io_context& context, const Options& options) {
  core::Outcome<std::monostate, std::string> listening;
  if (options.directory) {
    this->directory = http::Server::Builder{}
                          .On(*options.directory)
                          .WithHandler([this](const http::Request& request,
                                              const http::Respond& respond) {
                            this->AnswerQuestion(request, respond);
                          })
                          .WithLimits({.body = kMostBody})
                          .Build(context);
    listening = this->directory->Listen();
  }
  if (options.readiness && core::Succeeded(listening)) {
    this->readiness =
        http::Server::Builder{}
            .On(*options.readiness)
            .WithHandler([this](const http::Request&,
                                const http::Respond& respond) {
              respond(TextResponse(this->is_ready() ? kOk : kUnavailable, ""));
            })
            .WithLimits({.body = kMostBody})
            .Build(context);
    listening = this->readiness->Listen();
  }
  return listening;
}

void QuestionServer::AnswerQuestion(const http::Request& request,
                                    const http::Respond& respond) {
  const auto question = this->owner.Protocol().ReadQuestion(request.target);
  if (!question) {
    respond(TextResponse(kNotFound, "no such question"));
    return;
  }
  const discovery::DirectoryAnswer answer = this->owner.Ask(*question);
  if (answer.entries.empty()) {
    respond(TextResponse(kUnavailable, "no entry is known"));
    return;
  }
  respond(this->owner.Protocol().ToResponse(answer));
}

}  // namespace trefoilbend::callers::internal
