#ifndef TREFOILBEND_RELAY_MESSAGES_H_
#define TREFOILBEND_RELAY_MESSAGES_H_

#include <memory>
#include <variant>

#include "trefoilbend/core/call.h"
#include "trefoilbend/core/number.h"
#include "trefoilbend/http/address.h"
#include "trefoilbend/idempotency/key.h"
#include "trefoilbend/idempotency/key_table.h"

namespace trefoilbend::relay {

/** @brief Identity of a call that a peer has passed on to this entry. */
using ReceivedId = core::Number<struct ReceivedTag>;

/** @brief Order to take peers' calls on an address. */
struct Listen {
  /** @brief Address of this entry. */
  http::Address address;
};

/** @brief Order to pass a call on to its key's home. */
struct PassCall {
  /** @brief Call that waits for the result. */
  core::CallId call;
  /** @brief Key of the request. */
  idempotency::Key key;
  /** @brief Address on which the home takes calls. */
  http::Address address;
  /** @brief What the caller asks for. */
  std::shared_ptr<const core::CallRequest> request;
};

/** @brief Result of a call that a peer has passed on. */
struct ReplyCall {
  /** @brief Identity of the peer's call. */
  ReceivedId received;
  /** @brief Whole answer or refusal. */
  idempotency::Result result;
};

/** @brief Messages from the duty that talks to callers. */
using FromCallers = std::variant<std::monostate, Listen, PassCall, ReplyCall>;

/** @brief A peer has passed a call on. */
struct CallReceived {
  /** @brief Identity of the peer's call. */
  ReceivedId received;
  /** @brief Key of the request. */
  idempotency::Key key;
  /** @brief What the caller asks for. */
  std::shared_ptr<const core::CallRequest> request;
};

/** @brief A call that was passed on has its result. */
struct CallReturned {
  /** @brief Call that waits for the result. */
  core::CallId call;
  /** @brief Whole answer or refusal. */
  idempotency::Result result;
};

/** @brief Messages to the duty that talks to callers. */
using ToCallers = std::variant<std::monostate, CallReceived, CallReturned>;

}  // namespace trefoilbend::relay

#endif  // TREFOILBEND_RELAY_MESSAGES_H_
