#ifndef TREFOILBEND_REGISTRY_TEST_PLAIN_CODEC_H_
#define TREFOILBEND_REGISTRY_TEST_PLAIN_CODEC_H_

#include <chrono>
#include <optional>
#include <string>

#include "trefoilbend/registry/row_codec.h"

namespace trefoilbend::registry {

/** @brief Rows whose values say plainly what they are: orders "config 3",
 * "release v2" and "evacuation", targets "v1", "v1 draining" and "v1 cold". */
class PlainCodec final : public RowCodec {
 public:
  [[nodiscard]] std::string OrdersTable() const override { return "orders"; }
  [[nodiscard]] std::string TargetsTable() const override { return "targets"; }

  [[nodiscard]] Order DecodeOrder(const platform::Row& row) const override {
    if (row.value.starts_with("config ")) {
      DesiredState state{.version = std::stoull(row.value.substr(7)),
                         .services = {},
                         .connections = {100},
                         .routes = {},
                         .bounds = {}};
      state.services.push_back(
          {.name = core::ServiceName{"stock"}, .version = {}});
      return state;
    }
    if (row.value.starts_with("release ")) {
      return ReleaseOrder{.service = core::ServiceName{"stock"},
                          .version = core::VersionName{row.value.substr(8)},
                          .within = std::chrono::seconds{15}};
    }
    if (row.value == "evacuation") {
      return EvacuationOrder{core::DataCentreName{"xela"}};
    }
    return UnreadableOrder{};
  }

  [[nodiscard]] std::optional<TargetRecord> DecodeTarget(
      const platform::Row& row) const override {
    if (!row.value.starts_with("v")) {
      return std::nullopt;
    }
    TargetRecord record;
    record.instance.name = core::InstanceName{row.key};
    record.instance.service = core::ServiceName{"stock"};
    record.instance.version = core::VersionName{row.value.substr(0, 2)};
    record.instance.data_centre = core::DataCentreName{"xela"};
    record.draining = row.value.ends_with("draining");
    record.cold_for = row.value.ends_with("cold")
                          ? std::chrono::milliseconds{3'000}
                          : std::chrono::milliseconds{0};
    return record;
  }

  [[nodiscard]] std::string ReleaseOrderKey(
      const core::ServiceName& service) const override {
    return "orders/release/" + service.Text();
  }

  [[nodiscard]] platform::Write EncodeStatus(
      const inventory::Release& release) const override {
    return {.key = "status/" + release.name.Text(), .value = "told"};
  }
};

}  // namespace trefoilbend::registry

#endif  // TREFOILBEND_REGISTRY_TEST_PLAIN_CODEC_H_
