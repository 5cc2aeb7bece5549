#ifndef TREFOILBEND_CORE_CALL_H_
#define TREFOILBEND_CORE_CALL_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "trefoilbend/core/clock.h"
#include "trefoilbend/core/name.h"

namespace trefoilbend::core {

/** @brief Header fields in the order in which they came. */
using Fields = std::vector<std::pair<std::string, std::string>>;

/** @brief Order in which waiting calls are served. */
enum class Urgency : std::uint8_t { kOrdinary, kUrgent };

/** @brief A caller's request, free of the encoding in which it came. */
struct CallRequest {
  /** @brief Service that the caller asks for. */
  ServiceName service;
  /** @brief Route of the service that the request belongs to. */
  RouteName route;
  /** @brief Identity that the caller gave its request; empty for none. */
  std::string id;
  /** @brief Host field of the request, as the caller sent it. */
  std::string host;
  /** @brief Method of the request, in capitals. */
  std::string method;
  /** @brief Path and query. */
  std::string path;
  /** @brief End-to-end header fields. */
  Fields fields;
  /** @brief Body, whole, so that it can be sent again. */
  std::string body;
  /** @brief Counts the body's memory for as long as it lives; nothing if that
   * is not counted. */
  std::shared_ptr<const void> body_lease;
  /** @brief Whether running the request twice does the same as running it once.
   */
  bool idempotent{};
  /** @brief Class of the request. */
  Urgency urgency = Urgency::kOrdinary;
  /** @brief Targets to which the request may be sent; 0 for the entry's own
   * limit. */
  std::uint32_t attempts{};
  /** @brief Time within which an answer has its full worth; zero if the route
   * has no such objective. */
  std::chrono::milliseconds objective{};
  /** @brief Time at which the request was read whole. */
  TimePoint received{};
  /** @brief Time at which the caller stops waiting. */
  TimePoint deadline{};
  /** @brief Time up to which a target's answer is awaited if it is later than
   * the deadline, so that a late one can be kept for a repeat. */
  TimePoint answer_until{};
};

/** @brief The beginning of an answer. */
struct AnswerHead {
  /** @brief HTTP status. */
  std::uint16_t status{};
  /** @brief End-to-end header fields. */
  Fields fields;
  /** @brief Length of the body in bytes, when the target told it. */
  std::optional<std::uint64_t> length;
  /** @brief First bytes of the body. */
  std::string body;
  /** @brief Whether the body ends here. */
  bool complete{};
};

/** @brief A further part of an answer's body. */
struct AnswerPart {
  /** @brief Bytes of the body. */
  std::string body;
  /** @brief Whether the body ends here. */
  bool complete{};
};

/** @brief What is known of the run of a call that was not answered. */
enum class RunState : std::uint8_t {
  /** @brief No handler of a target has seen the request. */
  kNotRun,
  /** @brief A target may have run the request. */
  kUnknown,
};

/** @brief Reason for which a call is refused. */
enum class RefusalReason : std::uint8_t {
  kUnknownService,
  kNoTarget,
  kBusy,
  kDeadline,
  kTargetFailed,
  kStopping,
  kNotReady,
  kKeyReused,
  kKeyExpired,
  kKeyNotYetValid,
  kAnswerNotKept,
  kHomeUnreachable,
  kKeyNotClaimed,
};

/**
 * @brief Returns the word for a reason.
 * @param reason Reason of a refusal.
 * @return Word for programs, logs and metrics.
 */
[[nodiscard]] constexpr std::string_view ToString(
    const RefusalReason reason) noexcept {
  constexpr std::array<std::string_view, 13> kWords{
      "unknown-service",   "no-target",       "busy",
      "deadline",          "target-failed",   "stopping",
      "not-ready",         "key-reused",      "key-expired",
      "key-not-yet-valid", "answer-not-kept", "home-unreachable",
      "key-not-claimed"};
  return kWords.at(static_cast<std::size_t>(reason));
}

/** @brief An answer that trefoilbend gives in place of a target. */
struct Refusal {
  /** @brief What is known of the run. */
  RunState run = RunState::kNotRun;
  /** @brief Reason of the refusal. */
  RefusalReason reason = RefusalReason::kBusy;
  /** @brief Time after which a new attempt makes sense. */
  std::chrono::milliseconds retry_after{};
};

}  // namespace trefoilbend::core

#endif  // TREFOILBEND_CORE_CALL_H_
