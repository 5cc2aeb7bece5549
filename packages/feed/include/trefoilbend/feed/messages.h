#ifndef TREFOILBEND_FEED_MESSAGES_H_
#define TREFOILBEND_FEED_MESSAGES_H_

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "trefoilbend/core/clock.h"
#include "trefoilbend/core/number.h"
#include "trefoilbend/feed/table_image.h"
#include "trefoilbend/http/address.h"
#include "trefoilbend/platform/messages.h"

namespace trefoilbend::feed {

/** @brief Address on which peers may ask this entry. */
struct Listen {
  /** @brief The address; nothing to answer no peer. */
  std::optional<http::Address> address;
};

/** @brief What this entry has learnt of a table, for its peers. */
struct Learnt {
  /** @brief Number of the table. */
  std::size_t table{};
  /** @brief Changes of the table, or the whole table. */
  TableNews news;
};

/** @brief How well this entry knows the store, for its peers. */
struct Confirmation {
  /** @brief Time as of which all tables are known; nothing if they are not. */
  std::optional<core::TimePoint> at;
  /** @brief Era of the store in which they are. */
  platform::Era era;
  /** @brief Whether the store answers this entry; peers do not wait for news of
   * one that it does not answer. */
  bool store_answers{};
};

/** @brief The tables as they were before the store came back from an older
 * copy, for peers that start since then and find only the copy. */
struct EarlierEra {
  /** @brief Rows of each table, and deletions of late. */
  std::vector<platform::TableChanges> tables;
  /** @brief Time up to which what the store lacks of them may be in force. */
  core::TimePoint until{};
};

/** @brief Number of a question, by which its answer is known. */
using AskId = core::Number<struct AskTag>;

/** @brief Question to a peer for what this entry lacks. */
struct Ask {
  /** @brief Number of the question. */
  AskId id;
  /** @brief Address of the peer. */
  http::Address peer;
  /** @brief Positions up to which this entry knows the tables. */
  std::vector<platform::Position> after;
  /** @brief Longest time that the peer waits for news. */
  std::chrono::milliseconds wait{};
  /** @brief Time as of which this entry knows the store, if it does; the peer
   * does not wait once it knows it as of a later time. */
  std::optional<core::TimePoint> confirmed;
  /** @brief Whether the peer is asked for the tables before the store came
   * back.
   */
  bool wants_earlier{};
};

/** @brief Message to the duty of the feed. */
using ToFeed = std::variant<std::monostate, Listen, Learnt, Confirmation, Ask>;

/** @brief What a peer knows that this entry lacks. */
struct Heard {
  /** @brief News of each table that has any. */
  std::vector<Learnt> tables;
  /** @brief Time as of which the peer knows the store; nothing if it does not
   * know all tables. */
  std::optional<core::TimePoint> confirmed;
  /** @brief Era of the store in which the peer knows all tables. */
  platform::Era era;
  /** @brief Whether the store answers the peer; it tells nothing of whether the
   * store answers others. */
  bool store_answers{};
  /** @brief The tables before the store came back, if the peer was asked for
   * them and they may still be in force. */
  std::optional<EarlierEra> earlier{};
};

/** @brief The peer gave no answer. */
struct NotHeard {
  /** @brief Cause in words. */
  std::string cause;
};

/** @brief Answer to a question. */
struct Answer {
  /** @brief Number of the question. */
  AskId id;
  /** @brief Address of the peer that was asked. */
  http::Address peer;
  /** @brief What came of it. */
  std::variant<NotHeard, Heard> result;
};

}  // namespace trefoilbend::feed

#endif  // TREFOILBEND_FEED_MESSAGES_H_
