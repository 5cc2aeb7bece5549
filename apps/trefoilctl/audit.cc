#include "audit.h"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <optional>
#include <thread>

#include "requests.h"
#include "trefoilbend/http/message.h"

namespace trefoilbend::ctl {

namespace {

using nlohmann::json;

constexpr std::uint16_t kOk = 200;
constexpr std::chrono::seconds kWatchPoll{1};

std::string Query(const AuditOptions& options) {
  std::string query = "/v1/audit?after=" + std::to_string(options.after) +
                      "&limit=" + std::to_string(options.limit);
  for (const auto& [name, value] : options.filters) {
    if (!value.empty()) {
      query += '&' + name + '=' + http::Escape(value);
    }
  }
  return query;
}

void PrintChange(const json& change) {
  const json& before = change.at("before");
  const json& after = change.at("after");
  const json& object = after.is_null() ? before : after;
  std::printf("    %s %s/%s\n",
              before.is_null()  ? "added"
              : after.is_null() ? "removed"
                                : "changed",
              object.value("kind", "").c_str(),
              object.value("name", "").c_str());
  if (before.is_null() || after.is_null()) {
    return;
  }
  for (const auto& [key, value] : after.items()) {
    const json old = before.value(key, json(nullptr));
    if (old != value) {
      std::printf("      %s: %s -> %s\n", key.c_str(), old.dump().c_str(),
                  value.dump().c_str());
    }
  }
}

void Print(const Common& common, const json& entry) {
  if (common.json) {
    std::printf("%s\n", entry.dump().c_str());
  } else {
    std::printf("%llu %s by %s on %s, change id %s: %s\n",
                static_cast<unsigned long long>(
                    entry.at("revision").get<std::uint64_t>()),
                entry.value("at", "").c_str(), entry.value("who", "").c_str(),
                entry.value("by", "").c_str(), entry.value("id", "").c_str(),
                entry.value("why", "").c_str());
    for (const json& change : entry.at("changes")) {
      PrintChange(change);
    }
  }
  std::fflush(stdout);
}

/** Prints the next entries; returns the revision that was read last. */
std::optional<std::uint64_t> PrintNext(const Common& common,
                                       const AuditOptions& options) {
  const auto reply = Get(common, Query(options));
  if (!reply) {
    return std::nullopt;
  }
  if (reply->status != kOk || !reply->body.is_object()) {
    std::fprintf(stderr, "trefoilctl: %s\n",
                 reply->body.is_object()
                     ? reply->body.value("error", "refused").c_str()
                     : "the answer is malformed");
    return std::nullopt;
  }
  for (const json& entry : reply->body.at("entries")) {
    Print(common, entry);
  }
  return reply->body.value("after", options.after);
}

}  // namespace

ExitCode Audit(const Common& common, const AuditOptions& options) {
  return PrintNext(common, options) ? kDone : kRefused;
}

ExitCode Watch(const Common& common, const AuditOptions& options) {
  const auto begin = std::chrono::steady_clock::now();
  AuditOptions next = options;
  while (options.duration == std::chrono::seconds{} ||
         std::chrono::steady_clock::now() - begin < options.duration) {
    if (const auto last = PrintNext(common, next)) {
      next.after = std::max(next.after, *last);
    }
    std::this_thread::sleep_for(kWatchPoll);
  }
  return kDone;
}

}  // namespace trefoilbend::ctl
