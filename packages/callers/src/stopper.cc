#include "internal/stopper.h"

#include <chrono>
#include <utility>

namespace trefoilbend::callers::internal {

namespace {

constexpr std::chrono::milliseconds kPoll{20};
/** Time for the last answers to leave before the process ends. */
constexpr std::chrono::milliseconds kLastWrites{100};

core::TimePoint Now() noexcept { return std::chrono::steady_clock::now(); }

}  // namespace

void Stopper::Begin(std::function<void()> done) {
  this->done = std::move(done);
  this->plan.Begin(Now());
  this->timer.expires_at(this->plan.ServesUntil());
  this->timer.async_wait([this](const boost::system::error_code error) {
    if (!error) {
      this->owner.StopAccepting();
      this->AwaitLastCall();
    }
  });
}

void Stopper::AwaitLastCall() {
  this->owner.CloseIdleSessions();
  if (this->owner.IsIdle()) {
    this->Finish();
  } else if (Now() >= this->plan.AnswersUntil()) {
    this->owner.GiveUpCalls();
    this->After(kLastWrites, &Stopper::Finish);
  } else {
    this->After(kPoll, &Stopper::AwaitLastCall);
  }
}

void Stopper::After(const core::Duration delay, void (Stopper::*step)()) {
  this->timer.expires_after(delay);
  this->timer.async_wait([this, step](const boost::system::error_code error) {
    if (!error) {
      (this->*step)();
    }
  });
}

void Stopper::Finish() { std::exchange(this->done, nullptr)(); }

}  // namespace trefoilbend::callers::internal
