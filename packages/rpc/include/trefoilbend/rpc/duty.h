#ifndef TREFOILBEND_RPC_DUTY_H_
#define TREFOILBEND_RPC_DUTY_H_

#include <kj/async-io.h>

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "trefoilbend/core/ring.h"

namespace trefoilbend::rpc {

/**
 * @brief A thread with Cap'n Proto's event loop that carries one duty.
 *
 * Cap'n Proto brings its own loop, so its objects live and die on this thread;
 * other duties reach it by rings.
 */
class Duty {
 public:
  /** @brief Runs on the duty's thread before the loop; keeps what must live. */
  using Begin = std::function<kj::Own<void>(kj::AsyncIoContext&)>;

  /**
   * @brief Makes a duty that does not run yet.
   * @param name Name of the thread, 15 characters at most.
   */
  explicit Duty(std::string name);

  Duty(const Duty&) = delete;
  Duty& operator=(const Duty&) = delete;

  /** @brief Stops the duty if it still runs. */
  ~Duty();

  /**
   * @brief Makes this duty the reader of a ring; called before the duty starts.
   * @param ring Ring that outlives the duty.
   * @param handler Function that takes each message on the duty's thread.
   */
  template <typename Message, typename Handler>
  void Read(core::Ring<Message>& ring, Handler handler) {
    this->drains.push_back([&ring, handler] { ring.Drain(handler); });
    ring.SetWake([this] { this->Wake(); });
  }

  /**
   * @brief Starts the thread.
   * @param begin Makes the duty's state; what it returns is destroyed on the
   * duty's thread after the loop.
   */
  void Start(Begin begin);

  /** @brief Stops the event loop and waits for the thread to end. */
  void Stop();

 private:
  void Run(const Begin& begin);
  void Wake() const;

  std::string name;
  int event;
  std::atomic<bool> stopping{};
  std::vector<std::function<void()>> drains;
  std::thread thread;
};

}  // namespace trefoilbend::rpc

#endif  // TREFOILBEND_RPC_DUTY_H_
