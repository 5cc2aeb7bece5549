#include "trefoilbend/core/duty.h"

#include <pthread.h>

namespace trefoilbend::core {

Duty::Duty(std::string name)
    : name(std::move(name)),
      work(boost::asio::make_work_guard(this->context)) {}

Duty::~Duty() { this->Stop(); }

void Duty::Start() {
  this->thread = std::thread([this] {
    pthread_setname_np(pthread_self(), this->name.c_str());
    this->context.run();
  });
}

void Duty::Stop() {
  if (!this->thread.joinable()) {
    return;
  }
  this->context.stop();
  this->thread.join();
}

}  // namespace trefoilbend::core
