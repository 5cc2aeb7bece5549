#include "trefoilbend/callers/classify.h"

#include <algorithm>

namespace trefoilbend::callers {

namespace {

bool IsSafe(const std::string_view method) noexcept {
  return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

}  // namespace

void ApplyRules(const inventory::ServiceView& view, const Wishes& wishes,
                const core::TimePoint now, core::CallRequest& request) {
  const std::string_view path =
      std::string_view{request.path}.substr(0, request.path.find('?'));
  const inventory::Route* route =
      inventory::MatchRoute(view, request.method, path);
  std::chrono::microseconds timeout = view.service->timeout;
  request.idempotent = IsSafe(request.method);
  if (route != nullptr) {
    request.route = route->name;
    request.idempotent = route->idempotent;
    timeout = route->timeout.value_or(timeout);
    const bool urgent = wishes.urgent && route->urgent_allowed;
    request.urgency =
        urgent ? core::Urgency::kUrgent : core::Urgency::kOrdinary;
  }
  if (wishes.timeout) {
    timeout = std::min<std::chrono::microseconds>(timeout, *wishes.timeout);
  }
  request.received = now;
  request.deadline = now + timeout;
}

}  // namespace trefoilbend::callers
