#ifndef TREFOILBEND_PLATFORM_LEASE_H_
#define TREFOILBEND_PLATFORM_LEASE_H_

#include <chrono>
#include <optional>
#include <string>

#include "trefoilbend/core/clock.h"
#include "trefoilbend/core/name.h"
#include "trefoilbend/core/number.h"
#include "trefoilbend/platform/messages.h"

namespace trefoilbend::platform {

/** @brief Number of a lease's holders so far. */
using Epoch = core::Number<struct EpochTag>;

/** @brief Who competes for a lease. */
struct LeaseHolder {
  /** @brief Name of the entry. */
  core::InstanceName name;
  /** @brief Run of the entry's process. */
  core::Incarnation incarnation;

  [[nodiscard]] bool operator==(const LeaseHolder&) const = default;
};

/**
 * @brief Reads who holds a lease.
 * @param row Row of the lease.
 * @return The holder; empty for a malformed row.
 */
[[nodiscard]] LeaseHolder HolderOf(const Row& row);

/** @brief Times of a lease. */
struct LeaseTimes {
  /** @brief Time for which a renewal holds. */
  std::chrono::milliseconds length{5'000};
  /** @brief Time by which the holder stops earlier than others may begin, for
   * clocks that run at different rates. */
  std::chrono::milliseconds margin{500};
};

/**
 * @brief A lease in one row of the platform's table.
 *
 * The row's version tells that the holder lives, so no wall clock is compared.
 * A contender takes the lease over when it has seen the same version for the
 * whole length on its own clock. The holder counts its time from before it sent
 * the renewal, which is never later than when a contender saw it.
 *
 * After the store has come back from an older copy the row may be missing or
 * name an earlier holder, and says nothing of who holds the lease by the clock.
 * So in a new era everybody waits for the whole length, but for the holder
 * whose time is not over: it may renew at once, and until it has done so it
 * does not act.
 */
class Lease {
 public:
  /**
   * @brief Makes a lease that is not held.
   * @param key Key of the row.
   * @param self Who competes.
   * @param times Times of the lease, equal on all contenders.
   */
  Lease(std::string key, LeaseHolder self, LeaseTimes times = {});

  /** @return Key of the row, to be read before each attempt. */
  [[nodiscard]] const std::string& Key() const noexcept { return this->key; }

  /**
   * @brief Takes note of the era that the store is in; earlier ones are passed
   * over.
   * @param now_era Era of an answer of the store.
   * @param now Current time.
   */
  void NoteEra(Era now_era, core::TimePoint now) noexcept;

  /**
   * @brief Takes note of an epoch that some holder has had, though the row may
   * no longer tell of it.
   * @param seen Epoch to stay above.
   */
  void NoteEpoch(Epoch seen) noexcept;

  /**
   * @brief Takes note of the row and prepares to take or renew the lease.
   * @param found Row as it was read.
   * @param now Time after the reading.
   * @return Transaction to commit now, or nothing while another may hold it.
   */
  [[nodiscard]] std::optional<Transaction> Attempt(const FoundRow& found,
                                                   core::TimePoint now);

  /**
   * @brief Takes note that the transaction of the last attempt has committed.
   * @param committed What the store told of the transaction.
   * @param sent Time at which the transaction was sent.
   */
  void Renew(const Committed& committed, core::TimePoint sent);

  /** @brief Gives up, after a conflict in a fenced write. */
  void Lose() noexcept { this->held_until.reset(); }

  /**
   * @brief Tells whether this process may act as the holder.
   * @param now Current time.
   * @return True while the lease is held for certain, in the store's present
   * era.
   */
  [[nodiscard]] bool Held(const core::TimePoint now) const noexcept {
    return this->IsHeldByTheClock(now) && this->position.Era() == this->era;
  }

  /** @return Epoch of the last renewal. */
  [[nodiscard]] Epoch Current() const noexcept { return this->epoch; }

  /**
   * @brief Returns the condition that fences a write against a later holder.
   * @return Condition on the row's position since the last renewal.
   */
  [[nodiscard]] Condition Fence() const;

 private:
  struct Seen {
    Position position;
    Era era;
    core::TimePoint since;
  };

  /** Whether nobody else can hold the lease, whatever the row says. */
  [[nodiscard]] bool IsHeldByTheClock(
      const core::TimePoint now) const noexcept {
    return this->held_until && now < *this->held_until;
  }
  /** Whether the lease of whoever held it has run out. */
  [[nodiscard]] bool HasLapsed(const FoundRow& found,
                               core::TimePoint now) const noexcept;

  std::string key;
  LeaseHolder self;
  LeaseTimes times;
  Era era;
  /** Time from which this process knows the era. */
  core::TimePoint era_since{};
  Epoch epoch;
  Epoch highest_epoch;
  Epoch attempted_epoch;
  Era attempted_era;
  Position position;
  std::optional<Seen> seen;
  std::optional<core::TimePoint> held_until;
};

}  // namespace trefoilbend::platform

#endif  // TREFOILBEND_PLATFORM_LEASE_H_
