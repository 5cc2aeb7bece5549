#include "trefoilbend/platform/client.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "trefoilbend/platform/http_answers.h"

namespace trefoilbend::platform {

namespace {

using nlohmann::json;

constexpr std::uint16_t kOk = 200;
constexpr std::uint16_t kNotModified = 304;
constexpr std::uint16_t kNotFound = 404;
constexpr std::uint16_t kConflict = 409;

Unavailable BadAnswer(const http::Response& response) {
  return {.effect_unknown = true,
          .message = "the platform answered with status " +
                     std::to_string(response.status)};
}

Row DecodeRow(const json& row) {
  return {
      .key = row.at("key").get<std::string>(),
      .value = row.value("value", std::string{}),
      .position = Position::WithoutEra(row.at("version").get<std::uint64_t>())};
}

std::vector<Row> DecodeRows(const json& rows) {
  std::vector<Row> decoded;
  for (const json& row : rows) {
    decoded.push_back(DecodeRow(row));
  }
  return decoded;
}

json Encode(const Transaction& transaction) {
  json body{{"conditions", json::array()}, {"writes", json::array()}};
  for (const Condition& condition : transaction.conditions) {
    body["conditions"].push_back(
        {{"key", condition.key},
         {"version", condition.position.Version().Value()}});
  }
  for (const Write& write : transaction.writes) {
    json encoded{{"key", write.key}};
    if (write.value) {
      encoded["value"] = *write.value;
    }
    body["writes"].push_back(std::move(encoded));
  }
  return body;
}

TransactOutcome DecodeTransact(const http::Response& response) {
  if (response.status == kOk) {
    return Committed{.position = std::nullopt};
  }
  if (response.status != kConflict) {
    return BadAnswer(response);
  }
  return DecodeOr<TransactOutcome>(response, [](const json& body) {
    return Conflict{DecodeRows(body.at("conflicts"))};
  });
}

ReadOutcome DecodeRead(const http::Response& response) {
  if (response.status == kNotFound) {
    return FoundRow{};
  }
  if (response.status != kOk) {
    return BadAnswer(response);
  }
  return DecodeOr<ReadOutcome>(response, [](const json& body) {
    return FoundRow{.row = DecodeRow(body), .era = {}};
  });
}

ObjectOutcome DecodeObject(const http::Response& response) {
  if (response.status == kNotFound) {
    return std::optional<std::string>{};
  }
  if (response.status != kOk) {
    return BadAnswer(response);
  }
  return std::optional<std::string>{response.body};
}

RangeOutcome DecodeRange(const http::Response& response) {
  if (response.status != kOk) {
    return BadAnswer(response);
  }
  return DecodeOr<RangeOutcome>(
      response, [](const json& body) { return DecodeRows(body.at("rows")); });
}

ListOutcome DecodeList(const http::Response& response) {
  if (response.status == kNotModified) {
    return NotModified{};
  }
  if (response.status != kOk) {
    return BadAnswer(response);
  }
  return DecodeOr<ListOutcome>(response, [](const json& body) {
    std::vector<ListedInstance> instances;
    for (const json& instance : body.at("instances")) {
      const bool leaving = instance.at("state") == "leaving";
      instances.push_back(
          {.name = core::InstanceName{instance.at("name").get<std::string>()},
           .state = leaving ? InstanceState::kLeaving : InstanceState::kLive});
    }
    return instances;
  });
}

}  // namespace

Client::Client(std::shared_ptr<http::Client> http, http::Address address,
               const std::chrono::milliseconds timeout)
    : http(std::move(http)), address(std::move(address)), timeout(timeout) {}

void Client::Transact(const Transaction& transaction,
                      std::function<void(TransactOutcome)> done) {
  http::Request request{.method = "POST",
                        .target = "/table/transactions",
                        .fields = {{"Content-Type", "application/json"}},
                        .body = Encode(transaction).dump()};
  this->http->Send(this->address, std::move(request), this->timeout,
                   Expect(std::move(done), DecodeTransact));
}

void Client::Read(const std::string& key,
                  std::function<void(ReadOutcome)> done) {
  this->http->Send(this->address,
                   GetRequest("/table/row?key=" + http::Escape(key)),
                   this->timeout, Expect(std::move(done), DecodeRead));
}

void Client::ReadRange(const std::string& prefix, const std::string& after,
                       const std::size_t limit,
                       std::function<void(RangeOutcome)> done) {
  this->http->Send(this->address,
                   GetRequest("/table/rows?prefix=" + http::Escape(prefix) +
                              "&after=" + http::Escape(after) +
                              "&limit=" + std::to_string(limit)),
                   this->timeout, Expect(std::move(done), DecodeRange));
}

void Client::ReadObject(const std::string& name,
                        std::function<void(ObjectOutcome)> done) {
  this->http->Send(this->address,
                   GetRequest("/object?name=" + http::Escape(name)),
                   this->timeout, Expect(std::move(done), DecodeObject));
}

void Client::WriteObject(const std::string& name, std::string text) {
  http::Request request{.method = "PUT",
                        .target = "/object?name=" + http::Escape(name),
                        .fields = {},
                        .body = std::move(text)};
  this->http->Send(this->address, std::move(request), this->timeout,
                   [](const http::ResponseOutcome&) {});
}

void Client::ListInstances(std::function<void(ListOutcome)> done) {
  http::Request request = GetRequest("/instances");
  if (!this->list_tag->empty()) {
    request.fields.emplace_back("If-None-Match", *this->list_tag);
  }
  this->http->Send(
      this->address, std::move(request), this->timeout,
      Expect(std::move(done), [tag = this->list_tag](
                                  const http::Response& response) {
        ListOutcome outcome = DecodeList(response);
        if (std::holds_alternative<std::vector<ListedInstance>>(outcome)) {
          *tag = http::FindField(response.fields, "ETag").value_or("");
        }
        return outcome;
      }));
}

}  // namespace trefoilbend::platform
