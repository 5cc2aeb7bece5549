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

/** @brief Targets were asked for their load before one was chosen. */
struct TraceProbed {
  /** @brief Targets that were asked. */
  std::vector<core::InstanceName> targets;
};

/** @brief Why an attempt was made. */
enum class AttemptKind : std::uint8_t { kFirst, kRetry, kHedge };

/** @brief The call was sent to a target. */
struct TraceSent {
  /** @brief Why the attempt was made. */
  AttemptKind kind = AttemptKind::kFirst;
  /** @brief Chosen target. */
  core::InstanceName target;
  /** @brief What was known of the target. */
  Candidate candidate;
  /** @brief Number of targets that might have been chosen. */
  std::size_t candidates{};
  /** @brief How well the list of targets was known, if that is told. */
  std::optional<configuration::TargetKnowledge> knowledge{};
};

/** @brief An attempt ended. */
struct TraceEnded {
  /** @brief Target of the attempt. */
  core::InstanceName target;
  /** @brief Time from the choice to the sending; nothing if nothing was sent.
   */
  std::optional<core::Duration> waited{};
  /** @brief How the attempt ended. */
  forwarding::ExchangeResult result = forwarding::ExchangeResult::kNotSent;
  /** @brief Status of the answer; 0 without one. */
  std::uint16_t status{};
};

/** @brief The call got an answer of the entry's own. */
struct TraceRefused {
  /** @brief The refusal. */
  core::Refusal refusal;
};

/** @brief The caller went away before it had its answer. */
struct TraceCallerLeft {};

/** @brief The answer broke within its body and could not go on. */
struct TraceBroken {};

/** @brief Something that was decided about a call. */
using TraceStep = std::variant<TraceProbed, TraceSent, TraceEnded, TraceRefused,
                               TraceCallerLeft, TraceBroken>;

/** @brief How a call came to its end. */
enum class CallEnd : std::uint8_t {
  kAnswered,
  kRefused,
  kCallerLeft,
  kBroken,
};

/** @brief What came of a call. */
struct CallOutcome {
  /** @brief How it came to its end. */
  CallEnd end = CallEnd::kAnswered;
  /** @brief Reason of a refusal. */
  std::optional<core::RefusalReason> reason;
  /** @brief Time from its arrival to its last step. */
  core::Duration duration{};
};

/** @return Word for an end, for logs and metrics. */
[[nodiscard]] std::string_view ToString(CallEnd end) noexcept;

/** @return Word for the result of an attempt, for logs and metrics. */
[[nodiscard]] std::string_view ToString(
    forwarding::ExchangeResult result) noexcept;

/** @brief What was decided about one call, and when. */
class CallTrace {
 public:
  /** @brief Makes a trace of nothing. */
  CallTrace() = default;

  /**
   * @brief Begins the trace of a call.
   * @param request What the caller asks for.
   * @param revision Configuration by which it is decided.
   * @param now Current time.
   */
  CallTrace(std::shared_ptr<const core::CallRequest> request,
            core::Revision revision, core::TimePoint now)
      : request(std::move(request)), revision(revision), arrived(now) {}

  /**
   * @brief Adds a step; of very many, the later ones are left out.
   * @param step What was decided.
   * @param now Current time.
   */
  void Add(TraceStep step, core::TimePoint now);

  /**
   * @brief Tells whether the call is one that a person may ask about: it was
   * refused, failed, broke, was sent more than once or took too long.
   * @param slow Time above which a call without an objective takes too long.
   * @return True for such a call.
   */
  [[nodiscard]] bool IsNotable(core::Duration slow) const noexcept;

  /** @return Identity that the caller gave its request. */
  [[nodiscard]] const std::string& Id() const noexcept;

  /** @return Service that the call asked for. */
  [[nodiscard]] const core::ServiceName& Service() const noexcept;

  /** @return What came of the call. */
  [[nodiscard]] CallOutcome Outcome() const noexcept;

  /**
   * @brief Shows each attempt that ended.
   * @param visit Function that takes the attempt.
   */
  template <typename Visit>
  void ForEachAttempt(Visit&& visit) const {
    for (const TimedStep& timed : this->steps) {
      if (const auto* ended = std::get_if<TraceEnded>(&timed.step)) {
        visit(*ended);
      }
    }
  }

  /** @return One line for each step, without time and part. */
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
