#ifndef TREFOILBEND_CALLERS_INTERNAL_KEYED_CALLS_H_
#define TREFOILBEND_CALLERS_INTERNAL_KEYED_CALLS_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "trefoilbend/callers/duty.h"
#include "trefoilbend/core/call.h"
#include "trefoilbend/core/clock.h"
#include "trefoilbend/core/number.h"
#include "trefoilbend/idempotency/claim.h"
#include "trefoilbend/idempotency/key_table.h"
#include "trefoilbend/inventory/configuration.h"
#include "trefoilbend/relay/messages.h"

namespace trefoilbend::callers::internal {

/** @brief A request, shared by the duties that carry it. */
using SharedRequest = std::shared_ptr<const core::CallRequest>;

/** @brief What calls with a key need of the duty that carries them. */
class KeyedCallsOwner {
 public:
  virtual ~KeyedCallsOwner() = default;

  /** @return An identity that no call has had. */
  [[nodiscard]] virtual core::CallId NextCall() = 0;

  /**
   * @brief Sends a request to a target.
   * @param run Identity of the run.
   * @param request Request to send.
   * @return False if there is no room for it.
   */
  [[nodiscard]] virtual bool Run(core::CallId run, SharedRequest request) = 0;

  /**
   * @brief Passes a call on to its key's home.
   * @param call Call to pass on.
   * @return False if there is no room for it.
   */
  [[nodiscard]] virtual bool PassOn(relay::PassCall call) = 0;

  /**
   * @brief Records a key's home in the platform's table.
   * @param row Key of the row.
   * @param home Home to record.
   * @param done Takes the home in force.
   */
  virtual void Claim(
      const std::string& row, const idempotency::Home& home,
      std::function<void(const idempotency::ClaimStep&)> done) = 0;

  /**
   * @brief Gives a result to a call that waits for it.
   * @param waiter Call that waits.
   * @param result Whole answer or refusal.
   */
  virtual void Deliver(core::CallId waiter,
                       const idempotency::Result& result) = 0;

  /**
   * @brief Lets a caller take a long answer part by part.
   * @param waiter Call that waits.
   * @param run Run that is answered.
   * @param head Beginning of the answer, moved from only if the call takes it.
   * @return False if the call cannot take it.
   */
  [[nodiscard]] virtual bool Stream(core::CallId waiter, core::CallId run,
                                    core::AnswerHead& head) = 0;

  /**
   * @brief Asks for the next part of a run's answer.
   * @param run Run that is answered.
   */
  virtual void Continue(core::CallId run) = 0;

  /**
   * @brief Drops the rest of a run's answer.
   * @param run Run that is answered.
   */
  virtual void DropRest(core::CallId run) = 0;

  /** @return Current time. */
  [[nodiscard]] virtual idempotency::IssueTime WallNow() const = 0;

  /**
   * @brief Asks for a call of RefuseLate.
   * @param due Time of the call.
   */
  virtual void WakeAt(core::TimePoint due) = 0;
};

/** @brief Bounds of the answers to calls with a key. */
struct KeyedAnswerLimits {
  /** @brief Longest answer that is kept whole in bytes. */
  std::size_t bytes{};
  /** @brief Time after a call's deadline up to which its answer is awaited. */
  std::chrono::milliseconds late{};
};

/** @brief Carries non-idempotent calls that have a key. */
class KeyedCalls {
 public:
  /**
   * @brief Makes it without any call.
   * @param owner Duty that carries the calls and outlives them.
   * @param options Bounds of the table of keys.
   * @param answers Bounds of the answers.
   */
  KeyedCalls(KeyedCallsOwner& owner,
             const idempotency::KeyTableOptions& options,
             KeyedAnswerLimits answers);

  /**
   * @brief Takes note of a configuration.
   * @param configuration Configuration, which names the entries.
   */
  void Configure(inventory::ConfigurationPtr configuration);

  /**
   * @brief Takes another incarnation of this entry; keys of the one before are
   * refused from now on.
   * @param incarnation The later incarnation.
   */
  void Adopt(core::Incarnation incarnation);

  /**
   * @brief Takes a caller's call.
   * @param waiter Call that waits for the result.
   * @param request Request of the call.
   * @param text Text of its key.
   */
  void Begin(core::CallId waiter, const SharedRequest& request,
             const std::string& text);

  /**
   * @brief Takes a call at its key's home.
   * @param waiter Call that waits for the result.
   * @param key Key of the call.
   * @param request Request of the call.
   */
  void Admit(core::CallId waiter, const idempotency::Key& key,
             const SharedRequest& request);

  /**
   * @brief Forgets a call whose caller has gone; its run goes on.
   * @param waiter Call that nobody waits for.
   */
  void Leave(core::CallId waiter);

  /**
   * @brief Takes a refusal.
   * @param run Run that was refused.
   * @param refusal Refusal.
   * @return False if it is not a run of a key.
   */
  [[nodiscard]] bool Refused(core::CallId run, const core::Refusal& refusal);

  /**
   * @brief Takes the beginning of an answer.
   * @param run Run that is answered.
   * @param head Beginning of the answer, moved from only if it is taken.
   * @return False if it is not a run of a key.
   */
  [[nodiscard]] bool Answer(core::CallId run, core::AnswerHead& head);

  /**
   * @brief Takes a further part of an answer.
   * @param run Run that is answered.
   * @param part Part of the answer.
   * @return False if it is not a run of a key.
   */
  [[nodiscard]] bool Answer(core::CallId run, const core::AnswerPart& part);

  /** @brief Forgets the keys whose retention has passed. */
  void Expire();

  /**
   * @brief Refuses the calls whose deadline has passed; their runs go on, so
   * that a repeat gets a late answer.
   * @param now Current time.
   */
  void RefuseLate(core::TimePoint now);

  /** @return Number of runs in progress. */
  [[nodiscard]] std::size_t Runs() const noexcept { return this->runs.size(); }

  /** @return Table of keys. */
  [[nodiscard]] const idempotency::KeyTable& Table() const noexcept {
    return this->table;
  }

 private:
  struct KeyRun {
    idempotency::Key key;
    core::AnswerHead answer;
  };

  struct Patience {
    core::TimePoint end;
    core::CallId waiter;

    [[nodiscard]] bool operator>(const Patience& other) const noexcept {
      return this->end > other.end;
    }
  };

  void ClaimHome(core::CallId waiter, const SharedRequest& request,
                 const std::string& text);
  void Route(core::CallId waiter, const idempotency::Key& key,
             const SharedRequest& request);
  void Wait(core::CallId waiter, const idempotency::Key& key,
            core::TimePoint deadline);
  void StartRun(const idempotency::Key& key, const SharedRequest& request);
  void Collect(core::CallId run, bool complete);
  void HandOver(core::CallId run);
  void Finish(const idempotency::Key& key, const idempotency::Result& result);

  KeyedCallsOwner& owner;
  idempotency::KeyTable table;
  core::InstanceName self;
  core::Incarnation incarnation;
  KeyedAnswerLimits answers;
  inventory::ConfigurationPtr configuration;
  std::unordered_map<core::CallId, KeyRun> runs;
  std::unordered_map<core::CallId, idempotency::Key> waiting;
  std::priority_queue<Patience, std::vector<Patience>, std::greater<>> patience;
};

}  // namespace trefoilbend::callers::internal

#endif  // TREFOILBEND_CALLERS_INTERNAL_KEYED_CALLS_H_
