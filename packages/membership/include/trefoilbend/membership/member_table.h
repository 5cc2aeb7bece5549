#ifndef TREFOILBEND_MEMBERSHIP_MEMBER_TABLE_H_
#define TREFOILBEND_MEMBERSHIP_MEMBER_TABLE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include "trefoilbend/core/clock.h"
#include "trefoilbend/core/name.h"
#include "trefoilbend/core/number.h"
#include "trefoilbend/http/address.h"
#include "trefoilbend/inventory/configuration.h"
#include "trefoilbend/membership/messages.h"

namespace trefoilbend::membership {

/** @brief Hash of a member's name in 32 bits, which stands for it between
 * peers. */
using MemberId = core::Number<struct MemberTag>;

/** @brief Count of a member's rounds since its process began. */
using Heartbeat = core::Number<struct HeartbeatTag>;

/** @brief What one entry tells another of a member. */
struct MemberRow {
  /** @brief Hash of the member's name. */
  MemberId id;
  /** @brief Run of the member's process. */
  core::Incarnation incarnation;
  /** @brief Newest heartbeat that was heard of. */
  Heartbeat heartbeat;
  /** @brief Whether the member is about to stop. */
  bool leaving{};
  /** @brief Newest revision that it has in force. */
  core::Revision revision;
  /** @brief Time since the member is known to have run, at most
   * MemberTable::kUnknownAge, which stands for no knowledge. */
  std::chrono::milliseconds age{};

  [[nodiscard]] bool operator==(const MemberRow&) const = default;
};

/** @brief Times and bounds of the membership. */
struct MembershipLimits {
  /** @brief Time between two rounds. */
  std::chrono::milliseconds round{500};
  /** @brief Age of the newest heartbeat at which a peer is suspected; longer in
   * a fleet with more entries than a round's messages have rows, in proportion.
   */
  std::chrono::milliseconds suspect{5'000};
  /** @brief Age of the newest heartbeat at which a peer is taken for dead;
   * longer in a large fleet like that for suspicion. */
  std::chrono::milliseconds dead{10'000};
  /** @brief Age up to which proof that a member has run, or an answer of the
   * platform, counts as contact. */
  std::chrono::milliseconds fresh{3'000};
  /** @brief Peers that are asked in one round. */
  std::size_t peers = 2;
  /** @brief Greatest number of rows in one message. */
  std::size_t rows = 32;
};

/**
 * @brief Decides what this entry believes of its peers.
 *
 * Each member raises its own heartbeat every round and tells a few others the
 * newest heartbeats that it knows. Suspicion comes from the age of the newest
 * heartbeat on this entry's clock, so nothing that a peer tells can be a false
 * accusation and no clocks are compared.
 */
class MemberTable {
 public:
  /** @brief Greatest age that a row tells. */
  static constexpr std::chrono::milliseconds kUnknownAge{65'535};

  /**
   * @brief Makes a table that knows no peers yet.
   * @param self Name of this entry.
   * @param incarnation Run of this process.
   * @param limits Times and bounds.
   * @param seed Seed of the choice of peers.
   */
  MemberTable(core::InstanceName self, core::Incarnation incarnation,
              MembershipLimits limits, std::uint64_t seed);

  /**
   * @brief Takes note of the configuration in force.
   * @param configuration Configuration; its entries are the members.
   * @param now Current time.
   */
  void Configure(inventory::ConfigurationPtr configuration,
                 core::TimePoint now);

  /**
   * @brief Takes note that the platform has answered.
   * @param sent Time at which it was asked.
   */
  void NotePlatform(core::TimePoint sent);

  /**
   * @brief Tells whether the platform's word is fresh, so that no peer's is
   * needed beside it.
   * @param now Current time.
   * @return Whether the platform has answered of late.
   */
  [[nodiscard]] bool HasFreshPlatform(core::TimePoint now) const noexcept {
    return this->platform && now - *this->platform < this->limits.fresh;
  }

  /** @brief Raises this entry's heartbeat; called once a round. */
  void Beat();

  /** @brief Marks this entry as about to stop. */
  void Leave() noexcept { this->self.leaving = true; }

  /**
   * @brief Chooses what to tell a peer.
   * @param now Current time.
   * @return This entry's row and those of the peers that were proven to run
   * most recently; equal ones are drawn at random.
   */
  [[nodiscard]] std::vector<MemberRow> Tell(core::TimePoint now);

  /**
   * @brief Takes what a peer told by itself. It proves no contact: the rows may
   * have waited in a socket while this process was frozen.
   * @param rows Rows of the peer; those of unknown members are ignored.
   * @param now Current time.
   */
  void Hear(const std::vector<MemberRow>& rows, core::TimePoint now);

  /**
   * @brief Takes what a peer answered.
   * @param rows Rows of the peer; those of unknown members are ignored.
   * @param asked Time at which this entry asked; the rows are not older.
   * @param now Current time.
   */
  void HearAnswer(const std::vector<MemberRow>& rows, core::TimePoint asked,
                  core::TimePoint now);

  /**
   * @brief Chooses peers at random among those that are not leaving, three
   * times of four those that seem alive first.
   * @param count Greatest number of peers.
   * @param now Current time.
   * @return Addresses of different peers.
   */
  [[nodiscard]] std::vector<http::Address> ChoosePeers(std::size_t count,
                                                       core::TimePoint now);

  /** @return Address of a peer that has a newer revision, or nothing. */
  [[nodiscard]] std::optional<http::Address> ChooseAhead();

  /**
   * @brief Returns what this entry believes of the fleet.
   * @param now Current time.
   * @return The view.
   */
  [[nodiscard]] View Observe(core::TimePoint now) const;

  /** @return Address on which this entry takes its peers' gossip, or nothing if
   * the configuration has none. */
  [[nodiscard]] std::optional<http::Address> OwnAddress() const;

 private:
  struct Member {
    core::InstanceName name;
    MemberRow row;
    std::optional<http::Address> address;
    core::TimePoint risen;
    std::optional<core::TimePoint> proven;
    bool heard{};
  };

  [[nodiscard]] PeerState StateOf(const Member& member,
                                  core::TimePoint now) const;
  [[nodiscard]] core::Duration Scale(std::chrono::milliseconds time) const;
  [[nodiscard]] bool IsCurrent(core::TimePoint now) const;
  [[nodiscard]] static std::chrono::milliseconds AgeOf(const Member& member,
                                                       core::TimePoint now);
  void HearOfSelf(const MemberRow& row);
  static bool Rises(const MemberRow& from, const MemberRow& to) noexcept;

  core::InstanceName name;
  MemberRow self;
  MembershipLimits limits;
  std::mt19937_64 random;
  inventory::ConfigurationPtr configuration;
  std::map<MemberId, Member> members;
  std::optional<core::TimePoint> platform;
};

}  // namespace trefoilbend::membership

#endif  // TREFOILBEND_MEMBERSHIP_MEMBER_TABLE_H_
