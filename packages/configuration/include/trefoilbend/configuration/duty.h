#ifndef TREFOILBEND_CONFIGURATION_DUTY_H_
#define TREFOILBEND_CONFIGURATION_DUTY_H_

#include <chrono>
#include <memory>
#include <vector>

#include "trefoilbend/configuration/messages.h"
#include "trefoilbend/core/name.h"
#include "trefoilbend/core/ring.h"
#include "trefoilbend/http/address.h"

namespace trefoilbend::configuration {

/** @brief Options of the configuration duty. */
struct Options {
  /** @brief Name of this entry. */
  core::InstanceName self;
  /** @brief Address of the platform. */
  http::Address platform;
  /** @brief Longest wait for an answer of the platform. */
  std::chrono::milliseconds timeout{1'000};
  /** @brief Time between two looks for new revisions and at the list of
   * instances. */
  std::chrono::milliseconds poll{500};
};

/** @brief Rings that the configuration duty writes to. */
struct Outlets {
  /** @brief Duties that follow the configuration. */
  std::vector<core::Ring<Update>*> followers;
  /** @brief Results for the duty that talks to operators. */
  core::Ring<ChangeResult>* operations{};
  /** @brief What the duty that talks to the peers needs; may be null. */
  core::Ring<Progress>* membership{};
  /** @brief Results for the duty that changes objects by itself; may be null
   * if no such duty sends requests. */
  core::Ring<ChangeResult>* automation{};
};

/** @brief Duty that follows the platform's revisions and commits operators'
 * changes. */
class ConfigurationDuty {
 public:
  /**
   * @brief Makes the duty; it runs after Start.
   * @param options Options of the duty.
   */
  explicit ConfigurationDuty(Options options);
  ~ConfigurationDuty();

  ConfigurationDuty(const ConfigurationDuty&) = delete;
  ConfigurationDuty& operator=(const ConfigurationDuty&) = delete;

  /** @return Ring for operators' requests. */
  [[nodiscard]] core::Ring<ChangeRequest>& OperationsInlet() noexcept;

  /** @return Ring for requests of a duty of this process, such as rollout. */
  [[nodiscard]] core::Ring<ChangeRequest>& AutomationInlet() noexcept;

  /** @return Ring for revisions that peers have passed on. */
  [[nodiscard]] core::Ring<PeerRevisions>& PeersInlet() noexcept;

  /**
   * @brief Starts the duty.
   * @param outlets Rings to write to.
   */
  void Start(Outlets outlets);

  /** @brief Stops the duty. */
  void Stop();

 private:
  class Loop;

  std::unique_ptr<Loop> loop;
};

}  // namespace trefoilbend::configuration

#endif  // TREFOILBEND_CONFIGURATION_DUTY_H_
