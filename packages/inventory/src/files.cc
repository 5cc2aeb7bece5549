#include "trefoilbend/inventory/files.h"

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "trefoilbend/settings/section.h"

namespace trefoilbend::inventory {

namespace {

using namespace std::chrono_literals;
using settings::Mistakes;
using settings::Section;

constexpr std::uint64_t kMostSlots = 100'000;
constexpr std::uint64_t kMostConnections = 1'000'000;
constexpr std::uint64_t kMostProbes = 1'000;

class FileReader {
 public:
  void Read(const settings::Document& inventory,
            const settings::Document& rules) {
    this->ReadSections(inventory, {{"data-centre", &FileReader::ReadDataCentre},
                                   {"service", &FileReader::ReadService},
                                   {"instance", &FileReader::ReadInstance}});
    this->ReadSections(rules, {{"service", &FileReader::ReadServiceRules},
                               {"route", &FileReader::ReadRoute},
                               {"release", &FileReader::ReadRelease}});
    for (auto& [name, service] : this->services) {
      this->builder.Put(std::move(service));
    }
  }

  core::Outcome<ConfigurationPtr, Mistakes> Finish() {
    if (!this->mistakes.empty()) {
      return std::move(this->mistakes);
    }
    return this->builder.Build();
  }

 private:
  using Reader = void (FileReader::*)(const std::string&, Section&);

  void ReadSections(const settings::Document& document,
                    const std::map<std::string, Reader>& readers) {
    for (const auto& [title, entries] : document.Sections()) {
      Section section{document.File(), title, entries, this->mistakes};
      const std::size_t space = title.find(' ');
      const auto reader = readers.find(title.substr(0, space));
      if (reader == readers.end() || space == std::string::npos ||
          space + 1 == title.size()) {
        section.Refuse("", this->ExpectedTitles(readers));
        continue;
      }
      (this->*reader->second)(title.substr(space + 1), section);
      section.RefuseOtherKeys();
    }
  }

  static std::string ExpectedTitles(
      const std::map<std::string, Reader>& readers) {
    std::string expected = "a section of the form";
    for (const auto& [kind, reader] : readers) {
      expected += " [" + kind + " NAME]";
    }
    return expected;
  }

  void ReadDataCentre(const std::string& name, Section& section) {
    this->data_centres.insert(name);
    this->builder.Put(
        DataCentre{.name = core::DataCentreName{name},
                   .region = core::RegionName{section.Text("region")}});
  }

  void ReadService(const std::string& name, Section& section) {
    Service service;
    service.name = core::ServiceName{name};
    service.version = core::VersionName{section.Text("version")};
    service.timeout = kDefaultTimeout;
    service.cold_allowance = kDefaultColdAllowance;
    service.probe_budget = kDefaultProbeBudget;
    this->services.insert_or_assign(name, std::move(service));
  }

  void ReadInstance(const std::string& name, Section& section) {
    Instance instance;
    instance.name = core::InstanceName{name};
    instance.role =
        section.Word("role", {"target", "entry"}, "target") == "entry"
            ? Role::kEntry
            : Role::kTarget;
    instance.data_centre = core::DataCentreName{section.Text("data-centre")};
    if (!this->data_centres.contains(instance.data_centre.Text())) {
      section.Refuse("data-centre", "a data centre with a section above");
    }
    instance.address = section.Address("address");
    this->RefuseTaken(instance.address, name, "address", section);
    if (instance.role == Role::kEntry) {
      instance.peers = section.OptionalAddress("peers");
      instance.relay = section.OptionalAddress("relay");
      instance.rollout = section.OptionalAddress("rollout");
      instance.operations = section.OptionalAddress("operations");
    } else {
      this->ReadTarget(instance, section);
    }
    this->builder.Put(std::move(instance));
  }

