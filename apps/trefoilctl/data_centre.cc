#include "data_centre.h"

#include <cstdio>
#include <nlohmann/json.hpp>
#include <optional>

#include "trefoilbend/http/client.h"

namespace trefoilbend::ctl {

namespace {

using nlohmann::json;

constexpr std::chrono::seconds kLoadTimeout{1};

/** Load that the entries told. */
struct FleetLoad {
  std::size_t entries{};
  std::size_t answered{};
  std::uint64_t calls{};
};

std::optional<std::uint64_t> CallsOn(const json& entry) {
  const auto address = http::ParseAddress(entry.value("operations", ""));
  if (!address) {
    return std::nullopt;
  }
  const auto outcome = http::SendAndWait(
      *address,
      {.method = "GET", .target = "/v1/status", .fields = {}, .body = {}},
      kLoadTimeout);
  if (!core::Succeeded(outcome)) {
    return std::nullopt;
  }
  const json status = json::parse(core::ValueOf(outcome).body, nullptr, false);
  return status.is_object() ? std::optional{status.value("calls_in_progress",
                                                         std::uint64_t{0})}
                            : std::nullopt;
}

FleetLoad MeasureLoad(const json& entries) {
  FleetLoad load{.entries = entries.size()};
  for (const json& entry : entries) {
    if (const auto calls = CallsOn(entry)) {
      ++load.answered;
      load.calls += *calls;
    }
  }
  return load;
}

}  // namespace

ExitCode ChangeDataCentre(const Common& common,
                          const DataCentreOptions& options) {
  json body{
      {"name", options.name}, {"out", options.out}, {"force", options.force}};
  if (options.out) {
    const auto status = Get(common, "/v1/status");
    if (!status || !status->body.is_object()) {
      return kRefused;
    }
    const FleetLoad load = MeasureLoad(status->body.at("entries"));
    std::printf("%llu calls in progress on %zu of %zu entries\n",
                static_cast<unsigned long long>(load.calls), load.answered,
                load.entries);
    if (load.answered * 2 > load.entries) {
      body["calls"] = load.calls * load.entries / load.answered;
    }
  }
  return Change(common, "/v1/data-centre", std::move(body), options.change);
}

}  // namespace trefoilbend::ctl
