#include "internal/feed_outbox.h"

#include <chrono>
#include <utility>

namespace trefoilbend::registry::internal {

namespace {

constexpr std::chrono::milliseconds kRetry{20};

}  // namespace

void FeedOutbox::Start(core::Ring<feed::ToFeed>& target) {
  this->ring = &target;
  this->Flush();
}

void FeedOutbox::Send(feed::ToFeed message) {
  this->waiting.push_back(std::move(message));
  this->Flush();
}

void FeedOutbox::Flush() {
  while (this->ring != nullptr && !this->waiting.empty()) {
    if (!this->ring->TryPush(std::move(this->waiting.front()))) {
      this->timer.expires_after(kRetry);
      this->timer.async_wait([this](const boost::system::error_code error) {
        if (!error) {
          this->Flush();
        }
      });
      return;
    }
    this->waiting.pop_front();
  }
}

}  // namespace trefoilbend::registry::internal
