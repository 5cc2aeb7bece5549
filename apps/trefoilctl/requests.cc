#include "requests.h"

#include <cstdio>
#include <random>
#include <sstream>
#include <thread>
#include <utility>
#include <vector>

#include "trefoilbend/http/client.h"

namespace trefoilbend::ctl {

namespace {

using nlohmann::json;

constexpr std::chrono::seconds kTimeout{10};
constexpr std::chrono::milliseconds kConfirmationPoll{100};
constexpr std::uint16_t kOk = 200;
constexpr std::uint16_t kConflict = 409;
constexpr std::uint16_t kBadRequest = 400;

std::optional<Reply> Ask(const http::Address& entry, http::Request request) {
  const auto outcome = http::SendAndWait(entry, std::move(request), kTimeout);
  if (!core::Succeeded(outcome)) {
    std::fprintf(stderr, "trefoilctl: %s\n",
                 core::ProblemOf(outcome).message.c_str());
    return std::nullopt;
  }
  const http::Response& response = core::ValueOf(outcome);
  return Reply{.status = response.status,
               .body = json::parse(response.body, nullptr, false)};
}

std::string DrawChangeId() {
  std::random_device device;
  std::ostringstream id;
  id << std::hex << device() << device() << device();
  return id.str();
}

struct Confirmations {
  std::size_t entries{};
  std::vector<std::string> missing;
};

Confirmations CountConfirmations(const json& entries,
                                 const std::uint64_t revision) {
  Confirmations result{.entries = entries.size(), .missing = {}};
  for (const json& entry : entries) {
    const auto address = http::ParseAddress(entry.value("operations", ""));
    if (!address) {
      result.missing.push_back(entry.value("name", "") +
                               " (no operations address)");
      continue;
    }
    const auto outcome = http::SendAndWait(
        *address,
        {.method = "GET", .target = "/v1/status", .fields = {}, .body = {}},
        std::chrono::seconds{1});
    const json status =
        core::Succeeded(outcome)
            ? json::parse(core::ValueOf(outcome).body, nullptr, false)
            : json{};
    if (!status.is_object() ||
        status.value("revision", std::uint64_t{0}) < revision) {
      result.missing.push_back(entry.value("name", ""));
    }
  }
  return result;
}

ExitCode AwaitEverywhere(const Common& common, const std::uint64_t revision,
                         const std::chrono::milliseconds wait) {
  const auto deadline = std::chrono::steady_clock::now() + wait;
  Confirmations confirmations;
  std::size_t printed = 0;
  do {
    const auto status = Get(common, "/v1/status");
    if (status &&
        status->body.value("revision", std::uint64_t{0}) >= revision) {
      confirmations = CountConfirmations(status->body.at("entries"), revision);
      const std::size_t confirmed =
          confirmations.entries - confirmations.missing.size();
      if (confirmed != std::exchange(printed, confirmed)) {
        std::printf("revision %llu is in force on %zu of %zu entries\n",
                    static_cast<unsigned long long>(revision), confirmed,
                    confirmations.entries);
        std::fflush(stdout);
      }
      if (confirmations.missing.empty()) {
        return kDone;
      }
    }
    std::this_thread::sleep_for(kConfirmationPoll);
  } while (std::chrono::steady_clock::now() < deadline);
  for (const std::string& name : confirmations.missing) {
    std::fprintf(stderr, "trefoilctl: not confirmed by %s\n", name.c_str());
  }
  return kUnconfirmed;
}

ExitCode PrintRefusal(const Reply& reply) {
  if (!reply.body.is_object()) {
    std::fprintf(stderr, "trefoilctl: the answer is malformed\n");
    return kUnconfirmed;
  }
  std::fprintf(stderr, "trefoilctl: %s\n",
               reply.body.value("error", "refused").c_str());
  if (reply.body.contains("mistakes")) {
    for (const json& mistake : reply.body["mistakes"]) {
      std::fprintf(stderr, "  %s\n", mistake.get<std::string>().c_str());
    }
  }
  if (reply.status == kConflict) {
    return kClash;
  }
  if (reply.status == kBadRequest) {
    return kMistake;
  }
  return reply.body.value("effect_unknown", false) ? kUnconfirmed : kRefused;
}

}  // namespace

std::optional<Reply> Get(const Common& common, std::string target) {
  return Ask(
      common.entry,
      {.method = "GET", .target = std::move(target), .fields = {}, .body = {}});
}

std::optional<Reply> Post(const Common& common, std::string target,
                          const json& body) {
  return Ask(common.entry,
             {.method = "POST",
              .target = std::move(target),
              .fields = {{"Content-Type", "application/json"},
                         {"Authorization", "Bearer " + common.token}},
              .body = body.dump()});
}

ExitCode Change(const Common& common, std::string target, json body,
                const ChangeOptions& options) {
  const std::string id =
      options.change_id.empty() ? DrawChangeId() : options.change_id;
  body["id"] = id;
  body["who"] = options.who;
  body["why"] = options.why;
  std::printf("change id %s\n", id.c_str());
  const auto reply = Post(common, std::move(target), body);
  if (!reply) {
    std::fprintf(stderr, "trefoilctl: repeat the command with --id %s\n",
                 id.c_str());
    return kUnconfirmed;
  }
  if (reply->status != kOk || !reply->body.is_object()) {
    return PrintRefusal(*reply);
  }
  return AwaitEverywhere(
      common, reply->body.value("revision", std::uint64_t{0}), options.wait);
}

}  // namespace trefoilbend::ctl
