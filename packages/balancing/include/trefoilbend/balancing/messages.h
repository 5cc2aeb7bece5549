#ifndef TREFOILBEND_BALANCING_MESSAGES_H_
#define TREFOILBEND_BALANCING_MESSAGES_H_

#include <chrono>
#include <memory>
#include <variant>
#include <vector>

#include "trefoilbend/configuration/messages.h"
#include "trefoilbend/core/call.h"
#include "trefoilbend/core/clock.h"
#include "trefoilbend/core/number.h"
#include "trefoilbend/forwarding/messages.h"

namespace trefoilbend::balancing {

/** @brief Submits a call that needs a target. */
struct SubmitCall {
  /** @brief The call. */
  core::CallId call;
  /** @brief Request of the caller. */
  std::shared_ptr<const core::CallRequest> request;
};

/** @brief Cancels a call whose caller disconnected. */
struct CancelCall {
  /** @brief The call. */
  core::CallId call;
};

/** @brief Begins a planned stop: calls whose deadline is later than its end are
 * no longer sent to targets. */
struct StopSending {
  /** @brief Time by which every answer is on its way. */
  core::TimePoint answers_until{};
};

/** @brief Messages from the callers duty. */
using FromCallers =
    std::variant<std::monostate, SubmitCall, CancelCall, StopSending>;

/** @brief Time after which a caller that a stopping entry has refused may turn
 * to another entry. */
inline constexpr std::chrono::milliseconds kRetryElsewhere{10};

/** @brief Refuses a call in place of an answer from a target. */
struct CallRefused {
  /** @brief The call. */
  core::CallId call;
  /** @brief Reason for the refusal, and whether the request may have run. */
  core::Refusal refusal;
};

/** @brief Ends a call whose answer was interrupted within its body and cannot
 * be resumed. */
struct CallBroken {
  /** @brief The call. */
  core::CallId call;
};

/** @brief Messages to the callers duty. */
using ToCallers = std::variant<std::monostate, CallRefused, CallBroken>;

/** @brief Action that the dispatcher has decided on. */
using Decision =
    std::variant<forwarding::StartExchange, forwarding::CancelExchange,
                 forwarding::WithdrawExchange, forwarding::StartProbe,
                 CallRefused, CallBroken, forwarding::WithdrawTargets>;

/** @brief Decisions in the order in which they take effect. */
using Decisions = std::vector<Decision>;

}  // namespace trefoilbend::balancing

#endif  // TREFOILBEND_BALANCING_MESSAGES_H_
