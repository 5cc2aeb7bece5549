#ifndef TREFOILBEND_FEED_INTERNAL_SERVER_H_
#define TREFOILBEND_FEED_INTERNAL_SERVER_H_

#include <kj/async-io.h>

#include <cstddef>
#include <list>
#include <optional>
#include <vector>

#include "feed.capnp.h"
#include "trefoilbend/feed/messages.h"
#include "trefoilbend/feed/table_image.h"

namespace trefoilbend::feed::internal {

/** @brief Tells peers what they lack of the store's tables. */
class Server final : public wire::Feed::Server {
 public:
  /**
   * @brief Makes a server that knows nothing yet.
   * @param tables Number of tables.
   * @param timer Timer of the duty; outlives the server.
   */
  Server(std::size_t tables, kj::Timer& timer);

  /**
   * @brief Takes what this entry has learnt of a table.
   * @param learnt Changes or the whole table.
   */
  void Take(const Learnt& learnt);

  /**
   * @brief Takes how well this entry knows the store.
   * @param confirmation Time of the knowledge, and whether the store answers.
   */
  void Take(const Confirmation& confirmation);

  kj::Promise<void> watch(WatchContext context) override;

 private:
  using Waiting = std::list<kj::Own<kj::PromiseFulfiller<void>>>;

  /** Whether the tables are confirmed as of clearly later than a peer knows. */
  [[nodiscard]] bool IsNewerThan(core::TimePoint known) const noexcept;
  /** Position up to which the peer that asks knows a table. */
  [[nodiscard]] platform::Position KnownTo(WatchParams::Reader peer,
                                           std::size_t table) const;
  [[nodiscard]] bool HasNews(WatchParams::Reader peer) const;
  [[nodiscard]] Heard After(WatchParams::Reader peer) const;
  /** The tables in an earlier era than the peer knows them in. */
  [[nodiscard]] std::optional<EarlierEra> EarlierThan(
      WatchParams::Reader peer) const;
  void Tell(WatchContext context) const;
  void WakeAll();

  std::vector<TableImage> images;
  Confirmation confirmation;
  /** Time up to which tables of the era before may be in force. */
  core::TimePoint earlier_until{};
  /** Newest confirmation that waiting peers were told of. */
  core::TimePoint told_at{};
  kj::Timer& timer;
  Waiting waiting;
};

}  // namespace trefoilbend::feed::internal

#endif  // TREFOILBEND_FEED_INTERNAL_SERVER_H_
