#include "internal/keyed_calls.h"

#include <utility>

#include "trefoilbend/core/outcome.h"

namespace trefoilbend::callers::internal {

namespace {

using core::Refusal;
using core::RefusalReason;
using core::RunState;

constexpr std::chrono::milliseconds kRetryAfter{1'000};
/** Time beyond the deadline in which the run's own verdict may arrive. */
constexpr std::chrono::milliseconds kVerdictGrace{25};

/** Only a key's home knows that the key has not run. */
Refusal Unknown(const RefusalReason reason) noexcept {
  return {
      .run = RunState::kUnknown, .reason = reason, .retry_after = kRetryAfter};
}

}  // namespace

KeyedCalls::KeyedCalls(KeyedCallsOwner& owner,
                       const idempotency::KeyTableOptions& options,
                       const KeyedAnswerLimits answers)
    : owner(owner),
      table(options),
      self(options.self),
      incarnation(options.incarnation),
      answers(answers) {}

void KeyedCalls::Configure(inventory::ConfigurationPtr configuration) {
  this->configuration = std::move(configuration);
}

void KeyedCalls::Adopt(const core::Incarnation incarnation) {
  this->incarnation = incarnation;
  this->table.Adopt(incarnation);
}

void KeyedCalls::Begin(const core::CallId waiter, const SharedRequest& request,
                       const std::string& text) {
  const auto home = idempotency::ParseHome(text);
  if (!home) {
    this->ClaimHome(waiter, request, text);
    return;
  }
  this->Route(waiter,
              {.home = *home, .service = request->service, .text = text},
              request);
}

void KeyedCalls::ClaimHome(const core::CallId waiter,
                           const SharedRequest& request,
                           const std::string& text) {
  const idempotency::Home mine{.entry = this->self,
                               .incarnation = this->incarnation,
                               .issued = this->owner.WallNow()};
  this->owner.Claim(
      idempotency::ClaimRow(request->service, text), mine,
      [this, waiter, request, text](const idempotency::ClaimStep& step) {
        const auto* home = std::get_if<idempotency::Home>(&step);
        if (home == nullptr) {
          this->owner.Deliver(waiter, Unknown(RefusalReason::kKeyNotClaimed));
          return;
        }
        this->Route(waiter,
                    {.home = *home, .service = request->service, .text = text},
                    request);
      });
}

void KeyedCalls::Route(const core::CallId waiter, const idempotency::Key& key,
                       const SharedRequest& request) {
  if (key.home.entry == this->self) {
    this->Admit(waiter, key, request);
    return;
  }
  const auto* home =
      this->configuration->Find<inventory::Instance>(key.home.entry.Text());
  if (home == nullptr || !home->relay) {
    this->owner.Deliver(waiter, Unknown(RefusalReason::kHomeUnreachable));
    return;
  }
  if (!this->owner.PassOn({.call = waiter,
                           .key = key,
                           .address = *home->relay,
                           .request = request})) {
    this->owner.Deliver(waiter, Unknown(RefusalReason::kBusy));
  }
}

void KeyedCalls::Admit(const core::CallId waiter, const idempotency::Key& key,
                       const SharedRequest& request) {
  const idempotency::Verdict verdict = this->table.Admit(
      key, idempotency::DigestOf(*request), waiter, this->owner.WallNow());
  std::visit(core::Visitor{[&](const idempotency::RunCall&) {
                             this->Wait(waiter, key, request->deadline);
                             this->StartRun(key, request);
                           },
                           [&](const idempotency::AwaitRun&) {
                             this->Wait(waiter, key, request->deadline);
                           },
                           [&](const idempotency::ReplayResult& replay) {
                             this->owner.Deliver(waiter, replay.result);
                           },
                           [&](const idempotency::KeyRefused& refused) {
                             this->owner.Deliver(waiter, refused.refusal);
                           }},
             verdict);
}

void KeyedCalls::Wait(const core::CallId waiter, const idempotency::Key& key,
                      const core::TimePoint deadline) {
  this->waiting.emplace(waiter, key);
  this->patience.push({.end = deadline + kVerdictGrace, .waiter = waiter});
  this->owner.WakeAt(this->patience.top().end);
}

void KeyedCalls::RefuseLate(const core::TimePoint now) {
  while (!this->patience.empty() && this->patience.top().end <= now) {
    const core::CallId waiter = this->patience.top().waiter;
    this->patience.pop();
    if (this->waiting.contains(waiter)) {
      this->Leave(waiter);
      this->owner.Deliver(waiter, Unknown(RefusalReason::kDeadline));
    }
  }
  if (!this->patience.empty()) {
    this->owner.WakeAt(this->patience.top().end);
  }
}

void KeyedCalls::StartRun(const idempotency::Key& key,
                          const SharedRequest& request) {
  const core::CallId run = this->owner.NextCall();
  const auto awaited = std::make_shared<core::CallRequest>(*request);
  awaited->answer_until = request->deadline + this->answers.late;
  if (!this->owner.Run(run, awaited)) {
    this->Finish(key, Refusal{.run = RunState::kNotRun,
                              .reason = RefusalReason::kBusy,
                              .retry_after = kRetryAfter});
    return;
  }
  this->runs.emplace(run, KeyRun{.key = key, .answer = {}});
}

void KeyedCalls::Leave(const core::CallId waiter) {
  const auto found = this->waiting.find(waiter);
  if (found != this->waiting.end()) {
    this->table.Leave(found->second, waiter);
    this->waiting.erase(found);
  }
}

bool KeyedCalls::Refused(const core::CallId run, const Refusal& refusal) {
  const auto found = this->runs.find(run);
  if (found == this->runs.end()) {
    return false;
  }
  const idempotency::Key key = std::move(found->second.key);
  this->runs.erase(found);
  this->Finish(key, refusal);
  return true;
}

bool KeyedCalls::Answer(const core::CallId run, core::AnswerHead& head) {
  const auto found = this->runs.find(run);
  if (found == this->runs.end()) {
    return false;
  }
  found->second.answer = std::move(head);
  this->Collect(run, found->second.answer.complete);
  return true;
}

bool KeyedCalls::Answer(const core::CallId run, const core::AnswerPart& part) {
  const auto found = this->runs.find(run);
  if (found == this->runs.end()) {
    return false;
  }
  found->second.answer.body += part.body;
  this->Collect(run, part.complete);
  return true;
}

void KeyedCalls::Collect(const core::CallId run, const bool complete) {
  core::AnswerHead& answer = this->runs.at(run).answer;
  if (!complete && answer.body.size() > this->answers.bytes) {
    this->HandOver(run);
    return;
  }
  if (!complete) {
    this->owner.Continue(run);
    return;
  }
  answer.complete = true;
  KeyRun ended = std::move(this->runs.at(run));
  this->runs.erase(run);
  this->Finish(ended.key, std::make_shared<const core::AnswerHead>(
                              std::move(ended.answer)));
}

void KeyedCalls::HandOver(const core::CallId run) {
  KeyRun ended = std::move(this->runs.at(run));
  this->runs.erase(run);
  const Refusal not_kept = Unknown(RefusalReason::kAnswerNotKept);
  bool streamed = false;
  for (const core::CallId waiter : this->table.Finish(ended.key, not_kept)) {
    this->waiting.erase(waiter);
    if (!streamed && this->owner.Stream(waiter, run, ended.answer)) {
      streamed = true;
    } else {
      this->owner.Deliver(waiter, not_kept);
    }
  }
  if (!streamed) {
    this->owner.DropRest(run);
  }
}

void KeyedCalls::Finish(const idempotency::Key& key,
                        const idempotency::Result& result) {
  for (const core::CallId waiter : this->table.Finish(key, result)) {
    this->waiting.erase(waiter);
    this->owner.Deliver(waiter, result);
  }
}

void KeyedCalls::Expire() { this->table.Expire(this->owner.WallNow()); }

}  // namespace trefoilbend::callers::internal
