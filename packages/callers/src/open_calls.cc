#include "internal/open_calls.h"

#include <utility>

namespace trefoilbend::callers::internal {

void OpenCalls::Add(const core::CallId call, std::shared_ptr<Session> session,
                    const bool keyed) {
  this->calls.emplace(call,
                      OpenCall{.session = std::move(session), .keyed = keyed});
  this->Show();
}

void OpenCalls::Remove(const core::CallId call) {
  this->calls.erase(call);
  this->Show();
}

std::shared_ptr<Session> OpenCalls::Find(const core::CallId call) const {
  const auto found = this->calls.find(call);
  return found == this->calls.end() ? nullptr : found->second.session;
}

bool OpenCalls::IsKeyed(const core::CallId call) const {
  const auto found = this->calls.find(call);
  return found != this->calls.end() && found->second.keyed;
}

std::vector<std::shared_ptr<Session>> OpenCalls::Sessions() const {
  std::vector<std::shared_ptr<Session>> sessions;
  sessions.reserve(this->calls.size());
  for (const auto& [call, open] : this->calls) {
    sessions.push_back(open.session);
  }
  return sessions;
}

void OpenCalls::Show() {
  this->count.Set(static_cast<double>(this->calls.size()));
}

}  // namespace trefoilbend::callers::internal
