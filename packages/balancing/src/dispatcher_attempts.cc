#include <chrono>
#include <utility>

#include "internal/refusals.h"
#include "trefoilbend/balancing/dispatcher.h"

namespace trefoilbend::balancing {

namespace {

using forwarding::ExchangeResult;

constexpr std::chrono::milliseconds kRetryAfter{1'000};
constexpr std::uint32_t kMaxResumes = 8;

}  // namespace

bool Dispatcher::IsKnownNotRun(
    const ServiceState& service,
    const forwarding::ExchangeEnded& ended) noexcept {
  return ended.result == ExchangeResult::kNotSent ||
         ended.result == ExchangeResult::kMisdirected ||
         (ended.result == ExchangeResult::kRefused && service.trusts_refusals);
}

std::uint32_t Dispatcher::MaxAttempts(const CallState& call) const noexcept {
  return call.request->attempts == 0 ? this->options.attempts
                                     : call.request->attempts;
}

void Dispatcher::RetryOrRefuse(ServiceState& service,
                               const forwarding::ExchangeEnded& ended,
                               const core::TimePoint now,
                               Decisions& decisions) {
  CallState& call = this->calls.at(ended.call);
  const bool refused = ended.result == ExchangeResult::kRefused;
  if (ended.result == ExchangeResult::kTimedOut ||
      now >= call.request->deadline) {
    this->Refuse(ended.call, core::RefusalReason::kDeadline, now, decisions);
    return;
  }
  if (!this->MaySend(call)) {
    this->Refuse(ended.call, core::RefusalReason::kStopping, now, decisions);
    return;
  }
  const bool may_run_again = call.request->idempotent || !call.may_have_run;
  const bool may_retry =
      call.sent_attempts < this->MaxAttempts(call) && may_run_again &&
      (IsExemptFromBudget(ended) || service.budget.TryWithdraw(now));
  if (!may_retry ||
      !this->TryStart(service, ended.call, std::nullopt, now, decisions)) {
    this->Refuse(ended.call,
                 refused ? core::RefusalReason::kBusy
                         : core::RefusalReason::kTargetFailed,
                 now, decisions);
  }
}

void Dispatcher::ResumeOrBreak(ServiceState& service,
                               const forwarding::ExchangeEnded& ended,
                               const core::TimePoint now,
                               Decisions& decisions) {
  CallState& call = this->calls.at(ended.call);
  const bool may_resume =
      call.resume && now < call.request->deadline &&
      ++call.resumes <= kMaxResumes &&
      (IsExemptFromBudget(ended) || service.budget.TryWithdraw(now));
  if (may_resume) {
    call.tried = {ended.target};
    if (this->TryStart(service, ended.call, std::nullopt, now, decisions)) {
      return;
    }
    call.tried.clear();
    if (this->TryStart(service, ended.call, std::nullopt, now, decisions)) {
      return;
    }
  }
  call.trace.Add(TraceBroken{}, now);
  this->FinishCall(ended.call);
  decisions.push_back(CallBroken{ended.call});
}

void Dispatcher::Refuse(const core::CallId id, const core::RefusalReason reason,
                        const core::TimePoint now, Decisions& decisions) {
  CallState& call = this->calls.at(id);
  const bool stopping = reason == core::RefusalReason::kStopping;
  const core::Refusal refusal{
      .run = call.may_have_run ? core::RunState::kUnknown
                               : core::RunState::kNotRun,
      .reason = reason,
      .retry_after = stopping ? kRetryElsewhere : kRetryAfter};
  call.trace.Add(TraceRefused{refusal}, now);
  this->FinishCall(id);
  decisions.push_back(CallRefused{.call = id, .refusal = refusal});
}

void Dispatcher::FinishCall(const core::CallId id) {
  const auto found = this->calls.find(id);
  this->traces.push_back(std::move(found->second.trace));
  this->calls.erase(found);
}

}  // namespace trefoilbend::balancing
