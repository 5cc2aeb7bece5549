#include "trefoilbend/balancing/entry_counter.h"

#include <algorithm>

namespace trefoilbend::balancing {

void EntryCounter::Observe(const std::uint32_t registered,
                           const std::uint32_t listed, const bool self_listed,
                           const core::TimePoint now) {
  if (self_listed && !this->self_listed) {
    this->listed_since = now;
  }
  this->self_listed = self_listed;
  const std::uint32_t counted = self_listed ? listed : registered;
  std::erase_if(this->observations, [&](const Observation& observation) {
    return observation.until + this->delay <= now;
  });
  if (!this->observations.empty()) {
    Observation& last = this->observations.back();
    if (last.registered == registered && last.listed == counted) {
      return;
    }
    last.until = now;
  }
  this->observations.push_back(
      {registered, counted, core::TimePoint::max() - this->delay});
}

EntryCount EntryCounter::CountAt(const core::TimePoint now) const noexcept {
  const bool listed_long =
      this->self_listed && now - this->listed_since >= this->delay;
  EntryCount count{.known_to_peers =
                       listed_long || this->delay == core::Duration::zero()};
  for (const Observation& observation : this->observations) {
    if (now < observation.until + this->delay) {
      count.registered = std::max(count.registered, observation.registered);
      count.listed = std::max(count.listed, observation.listed);
    }
  }
  return count;
}

}  // namespace trefoilbend::balancing
