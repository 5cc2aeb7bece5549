#ifndef TREFOILBEND_CALLERS_INTERNAL_STOPPER_H_
#define TREFOILBEND_CALLERS_INTERNAL_STOPPER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "trefoilbend/callers/stop_plan.h"

namespace trefoilbend::callers::internal {

/** @brief What a planned stop needs of the duty that it ends. */
class StopperOwner {
 public:
  virtual ~StopperOwner() = default;

  /** @brief Accepts no more connections. */
  virtual void StopAccepting() = 0;

  /** @brief Closes the connections that wait for a request. */
  virtual void CloseIdleSessions() = 0;

  /** @return Whether no call and no connection is open. */
  [[nodiscard]] virtual bool IsIdle() const noexcept = 0;

  /** @brief Answers the calls that would be cut without a word. */
  virtual void GiveUpCalls() = 0;
};

/** @brief Leads the duty through a planned stop, step by step. */
class Stopper {
 public:
  /**
   * @brief Makes a stopper that has not begun.
   * @param owner Duty that stops; outlives the stopper.
   * @param context Event loop of the duty.
   * @param times Times of the stop.
   */
  Stopper(StopperOwner& owner, boost::asio::io_context& context,
          const StopTimes& times)
      : owner(owner), plan(times), timer(context) {}

  /**
   * @brief Begins the stop.
   * @param done Called once, when all calls have ended or the grace ends.
   */
  void Begin(std::function<void()> done);

  /** @return What the stop allows. */
  [[nodiscard]] const StopPlan& Plan() const noexcept { return this->plan; }

 private:
  void AwaitLastCall();
  void After(core::Duration delay, void (Stopper::*step)());
  void Finish();

  StopperOwner& owner;
  StopPlan plan;
  boost::asio::steady_timer timer;
  std::function<void()> done;
};

}  // namespace trefoilbend::callers::internal

#endif  // TREFOILBEND_CALLERS_INTERNAL_STOPPER_H_
