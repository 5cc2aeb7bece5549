#include "trefoilbend/balancing/lookups.h"

namespace trefoilbend::balancing {

void Lookups::Begin(const core::CallId call,
                    const std::vector<forwarding::ProbeId>& probes,
                    const core::TimePoint until) {
  this->waiting.insert_or_assign(
      call, Waiting{.outstanding = probes.size(), .until = until});
  for (const forwarding::ProbeId probe : probes) {
    this->calls_of_probes.emplace(probe, call);
  }
}

std::optional<core::CallId> Lookups::Note(const forwarding::ProbeId probe) {
  const auto known = this->calls_of_probes.find(probe);
  if (known == this->calls_of_probes.end()) {
    return std::nullopt;
  }
  const core::CallId call = known->second;
  this->calls_of_probes.erase(known);
  const auto found = this->waiting.find(call);
  if (found == this->waiting.end() || --found->second.outstanding > 0) {
    return std::nullopt;
  }
  this->waiting.erase(found);
  return call;
}

std::vector<core::CallId> Lookups::Expire(const core::TimePoint now) {
  std::vector<core::CallId> expired;
  std::erase_if(this->waiting, [&](const auto& entry) {
    if (entry.second.until > now) {
      return false;
    }
    expired.push_back(entry.first);
    return true;
  });
  return expired;
}

bool Lookups::Forget(const core::CallId call) {
  return this->waiting.erase(call) > 0;
}

std::optional<core::TimePoint> Lookups::Next() const noexcept {
  std::optional<core::TimePoint> next;
  for (const auto& [call, one] : this->waiting) {
    if (!next || one.until < *next) {
      next = one.until;
    }
  }
  return next;
}

}  // namespace trefoilbend::balancing
