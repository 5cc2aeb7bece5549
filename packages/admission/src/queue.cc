#include "trefoilbend/admission/queue.h"

#include <algorithm>

namespace trefoilbend::admission {

bool Queue::TryPush(const QueuedCall call) {
  auto& waiting = this->classes.at(static_cast<std::size_t>(call.urgency));
  if (waiting.size() >= this->limits.length) {
    return false;
  }
  waiting.push_back(call);
  return true;
}

std::optional<core::CallId> Queue::Front() const noexcept {
  const auto& urgent =
      this->classes[static_cast<std::size_t>(core::Urgency::kUrgent)];
  const auto& ordinary =
      this->classes[static_cast<std::size_t>(core::Urgency::kOrdinary)];
  const auto& first = urgent.empty() ? ordinary : urgent;
  return first.empty() ? std::nullopt : std::optional{first.front().id};
}

void Queue::Remove(const core::CallId id) {
  for (auto& waiting : this->classes) {
    std::erase_if(waiting,
                  [id](const QueuedCall& call) { return call.id == id; });
  }
}

std::vector<core::CallId> Queue::Expire(const core::TimePoint now) {
  std::vector<core::CallId> expired;
  for (auto& waiting : this->classes) {
    std::erase_if(waiting, [&](const QueuedCall& call) {
      if (call.deadline > now) {
        return false;
      }
      expired.push_back(call.id);
      return true;
    });
  }
  return expired;
}

std::size_t Queue::Size() const noexcept {
  std::size_t size = 0;
  for (const auto& waiting : this->classes) {
    size += waiting.size();
  }
  return size;
}

}  // namespace trefoilbend::admission
