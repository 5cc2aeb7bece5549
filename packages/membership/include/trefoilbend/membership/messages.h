#ifndef TREFOILBEND_MEMBERSHIP_MESSAGES_H_
#define TREFOILBEND_MEMBERSHIP_MESSAGES_H_

#include <cstdint>
#include <vector>

#include "trefoilbend/core/name.h"
#include "trefoilbend/core/number.h"

namespace trefoilbend::membership {

/** @brief What this entry believes of a peer. */
enum class PeerState : std::uint8_t { kAlive, kSuspect, kLeaving, kDead };

/** @brief A peer as this entry knows it. */
struct Peer {
  /** @brief Name of the peer. */
  core::InstanceName name;
  /** @brief Run of the peer's process. */
  core::Incarnation incarnation;
  /** @brief What this entry believes of it. */
  PeerState state = PeerState::kAlive;
  /** @brief Newest revision that it has in force. */
  core::Revision revision;

  [[nodiscard]] bool operator==(const Peer&) const = default;
};

/** @brief What this entry knows of the fleet, sent when it changes. */
struct View {
  /** @brief Run of this entry's process. */
  core::Incarnation self;
  /** @brief All peers of the configuration but this entry. */
  std::vector<Peer> peers;
  /**
   * @brief Whether this entry's configuration is known to be current, from the
   * platform or from contact with most of its peers.
   */
  bool current{};

  [[nodiscard]] bool operator==(const View&) const = default;
};

}  // namespace trefoilbend::membership

#endif  // TREFOILBEND_MEMBERSHIP_MESSAGES_H_
