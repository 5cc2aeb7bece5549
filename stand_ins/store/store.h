#ifndef TREFOILBEND_STAND_INS_STORE_STORE_H_
#define TREFOILBEND_STAND_INS_STORE_STORE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "store/table.h"
#include "trefoilbend/http/server.h"

namespace trefoilbend::stand_ins {

/** @brief Faults of the store; each is off at its default. */
struct StoreFaults {
  /** @brief Whether every call is answered 503 and does nothing. */
  bool busy = false;
  /** @brief Whether no call is answered, and none does anything. */
  bool silent = false;
  /** @brief Time by which every answer is late. */
  std::chrono::milliseconds slow{};
  /** @brief Writes that are done and not answered. */
  int lost_answers = 0;
  /** @brief Time after which an unanswered write is done. */
  std::chrono::milliseconds late_writes{};
  /** @brief Reads of whole tables that show the state before the last
   * transaction. */
  int stale_reads = 0;
  /** @brief Calls that are answered 429. */
  int over_rate = 0;
  /** @brief Further addresses whose callers are answered 503, while the others
   * are served. */
  std::set<http::Address> turned_away;
  /** @brief Table whose watches are not answered; empty for none. */
  std::string silent_table;
};

/** @brief How the store comes back from an older copy of itself. */
struct Return {
  /** @brief Time for which it is away before. */
  std::chrono::milliseconds away{1'000};
  /** @brief Time within which operators and targets have written again what is
   * lost, one row after the other; nothing if they do not. */
  std::optional<std::chrono::milliseconds> rewritten_within{0};
  /** @brief Seed of the order in which they do. */
  std::uint32_t seed = 1;
};

/** @brief Stand-in for the users' store, over HTTP. */
class Store {
 public:
  /**
   * @brief Makes a store that does not listen yet.
   * @param context Event loop that carries it.
   * @param address Address to listen on.
   */
  Store(boost::asio::io_context& context, http::Address address);

  /** @return Server of the store. */
  [[nodiscard]] http::Server& GetServer() noexcept { return *this->server; }

  /**
   * @brief Opens a further address, whose callers can be turned away alone.
   * @param address Address to listen on; one that is open stays so.
   * @return Nothing, or the reason why the address cannot be used.
   */
  [[nodiscard]] core::Outcome<std::monostate, std::string> Open(
      const http::Address& address);

  /** @brief Never answers the watches that wait now, as on connections that
   * went silent. */
  void ForgetWatchers();

  /** @brief Switches of the faults; set on the store's thread only. */
  StoreFaults faults;

  /** @brief Forgets the history, so that watches have to begin anew. */
  void ForgetHistory() { this->table.ForgetHistory(); }

  /** @brief Makes the copy that the store may come back from. */
  void TakeCopy() { this->copy = this->table; }

  /**
   * @brief Answers 503 for a time and comes back from the last copy, in the
   * next era. What the system wrote since is lost.
   * @param how How long it is away, and how the others write again.
   */
  void ComeBackFromCopy(const Return& how);

  /** @return Number of the era. */
  [[nodiscard]] std::uint64_t Era() const noexcept { return this->era; }

  /** @return Newest version. */
  [[nodiscard]] std::uint64_t Version() const noexcept {
    return this->table.Version();
  }

  /**
   * @brief Commits what an operator or a target writes.
   * @param key Table and key, with a slash between.
   * @param value Value; nothing to remove the row.
   */
  void Write(const std::string& key, const std::optional<std::string>& value);

  /**
   * @brief Reads a row.
   * @param key Table and key, with a slash between.
   * @return The value, or nothing.
   */
  [[nodiscard]] std::optional<std::string> Read(const std::string& key) const;

  /** @return Calls by path so far. */
  [[nodiscard]] const std::map<std::string, int>& Calls() const noexcept {
    return this->calls;
  }

 private:
  struct Watcher {
    std::string table;
    std::uint64_t after{};
    http::Respond respond;
    std::shared_ptr<boost::asio::steady_timer> timer;
  };

  using Method = void (Store::*)(const http::Request&, const http::Respond&);

  void Handle(const http::Request& request, http::Respond respond);
  void Transact(const http::Request& request, const http::Respond& respond);
  void Get(const http::Request& request, const http::Respond& respond);
  void Feed(const http::Request& request, const http::Respond& respond);
  void Control(const http::Request& request, const http::Respond& respond);
  void Commit(const nlohmann::json& transaction, const http::Respond& respond);
  void TellWatchers();
  /** Answers a call in the present era. */
  [[nodiscard]] http::Response Answer(const nlohmann::json& body,
                                      std::uint16_t status = 200) const;
  /** Writes one lost row after the other. */
  void WriteAgain(
      std::vector<std::pair<std::string, std::optional<std::string>>> lost,
      std::chrono::milliseconds gap);
  void After(std::chrono::milliseconds delay, std::function<void()> then);

  boost::asio::io_context& context;
  VersionedTable table;
  VersionedTable before;
  VersionedTable copy;
  std::uint64_t era = 1;
  std::vector<Watcher> watchers;
  /** Calls that get no answer; their connections stay open. */
  std::vector<http::Respond> unanswered;
  std::map<std::string, int> calls;
  std::shared_ptr<http::Server> server;
  std::map<http::Address, std::shared_ptr<http::Server>> further;
};

}  // namespace trefoilbend::stand_ins

#endif  // TREFOILBEND_STAND_INS_STORE_STORE_H_
