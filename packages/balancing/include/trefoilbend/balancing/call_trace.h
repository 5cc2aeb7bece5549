#ifndef TREFOILBEND_BALANCING_CALL_TRACE_H_
#define TREFOILBEND_BALANCING_CALL_TRACE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "trefoilbend/balancing/strategy.h"
#include "trefoilbend/configuration/messages.h"
#include "trefoilbend/core/call.h"
#include "trefoilbend/core/clock.h"
#include "trefoilbend/core/name.h"
#include "trefoilbend/forwarding/messages.h"

namespace trefoilbend::balancing {

/** @brief Records that targets were probed for their load before one was
 * chosen. */
struct TraceProbed {
  /** @brief Probed targets. */
  std::vector<core::InstanceName> targets;
};

/** @brief Reason for an attempt. */
enum class AttemptKind : std::uint8_t { kFirst, kRetry, kHedge };

/** @brief Records that the call was sent to a target. */
struct TraceSent {
  /** @brief Reason for the attempt. */
  AttemptKind kind = AttemptKind::kFirst;
  /** @brief Chosen target. */
  core::InstanceName target;
  /** @brief Data by which the target was chosen. */
  Candidate candidate;
  /** @brief Number of targets among which it was chosen. */
  std::size_t candidates{};
  /** @brief Age and source of the list of targets, if known. */
  std::optional<configuration::TargetKnowledge> knowledge{};
};

/** @brief Records the end of an attempt. */
struct TraceEnded {
  /** @brief Target of the attempt. */
  core::InstanceName target;
  /** @brief Time from the choice of the target to the sending of the request;
   * empty if nothing was sent. */
  std::optional<core::Duration> waited{};
  /** @brief Result of the attempt. */
  forwarding::ExchangeResult result = forwarding::ExchangeResult::kNotSent;
  /** @brief HTTP status of the answer; 0 without one. */
  std::uint16_t status{};
  /** @brief Connection of the attempt; empty if nothing was sent. */
  std::optional<forwarding::ConnectionUse> use{};
};

/** @brief Records that the entry refused the call. */
struct TraceRefused {
  /** @brief Refusal that the caller received. */
  core::Refusal refusal;
};

/** @brief Records that the caller disconnected before it had its answer. */
struct TraceCallerLeft {};

/** @brief Records that the answer was interrupted within its body and could not
 * be resumed. */
struct TraceBroken {};

/** @brief Step of a call. */
using TraceStep = std::variant<TraceProbed, TraceSent, TraceEnded, TraceRefused,
                               TraceCallerLeft, TraceBroken>;

/** @brief How a call ended. */
enum class CallEnd : std::uint8_t {
  kAnswered,
  kRefused,
  kCallerLeft,
  kBroken,
};

/** @brief Outcome of a call. */
struct CallOutcome {
  /** @brief How the call ended. */
  CallEnd end = CallEnd::kAnswered;
  /** @brief Reason for the refusal, if the call was refused. */
  std::optional<core::RefusalReason> reason;
  /** @brief Time from the call's arrival to its last step. */
  core::Duration duration{};
};

/** @return Name of how a call ended, for logs and metrics. */
[[nodiscard]] std::string_view ToString(CallEnd end) noexcept;

/** @return Name of an attempt's result, for logs and metrics. */
[[nodiscard]] std::string_view ToString(
    forwarding::ExchangeResult result) noexcept;

/** @brief Steps of one call with their times. */
class CallTrace {
 public:
  /** @brief Makes an empty trace that belongs to no call. */
  CallTrace() = default;

  /**
   * @brief Starts the trace of a call.
   * @param request Request of the caller.
   * @param revision Revision of the configuration in force when the call
   * arrived.
   * @param now Current time.
   */
  CallTrace(std::shared_ptr<const core::CallRequest> request,
            core::Revision revision, core::TimePoint now)
      : request(std::move(request)), revision(revision), arrived(now) {}

  /**
   * @brief Adds a step, or drops it if the trace already has the maximum number
   * of steps.
   * @param step Step to add.
   * @param now Current time.
   */
  void Add(TraceStep step, core::TimePoint now);

  /**
   * @brief Returns whether an operator may want to look at the call: it was
   * refused, failed, was interrupted, lost its caller, was sent more than once
   * or took too long.
   * @param slow Time above which a call without an objective takes too long.
   * @return True for a notable call.
   */
  [[nodiscard]] bool IsNotable(core::Duration slow) const noexcept;

  /** @return Request id that the caller set; empty if it set none. */
  [[nodiscard]] const std::string& Id() const noexcept;

  /** @return Service of the call. */
  [[nodiscard]] const core::ServiceName& Service() const noexcept;

  /** @return Outcome of the call. */
  [[nodiscard]] CallOutcome Outcome() const noexcept;

  /**
   * @brief Invokes a function for each attempt that ended.
   * @param visit Function that takes a TraceEnded.
   */
  template <typename Visit>
  void ForEachAttempt(Visit&& visit) const {
    for (const TimedStep& timed : this->steps) {
      if (const auto* ended = std::get_if<TraceEnded>(&timed.step)) {
        visit(*ended);
      }
    }
  }

  /** @return Log lines, one for the arrival and one for each step, without the
   * logger's prefix of time and component. */
  [[nodiscard]] std::vector<std::string> Lines() const;

 private:
  static constexpr std::size_t kMaxSteps = 24;

  struct TimedStep {
    TraceStep step;
    core::Duration elapsed{};
  };

  std::shared_ptr<const core::CallRequest> request;
  core::Revision revision;
  core::TimePoint arrived{};
  std::vector<TimedStep> steps;
};

}  // namespace trefoilbend::balancing

#endif  // TREFOILBEND_BALANCING_CALL_TRACE_H_
