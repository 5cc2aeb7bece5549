#include "internal/open_calls.h"

#include <utility>
#include <vector>

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

void OpenCalls::Refuse(const core::CallId call, const core::Refusal& refusal) {
  const std::shared_ptr<Session> session = this->Find(call);
  if (session != nullptr) {
    this->refusals.Count(refusal);
    this->Remove(call);
    session->Refuse(refusal);
  }
}

bool OpenCalls::Answer(const core::CallId call, core::AnswerHead head) {
  const std::shared_ptr<Session> session = this->Find(call);
  if (session == nullptr) {
    return false;
  }
  this->metrics.answered.Increment();
  session->Answer(std::move(head));
  return true;
}

void OpenCalls::Answer(const core::CallId call, core::AnswerPart part) {
  const std::shared_ptr<Session> session = this->Find(call);
  if (session != nullptr) {
    session->Answer(std::move(part));
  }
}

bool OpenCalls::Stream(const core::CallId waiter, const core::CallId run,
                       core::AnswerHead& head) {
  const std::shared_ptr<Session> session = this->Find(waiter);
  if (session == nullptr) {
    return false;
  }
  this->Remove(waiter);
  this->Add(run, session, false);
  session->Continue(run);
  session->Answer(std::move(head));
  return true;
}

void OpenCalls::Break(const core::CallId call) const {
  const std::shared_ptr<Session> session = this->Find(call);
  if (session != nullptr) {
    session->Break();
  }
}

/** Sessions close their calls meanwhile. */
void OpenCalls::GiveUp(const core::Refusal& refusal) {
  std::vector<std::shared_ptr<Session>> sessions;
  sessions.reserve(this->calls.size());
  for (const auto& [call, open] : this->calls) {
    sessions.push_back(open.session);
  }
  for (const auto& session : sessions) {
    session->GiveUp(this->refusals.Count(refusal));
  }
}

void OpenCalls::Show() {
  this->metrics.in_progress.Set(static_cast<double>(this->calls.size()));
}

}  // namespace trefoilbend::callers::internal
