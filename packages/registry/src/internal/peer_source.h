#ifndef TREFOILBEND_REGISTRY_INTERNAL_PEER_SOURCE_H_
#define TREFOILBEND_REGISTRY_INTERNAL_PEER_SOURCE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <optional>
#include <vector>

#include "trefoilbend/core/log.h"
#include "trefoilbend/core/ring.h"
#include "trefoilbend/feed/messages.h"
#include "trefoilbend/feed/source_plan.h"
#include "trefoilbend/inventory/objects.h"

namespace trefoilbend::registry::internal {

/** @brief What a source of news needs of the duty that carries it. */
class PeerSourceOwner {
 public:
  virtual ~PeerSourceOwner() = default;

  /** @return Positions up to which the tables are known. */
  [[nodiscard]] virtual std::vector<platform::Position> KnownPositions()
      const = 0;

  /**
   * @brief Takes what a peer has told.
   * @param heard What the peer knows.
   * @return False if the peer knows the store in an earlier era only.
   */
  [[nodiscard]] virtual bool Hear(const feed::Heard& heard) = 0;

  /**
   * @brief Takes what a peer had in force before the store came back from an
   * older copy.
   * @param earlier What it had; nothing if the peer has not told it.
   */
  virtual void HearEarlier(const std::optional<feed::EarlierEra>& earlier) = 0;

  /** @brief Watches the store from now on. */
  virtual void ReadStore() = 0;

  /** @brief Watches the store no longer, since a peer tells its news. */
  virtual void LeaveStoreToPeer() = 0;
};

/** @brief Listens to a peer that reads the store, or has the store read. */
class PeerSource {
 public:
  /**
   * @brief Makes a source that does nothing before it is configured.
   * @param owner Duty that carries it and outlives it.
   * @param context Event loop of the duty.
   * @param self This entry.
   */
  PeerSource(PeerSourceOwner& owner, boost::asio::io_context& context,
             const inventory::Instance& self);

  /**
   * @brief Sets the ring to the duty that asks peers.
   * @param ring Ring that outlives the source.
   */
  void Start(core::Ring<feed::ToFeed>& ring);

  /**
   * @brief Takes the live entries.
   * @param live Live entries, this one among them.
   */
  void Configure(const std::vector<feed::Candidate>& live);

  /**
   * @brief Asks a peer for what was in force before the store came back, before
   * anything else is asked.
   * @param peer Peer to ask.
   */
  void AskEarlier(const feed::Candidate& peer);

  /** @return Whether an answer to AskEarlier is still to come. */
  [[nodiscard]] bool AsksEarlier() const noexcept { return this->asks_earlier; }

  /**
   * @brief Takes the answer of a peer.
   * @param answer Answer to take.
   */
  void Take(const feed::Answer& answer);

  /** @return Whether this entry reads the store for others. */
  [[nodiscard]] bool ReadsForPeers() const noexcept {
    return this->plan.IsReader() && this->plan.HasListeners();
  }

 private:
  enum class Mode : std::uint8_t { kUndecided, kReads, kListens };

  void Decide();
  void GiveUpEarlier();
  void BeginReading(const char* why);
  void BeginListening(const feed::Candidate& peer);
  void AskAgain();
  void Send(const feed::Candidate& peer, std::chrono::milliseconds wait,
            bool wants_earlier = false);
  /** Whether peers may be asked by now which entries read. */
  [[nodiscard]] bool HasStarted() const;
  void OnHeard(const feed::Heard& heard);
  void OnFailed(const char* why);
  void AwaitStale();
  void TryLater();

  PeerSourceOwner& owner;
  feed::SourcePlan plan;
  core::Ring<feed::ToFeed>* feed{};
  Mode mode = Mode::kUndecided;
  /** Number of the question under way; answers to others are passed over. */
  feed::AskId asked;
  bool waits_for_answer = false;
  bool asks_earlier = false;
  feed::Candidate peer;
  boost::asio::steady_timer start_timer;
  boost::asio::steady_timer stale_timer;
  boost::asio::steady_timer retry_timer;
  core::Log log{"registry"};
};

}  // namespace trefoilbend::registry::internal

#endif  // TREFOILBEND_REGISTRY_INTERNAL_PEER_SOURCE_H_
