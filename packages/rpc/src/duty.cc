#include "trefoilbend/rpc/duty.h"

#include <kj/async-unix.h>
#include <pthread.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <mutex>

#include "trefoilbend/core/invariant.h"

namespace trefoilbend::rpc {

namespace {

/** Orders the starts of duties, since kj makes its constants on first use. */
std::mutex& StartMutex() {
  static std::mutex mutex;
  return mutex;
}

}  // namespace

Duty::Duty(std::string name)
    : name(std::move(name)), event(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
  core::CheckInvariant(this->event >= 0, "the kernel gives an event");
}

Duty::~Duty() {
  this->Stop();
  close(this->event);
}

void Duty::Start(Begin begin) {
  this->thread =
      std::thread([this, begin = std::move(begin)] { this->Run(begin); });
}

void Duty::Stop() {
  if (!this->thread.joinable()) {
    return;
  }
  this->stopping = true;
  this->Wake();
  this->thread.join();
}

void Duty::Run(const Begin& begin) {
  pthread_setname_np(pthread_self(), this->name.c_str());
  std::unique_lock starting{StartMutex()};
  kj::AsyncIoContext io = kj::setupAsyncIo();
  kj::UnixEventPort::FdObserver observer(
      io.unixEventPort, this->event,
      kj::UnixEventPort::FdObserver::OBSERVE_READ);
  const kj::Own<void> state = begin(io);
  starting.unlock();
  while (!this->stopping) {
    observer.whenBecomesReadable().wait(io.waitScope);
    eventfd_t count{};
    eventfd_read(this->event, &count);
    for (const auto& drain : this->drains) {
      drain();
    }
  }
}

void Duty::Wake() const { eventfd_write(this->event, 1); }

}  // namespace trefoilbend::rpc
