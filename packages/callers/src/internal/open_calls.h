#ifndef TREFOILBEND_CALLERS_INTERNAL_OPEN_CALLS_H_
#define TREFOILBEND_CALLERS_INTERNAL_OPEN_CALLS_H_

#include <cstddef>
#include <memory>
#include <unordered_map>

#include "internal/metrics.h"
#include "internal/refusal_notes.h"
#include "internal/session.h"
#include "trefoilbend/core/call.h"
#include "trefoilbend/core/number.h"

namespace trefoilbend::callers::internal {

/**
 * @brief Calls of callers that have not ended, and what reaches their sessions.
 *
 * A session whose client has sent its next request already waits for nothing
 * but the answer, so that only its call keeps it alive.
 */
class OpenCalls {
 public:
  /**
   * @brief Makes an empty collection.
   * @param metrics Counts calls and answers; outlives the collection.
   * @param refusals Counts refusals; outlives the collection.
   */
  OpenCalls(Metrics& metrics, RefusalNotes& refusals)
      : metrics(metrics), refusals(refusals) {}

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
   * @brief Refuses a call, which ends.
   * @param call The call; ignored if it is not open.
   * @param refusal The refusal.
   */
  void Refuse(core::CallId call, const core::Refusal& refusal);

  /**
   * @brief Passes on the first part of an answer.
   * @param call Call that is answered.
   * @param head First part.
   * @return Whether the call is open.
   */
  [[nodiscard]] bool Answer(core::CallId call, core::AnswerHead head);

  /**
   * @brief Passes on a further part of an answer.
   * @param call Call that is answered; ignored if it is not open.
   * @param part Further part.
   */
  void Answer(core::CallId call, core::AnswerPart part);

  /**
   * @brief Has the answer of a run pass through a call that waited for it.
   * @param waiter Call that waits for the run of its key.
   * @param run The run, under whose identity the rest of the answer comes.
   * @param head First part of the answer.
   * @return Whether the call is open.
   */
  [[nodiscard]] bool Stream(core::CallId waiter, core::CallId run,
                            core::AnswerHead& head);

  /**
   * @brief Breaks an answer off.
   * @param call Call that is answered; ignored if it is not open.
   */
  void Break(core::CallId call) const;

  /**
   * @brief Ends all calls before the process does.
   * @param refusal What callers get whose answer has not begun.
   */
  void GiveUp(const core::Refusal& refusal);

  /** @return Whether a call is open and waits for the run of its key. */
  [[nodiscard]] bool IsKeyed(core::CallId call) const;

  /** @return Whether a call is open. */
  [[nodiscard]] bool Contains(const core::CallId call) const {
    return this->calls.contains(call);
  }

  /** @return Number of open calls. */
  [[nodiscard]] std::size_t Size() const noexcept { return this->calls.size(); }

 private:
  struct OpenCall {
    std::shared_ptr<Session> session;
    bool keyed{};
  };

  /** The session of a call; null if the call is not open. */
  [[nodiscard]] std::shared_ptr<Session> Find(core::CallId call) const;
  void Show();

  Metrics& metrics;
  RefusalNotes& refusals;
  std::unordered_map<core::CallId, OpenCall> calls;
};

}  // namespace trefoilbend::callers::internal

#endif  // TREFOILBEND_CALLERS_INTERNAL_OPEN_CALLS_H_
