#ifndef TREFOILBEND_CALLERS_ROUTER_H_
#define TREFOILBEND_CALLERS_ROUTER_H_

#include <cstdint>
#include <map>
#include <random>

#include "trefoilbend/callers/classify.h"
#include "trefoilbend/core/call.h"
#include "trefoilbend/core/clock.h"
#include "trefoilbend/inventory/configuration.h"

namespace trefoilbend::callers {

/** @brief Decides which service a request goes to and which rules hold. */
class Router {
 public:
  /**
   * @brief Makes a router.
   * @param seed Seed of the places at which the division of routes among their
   * services begins; different on all entries, so that few requests on each
   * add up to the weights.
   */
  explicit Router(const std::uint64_t seed) : random(seed) {}

  /**
   * @brief Puts a configuration into force.
   * @param configuration Configuration from now on.
   */
  void Configure(inventory::ConfigurationPtr configuration);

  /**
   * @brief Finds the route or service of a request and applies its rules.
   * @param wishes What the caller asks for.
   * @param now Current time.
   * @param request Request with its host and path; service, route, idempotence,
   * urgency and deadline are set.
   * @return False if no route or service is meant.
   */
  [[nodiscard]] bool Route(const Wishes& wishes, core::TimePoint now,
                           core::CallRequest& request);

 private:
  [[nodiscard]] bool RouteByHost(const Wishes& wishes, core::TimePoint now,
                                 core::CallRequest& request);
  [[nodiscard]] const core::ServiceName& ChooseService(
      const inventory::Route& route);
  /** Next position within a route's shares, evenly spread over all bits. */
  [[nodiscard]] std::uint64_t NextPosition(const core::RouteName& route);

  std::mt19937_64 random;
  std::map<core::RouteName, std::uint64_t> positions;
  inventory::ConfigurationPtr configuration;
  std::uint32_t lowest_rank{};
};

}  // namespace trefoilbend::callers

#endif  // TREFOILBEND_CALLERS_ROUTER_H_
