#include "commands.h"

#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <sstream>
#include <thread>
#include <utility>
#include <vector>

#include "trefoilbend/http/client.h"
#include "trefoilbend/inventory/files.h"

namespace trefoilbend::ctl {

namespace {

using nlohmann::json;

constexpr std::chrono::seconds kTimeout{10};
constexpr std::chrono::milliseconds kConfirmationPoll{100};
constexpr std::uint16_t kOk = 200;
constexpr std::uint16_t kConflict = 409;
constexpr std::uint16_t kBadRequest = 400;

struct Reply {
  std::uint16_t status{};
  json body;
};

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

std::optional<Reply> Get(const http::Address& entry, std::string target) {
  return Ask(
      entry,
      {.method = "GET", .target = std::move(target), .fields = {}, .body = {}});
}

void PrintMistakes(const settings::Mistakes& mistakes) {
  for (const settings::Mistake& mistake : mistakes) {
    std::fprintf(stderr, "trefoilctl: %s\n",
                 settings::ToString(mistake).c_str());
  }
}

std::string ReadAll(const std::string& path) {
  std::ostringstream text;
  text << std::ifstream{path}.rdbuf();
  return text.str();
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
  do {
    const auto status = Get(common.entry, "/v1/status");
    if (status &&
        status->body.value("revision", std::uint64_t{0}) >= revision) {
      confirmations = CountConfirmations(status->body.at("entries"), revision);
      const std::size_t confirmed =
          confirmations.entries - confirmations.missing.size();
      std::printf("revision %llu is in force on %zu of %zu entries\n",
                  static_cast<unsigned long long>(revision), confirmed,
                  confirmations.entries);
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

ExitCode Check(const std::string& inventory, const std::string& rules) {
  const auto first = settings::Document::Load(inventory);
  const auto second = settings::Document::Load(rules);
  bool readable = true;
  for (const auto* document : {&first, &second}) {
    if (!core::Succeeded(*document)) {
      PrintMistakes(core::ProblemOf(*document));
      readable = false;
    }
  }
  if (!readable) {
    return kMistake;
  }
  const auto read =
      inventory::ReadFiles(core::ValueOf(first), core::ValueOf(second));
  if (!core::Succeeded(read)) {
    PrintMistakes(core::ProblemOf(read));
    return kMistake;
  }
  std::printf("the files are right: %zu objects\n",
              core::ValueOf(read)->Objects().size());
  return kDone;
}

ExitCode Apply(const Common& common, const ApplyOptions& options) {
  if (const ExitCode checked = Check(options.inventory, options.rules);
      checked != kDone) {
    return checked;
  }
  const std::string id =
      options.change_id.empty() ? DrawChangeId() : options.change_id;
  const json body{{"inventory", ReadAll(options.inventory)},
                  {"rules", ReadAll(options.rules)},
                  {"id", id},
                  {"who", options.who},
                  {"why", options.why}};
  std::printf("change id %s\n", id.c_str());
  const auto reply =
      Ask(common.entry, {.method = "POST",
                         .target = "/v1/apply",
                         .fields = {{"Content-Type", "application/json"}},
                         .body = body.dump()});
  if (!reply) {
    std::fprintf(stderr, "trefoilctl: repeat the command with --id %s\n",
                 id.c_str());
    return kUnconfirmed;
  }
  if (reply->status != kOk) {
    return PrintRefusal(*reply);
  }
  return AwaitEverywhere(
      common, reply->body.value("revision", std::uint64_t{0}), options.wait);
}

ExitCode Show(const Common& common) {
  const auto reply = Get(common.entry, "/v1/configuration");
  if (!reply) {
    return kRefused;
  }
  if (common.json) {
    std::printf("%s\n", reply->body.dump(2).c_str());
    return kDone;
  }
  std::printf("revision %llu\n",
              static_cast<unsigned long long>(
                  reply->body.value("revision", std::uint64_t{0})));
  for (const json& object : reply->body.at("objects")) {
    std::printf("%-12s %-20s %s\n", object.value("kind", "").c_str(),
                object.value("name", "").c_str(),
                object.value("address", "").c_str());
  }
  return kDone;
}

ExitCode Status(const Common& common) {
  const auto reply = Get(common.entry, "/v1/status");
  if (!reply) {
    return kRefused;
  }
  if (common.json) {
    std::printf("%s\n", reply->body.dump(2).c_str());
    return kDone;
  }
  std::printf("%s: revision %llu, %zu entries\n",
              reply->body.value("name", "").c_str(),
              static_cast<unsigned long long>(
                  reply->body.value("revision", std::uint64_t{0})),
              reply->body.at("entries").size());
  return kDone;
}

}  // namespace trefoilbend::ctl
