#ifndef TREFOILBEND_REGISTRY_DUTY_H_
#define TREFOILBEND_REGISTRY_DUTY_H_

#include <chrono>
#include <memory>
#include <vector>

#include "trefoilbend/configuration/messages.h"
#include "trefoilbend/core/ring.h"
#include "trefoilbend/feed/messages.h"
#include "trefoilbend/inventory/objects.h"
#include "trefoilbend/membership/messages.h"
#include "trefoilbend/platform/store.h"
#include "trefoilbend/registry/row_codec.h"

namespace prometheus {
class Registry;
}  // namespace prometheus

namespace trefoilbend::registry {

/** @brief Options of the registry duty. */
struct Options {
  /** @brief This entry, as it registers itself. */
  inventory::Instance self;
  /** @brief Makes the client of the store. */
  platform::WatchedStoreFactory store;
  /** @brief Reads the rows of operators and targets. */
  std::shared_ptr<const RowCodec> codec;
  /** @brief Longest time that the store waits for a change. */
  std::chrono::milliseconds watch{10'000};
};

/** @brief Rings that the registry duty writes to. */
struct Outlets {
  /** @brief Duties that follow the configuration. */
  std::vector<core::Ring<configuration::Update>*> followers;
  /** @brief What this entry learns of the store, and its questions to peers. */
  core::Ring<feed::ToFeed>* feed{};
  /** @brief What the duty that talks to the peers needs. */
  core::Ring<configuration::Progress>* membership{};
  /** @brief How well the targets are known, for the duty that chooses them;
   * may be null. */
  core::Ring<configuration::TargetKnowledge>* choosing{};
  /** @brief Results for the duty that moves releases. */
  core::Ring<configuration::ChangeResult>* automation{};
};

/** @brief Order to take this entry's registration back. */
struct Leave {};

/** @brief Duty that follows a store in which operators, targets and entries
 * write, and registers this entry there. */
class RegistryDuty {
 public:
  /**
   * @brief Makes the duty; it runs after Start.
   * @param options Options of the duty.
   * @param metrics Takes the duty's metrics.
   */
  RegistryDuty(Options options, prometheus::Registry& metrics);
  ~RegistryDuty();

  RegistryDuty(const RegistryDuty&) = delete;
  RegistryDuty& operator=(const RegistryDuty&) = delete;

  /** @return Ring for requests of the duty that moves releases. */
  [[nodiscard]] core::Ring<configuration::ChangeRequest>&
  AutomationInlet() noexcept;

  /** @return Ring for configurations that peers have passed on. */
  [[nodiscard]] core::Ring<configuration::PeerRevisions>& PeersInlet() noexcept;

  /** @return Ring for what is known of the peers. */
  [[nodiscard]] core::Ring<membership::View>& MembershipInlet() noexcept;

  /** @return Ring for the answers of peers to questions of the feed. */
  [[nodiscard]] core::Ring<feed::Answer>& FeedInlet() noexcept;

  /** @return Ring for the order to leave. */
  [[nodiscard]] core::Ring<Leave>& LeaveInlet() noexcept;

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

}  // namespace trefoilbend::registry

#endif  // TREFOILBEND_REGISTRY_DUTY_H_
