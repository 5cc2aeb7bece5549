#include "internal/publisher.h"

#include <chrono>
#include <cstddef>
#include <utility>

namespace trefoilbend::registry::internal {

namespace {

constexpr std::chrono::milliseconds kRetry{50};

}  // namespace

void Publisher::Start(std::vector<core::Ring<configuration::Update>*> rings) {
  this->followers = std::move(rings);
  this->delivered.assign(this->followers.size(), true);
}

void Publisher::Publish(configuration::Update next) {
  this->update = std::move(next);
  this->delivered.assign(this->followers.size(), false);
  this->Deliver();
}

void Publisher::Deliver() {
  bool all = true;
  for (std::size_t at = 0; at < this->delivered.size(); ++at) {
    if (!this->delivered[at]) {
      this->delivered[at] =
          this->followers[at]->TryPush(configuration::Update{this->update});
    }
    all = all && this->delivered[at];
  }
  if (all) {
    return;
  }
  this->timer.expires_after(kRetry);
  this->timer.async_wait([this](const boost::system::error_code error) {
    if (!error) {
      this->Deliver();
    }
  });
}

}  // namespace trefoilbend::registry::internal
