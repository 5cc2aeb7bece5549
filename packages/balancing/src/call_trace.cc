#include "trefoilbend/balancing/call_trace.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

#include "trefoilbend/core/outcome.h"

namespace trefoilbend::balancing {

namespace {

constexpr std::uint16_t kFirstServerError = 500;

double Milliseconds(const core::Duration time) noexcept {
  return std::chrono::duration<double, std::milli>{time}.count();
}

std::string_view TextOf(const AttemptKind kind) noexcept {
  static constexpr std::array<std::string_view, 3> kTexts{
      "Sent.", "Sent again.", "Hedged."};
  return kTexts.at(static_cast<std::size_t>(kind));
}

std::string FormatStep(const TraceProbed& step, core::TimePoint /*now*/) {
  std::string targets;
  for (const core::InstanceName& target : step.targets) {
    targets += (targets.empty() ? "" : ",") + target.Text();
  }
  return "Probed targets for their load. targets=" + targets;
}

std::string FormatStep(const TraceSent& step, const core::TimePoint now) {
  const bool has_slowdown = step.candidate.slowdown.has_value();
  std::string line = fmt::format(
      "{} target={} candidates={} own_in_flight={} told_requests={} slots={} "
      "told_slowdown={:.2f} told_age_ms={:.0f} far={}",
      TextOf(step.kind), step.target.Text(), step.candidates,
      step.candidate.in_flight, step.candidate.reported_requests,
      step.candidate.slots, step.candidate.slowdown.value_or(0),
      has_slowdown ? Milliseconds(step.candidate.report_age) : -1.0,
      step.candidate.remote);
  if (!step.knowledge) {
    return line;
  }
  const bool from_store =
      step.knowledge->told_by == configuration::ToldBy::kStore;
  return line + fmt::format(" list_age_ms={:.0f} list_told_by={}",
                            Milliseconds(now - step.knowledge->as_of),
                            from_store ? "store" : "peer");
}

std::string FormatStep(const TraceEnded& step, core::TimePoint /*now*/) {
  const std::string waited =
      step.waited ? fmt::format(" waited_ms={:.1f}", Milliseconds(*step.waited))
                  : "";
  const std::string connection =
      step.use ? fmt::format(" connection={} carried={} skipped={}",
                             step.use->connection, step.use->carried,
                             step.use->skipped)
               : "";
  return fmt::format("Attempt ended. target={}{} result={} status={}{}",
                     step.target.Text(), waited, ToString(step.result),
                     step.status, connection);
}

std::string FormatStep(const TraceRefused& step, core::TimePoint /*now*/) {
  const bool not_run = step.refusal.run == core::RunState::kNotRun;
  return fmt::format("Refused. reason={} run={} retry_after_ms={}",
                     core::ToString(step.refusal.reason),
                     not_run ? "not-run" : "unknown",
                     step.refusal.retry_after.count());
}

std::string FormatStep(const TraceCallerLeft& /*step*/,
                       core::TimePoint /*now*/) {
  return "Caller disconnected.";
}

std::string FormatStep(const TraceBroken& /*step*/, core::TimePoint /*now*/) {
  return "Answer interrupted.";
}

bool IsNotableStep(const TraceStep& step) noexcept {
  const auto* ended = std::get_if<TraceEnded>(&step);
  const auto* sent = std::get_if<TraceSent>(&step);
  return std::holds_alternative<TraceRefused>(step) ||
         std::holds_alternative<TraceBroken>(step) ||
         std::holds_alternative<TraceCallerLeft>(step) ||
         (sent != nullptr && sent->kind != AttemptKind::kFirst) ||
         (ended != nullptr &&
          (ended->result != forwarding::ExchangeResult::kAnswered ||
           ended->status >= kFirstServerError));
}

}  // namespace

std::string_view ToString(const CallEnd end) noexcept {
  static constexpr std::array<std::string_view, 4> kWords{
      "answered", "refused", "caller-left", "broken"};
  return kWords.at(static_cast<std::size_t>(end));
}

std::string_view ToString(const forwarding::ExchangeResult result) noexcept {
  static constexpr std::array<std::string_view, 9> kWords{
      "answered",
      "not-sent",
      "broken-before-answer",
      "broken-within-answer",
      "timed-out",
      "cancelled",
      "refused",
      "misdirected",
      "failed"};
  return kWords.at(static_cast<std::size_t>(result));
}

const core::ServiceName& CallTrace::Service() const noexcept {
  static const core::ServiceName kNone;
  return this->request == nullptr ? kNone : this->request->service;
}

CallOutcome CallTrace::Outcome() const noexcept {
  CallOutcome outcome;
  for (const TimedStep& timed : this->steps) {
    outcome.duration = timed.elapsed;
    if (const auto* refused = std::get_if<TraceRefused>(&timed.step)) {
      outcome.end = CallEnd::kRefused;
      outcome.reason = refused->refusal.reason;
    } else if (std::holds_alternative<TraceBroken>(timed.step)) {
      outcome.end = CallEnd::kBroken;
    } else if (std::holds_alternative<TraceCallerLeft>(timed.step)) {
      outcome.end = CallEnd::kCallerLeft;
    }
  }
  return outcome;
}

void CallTrace::Add(TraceStep step, const core::TimePoint now) {
  if (this->request != nullptr && this->steps.size() < kMaxSteps) {
    this->steps.push_back({std::move(step), now - this->arrived});
  }
}

bool CallTrace::IsNotable(const core::Duration slow) const noexcept {
  if (this->steps.empty()) {
    return false;
  }
  const core::Duration limit = this->request->objective.count() > 0
                                   ? core::Duration{this->request->objective}
                                   : slow;
  return this->steps.back().elapsed > limit ||
         std::any_of(
             this->steps.begin(), this->steps.end(),
             [](const TimedStep& timed) { return IsNotableStep(timed.step); });
}

const std::string& CallTrace::Id() const noexcept {
  static const std::string kNone;
  return this->request == nullptr ? kNone : this->request->id;
}

std::vector<std::string> CallTrace::Lines() const {
  std::vector<std::string> lines;
  if (this->request == nullptr) {
    return lines;
  }
  lines.push_back(fmt::format(
      "Arrived. id={} at_ms=0 service={} route={} idempotent={} urgent={} "
      "left_ms={:.0f} objective_ms={} waited_ms={:.1f} revision={}",
      this->request->id, this->request->service.Text(),
      this->request->route.Text(), this->request->idempotent,
      this->request->urgency == core::Urgency::kUrgent,
      Milliseconds(this->request->deadline - this->arrived),
      this->request->objective.count(),
      Milliseconds(this->arrived - this->request->received),
      this->revision.Value()));
  for (const TimedStep& timed : this->steps) {
    const std::string line = std::visit(
        [&](const auto& step) {
          return FormatStep(step, this->arrived + timed.elapsed);
        },
        timed.step);
    const std::size_t sentence = line.find(". ");
    const std::size_t end =
        sentence == std::string::npos ? line.size() : sentence + 1;
    lines.push_back(fmt::format("{} id={} at_ms={:.1f}{}", line.substr(0, end),
                                this->request->id, Milliseconds(timed.elapsed),
                                line.substr(end)));
  }
  return lines;
}

}  // namespace trefoilbend::balancing
