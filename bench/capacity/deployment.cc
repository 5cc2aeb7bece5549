#include "deployment.h"

#include <vector>

namespace trefoilbend::bench {

namespace {

constexpr std::size_t kOctet = 250;
constexpr std::uint16_t kPort = 8080;

http::Address AddressOf(const std::size_t number, const std::uint16_t port) {
  return {.host = "10." + std::to_string(number / kOctet / kOctet % kOctet) +
                  '.' + std::to_string(number / kOctet % kOctet) + '.' +
                  std::to_string(number % kOctet + 1),
          .port = port};
}

core::DataCentreName DataCentreOf(const std::size_t number) {
  return core::DataCentreName{"data-centre-" +
                              std::to_string(number % kDataCentres)};
}

inventory::Instance MakeEntry(const std::size_t number) {
  inventory::Instance entry;
  entry.name = core::InstanceName{"entry-" + std::to_string(number)};
  entry.role = inventory::Role::kEntry;
  entry.data_centre = DataCentreOf(number);
  entry.address = AddressOf(number, kPort);
  entry.peers = AddressOf(number, kPort + 1);
  entry.operations = AddressOf(number, kPort + 2);
  return entry;
}

}  // namespace

std::string ServiceText(const std::size_t number) {
  return "service-" + std::to_string(number);
}

inventory::Instance MakeTarget(const std::size_t number, const Size& size) {
  inventory::Instance target;
  target.name = core::InstanceName{"target-" + std::to_string(number)};
  target.data_centre = DataCentreOf(number);
  target.address = AddressOf(number, kPort);
  target.service = core::ServiceName{ServiceText(number % size.services)};
  target.version = core::VersionName{"1"};
  target.slots = 6;
  target.connections = 200;
  return target;
}

inventory::Configuration::Builder Describe(const Size& size) {
  inventory::Configuration::Builder builder;
  for (std::size_t i = 0; i < kDataCentres; ++i) {
    builder.Put(inventory::DataCentre{.name = DataCentreOf(i),
                                      .region = core::RegionName{"region"}});
  }
  for (std::size_t i = 0; i < size.services; ++i) {
    const core::ServiceName service{ServiceText(i)};
    builder.Put(
        inventory::Service{.name = service, .version = core::VersionName{"1"}});
    builder.Put(
        inventory::Route{.name = core::RouteName{"route-" + std::to_string(i)},
                         .service = service,
                         .path = "/lookup",
                         .method = "GET"});
  }
  for (std::size_t i = 0; i < size.targets; ++i) {
    builder.Put(MakeTarget(i, size));
  }
  for (std::size_t i = 0; i < size.entries; ++i) {
    builder.Put(MakeEntry(i));
  }
  return builder;
}

configuration::InstanceList ListAll(const Size& size) {
  auto listed = std::make_shared<std::vector<platform::ListedInstance>>();
  for (std::size_t i = 0; i < size.targets; ++i) {
    listed->push_back({MakeTarget(i, size).name});
  }
  for (std::size_t i = 0; i < size.entries; ++i) {
    listed->push_back({MakeEntry(i).name});
  }
  return listed;
}

inventory::Revised MakeRevised(const core::Revision revision,
                               const std::size_t changes, const Size& size) {
  inventory::Revised revised{.revision = revision,
                             .change_id = "change-1234567890",
                             .who = "operator",
                             .why = "more room on this target",
                             .at = "2026-12-04T10:00:00Z",
                             .by = core::InstanceName{"entry-1"},
                             .changes = {}};
  for (std::size_t i = 0; i < changes; ++i) {
    inventory::Change change{.before = MakeTarget(i, size),
                             .after = MakeTarget(i, size)};
    std::get<inventory::Instance>(*change.after).slots = 7;
    revised.changes.push_back(std::move(change));
  }
  return revised;
}

}  // namespace trefoilbend::bench
