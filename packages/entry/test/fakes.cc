#include "fakes.h"

#include <algorithm>
#include <stdexcept>

namespace trefoilbend::entry::fakes {

namespace {

using nlohmann::json;

constexpr std::size_t kDefaultLength = 200;

void ListenOrThrow(http::Server& server) {
  const auto listening = server.Listen();
  if (!core::Succeeded(listening)) {
    throw std::runtime_error(core::ProblemOf(listening));
  }
}

http::Response Answer(const std::uint16_t status, const json& body) {
  return {.status = status, .fields = {}, .body = body.dump()};
}

}  // namespace

Target::Target(boost::asio::io_context& context, http::Address address)
    : context(context),
      server(http::Server::Builder{}
                 .On(std::move(address))
                 .WithHandler([this](const http::Request& request,
                                     const http::Respond& respond) {
                   this->Handle(request, respond);
                 })
                 .Build(context)) {
  ListenOrThrow(*this->server);
}

std::string Target::Body(const std::string& call, const std::size_t length) {
  std::string body;
  while (body.size() < length) {
    body += call + '\n';
  }
  body.resize(length);
  return body;
}

void Target::Handle(const http::Request& request,
                    const http::Respond& respond) {
  ++this->handled;
  auto query = http::QueryOf(request.target);
  const std::size_t length =
      query.contains("bytes") ? std::stoul(query["bytes"]) : kDefaultLength;
  const std::string call{
      http::FindField(request.fields, "Call-Id").value_or("none")};
  auto timer = std::make_shared<boost::asio::steady_timer>(this->context);
  timer->expires_after(this->time.load());
  timer->async_wait([timer, respond, body = Body(call, length)](auto) {
    respond({.status = 200,
             .content_type = "text/plain",
             .fields = {},
             .body = body});
  });
}

Platform::Platform(boost::asio::io_context& context, http::Address address,
                   const std::vector<std::string>& live)
    : server(http::Server::Builder{}
                 .On(std::move(address))
                 .WithHandler([this](const http::Request& request,
                                     const http::Respond& respond) {
                   respond(this->Serve(request));
                 })
                 .Build(context)) {
  for (const std::string& name : live) {
    this->instances.push_back({{"name", name}, {"state", "live"}});
  }
  ListenOrThrow(*this->server);
}

http::Response Platform::Serve(const http::Request& request) {
  if (this->down) {
    return Answer(503, {{"error", "down"}});
  }
  auto query = http::QueryOf(request.target);
  const std::string_view path = http::PathOf(request.target);
  if (path == "/table/transactions") {
    return this->Commit(json::parse(request.body));
  }
  if (path == "/table/rows") {
    return Answer(200, {{"rows", this->Rows(query["prefix"], query["after"])}});
  }
  if (path == "/instances") {
    return Answer(200, {{"instances", this->instances}});
  }
  return Answer(404, {{"error", "no such row"}});
}

http::Response Platform::Commit(const json& transaction) {
  json conflicts = json::array();
  for (const json& condition : transaction.at("conditions")) {
    const auto key = condition.at("key").get<std::string>();
    const auto row = this->rows.find(key);
    const std::uint64_t version =
        row == this->rows.end() ? 0 : row->second.version;
    if (version != condition.at("version").get<std::uint64_t>()) {
      conflicts.push_back({{"key", key}, {"version", version}});
    }
  }
  if (!conflicts.empty()) {
    return Answer(409, {{"conflicts", conflicts}});
  }
  for (const json& write : transaction.at("writes")) {
    Row& row = this->rows[write.at("key").get<std::string>()];
    row.value = write.value("value", "");
    ++row.version;
  }
  return Answer(200, {{"committed", true}});
}

json Platform::Rows(const std::string& prefix, const std::string& after) const {
  json found = json::array();
  for (auto row = this->rows.upper_bound(std::max(prefix, after));
       row != this->rows.end() && row->first.starts_with(prefix); ++row) {
    found.push_back({{"key", row->first},
                     {"value", row->second.value},
                     {"version", row->second.version}});
  }
  return found;
}

}  // namespace trefoilbend::entry::fakes
