#ifndef TREFOILBEND_CORE_DUTY_H_
#define TREFOILBEND_CORE_DUTY_H_

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <string>
#include <thread>
#include <utility>

#include "trefoilbend/core/ring.h"

namespace trefoilbend::core {

/** @brief A thread with an event loop that carries one duty of the process. */
class Duty {
 public:
  /**
   * @brief Makes a duty that does not run yet.
   * @param name Name of the thread, 15 characters at most.
   */
  explicit Duty(std::string name);

  Duty(const Duty&) = delete;
  Duty& operator=(const Duty&) = delete;

  /** @brief Stops the duty if it still runs. */
  ~Duty();

  /** @brief Starts the thread. */
  void Start();

  /** @brief Stops the event loop and waits for the thread to end. */
  void Stop();

  /** @return The event loop of the duty. */
  [[nodiscard]] boost::asio::io_context& Context() noexcept {
    return this->context;
  }

  /**
   * @brief Makes this duty the reader of a ring; called before the duty starts.
   * @param ring Ring that outlives the duty.
   * @param handler Function that takes each message on the duty's thread.
   */
  template <typename Message, typename Handler>
  void Read(Ring<Message>& ring, Handler handler) {
    ring.SetWake([this, &ring, handler] {
      boost::asio::post(this->context,
                        [&ring, handler] { ring.Drain(handler); });
    });
  }

 private:
  std::string name;
  boost::asio::io_context context{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
  std::thread thread;
};

}  // namespace trefoilbend::core

#endif  // TREFOILBEND_CORE_DUTY_H_
