#include "trefoilbend/inventory/codec.h"

#include <algorithm>
#include <array>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

namespace trefoilbend::inventory {

namespace {

using nlohmann::json;

constexpr int kFormat = 1;
constexpr int kRevisionDigits = 20;

std::string TextOf(const json& object, const char* key) {
  return object.at(key).get<std::string>();
}

std::chrono::microseconds TimeOf(const json& object, const char* key) {
  return std::chrono::microseconds{object.at(key).get<std::int64_t>()};
}

http::Address AddressOf(const json& text) {
  return http::ParseAddress(text.get<std::string>()).value_or(http::Address{});
}

json ToJson(const DataCentre& data_centre) {
  return {{"name", data_centre.name.Text()},
          {"region", data_centre.region.Text()}};
}

json ToJson(const Outage& outage) { return {{"name", outage.name.Text()}}; }

json ToJson(const Service& service) {
  return {{"name", service.name.Text()},
          {"version", service.version.Text()},
          {"timeout_us", service.timeout.count()},
          {"cold_allowance", service.cold_allowance},
          {"probe_budget", service.probe_budget},
          {"trusts_refusals", service.trusts_refusals},
          {"health_path", service.health_path},
          {"cold_rate", service.cold_rate},
          {"warm_up_ms", service.warm_up.count()},
          {"carries_unnamed_versions", service.carries_unnamed_versions}};
}

json ToJson(const Instance& instance) {
  json object{{"name", instance.name.Text()},
              {"role", instance.role == Role::kEntry ? "entry" : "target"},
              {"data_centre", instance.data_centre.Text()},
              {"address", http::ToString(instance.address)}};
  if (instance.role == Role::kTarget) {
    object["service"] = instance.service.Text();
    object["version"] = instance.version.Text();
    object["slots"] = instance.slots;
    object["connections"] = instance.connections;
    object["connection_cost_us"] = instance.connection_cost.count();
  }
  if (instance.peers) {
    object["peers"] = http::ToString(*instance.peers);
  }
  if (instance.relay) {
    object["relay"] = http::ToString(*instance.relay);
  }
  if (instance.rollout) {
    object["rollout"] = http::ToString(*instance.rollout);
  }
  if (instance.feed) {
    object["feed"] = http::ToString(*instance.feed);
    object["processor_percent"] = instance.processor_percent;
  }
  if (instance.operations) {
    object["operations"] = http::ToString(*instance.operations);
  }
  return object;
}

json ToJson(const Route& route) {
  json object{{"name", route.name.Text()},
              {"service", route.service.Text()},
              {"path", route.path},
              {"method", route.method},
              {"idempotent", route.idempotent},
              {"urgent_allowed", route.urgent_allowed}};
  if (route.timeout) {
    object["timeout_us"] = route.timeout->count();
  }
  if (!route.host.empty()) {
    object["host"] = route.host;
    object["attempts"] = route.attempts;
    object["objective_us"] = route.objective.count();
    object["rank"] = route.rank;
    object["split"] = json::array();
    for (const TrafficShare& share : route.split) {
      object["split"].push_back(
          {{"service", share.service.Text()}, {"weight", share.weight}});
    }
  }
  return object;
}

constexpr std::array<const char*, 4> kReleaseStates{"moving", "paused",
                                                    "taken-back", "done"};

json ToJson(const std::vector<core::VersionName>& versions) {
  json names = json::array();
  for (const core::VersionName& version : versions) {
    names.push_back(version.Text());
  }
  return names;
}

/** Objects of earlier programs lack the field. */
std::vector<core::VersionName> VersionsOf(const json& object, const char* key) {
  std::vector<core::VersionName> versions;
  for (const json& name : object.value(key, json::array())) {
    versions.emplace_back(name.get<std::string>());
  }
  return versions;
}

json ToJson(const Release& release) {
  json object{
      {"name", release.name.Text()},
      {"version", release.version.Text()},
      {"from", release.from.Text()},
      {"begun_s", release.begun.time_since_epoch().count()},
      {"deadline_s", release.deadline.time_since_epoch().count()},
      {"state", kReleaseStates.at(static_cast<std::size_t>(release.state))},
      {"step", release.step},
      {"share", release.share},
      {"epoch", release.epoch},
      {"withdrawn", ToJson(release.withdrawn)}};
  if (release.order) {
    object["order_era"] = release.order->Era().Value();
    object["order_version"] = release.order->Version().Value();
  }
  return object;
}

/** Rows of earlier programs, and of other stores, lack the fields. */
std::optional<core::Position> OrderFrom(const json& object) {
  if (!object.contains("order_version")) {
    return std::nullopt;
  }
  return core::Position{
      core::Era{object.value("order_era", std::uint64_t{0})},
      core::RowVersion{object.at("order_version").get<std::uint64_t>()}};
}

ReleaseState ReleaseStateFrom(const json& object) {
  const std::string text = TextOf(object, "state");
  const auto* const found =
      std::find(kReleaseStates.begin(), kReleaseStates.end(), text);
  if (found == kReleaseStates.end()) {
    throw json::other_error::create(0, "unknown state", &object);
  }
  return static_cast<ReleaseState>(found - kReleaseStates.begin());
}

std::chrono::sys_seconds WallTimeOf(const json& object, const char* key) {
  return std::chrono::sys_seconds{
      std::chrono::seconds{object.at(key).get<std::int64_t>()}};
}

Object ReleaseFrom(const json& object) {
  return Release{.name = core::ServiceName{TextOf(object, "name")},
                 .version = core::VersionName{TextOf(object, "version")},
                 .from = core::VersionName{object.value("from", "")},
                 .begun = WallTimeOf(object, "begun_s"),
                 .deadline = WallTimeOf(object, "deadline_s"),
                 .state = ReleaseStateFrom(object),
                 .step = object.at("step").get<std::uint32_t>(),
                 .share = object.at("share").get<std::uint32_t>(),
                 .epoch = object.at("epoch").get<std::uint64_t>(),
                 .withdrawn = VersionsOf(object, "withdrawn"),
                 .order = OrderFrom(object)};
}

json ToJson(const ReleaseRule& rule) {
  return {{"name", rule.name.Text()},
          {"version", rule.version.Text()},
          {"deadline_s", rule.deadline.time_since_epoch().count()}};
}

Object ReleaseRuleFrom(const json& object) {
  return ReleaseRule{.name = core::ServiceName{TextOf(object, "name")},
                     .version = core::VersionName{TextOf(object, "version")},
                     .deadline = WallTimeOf(object, "deadline_s")};
}

Object DataCentreFrom(const json& object) {
  return DataCentre{.name = core::DataCentreName{TextOf(object, "name")},
                    .region = core::RegionName{TextOf(object, "region")}};
}

Object OutageFrom(const json& object) {
  return Outage{core::DataCentreName{TextOf(object, "name")}};
}

Object ServiceFrom(const json& object) {
  return Service{
      .name = core::ServiceName{TextOf(object, "name")},
      .version = core::VersionName{TextOf(object, "version")},
      .timeout = TimeOf(object, "timeout_us"),
      .cold_allowance = object.at("cold_allowance").get<std::uint32_t>(),
      .probe_budget = object.at("probe_budget").get<std::uint32_t>(),
      .trusts_refusals = object.at("trusts_refusals").get<bool>(),
      .health_path = object.value("health_path", ""),
      .cold_rate = object.value("cold_rate", std::uint32_t{0}),
      .warm_up = std::chrono::milliseconds{object.value("warm_up_ms",
                                                        std::int64_t{0})},
      .carries_unnamed_versions =
          object.value("carries_unnamed_versions", false)};
}

Object InstanceFrom(const json& object) {
  Instance instance;
  instance.name = core::InstanceName{TextOf(object, "name")};
  instance.role =
      TextOf(object, "role") == "entry" ? Role::kEntry : Role::kTarget;
  instance.data_centre = core::DataCentreName{TextOf(object, "data_centre")};
  instance.address = AddressOf(object.at("address"));
  if (instance.role == Role::kTarget) {
    instance.service = core::ServiceName{TextOf(object, "service")};
    instance.version = core::VersionName{TextOf(object, "version")};
    instance.slots = object.at("slots").get<std::uint32_t>();
    instance.connections = object.at("connections").get<std::uint32_t>();
    instance.connection_cost = TimeOf(object, "connection_cost_us");
  }
  if (object.contains("peers")) {
    instance.peers = AddressOf(object.at("peers"));
  }
  if (object.contains("relay")) {
    instance.relay = AddressOf(object.at("relay"));
  }
  if (object.contains("rollout")) {
    instance.rollout = AddressOf(object.at("rollout"));
  }
  if (object.contains("feed")) {
    instance.feed = AddressOf(object.at("feed"));
    instance.processor_percent =
        object.value("processor_percent", std::uint32_t{0});
  }
  if (object.contains("operations")) {
    instance.operations = AddressOf(object.at("operations"));
  }
  return instance;
}

Object RouteFrom(const json& object) {
  Route route;
  route.name = core::RouteName{TextOf(object, "name")};
  route.service = core::ServiceName{TextOf(object, "service")};
  route.path = TextOf(object, "path");
  route.method = TextOf(object, "method");
  route.idempotent = object.at("idempotent").get<bool>();
  route.urgent_allowed = object.at("urgent_allowed").get<bool>();
  if (object.contains("timeout_us")) {
    route.timeout = TimeOf(object, "timeout_us");
  }
  if (object.contains("host")) {
    route.host = TextOf(object, "host");
    route.attempts = object.at("attempts").get<std::uint32_t>();
    route.objective = TimeOf(object, "objective_us");
    route.rank = object.at("rank").get<std::uint32_t>();
    for (const json& share : object.at("split")) {
      route.split.push_back(
          {.service = core::ServiceName{TextOf(share, "service")},
           .weight = share.at("weight").get<std::uint32_t>()});
    }
  }
  return route;
}

struct KindCodec {
  const char* name;
  Object (*decode)(const json&);
};

constexpr std::array<KindCodec, std::variant_size_v<Object>> kCodecs{
    {{"data-centre", DataCentreFrom},
     {"service", ServiceFrom},
     {"instance", InstanceFrom},
     {"route", RouteFrom},
     {"outage", OutageFrom},
     {"release", ReleaseFrom},
     {"release-rule", ReleaseRuleFrom}}};

json ToJson(const Object& object) {
  json encoded =
      std::visit([](const auto& concrete) { return ToJson(concrete); }, object);
  encoded["kind"] = kCodecs.at(object.index()).name;
  return encoded;
}

std::optional<Object> ObjectFrom(const json& object) {
  if (object.is_null()) {
    return std::nullopt;
  }
  const std::string kind = TextOf(object, "kind");
  for (const KindCodec& codec : kCodecs) {
    if (kind == codec.name) {
      return codec.decode(object);
    }
  }
  throw json::other_error::create(0, "unknown kind", &object);
}

json ToJson(const std::optional<Object>& object) {
  return object ? ToJson(*object) : json(nullptr);
}

}  // namespace

std::string ChangeKey(const core::Revision revision) {
  std::ostringstream key;
  key << kChangePrefix << std::setw(kRevisionDigits) << std::setfill('0')
      << revision.Value();
  return key.str();
}

std::string ChangeIdKey(const std::string_view change_id) {
  return "change-id/" + std::string{change_id};
}

std::string Encode(const Revised& revised) {
  json encoded{
      {"format", kFormat},       {"revision", revised.revision.Value()},
      {"id", revised.change_id}, {"who", revised.who},
      {"why", revised.why},      {"at", revised.at},
      {"by", revised.by.Text()}, {"changes", json::array()}};
  for (const Change& change : revised.changes) {
    encoded["changes"].push_back(
        {{"before", ToJson(change.before)}, {"after", ToJson(change.after)}});
  }
  return encoded.dump();
}

std::optional<Revised> DecodeRevised(const std::string_view text) {
  try {
    const json encoded = json::parse(text);
    if (encoded.at("format").get<int>() != kFormat) {
      return std::nullopt;
    }
    Revised revised{
        .revision = core::Revision{encoded.at("revision").get<std::uint64_t>()},
        .change_id = TextOf(encoded, "id"),
        .who = TextOf(encoded, "who"),
        .why = TextOf(encoded, "why"),
        .at = TextOf(encoded, "at"),
        .by = core::InstanceName{TextOf(encoded, "by")},
        .changes = {}};
    for (const json& change : encoded.at("changes")) {
      revised.changes.push_back({.before = ObjectFrom(change.at("before")),
                                 .after = ObjectFrom(change.at("after"))});
    }
    return revised;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::string Encode(const Object& object) { return ToJson(object).dump(); }

std::optional<Object> DecodeObject(const std::string_view text) {
  try {
    return ObjectFrom(json::parse(text));
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace trefoilbend::inventory
