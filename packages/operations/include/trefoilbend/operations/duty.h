#ifndef TREFOILBEND_OPERATIONS_DUTY_H_
#define TREFOILBEND_OPERATIONS_DUTY_H_

#include <chrono>
#include <memory>
#include <string>
#include <variant>

#include "trefoilbend/configuration/messages.h"
#include "trefoilbend/core/name.h"
#include "trefoilbend/core/outcome.h"
#include "trefoilbend/core/ring.h"
#include "trefoilbend/http/address.h"
#include "trefoilbend/membership/messages.h"
#include "trefoilbend/operations/operators.h"

namespace prometheus {
class Registry;
}  // namespace prometheus

namespace trefoilbend::operations {

/** @brief Options of the operations duty. */
struct Options {
  /** @brief Name of this entry. */
  core::InstanceName self;
  /** @brief Address that serves operators. */
  http::Address address;
  /** @brief Who may change the configuration. */
  Operators operators;
  /** @brief Address of the platform, which keeps the audit trail. */
  http::Address platform;
  /** @brief Longest wait for an answer of the platform. */
  std::chrono::milliseconds platform_timeout{1'000};
};

/** @brief Rings that the operations duty writes to. */
struct Outlets {
  /** @brief Requests for the duty that commits changes. */
  core::Ring<configuration::ChangeRequest>* configuration{};
};

/** @brief Duty that talks to operators. */
class OperationsDuty {
 public:
  /**
   * @brief Makes the duty; it runs after Start.
   * @param options Options of the duty.
   * @param registry Metrics that the duty shows; outlives the duty.
   */
  OperationsDuty(Options options, const prometheus::Registry& registry);
  ~OperationsDuty();

  OperationsDuty(const OperationsDuty&) = delete;
  OperationsDuty& operator=(const OperationsDuty&) = delete;

  /** @return Ring for results of changes. */
  [[nodiscard]] core::Ring<configuration::ChangeResult>& ResultInlet() noexcept;

  /** @return Ring for configurations. */
  [[nodiscard]] core::Ring<configuration::Update>&
  ConfigurationInlet() noexcept;

  /** @return Ring for what is known of the fleet. */
  [[nodiscard]] core::Ring<membership::View>& ViewInlet() noexcept;

  /**
   * @brief Starts the duty.
   * @param outlets Rings to write to.
   * @return Nothing, or the reason why the address cannot be used.
   */
  [[nodiscard]] core::Outcome<std::monostate, std::string> Start(
      Outlets outlets);

  /** @brief Stops the duty. */
  void Stop();

 private:
  class Loop;

  std::unique_ptr<Loop> loop;
};

}  // namespace trefoilbend::operations

#endif  // TREFOILBEND_OPERATIONS_DUTY_H_
