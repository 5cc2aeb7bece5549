#include "trefoilbend/balancing/pending_probes.h"

namespace trefoilbend::balancing {

void PendingProbes::Add(const core::CallId call,
                        const std::vector<forwarding::ProbeId>& probes,
                        const core::TimePoint until) {
  this->waiting.insert_or_assign(
      call, Waiting{.outstanding = probes.size(), .until = until});
  for (const forwarding::ProbeId probe : probes) {
    this->calls_of_probes.emplace(probe, call);
  }
}

std::optional<core::CallId> PendingProbes::Complete(
    const forwarding::ProbeId probe) {
  const auto pending = this->calls_of_probes.find(probe);
  if (pending == this->calls_of_probes.end()) {
    return std::nullopt;
  }
  const core::CallId call = pending->second;
  this->calls_of_probes.erase(pending);
  const auto found = this->waiting.find(call);
  if (found == this->waiting.end() || --found->second.outstanding > 0) {
    return std::nullopt;
  }
  this->waiting.erase(found);
  return call;
}

std::vector<core::CallId> PendingProbes::Expire(const core::TimePoint now) {
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

bool PendingProbes::Remove(const core::CallId call) {
  return this->waiting.erase(call) > 0;
}

std::optional<core::TimePoint> PendingProbes::NextExpiry() const noexcept {
  std::optional<core::TimePoint> next;
  for (const auto& [call, wait] : this->waiting) {
    if (!next || wait.until < *next) {
      next = wait.until;
    }
  }
  return next;
}

}  // namespace trefoilbend::balancing
