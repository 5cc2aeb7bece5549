#ifndef TREFOILBEND_FEED_SOURCE_PLAN_H_
#define TREFOILBEND_FEED_SOURCE_PLAN_H_

#include <chrono>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "trefoilbend/core/clock.h"
#include "trefoilbend/core/name.h"
#include "trefoilbend/feed/readers.h"
#include "trefoilbend/http/address.h"

namespace trefoilbend::feed {

/** @brief Greatest age of what a peer confirms; a change has to hold within
 * 2 s, and what is left of that suffices to read the store. */
inline constexpr std::chrono::milliseconds kMostAge{1'600};

/** @brief Time for which a reader that failed is not asked again; after an
 * outage of the store it is the time until its first word is heard. */
inline constexpr std::chrono::milliseconds kDistrust{500};

/**
 * @brief Decides whether an entry reads the store itself or hears from a peer
 * that does.
 *
 * A few entries read the store for all. Every other entry listens to one of
 * them as long as its word is fresh, and reads the store itself otherwise.
 */
class SourcePlan {
 public:
  /**
   * @brief Makes a plan of an entry that knows no peers.
   * @param self Name of this entry.
   * @param data_centre Data centre of this entry.
   */
  SourcePlan(core::InstanceName self, core::DataCentreName data_centre)
      : self(std::move(self)), data_centre(std::move(data_centre)) {}

  /**
   * @brief Takes the live entries.
   * @param live Live entries, this one among them.
   * @return Whether the readers have changed.
   */
  bool Configure(const std::vector<Candidate>& live);

  /** @return Whether this entry reads the store for others. */
  [[nodiscard]] bool IsReader() const noexcept { return this->is_reader; }

  /** @return Whether some live entry listens to the readers. */
  [[nodiscard]] bool HasListeners() const noexcept {
    return this->has_listeners;
  }

  /**
   * @brief Chooses the reader to ask.
   * @param now Current time.
   * @return The first reader that has not failed of late; nothing if this entry
   * is a reader itself or none is left.
   */
  [[nodiscard]] std::optional<Candidate> Choose(core::TimePoint now);

  /**
   * @brief Takes what a reader has confirmed.
   * @param confirmed Time as of which the reader knows the store; nothing if it
   * gave no answer or does not know it.
   * @param address Address of the reader.
   * @param now Current time.
   * @return Whether its word is fresh; if not, it is not asked for a while.
   */
  bool NoteAnswer(const http::Address& address,
                  std::optional<core::TimePoint> confirmed,
                  core::TimePoint now);

  /** @return Time as of which a reader knows the store; nothing while this
   * entry listens to none. */
  [[nodiscard]] std::optional<core::TimePoint> Confirmed() const noexcept {
    return this->confirmed;
  }

  /**
   * @brief Tells until when this entry may go without another word of a reader.
   * @return That time; nothing while it listens to none.
   */
  [[nodiscard]] std::optional<core::TimePoint> FreshUntil() const;

 private:
  core::InstanceName self;
  core::DataCentreName data_centre;
  std::vector<Candidate> readers;
  bool is_reader = false;
  bool has_listeners = false;
  std::map<http::Address, core::TimePoint> distrusted;
  std::optional<core::TimePoint> confirmed;
};

}  // namespace trefoilbend::feed

#endif  // TREFOILBEND_FEED_SOURCE_PLAN_H_
