#ifndef TREFOILBEND_INVENTORY_CONFIGURATION_H_
#define TREFOILBEND_INVENTORY_CONFIGURATION_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "trefoilbend/core/name.h"
#include "trefoilbend/core/number.h"
#include "trefoilbend/core/position.h"
#include "trefoilbend/inventory/change.h"
#include "trefoilbend/inventory/objects.h"

namespace trefoilbend::inventory {

/** @brief A service with the objects that refer to it. */
struct ServiceView {
  /** @brief The service. */
  const Service* service{};
  /** @brief Targets of the service, by name. */
  std::vector<const Instance*> targets;
  /** @brief Routes of the service, the longest path first. */
  std::vector<const Route*> routes;
};

/** @brief All objects as of one revision; never changed once built. */
class Configuration {
 public:
  /** @brief Assembles a configuration. */
  class Builder;

  Configuration(const Configuration&) = delete;
  Configuration& operator=(const Configuration&) = delete;

  /** @return Revision of the configuration. */
  [[nodiscard]] core::Revision Revision() const noexcept {
    return this->revision;
  }

  /** @return Positions of the tables that it was made from, in an order that
   * its maker knows; empty if it was not made from tables. */
  [[nodiscard]] const std::vector<core::Position>& Sources() const noexcept {
    return this->sources;
  }

  /** @return All objects by identity. */
  [[nodiscard]] const std::map<ObjectKey, Object>& Objects() const noexcept {
    return this->objects;
  }

  /**
   * @brief Finds an object.
   * @tparam Type Type of the object.
   * @param name Name of the object.
   * @return The object, or null.
   */
  template <typename Type>
  [[nodiscard]] const Type* Find(const std::string& name) const {
    static const auto kKind = static_cast<Kind>(Object{Type{}}.index());
    const auto found = this->objects.find(ObjectKey{kKind, name});
    return found == this->objects.end() ? nullptr
                                        : std::get_if<Type>(&found->second);
  }

  /** @return All services with their targets and routes. */
  [[nodiscard]] const std::map<core::ServiceName, ServiceView>& Services()
      const noexcept {
    return this->services;
  }

  /** @return Routes that are chosen by the Host field, by that field, the
   * longest path first. */
  [[nodiscard]] const std::map<std::string, std::vector<const Route*>>& Hosts()
      const noexcept {
    return this->hosts;
  }

  /** @return The entry instances, by name. */
  [[nodiscard]] const std::vector<const Instance*>& Entries() const noexcept {
    return this->entries;
  }

  /**
   * @brief Tells whether operators have taken a data centre out of service.
   * @param name Name of the data centre.
   * @return True while it is out.
   */
  [[nodiscard]] bool IsOut(const core::DataCentreName& name) const {
    return this->Find<Outage>(name.Text()) != nullptr;
  }

 private:
  Configuration(core::Revision revision, std::vector<core::Position> sources,
                std::map<ObjectKey, Object> objects);

  core::Revision revision;
  std::vector<core::Position> sources;
  std::map<ObjectKey, Object> objects;
  std::map<core::ServiceName, ServiceView> services;
  std::map<std::string, std::vector<const Route*>> hosts;
  std::vector<const Instance*> entries;
};

/** @brief A configuration shared by the duties of a process. */
using ConfigurationPtr = std::shared_ptr<const Configuration>;

/** @brief Assembles a configuration. */
class Configuration::Builder {
 public:
  /** @brief Begins without any object, at revision 0. */
  Builder() = default;

  /**
   * @brief Begins with the objects of another configuration.
   * @param base Configuration to begin with.
   */
  explicit Builder(const Configuration& base)
      : revision(base.revision), objects(base.objects) {}

  /**
   * @brief Adds or replaces an object.
   * @param object Object to put.
   * @return This builder.
   */
  Builder& Put(Object object);

  /**
   * @brief Applies the changes of a revision.
   * @param revised Revision with its changes.
   * @return This builder.
   */
  Builder& Apply(const Revised& revised);

  /**
   * @brief Sets the revision.
   * @param revision Revision of the configuration.
   * @return This builder.
   */
  Builder& At(core::Revision revision) {
    this->revision = revision;
    return *this;
  }

  /**
   * @brief Sets the positions of the tables that it is made from.
   * @param positions Positions in the order that the maker knows.
   * @return This builder.
   */
  Builder& From(std::vector<core::Position> positions) {
    this->sources = std::move(positions);
    return *this;
  }

  /** @return The configuration. */
  [[nodiscard]] ConfigurationPtr Build();

 private:
  core::Revision revision;
  std::vector<core::Position> sources;
  std::map<ObjectKey, Object> objects;
};

/**
 * @brief Finds the route that a request belongs to.
 * @param view Service of the request.
 * @param method Method of the request.
 * @param path Path of the request, without its query.
 * @return The route with the longest matching path, or null.
 */
[[nodiscard]] const Route* MatchRoute(const ServiceView& view,
                                      std::string_view method,
                                      std::string_view path) noexcept;

/**
 * @brief Finds the route that a request belongs to among those that are chosen
 * by the Host field.
 * @param configuration Configuration to search.
 * @param host Host field of the request.
 * @param path Path of the request, without its query.
 * @return The route with the longest matching path, or null.
 */
[[nodiscard]] const Route* MatchHost(const Configuration& configuration,
                                     const std::string& host,
                                     std::string_view path) noexcept;

/**
 * @brief Lists the changes from one set of objects to another.
 * @param from Configuration before.
 * @param to Configuration after.
 * @param kinds Kinds of objects to compare; objects of other kinds are left
 * alone.
 * @return Changes by identity.
 */
[[nodiscard]] std::vector<Change> Difference(const Configuration& from,
                                             const Configuration& to,
                                             const std::vector<Kind>& kinds);

}  // namespace trefoilbend::inventory

#endif  // TREFOILBEND_INVENTORY_CONFIGURATION_H_
