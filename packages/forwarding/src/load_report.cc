#include "trefoilbend/forwarding/load_report.h"

#include <nlohmann/json.hpp>

namespace trefoilbend::forwarding {

namespace {

constexpr std::string_view kJsonForm = "JSON ";
constexpr double kMostRequests = 1e6;

std::optional<std::uint32_t> CountOf(const nlohmann::json& metrics,
                                     const char* name) {
  const auto found = metrics.find(name);
  if (found == metrics.end()) {
    return 0;
  }
  if (!found->is_number()) {
    return std::nullopt;
  }
  const auto value = found->get<double>();
  if (!(value >= 0 && value <= kMostRequests)) {
    return std::nullopt;
  }
  return static_cast<std::uint32_t>(value);
}

}  // namespace

std::optional<LoadReport> ParseLoadReport(const std::string_view value) {
  if (!value.starts_with(kJsonForm)) {
    return std::nullopt;
  }
  const auto report =
      nlohmann::json::parse(value.substr(kJsonForm.size()), nullptr, false);
  if (!report.is_object() || !report.contains("named_metrics") ||
      !report["named_metrics"].is_object()) {
    return std::nullopt;
  }
  const nlohmann::json& metrics = report["named_metrics"];
  const auto in_flight = CountOf(metrics, "in_flight");
  const auto queued = CountOf(metrics, "queued");
  const auto cold = CountOf(metrics, "cold");
  const auto draining = CountOf(metrics, "draining");
  if (!in_flight || !queued || !cold || !draining) {
    return std::nullopt;
  }
  return LoadReport{.in_flight = *in_flight,
                    .queued = *queued,
                    .cold = *cold != 0,
                    .draining = *draining != 0};
}

}  // namespace trefoilbend::forwarding
