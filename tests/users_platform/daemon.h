#ifndef TREFOILBEND_TESTS_USERS_PLATFORM_DAEMON_H_
#define TREFOILBEND_TESTS_USERS_PLATFORM_DAEMON_H_

#include <cstddef>
#include <memory>

#include "trefoilbend/settings/document.h"

namespace trefoilbend::tests {

/** @brief An entry that runs as a process of its own, as on the platform. */
class Daemon {
 public:
  /**
   * @brief Starts the process.
   * @param settings Settings of the entry.
   */
  explicit Daemon(const settings::Document& settings);
  /** @brief Kills the process. */
  ~Daemon();

  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /**
   * @brief Sends a signal to the process.
   * @param signal Signal, such as SIGTERM.
   */
  void Signal(int signal);

  /** @return Whether the process has not ended yet. */
  [[nodiscard]] bool IsRunning();

  /** @return Greatest memory that the process has held so far, in bytes. */
  [[nodiscard]] std::size_t PeakMemory() const;

 private:
  struct State;

  std::unique_ptr<State> state;
};

}  // namespace trefoilbend::tests

#endif  // TREFOILBEND_TESTS_USERS_PLATFORM_DAEMON_H_
