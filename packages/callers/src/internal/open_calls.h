#ifndef TREFOILBEND_CALLERS_INTERNAL_OPEN_CALLS_H_
#define TREFOILBEND_CALLERS_INTERNAL_OPEN_CALLS_H_

#include <prometheus/gauge.h>

#include <cstddef>
#include <memory>
#include <unordered_map>
#include <vector>

#include "internal/session.h"
#include "trefoilbend/core/call.h"
#include "trefoilbend/core/number.h"

namespace trefoilbend::callers::internal {

/**
 * @brief Calls of callers that have not ended, with the sessions that get their
 * answers.
 *
 * A session whose client has sent its next request already waits for nothing
 * but the answer, so that only its call keeps it alive.
 */
class OpenCalls {
 public:
  /**
   * @brief Makes an empty collection.
   * @param count Shows the number of calls; outlives the collection.
   */
  explicit OpenCalls(prometheus::Gauge& count) : count(count) {}

  /**
   * @brief Adds a call.
   * @param call The call.
   * @param session Session that gets the answer.
   * @param keyed Whether the call waits for the run of its key.
   */
  void Add(core::CallId call, std::shared_ptr<Session> session, bool keyed);

  /**
   * @brief Removes a call that has ended.
   * @param call Call to remove; ignored if it is not open.
   */
  void Remove(core::CallId call);

  /**
   * @brief Finds the session of a call.
   * @param call The call.
   * @return The session; null if the call is not open.
   */
  [[nodiscard]] std::shared_ptr<Session> Find(core::CallId call) const;

  /** @return Whether a call is open and waits for the run of its key. */
  [[nodiscard]] bool IsKeyed(core::CallId call) const;

  /** @return Whether a call is open. */
  [[nodiscard]] bool Contains(const core::CallId call) const {
    return this->calls.contains(call);
  }

  /** @return Number of open calls. */
  [[nodiscard]] std::size_t Size() const noexcept { return this->calls.size(); }

  /** @return Sessions of all open calls. */
  [[nodiscard]] std::vector<std::shared_ptr<Session>> Sessions() const;

 private:
  struct OpenCall {
    std::shared_ptr<Session> session;
    bool keyed{};
  };

  void Show();

  prometheus::Gauge& count;
  std::unordered_map<core::CallId, OpenCall> calls;
};

}  // namespace trefoilbend::callers::internal

#endif  // TREFOILBEND_CALLERS_INTERNAL_OPEN_CALLS_H_
