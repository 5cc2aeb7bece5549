#ifndef TREFOILBEND_ROLLOUT_PEERS_DUTY_H_
#define TREFOILBEND_ROLLOUT_PEERS_DUTY_H_

#include <memory>
#include <optional>
#include <vector>

#include "trefoilbend/core/ring.h"
#include "trefoilbend/http/address.h"
#include "trefoilbend/rollout/brakes.h"
#include "trefoilbend/rollout/evidence_book.h"

namespace trefoilbend::rollout {

/** @brief Report for the peers of this entry. */
struct OutgoingReport {
  /** @brief Address on which this entry takes reports. */
  std::optional<http::Address> self;
  /** @brief Addresses of all peers, which get the brakes. */
  std::vector<http::Address> peers;
  /** @brief Addresses of those that may control releases, which get the
   * counts. */
  std::vector<http::Address> controllers;
  /** @brief All brakes that this entry knows. */
  Brakes::Reasons brakes;
  /** @brief Counts of this entry since its last report. */
  Windows windows;
};

/** @brief Report of a peer. */
struct PeerReport {
  /** @brief All brakes that the peer knows. */
  Brakes::Reasons brakes;
  /** @brief Counts of the peer since its last report. */
  Windows windows;
};

/** @brief Duty that exchanges reports with peers over Cap'n Proto. */
class PeersDuty {
 public:
  /** @brief Makes the duty; it runs after Start. */
  PeersDuty();
  ~PeersDuty();

  PeersDuty(const PeersDuty&) = delete;
  PeersDuty& operator=(const PeersDuty&) = delete;

  /** @return Ring for reports to send. */
  [[nodiscard]] core::Ring<OutgoingReport>& RolloutInlet() noexcept;

  /**
   * @brief Starts the duty.
   * @param rollout Ring for reports of peers.
   */
  void Start(core::Ring<PeerReport>& rollout);

  /** @brief Stops the duty. */
  void Stop();

 private:
  class Loop;

  std::unique_ptr<Loop> loop;
};

}  // namespace trefoilbend::rollout

#endif  // TREFOILBEND_ROLLOUT_PEERS_DUTY_H_
