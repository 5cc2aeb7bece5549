#ifndef TREFOILBEND_MEMBERSHIP_DUTY_H_
#define TREFOILBEND_MEMBERSHIP_DUTY_H_

#include <memory>
#include <vector>

#include "trefoilbend/configuration/messages.h"
#include "trefoilbend/core/name.h"
#include "trefoilbend/core/ring.h"
#include "trefoilbend/http/address.h"
#include "trefoilbend/membership/member_table.h"
#include "trefoilbend/membership/messages.h"

namespace trefoilbend::membership {

/** @brief Options of the membership duty. */
struct Options {
  /** @brief Name of this entry. */
  core::InstanceName self;
  /** @brief Run of this process. */
  core::Incarnation incarnation;
  /** @brief Peers to ask for the configuration while there is none. */
  std::vector<http::Address> seeds;
  /** @brief Times and bounds. */
  MembershipLimits limits;
};

/** @brief Order to tell the peers that this entry is about to stop. */
struct Leave {};

/** @brief Rings that the membership duty writes to. */
struct Outlets {
  /** @brief Duties that follow the state of the fleet. */
  std::vector<core::Ring<View>*> followers;
  /** @brief Revisions for the duty that follows the configuration. */
  core::Ring<configuration::PeerRevisions>* configuration{};
};

/** @brief Duty that exchanges heartbeats and revisions with the peers. */
class MembershipDuty {
 public:
  /**
   * @brief Makes the duty; it runs after Start.
   * @param options Options of the duty.
   */
  explicit MembershipDuty(Options options);
  ~MembershipDuty();

  MembershipDuty(const MembershipDuty&) = delete;
  MembershipDuty& operator=(const MembershipDuty&) = delete;

  /** @return Ring for what the configuration duty has learnt. */
  [[nodiscard]] core::Ring<configuration::Progress>&
  ConfigurationInlet() noexcept;

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

}  // namespace trefoilbend::membership

#endif  // TREFOILBEND_MEMBERSHIP_DUTY_H_
