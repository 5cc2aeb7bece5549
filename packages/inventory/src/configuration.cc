#include "trefoilbend/inventory/configuration.h"

#include <algorithm>
#include <set>
#include <utility>

namespace trefoilbend::inventory {

namespace {

void SortByPath(std::vector<const Route*>& routes) {
  std::stable_sort(routes.begin(), routes.end(),
                   [](const Route* a, const Route* b) {
                     return a->path.size() > b->path.size();
                   });
}

}  // namespace

Configuration::Configuration(const core::Revision revision,
                             std::vector<core::Position> sources,
                             std::map<ObjectKey, Object> objects)
    : revision(revision),
      sources(std::move(sources)),
      objects(std::move(objects)) {
  for (const auto& [key, object] : this->objects) {
    if (const auto* service = std::get_if<Service>(&object)) {
      this->services[service->name].service = service;
    }
  }
  for (const auto& [key, object] : this->objects) {
    if (const auto* instance = std::get_if<Instance>(&object)) {
      auto& list = instance->role == Role::kEntry
                       ? this->entries
                       : this->services[instance->service].targets;
      list.push_back(instance);
    }
    if (const auto* route = std::get_if<Route>(&object)) {
      auto& list = route->host.empty() ? this->services[route->service].routes
                                       : this->hosts[route->host];
      list.push_back(route);
    }
  }
  std::erase_if(this->services, [](const auto& entry) {
    return entry.second.service == nullptr;
  });
  for (auto& [name, view] : this->services) {
    SortByPath(view.routes);
  }
  for (auto& [host, routes] : this->hosts) {
    SortByPath(routes);
  }
}

Configuration::Builder& Configuration::Builder::Put(Object object) {
  ObjectKey key = KeyOf(object);
  this->objects.insert_or_assign(std::move(key), std::move(object));
  return *this;
}

Configuration::Builder& Configuration::Builder::Apply(const Revised& revised) {
  for (const Change& change : revised.changes) {
    if (change.after) {
      this->Put(*change.after);
    } else if (change.before) {
      this->objects.erase(KeyOf(*change.before));
    }
  }
  return this->At(revised.revision);
}

ConfigurationPtr Configuration::Builder::Build() {
  return ConfigurationPtr(new Configuration(
      this->revision, std::move(this->sources), std::move(this->objects)));
}

const Route* MatchRoute(const ServiceView& view, const std::string_view method,
                        const std::string_view path) noexcept {
  const auto matches = [&](const Route* route) {
    return path.starts_with(route->path) &&
           (route->method.empty() || route->method == method);
  };
  const auto found =
      std::find_if(view.routes.begin(), view.routes.end(), matches);
  return found == view.routes.end() ? nullptr : *found;
}

const Route* MatchHost(const Configuration& configuration,
                       const std::string& host,
                       const std::string_view path) noexcept {
  const auto routes = configuration.Hosts().find(host);
  if (routes == configuration.Hosts().end()) {
    return nullptr;
  }
  const auto found = std::find_if(
      routes->second.begin(), routes->second.end(),
      [&](const Route* route) { return path.starts_with(route->path); });
  return found == routes->second.end() ? nullptr : *found;
}

std::vector<Change> Difference(const Configuration& from,
                               const Configuration& to,
                               const std::vector<Kind>& kinds) {
  std::set<ObjectKey> keys;
  for (const Configuration* side : {&from, &to}) {
    for (const auto& [key, object] : side->Objects()) {
      if (std::find(kinds.begin(), kinds.end(), key.kind) != kinds.end()) {
        keys.insert(key);
      }
    }
  }
  const auto at = [](const Configuration& side,
                     const ObjectKey& key) -> std::optional<Object> {
    const auto found = side.Objects().find(key);
    return found == side.Objects().end() ? std::nullopt
                                         : std::optional{found->second};
  };
  std::vector<Change> changes;
  for (const ObjectKey& key : keys) {
    Change change{.before = at(from, key), .after = at(to, key)};
    if (change.before != change.after) {
      changes.push_back(std::move(change));
    }
  }
  return changes;
}

}  // namespace trefoilbend::inventory
