#ifndef TREFOILBEND_TESTS_FLEET_FLEET_H_
#define TREFOILBEND_TESTS_FLEET_FLEET_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "trefoilbend/http/address.h"
#include "trefoilbend/http/client.h"

namespace trefoilbend::tests {

/** @brief Result of a command that has ended. */
struct CommandResult {
  /** @brief Exit code. */
  int exit_code{};
  /** @brief Standard output and standard error. */
  std::string output;
};

/** @brief A load driver that runs beside the test. */
class Driver {
 public:
  virtual ~Driver() = default;

  /**
   * @brief Waits until the driver ends.
   * @return The driver's report.
   */
  [[nodiscard]] virtual nlohmann::json Report() = 0;
};

/**
 * @brief Real processes on loopback addresses of their own: a platform, targets
 * and entries.
 *
 * Instances are named entry-1, entry-2, ..., stock-1, stock-2, ... and
 * platform. All processes end with the fleet.
 */
class Fleet {
 public:
  /** @brief Assembles a fleet. */
  class Builder;

  ~Fleet();

  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /** @return Address that serves callers or calls. */
  [[nodiscard]] http::Address AddressOf(const std::string& instance) const;

  /** @return Operations address of an entry. */
  [[nodiscard]] http::Address OperationsOf(const std::string& entry) const;

  /** @return Folder of the fleet's files. */
  [[nodiscard]] const std::string& Folder() const noexcept;

  /**
   * @brief Starts an instance that is not running.
   * @param instance Name of the instance.
   * @param arguments Further arguments of the program.
   */
  void Start(const std::string& instance,
             const std::vector<std::string>& arguments = {});

  /**
   * @brief Sends a signal to an instance.
   * @param instance Name of the instance.
   * @param signal Signal, such as SIGKILL, SIGSTOP or SIGCONT.
   */
  void Signal(const std::string& instance, int signal);

  /**
   * @brief Waits until a process has ended.
   * @param instance Name of the instance.
   * @return Its exit code.
   */
  [[nodiscard]] int AwaitExit(const std::string& instance);

  /**
   * @brief Tells whether an instance's process has not ended yet.
   * @param instance Name of the instance.
   * @return True while it runs, also when it is frozen.
   */
  [[nodiscard]] bool IsRunning(const std::string& instance);

  /**
   * @brief Sets an instance's state in the platform's list.
   * @param instance Name of the instance.
   * @param state live, leaving or gone.
   */
  void List(const std::string& instance, const std::string& state);

  /**
   * @brief Switches a fault of the platform or of a target.
   * @param instance Name of the instance.
   * @param fault Name of the fault.
   * @param value Value of the fault; 0 switches it off.
   */
  void Fault(const std::string& instance, const std::string& fault,
             std::int64_t value);

  /**
   * @brief Reads what a stand-in has counted.
   * @param instance Name of a target or platform.
   * @return The counts.
   */
  [[nodiscard]] nlohmann::json Counts(const std::string& instance) const;

  /**
   * @brief Reads an entry's status.
   * @param entry Name of the entry.
   * @return The status, or null if the entry does not answer.
   */
  [[nodiscard]] nlohmann::json StatusOf(const std::string& entry) const;

  /**
   * @brief Sends one request and waits for its result.
   * @param server Address of the server.
   * @param request Request to send.
   * @return The result.
   */
  [[nodiscard]] static http::ResponseOutcome Send(const http::Address& server,
                                                  http::Request request);

  /**
   * @brief Runs trefoilctl.
   * @param arguments Arguments of the command.
   * @return What came of it.
   */
  [[nodiscard]] static CommandResult Control(
      const std::vector<std::string>& arguments);

  /**
   * @brief Starts a load driver that asks all entries.
   * @param arguments Arguments such as --rate 400 --seconds 5.
   * @return The driver.
   */
  [[nodiscard]] std::unique_ptr<Driver> Drive(
      const std::vector<std::string>& arguments) const;

  /**
   * @brief Waits for a condition.
   * @param condition Condition that is polled.
   * @param limit Longest wait.
   * @return Whether the condition came true.
   */
  [[nodiscard]] static bool Await(
      const std::function<bool()>& condition,
      std::chrono::milliseconds limit = std::chrono::seconds{20});

  /** @return Number of entries. */
  [[nodiscard]] std::size_t Entries() const noexcept;

  /** @return Number of targets. */
  [[nodiscard]] std::size_t Targets() const noexcept;

 private:
  struct State;

  explicit Fleet(std::unique_ptr<State> state);

  std::unique_ptr<State> state;
};

/** @brief Assembles a fleet. */
class Fleet::Builder {
 public:
  /**
   * @brief Sets the number of entries.
   * @param count Number of entries.
   * @return This builder.
   */
  Builder& WithEntries(std::size_t count) {
    this->entries = count;
    return *this;
  }

  /**
   * @brief Sets the number of targets and the arguments of their programs.
   * @param count Number of targets.
   * @param arguments Arguments such as --service-us 5000.
   * @return This builder.
   */
  Builder& WithTargets(std::size_t count,
                       std::vector<std::string> arguments = {}) {
    this->targets = count;
    this->target_arguments = std::move(arguments);
    return *this;
  }

  /**
   * @brief Sets how many connections the register gives each target.
   * @param count Number of connections.
   * @return This builder.
   */
  Builder& WithConnections(std::uint32_t count) {
    this->connections = count;
    return *this;
  }

  /**
   * @brief Sets how many of the last targets run version 2.
   * @param count Number of targets.
   * @return This builder.
   */
  Builder& WithNewVersion(std::size_t count) {
    this->new_targets = count;
    return *this;
  }

  /**
   * @brief Adds lines to the settings of every entry.
   * @param flag One setting in the form SECTION.KEY=VALUE.
   * @return This builder.
   */
  Builder& WithSetting(std::string flag) {
    this->settings.push_back(std::move(flag));
    return *this;
  }

  /**
   * @brief Adds text to the rules.
   * @param text Sections in INI.
   * @return This builder.
   */
  Builder& WithRules(const std::string& text) {
    this->rules += text;
    return *this;
  }

  /** @return The fleet, with its configuration in force on all entries. */
  [[nodiscard]] std::unique_ptr<Fleet> Build();

 private:
  std::size_t entries = 3;
  std::size_t targets = 4;
  std::size_t new_targets = 0;
  std::uint32_t connections = 200;
  std::vector<std::string> target_arguments;
  std::vector<std::string> settings;
  std::string rules;
};

}  // namespace trefoilbend::tests

#endif  // TREFOILBEND_TESTS_FLEET_FLEET_H_
