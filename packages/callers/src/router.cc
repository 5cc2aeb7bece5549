#include "trefoilbend/callers/router.h"

#include <algorithm>
#include <chrono>
#include <string_view>
#include <utility>

#include "trefoilbend/http/message.h"

namespace trefoilbend::callers {

namespace {

/** Time that a call may take when neither its route nor its caller says. */
constexpr std::chrono::seconds kDefaultTimeout{10};

/** Fraction of 2^64 that is the golden ratio's: multiples of it spread evenly
 * at every length (Weyl's sequence; Knuth, TAOCP volume 3, section 6.4). */
constexpr std::uint64_t kGoldenStep = 0x9E3779B97F4A7C15U;
/** Bits of a position within a route's shares. */
constexpr unsigned kPositionBits = 32;

}  // namespace

void Router::Configure(inventory::ConfigurationPtr next) {
  this->configuration = std::move(next);
  std::erase_if(this->positions, [this](const auto& entry) {
    return this->configuration->Find<inventory::Route>(entry.first.Text()) ==
           nullptr;
  });
  this->lowest_rank = 0;
  for (const auto& [host, routes] : this->configuration->Hosts()) {
    for (const inventory::Route* route : routes) {
      this->lowest_rank = std::max(this->lowest_rank, route->rank);
    }
  }
}

bool Router::Route(const Wishes& wishes, const core::TimePoint now,
                   core::CallRequest& request) {
  if (!this->configuration->Hosts().empty()) {
    return this->RouteByHost(wishes, now, request);
  }
  request.service = core::ServiceName{request.host};
  const auto view = this->configuration->Services().find(request.service);
  if (view == this->configuration->Services().end()) {
    return false;
  }
  ApplyRules(view->second, wishes, now, request);
  return true;
}

bool Router::RouteByHost(const Wishes& wishes, const core::TimePoint now,
                         core::CallRequest& request) {
  const std::string host = request.host.substr(0, request.host.rfind(':'));
  const inventory::Route* route = inventory::MatchHost(
      *this->configuration, host, http::PathOf(request.path));
  if (route == nullptr) {
    return false;
  }
  request.service = this->ChooseService(*route);
  request.route = route->name;
  request.idempotent = route->idempotent;
  request.urgency = route->rank < this->lowest_rank ? core::Urgency::kUrgent
                                                    : core::Urgency::kOrdinary;
  request.attempts = route->attempts;
  request.objective =
      std::chrono::duration_cast<std::chrono::milliseconds>(route->objective);
  std::chrono::microseconds timeout = route->timeout.value_or(kDefaultTimeout);
  if (wishes.timeout) {
    timeout = std::min<std::chrono::microseconds>(timeout, *wishes.timeout);
  }
  request.received = now;
  request.deadline = now + timeout;
  return true;
}

std::uint64_t Router::NextPosition(const core::RouteName& route) {
  auto [place, is_new] = this->positions.try_emplace(route);
  if (is_new) {
    place->second = this->random();
  }
  place->second += kGoldenStep;
  return place->second >> kPositionBits;
}

const core::ServiceName& Router::ChooseService(const inventory::Route& route) {
  std::uint64_t all = 0;
  for (const inventory::TrafficShare& share : route.split) {
    all += share.weight;
  }
  if (all == 0) {
    return route.service;
  }
  std::uint64_t left = this->NextPosition(route.name) * all >> kPositionBits;
  for (const inventory::TrafficShare& share : route.split) {
    if (left < share.weight) {
      return share.service;
    }
    left -= share.weight;
  }
  return route.split.back().service;
}

}  // namespace trefoilbend::callers
