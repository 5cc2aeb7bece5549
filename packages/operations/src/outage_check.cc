#include "trefoilbend/operations/outage_check.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace trefoilbend::operations {

namespace {

/** Greatest planned use of a slot. */
constexpr double kMostUse = 0.8;

std::set<core::InstanceName> LiveNames(const configuration::Update& update) {
  std::set<core::InstanceName> names;
  for (const platform::ListedInstance& listed : *update.listed) {
    if (listed.state == platform::InstanceState::kLive) {
      names.insert(listed.name);
    }
  }
  return names;
}

std::uint64_t Needed(const RemainingService& service,
                     const std::uint64_t all_slots,
                     const std::optional<std::uint64_t> calls) {
  if (!calls) {
    return service.slots_now;
  }
  const double share =
      static_cast<double>(service.slots_now) /
      static_cast<double>(std::max<std::uint64_t>(all_slots, 1));
  const double needed =
      std::ceil(static_cast<double>(*calls) * share / kMostUse);
  return std::max<std::uint64_t>(1, static_cast<std::uint64_t>(needed));
}

}  // namespace

std::vector<RemainingService> AssessOutage(
    const configuration::Update& update,
    const core::DataCentreName& data_centre,
    const std::optional<std::uint64_t> calls) {
  const std::set<core::InstanceName> live = LiveNames(update);
  std::vector<RemainingService> touched;
  std::uint64_t all_slots = 0;
  for (const auto& [name, view] : update.configuration->Services()) {
    RemainingService service{.service = name};
    for (const inventory::Instance* target : view.targets) {
      if (!live.contains(target->name) ||
          update.configuration->IsOut(target->data_centre)) {
        continue;
      }
      service.slots_now += target->slots;
      service.slots_left +=
          target->data_centre == data_centre ? 0 : target->slots;
    }
    all_slots += service.slots_now;
    if (service.slots_left != service.slots_now) {
      touched.push_back(service);
    }
  }
  for (RemainingService& service : touched) {
    service.slots_needed = Needed(service, all_slots, calls);
  }
  return touched;
}

}  // namespace trefoilbend::operations
