#ifndef TREFOILBEND_TESTS_USERS_PLATFORM_ORDERED_H_
#define TREFOILBEND_TESTS_USERS_PLATFORM_ORDERED_H_

#include <nlohmann/json.hpp>
#include <string>

#include "platform.h"

namespace trefoilbend::tests {

/** @brief An entry whose target a carries the traffic as v1; b comes with v2
 * and c with v3. All of them answer well, so that none is left for its
 * failures. */
struct Ordered : Platform {
  Ordered() {
    this->WriteDesiredState(1, "/look/", "non_idempotent");
    this->OnStore([](stand_ins::Store& store) {
      store.Write("servers/b", std::nullopt);
      store.Write("servers/c", std::nullopt);
    });
  }

  /** @brief Has operators order a version. */
  void Order(const std::string& version) {
    this->OnStore([&](stand_ins::Store& store) { Order(store, version); });
  }

  /** @brief The same on the store's thread. */
  static void Order(stand_ins::Store& store, const std::string& version) {
    store.Write("op/rollout/stock",
                nlohmann::json{
                    {"Service", "stock"}, {"To", version}, {"Duration", "8s"}}
                    .dump());
  }

  /** @brief Has a target register with a version. */
  void StartTarget(const std::string& id, const std::string& version) {
    this->OnStore([&](stand_ins::Store& store) {
      store.Write("servers/" + id, this->Target(id).Entry("ready", version));
    });
  }

  /** @return Whether the store holds a state of a version's release now. */
  [[nodiscard]] bool HasState(const std::string& version,
                              const std::string& state) {
    nlohmann::json told = nlohmann::json::object();
    this->OnStore([&](stand_ins::Store& store) {
      if (const auto row = store.Read("status/rollout/stock")) {
        told = nlohmann::json::parse(*row);
      }
    });
    return told.value("To", "") == version && told.value("State", "") == state;
  }

  /** @return Whether the store holds a state of a version's release in time. */
  [[nodiscard]] bool BecomesState(const std::string& version,
                                  const std::string& state) {
    return Await([&] { return this->HasState(version, state); });
  }
};

}  // namespace trefoilbend::tests

#endif  // TREFOILBEND_TESTS_USERS_PLATFORM_ORDERED_H_
