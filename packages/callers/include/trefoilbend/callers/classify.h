#ifndef TREFOILBEND_CALLERS_CLASSIFY_H_
#define TREFOILBEND_CALLERS_CLASSIFY_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "trefoilbend/core/call.h"
#include "trefoilbend/core/clock.h"
#include "trefoilbend/inventory/configuration.h"

namespace trefoilbend::callers {

/** @brief What a caller's request says beyond its method and path. */
struct Wishes {
  /** @brief Longest time that the caller waits; nothing if it names none. */
  std::optional<std::chrono::milliseconds> timeout{};
  /** @brief Whether the caller asks for urgent treatment. */
  bool urgent{};
  /** @brief Identity of the request; empty for none. */
  std::string id{};
};

/**
 * @brief Applies the rules of a service to a request.
 * @param view Service of the request.
 * @param wishes What the caller asks for.
 * @param now Current time.
 * @param request Request, whose route, idempotence, urgency and deadline are
 * set.
 */
void ApplyRules(const inventory::ServiceView& view, const Wishes& wishes,
                core::TimePoint now, core::CallRequest& request);

}  // namespace trefoilbend::callers

#endif  // TREFOILBEND_CALLERS_CLASSIFY_H_
