#ifndef TREFOILBEND_PLATFORM_STORE_H_
#define TREFOILBEND_PLATFORM_STORE_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "trefoilbend/platform/messages.h"

namespace trefoilbend::platform {

/** @brief What outlasts every process: rows that transactions change. */
class Store {
 public:
  virtual ~Store() = default;

  /**
   * @brief Commits a transaction.
   * @param transaction Transaction to commit; one with conditions of an era
   * that is known to be over is a conflict, and is not sent.
   * @param done Takes the result, possibly before this returns.
   */
  virtual void Transact(const Transaction& transaction,
                        std::function<void(TransactOutcome)> done) = 0;

  /**
   * @brief Reads a row.
   * @param key Key of the row.
   * @param done Takes the result.
   */
  virtual void Read(const std::string& key,
                    std::function<void(ReadOutcome)> done) = 0;
};

/** @brief Store whose rows lie in tables that tell their changes. The table of
 * a row is the part of its key before the first slash. */
class WatchedStore : public Store {
 public:
  /**
   * @brief Reads a whole table.
   * @param table Name of the table.
   * @param done Takes the result.
   */
  virtual void ReadTable(const std::string& table,
                         std::function<void(TableOutcome)> done) = 0;

  /**
   * @brief Waits for changes of a table.
   * @param table Name of the table.
   * @param after Position after which the changes are wanted. The changes
   * have a meaning only if their position shares its era.
   * @param wait Longest time that the store waits for a change.
   * @param done Takes the result, without changes if there were none.
   */
  virtual void Watch(const std::string& table, Position after,
                     std::chrono::milliseconds wait,
                     std::function<void(ChangesOutcome)> done) = 0;
};

/** @brief Makes the store's client of one duty, on that duty's event loop. */
using StoreFactory =
    std::function<std::unique_ptr<Store>(boost::asio::io_context&)>;

/** @copydoc StoreFactory */
using WatchedStoreFactory =
    std::function<std::unique_ptr<WatchedStore>(boost::asio::io_context&)>;

}  // namespace trefoilbend::platform

#endif  // TREFOILBEND_PLATFORM_STORE_H_
