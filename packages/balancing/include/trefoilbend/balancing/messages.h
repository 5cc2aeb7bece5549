#ifndef TREFOILBEND_BALANCING_MESSAGES_H_
#define TREFOILBEND_BALANCING_MESSAGES_H_

#include <memory>
#include <variant>
#include <vector>

#include "trefoilbend/configuration/messages.h"
#include "trefoilbend/core/call.h"
#include "trefoilbend/core/number.h"
#include "trefoilbend/forwarding/messages.h"

namespace trefoilbend::balancing {

/** @brief A call that needs a target. */
struct SubmitCall {
  /** @brief The call. */
  core::CallId call;
  /** @brief What the caller asks for. */
  std::shared_ptr<const core::CallRequest> request;
};

/** @brief The caller of a call has gone away. */
struct CancelCall {
  /** @brief The call. */
  core::CallId call;
};

/** @brief Messages from the duty that talks to callers. */
using FromCallers = std::variant<std::monostate, SubmitCall, CancelCall>;

/** @brief A call that gets no answer from a target. */
struct CallRefused {
  /** @brief The call. */
  core::CallId call;
  /** @brief Why, and what is known of its run. */
  core::Refusal refusal;
};

/** @brief A call whose answer broke within its body and cannot go on. */
struct CallBroken {
  /** @brief The call. */
  core::CallId call;
};

/** @brief Messages to the duty that talks to callers. */
using ToCallers = std::variant<std::monostate, CallRefused, CallBroken>;

/** @brief What the dispatcher wants done. */
using Decision =
    std::variant<forwarding::StartExchange, forwarding::CancelExchange,
                 forwarding::StartProbe, CallRefused, CallBroken,
                 forwarding::WithdrawTargets>;

/** @brief Decisions in the order in which they take effect. */
using Decisions = std::vector<Decision>;

}  // namespace trefoilbend::balancing

#endif  // TREFOILBEND_BALANCING_MESSAGES_H_
