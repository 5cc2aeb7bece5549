#ifndef TREFOILBEND_ROLLOUT_COORDINATOR_H_
#define TREFOILBEND_ROLLOUT_COORDINATOR_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "trefoilbend/configuration/messages.h"
#include "trefoilbend/core/clock.h"
#include "trefoilbend/platform/messages.h"
#include "trefoilbend/rollout/brakes.h"
#include "trefoilbend/rollout/controller.h"
#include "trefoilbend/rollout/evidence_book.h"

namespace trefoilbend::rollout {

/** @brief The controller's lease as this entry holds it now. */
struct HeldLease {
  /** @brief Epoch of the lease. */
  std::uint64_t epoch{};
  /** @brief Condition that fences writes against a later holder. */
  platform::Condition fence;
};

/** @brief What the coordinator wants done. */
struct Orders {
  /** @brief Releases to stop at this entry at once. */
  std::vector<ReleaseId> brakes;
  /** @brief Changes to commit. */
  std::vector<configuration::ChangeRequest> changes;
};

/**
 * @brief Decides about all releases at one entry.
 *
 * Every entry brakes on its own evidence, on its peers' brakes, and without the
 * platform. The holder of the lease also merges evidence and moves releases.
 */
class Coordinator {
 public:
  /**
   * @brief Makes a coordinator that knows no release.
   * @param pace How fast releases may go.
   */
  explicit Coordinator(const Pace pace = Pace::kCareful) : pace(pace) {}

  /**
   * @brief Puts a configuration into force.
   * @param update Configuration and list of instances.
   * @param now Current time.
   */
  void Configure(configuration::Update update, core::TimePoint now);

  /**
   * @brief Takes this entry's counts.
   * @param windows Counts of a short time.
   * @param now Current time.
   */
  void TakeLocal(const Windows& windows, core::TimePoint now);

  /**
   * @brief Takes a peer's counts, which matter to the holder of the lease.
   * @param windows Counts of a short time.
   */
  void TakePeer(const Windows& windows);

  /**
   * @brief Takes a peer's brakes.
   * @param peer Brakes of the peer.
   */
  void TakeBrakes(const Brakes::Reasons& peer);

  /**
   * @brief Takes note of the end of a change, so that the next may be sent.
   * @param result Result of a change that Decide asked for.
   */
  void Finish(const configuration::ChangeResult& result);

  /**
   * @brief Decides what is to be done now.
   * @param lease Lease of the controller; nothing if it is not held for
   * certain.
   * @param now Current time.
   * @param wall Current wall-clock time.
   * @return Brakes and changes.
   */
  [[nodiscard]] Orders Decide(const std::optional<HeldLease>& lease,
                              core::TimePoint now,
                              std::chrono::sys_seconds wall);

  /** @return Whether a release is under way, or the store has lost one. */
  [[nodiscard]] bool HasWork() const noexcept {
    return !this->states.empty() || !this->update.lost_releases.empty();
  }

  /** @return Brakes that this entry knows, to be passed on. */
  [[nodiscard]] const Brakes& KnownBrakes() const noexcept {
    return this->brakes;
  }

  /**
   * @brief Returns what keeps a release from being done in time.
   * @param service Service of the release.
   * @return Sentences for operators; empty away from the holder of the lease.
   */
  [[nodiscard]] std::vector<std::string> ConcernsOf(
      const core::ServiceName& service) const;

 private:
  struct State {
    ReleaseId id;
    FaultDetector local;
    FaultDetector fleet;
    Window merged;
    std::unique_ptr<Controller> controller;
    std::uint64_t epoch{};
    std::optional<configuration::RequestId> pending;
  };

  void Brake(const ReleaseId& release, const std::string& why);
  void BrakeOn(const FaultDetector& detector, const ReleaseId& release);
  void WatchWithoutLease(State& state, core::TimePoint now);
  void Control(State& state, const HeldLease& lease, const Situation& situation,
               Orders& orders);
  /** Writes the releases again that the store has lost, as they are. */
  void Restore(const HeldLease& lease, Orders& orders);
  /** Whether a release is not as known in the store, so that no step of it can
   * follow. */
  [[nodiscard]] bool IsLost(const core::ServiceName& service) const;
  [[nodiscard]] configuration::ChangeRequest RequestFor(const Verdict& verdict,
                                                        const HeldLease& lease);
  [[nodiscard]] Capacity CapacityOf(const inventory::Release& release) const;

  Pace pace;
  configuration::Update update;
  std::map<core::ServiceName, State> states;
  Brakes brakes;
  std::vector<ReleaseId> fresh_brakes;
  /** Requests under way that write a lost release again. */
  std::map<core::ServiceName, configuration::RequestId> restoring;
  configuration::RequestId last_request;
};

}  // namespace trefoilbend::rollout

#endif  // TREFOILBEND_ROLLOUT_COORDINATOR_H_