  void ReadTarget(Instance& instance, Section& section) {
    instance.service = core::ServiceName{section.Text("service")};
    const auto service = this->services.find(instance.service.Text());
    if (service == this->services.end()) {
      section.Refuse("service", "a service with a section above");
    }
    const std::string version =
        service == this->services.end() ? "" : service->second.version.Text();
    instance.version = core::VersionName{section.Text("version", version)};
    this->versions.insert({instance.service.Text(), instance.version.Text()});
    instance.slots =
        static_cast<std::uint32_t>(section.Integer("slots", {1, kMostSlots}));
    instance.connections = static_cast<std::uint32_t>(
        section.Integer("connections", {1, kMostConnections}));
    instance.connection_cost = section.Time("connection-cost", {0us, 10s}, 1ms);
  }

  void ReadServiceRules(const std::string& name, Section& section) {
    const auto service = this->services.find(name);
    if (service == this->services.end()) {
      section.Refuse("", "a service of the inventory");
    }
    Service ignored;
    Service& rules =
        service == this->services.end() ? ignored : service->second;
    rules.timeout = section.Time("timeout", {1ms, 1h}, kDefaultTimeout);
    rules.cold_allowance = static_cast<std::uint32_t>(section.Integer(
        "cold-allowance", {1, kMostSlots}, kDefaultColdAllowance));
    rules.probe_budget = static_cast<std::uint32_t>(
        section.Integer("probe-budget", {0, kMostProbes}, kDefaultProbeBudget));
    rules.trusts_refusals = section.YesNo("trust-refusals", false);
    rules.health_path = section.Text("health-path", "");
    if (!rules.health_path.empty() && rules.health_path.front() != '/') {
      section.Refuse("health-path", "a path that begins with a slash");
    }
  }

  void ReadRoute(const std::string& name, Section& section) {
    Route route;
    route.name = core::RouteName{name};
    route.service = core::ServiceName{section.Text("service")};
    if (!this->services.contains(route.service.Text())) {
      section.Refuse("service", "a service of the inventory");
    }
    route.path = section.Text("path");
    if (!route.path.starts_with('/')) {
      section.Refuse("path", "a path that begins with /");
    }
    route.method = section.Word(
        "method",
        {"", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}, "");
    route.idempotent = section.YesNo(
        "idempotent", route.method == "GET" || route.method == "HEAD");
    route.urgent_allowed = section.YesNo("urgent", false);
    const auto timeout = section.Time("timeout", {0us, 1h}, 0us);
    if (timeout > 0us) {
      route.timeout = timeout;
    }
    this->builder.Put(std::move(route));
  }

  void ReadRelease(const std::string& name, Section& section) {
    ReleaseRule rule;
    rule.name = core::ServiceName{name};
    rule.version = core::VersionName{section.Text("version")};
    rule.deadline = section.WallTime("by");
    if (!this->services.contains(name)) {
      section.Refuse("", "a service of the inventory");
    } else if (!rule.version.Empty() &&
               !this->versions.contains({name, rule.version.Text()})) {
      section.Refuse("version",
                     "a version that a target of the service in the inventory "
                     "runs");
    }
    this->builder.Put(std::move(rule));
  }

  void RefuseTaken(const http::Address& address, const std::string& name,
                   const std::string& key, Section& section) {
    const auto [taken, fresh] = this->addresses.insert({address, name});
    if (!fresh && address.port != 0) {
      section.Refuse(key,
                     "an address of its own, not that of " + taken->second);
    }
  }

  static constexpr std::chrono::microseconds kDefaultTimeout = 5s;
  static constexpr std::uint32_t kDefaultColdAllowance = 1;
  static constexpr std::uint32_t kDefaultProbeBudget = 10;

  Mistakes mistakes;
  Configuration::Builder builder;
  std::set<std::string> data_centres;
  std::map<std::string, Service> services;
  std::set<std::pair<std::string, std::string>> versions;
  std::map<http::Address, std::string> addresses;
};

}  // namespace

const std::vector<Kind>& FileKinds() {
  static const std::vector<Kind> kKinds{Kind::kDataCentre, Kind::kService,
                                        Kind::kInstance, Kind::kRoute,
                                        Kind::kReleaseRule};
  return kKinds;
}

core::Outcome<ConfigurationPtr, Mistakes> ReadFiles(
    const settings::Document& inventory, const settings::Document& rules) {
  FileReader reader;
  reader.Read(inventory, rules);
  return reader.Finish();
}

}  // namespace trefoilbend::inventory
