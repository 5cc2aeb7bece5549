#ifndef TREFOILBEND_FORWARDING_MESSAGES_H_
#define TREFOILBEND_FORWARDING_MESSAGES_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "trefoilbend/core/call.h"
#include "trefoilbend/core/clock.h"
#include "trefoilbend/core/name.h"
#include "trefoilbend/core/number.h"
#include "trefoilbend/http/address.h"

namespace trefoilbend::forwarding {

/** @brief Number of connections that stands for no limit. */
inline constexpr std::uint32_t kAnyConnections = UINT32_MAX;

/** @brief Where a download goes on that broke after its caller got a part (RFC
 * 9110, sections 13.1.5 and 14.2). */
struct ResumePoint {
  /** @brief Strong validator of the answer that broke. */
  std::string validator;
  /** @brief Bytes of the body that were passed on. */
  std::uint64_t offset{};
  /** @brief Length of the whole body in bytes, when the target told it. */
  std::optional<std::uint64_t> length;
};

/** @brief Order to send a call to a target. */
struct StartExchange {
  /** @brief Call that is sent. */
  core::CallId call;
  /** @brief Identity of this attempt. */
  core::ExchangeId exchange;
  /** @brief Target that gets the call. */
  core::InstanceName target;
  /** @brief Address of the target. */
  http::Address address;
  /** @brief What is sent. */
  std::shared_ptr<const core::CallRequest> request;
  /** @brief Exchange of the same call that this one hedges; unless it still
   * waits for its answer, this one ends as cancelled and nothing is sent. */
  std::optional<core::ExchangeId> beside{};
  /** @brief Whether a refusal of the target (status 503) is reported in place
   * of being passed on, so that another target can be asked. */
  bool holds_refusals{};
  /** @brief Whether a refusal of the target proves that it has not run the
   * request. */
  bool trusts_refusals{};
  /** @brief Whether a failure of the target (status 500 and above) is reported
   * in place of being passed on. */
  bool holds_failures{};
  /** @brief Where the answer goes on if a part of it was passed on before. */
  std::optional<ResumePoint> resume{};
  /** @brief Connections that this entry may have open to the target. */
  std::uint32_t connections = kAnyConnections;
  /** @brief Least time between two new connections of this entry to the target.
   */
  core::Duration connection_interval{};
};

/** @brief Order to give up an exchange and to close its connection. */
struct CancelExchange {
  /** @brief Exchange to give up. */
  core::ExchangeId exchange;
};

/** @brief Order to give up an exchange unless its request is written. */
struct WithdrawExchange {
  /** @brief Exchange to give up. */
  core::ExchangeId exchange;
};

/** @brief Identity of a health check. */
using ProbeId = core::Number<struct ProbeTag>;

/** @brief Order to ask a target for its health and load. */
struct StartProbe {
  /** @brief Identity of the probe. */
  ProbeId probe;
  /** @brief Target that is asked. */
  core::InstanceName target;
  /** @brief Address of the target. */
  http::Address address;
  /** @brief Path on which the target answers. */
  std::string path;
  /** @brief Connections that this entry may have open to the target. */
  std::uint32_t connections = kAnyConnections;
  /** @brief Time at which the probe is given up. */
  core::TimePoint deadline{};
};

/** @brief Orders from the duty that chooses targets. */
using FromBalancing =
    std::variant<std::monostate, StartExchange, CancelExchange,
                 WithdrawExchange, StartProbe>;

/** @brief The caller has taken a part of the answer; the next one may follow.
 */
struct ContinueAnswer {
  /** @brief Call whose answer goes on. */
  core::CallId call;
};

/** @brief Nobody takes the answer any more; the rest is read and dropped. */
struct AbandonAnswer {
  /** @brief Call whose answer is dropped. */
  core::CallId call;
};

/** @brief Messages from the duty that talks to callers. */
using FromCallers = std::variant<std::monostate, ContinueAnswer, AbandonAnswer>;

/** @brief The first part of a call's answer. */
struct AnswerStarted {
  /** @brief Call that is answered. */
  core::CallId call;
  /** @brief First part of the answer. */
  core::AnswerHead head;
};

/** @brief A further part of a call's answer. */
struct AnswerContinued {
  /** @brief Call that is answered. */
  core::CallId call;
  /** @brief Part of the answer. */
  core::AnswerPart part;
};

/** @brief The answer ended before it was whole. */
struct AnswerBroken {
  /** @brief Call whose answer is not whole. */
  core::CallId call;
};

/** @brief Messages to the duty that talks to callers. */
using ToCallers =
    std::variant<std::monostate, AnswerStarted, AnswerContinued, AnswerBroken>;

/** @brief Load of a target by its own account. */
struct LoadReport {
  /** @brief Requests that the target works on. */
  std::uint32_t in_flight{};
  /** @brief Requests that wait at the target. */
  std::uint32_t queued{};
  /** @brief Whether the target has not warmed up yet. */
  bool cold{};
  /** @brief Whether the target takes no new work. */
  bool draining{};
  /** @brief Time that work takes now, in multiples of the usual, if the target
   * tells it. */
  std::optional<double> slowdown{};
};

/** @brief Targets that take no more calls; what is not sent yet goes elsewhere.
 */
struct WithdrawTargets {
  /** @brief Names of the targets. */
  std::vector<core::InstanceName> targets;
};

/** @brief Connection on which a request was sent. */
struct ConnectionUse {
  /** @brief Number of the connection, which no other of this entry has. */
  std::uint64_t connection{};
  /** @brief Requests and health checks that it carried before. */
  std::uint32_t carried{};
  /** @brief Answers to other requests that came first and were passed over. */
  std::uint32_t skipped{};
};

/** @brief How an exchange ended. */
enum class ExchangeResult : std::uint8_t {
  /** @brief The answer came whole. */
  kAnswered,
  /** @brief No connection was made, so nothing was sent. */
  kNotSent,
  /** @brief The connection failed before the answer's head. */
  kBrokenBeforeAnswer,
  /** @brief The connection failed within the answer. */
  kBrokenWithinAnswer,
  /** @brief The deadline passed before the answer's head. */
  kTimedOut,
  /** @brief The exchange was given up by order. */
  kCancelled,
  /** @brief The target refused the request; its answer was not passed on. */
  kRefused,
  /** @brief Another target has the address and has not run the request. */
  kMisdirected,
  /** @brief The target failed; its answer was not passed on. */
  kFailed,
};

/** @brief Status with which a target refuses a request. */
inline constexpr std::uint16_t kRefusalStatus = 503;

/** @brief Report of an exchange that ended. */
struct ExchangeEnded {
  /** @brief Call that was sent. */
  core::CallId call;
  /** @brief Identity of the attempt. */
  core::ExchangeId exchange;
  /** @brief Target that got the call. */
  core::InstanceName target;
  /** @brief How the exchange ended. */
  ExchangeResult result = ExchangeResult::kNotSent;
  /** @brief Status of the answer; 0 without one. */
  std::uint16_t status{};
  /** @brief Time from the start of the exchange to the answer's head, or to the
   * failure. */
  core::Duration latency{};
  /** @brief Time from the start of the exchange to the sending of the request;
   * nothing if it was not sent. */
  std::optional<core::Duration> waited{};
  /** @brief Load that the target told with its answer. */
  std::optional<LoadReport> load;
  /** @brief Connection of the exchange; nothing if nothing was sent. */
  std::optional<ConnectionUse> use{};
  /** @brief Where the answer can go on after it broke; nothing if the caller
   * was told that it broke or has its answer. */
  std::optional<ResumePoint> resume{};
};

/** @brief The head of a long answer came; the rest follows. */
struct ExchangeBegan {
  /** @brief Call that is answered. */
  core::CallId call;
  /** @brief Identity of the attempt. */
  core::ExchangeId exchange;
};

/** @brief What a target said of its health. */
struct HealthReport {
  /** @brief Whether the target calls itself healthy. */
  bool healthy{};
  /** @brief Name by which the target calls itself; empty if it does not. */
  core::InstanceName name;
  /** @brief Load, if the target tells it. */
  std::optional<LoadReport> load;
  /** @brief Time for which the target stays cold. */
  std::chrono::milliseconds cold_for{};
};

/** @brief A probe that was answered or given up. */
struct ProbeEnded {
  /** @brief Identity of the probe. */
  ProbeId probe;
  /** @brief Target that was asked. */
  core::InstanceName target;
  /** @brief Its answer; nothing if none came in time. */
  std::optional<HealthReport> report;
};

/** @brief Messages to the duty that chooses targets. */
using ToBalancing =
    std::variant<std::monostate, ExchangeEnded, ExchangeBegan, ProbeEnded>;

}  // namespace trefoilbend::forwarding

#endif  // TREFOILBEND_FORWARDING_MESSAGES_H_
