#ifndef TREFOILBEND_REGISTRY_INTERNAL_TABLE_FOLLOWER_H_
#define TREFOILBEND_REGISTRY_INTERNAL_TABLE_FOLLOWER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "internal/metrics.h"
#include "trefoilbend/configuration/messages.h"
#include "trefoilbend/core/clock.h"
#include "trefoilbend/core/log.h"
#include "trefoilbend/feed/table_image.h"
#include "trefoilbend/platform/backoff.h"
#include "trefoilbend/platform/store.h"
#include "trefoilbend/registry/catalogue.h"
#include "trefoilbend/registry/watch_pause.h"

namespace trefoilbend::registry::internal {

/** @brief What a follower of a table needs of the duty that carries it. */
class FollowerOwner {
 public:
  virtual ~FollowerOwner() = default;

  /** @return Store that has the table. */
  [[nodiscard]] virtual platform::WatchedStore& GetStore() noexcept = 0;

  /** @return Catalogue that takes the table's rows. */
  [[nodiscard]] virtual Catalogue& GetCatalogue() noexcept = 0;

  /** @return Metrics of the store's calls. */
  [[nodiscard]] virtual Metrics& GetMetrics() noexcept = 0;

  /** @brief Takes note that the store answers this entry for a table again, or
   * no more. */
  virtual void NoteAnswers() = 0;

  /** @brief Takes note that a whole table was read. */
  virtual void NoteRead() = 0;

  /**
   * @brief Takes note of what was learnt of a table, and as of when.
   * @param table Which table it is.
   * @param news Changes or the whole table.
   */
  virtual void NoteLearnt(Table table, feed::TableNews news) = 0;

  /** @return Whether what was learnt waits to be passed on to peers. */
  [[nodiscard]] virtual bool IsBacklogged() const noexcept = 0;

  /** @brief Takes note that the catalogue has changed. */
  virtual void NoteChange() = 0;

  /**
   * @brief Takes note that the store has answered a watch.
   * @param sent Time at which the watch was sent.
   */
  virtual void NoteWatched(core::TimePoint sent) = 0;
};

/** @brief Reads one table of the store and watches it while it is active; else
 * it hears from a peer. */
class TableFollower {
 public:
  /**
   * @brief Makes a follower that does nothing yet.
   * @param owner Duty that carries it and outlives it.
   * @param context Event loop of the duty.
   * @param table Which table it is.
   * @param name Name of the table in the store.
   * @param pace Pace of its watches.
   */
  TableFollower(FollowerOwner& owner, boost::asio::io_context& context,
                Table table, std::string name, const WatchPace& pace);

  /** @brief Reads the table; gives up what was under way. */
  void Read();

  /** @brief Watches the table from what is known on. */
  void Activate();

  /** @brief Stops watching; a read under way goes on. */
  void Rest();

  /**
   * @brief Takes what a peer knows of the table.
   * @param news Changes or the whole table.
   * @param as_of Time as of which the peer knows the table; nothing if it does
   * not know it whole.
   */
  void Hear(const feed::TableNews& news, std::optional<core::TimePoint> as_of);

  /**
   * @brief Takes note of the time as of which a peer knows the table.
   * @param as_of That time.
   */
  void HearConfirmed(core::TimePoint as_of);

  /** @brief Confirms the table as of what was told of it in an era that is now
   * in force. */
  void ConfirmEra();

  /**
   * @brief Sets the pace of watches; one under way that would wait longer gives
   * way to another.
   * @param now_pace Pace from now on.
   */
  void SetPace(const WatchPace& now_pace);

  /** @return Time as of which the table is known; nothing before its first
   * read. */
  [[nodiscard]] std::optional<core::TimePoint> ConfirmedAt() const noexcept {
    return this->confirmed_at;
  }

  /** @return Who confirmed last what is known of the table. */
  [[nodiscard]] configuration::ToldBy ToldBy() const noexcept {
    return this->told_by;
  }

  /** @return Whether the store answers this entry for the table. */
  [[nodiscard]] bool Answers() const noexcept { return this->answers; }

  /** @return Whether the table was read whole at least once. */
  [[nodiscard]] bool IsKnown() const noexcept { return this->known; }

  /** @return Whether a read of the whole table is under way. */
  [[nodiscard]] bool IsReading() const noexcept { return this->reading; }

 private:
  void Watch();
  /** Watches anew if the store does not answer in time. */
  void AwaitAnswer();
  void OnRead(const platform::TableOutcome& outcome);
  void OnWatched(const platform::ChangesOutcome& outcome, core::TimePoint sent);
  /** What to do with changes of another era than the table's. */
  void OnOtherEra(const platform::Position& told);
  void OnStaleRead(const platform::Position& told);
  void NoteAnswer(bool now_answers, const std::string& message);
  /** Confirms the table as of a time, or, with news of an era that is not in
   * force yet, once it is. */
  void NoteTold(const platform::Position& position, core::TimePoint as_of,
                configuration::ToldBy by);
  /** Takes note of the time as of which the table is known. */
  void NoteConfirmed(core::TimePoint as_of, configuration::ToldBy by);
  /** Tells that rows have changed, and how old that word is. */
  void LogChanges(std::size_t changes, configuration::ToldBy by,
                  core::TimePoint as_of) const;
  void After(std::chrono::milliseconds wait, void (TableFollower::*step)());

  FollowerOwner& owner;
  Table table;
  std::string name;
  WatchPace pace;
  boost::asio::steady_timer timer;
  platform::Backoff backoff;
  /** Number of the read or watch under way; earlier ones are not heard. */
  std::uint64_t turn = 0;
  bool answers = true;
  bool known = false;
  bool reading = false;
  bool active = false;
  /** Whether a watch is under way. */
  bool watching = false;
  /** As of when, and by whom, the table was told in an era that is not in
   * force yet. */
  std::optional<std::pair<core::TimePoint, configuration::ToldBy>> unconfirmed;
  std::optional<core::TimePoint> confirmed_at;
  configuration::ToldBy told_by = configuration::ToldBy::kStore;
  core::Log log{"registry"};
};

}  // namespace trefoilbend::registry::internal

#endif  // TREFOILBEND_REGISTRY_INTERNAL_TABLE_FOLLOWER_H_
