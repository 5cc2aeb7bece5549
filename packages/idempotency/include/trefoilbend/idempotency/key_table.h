#ifndef TREFOILBEND_IDEMPOTENCY_KEY_TABLE_H_
#define TREFOILBEND_IDEMPOTENCY_KEY_TABLE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "trefoilbend/core/call.h"
#include "trefoilbend/core/number.h"
#include "trefoilbend/idempotency/digest.h"
#include "trefoilbend/idempotency/key.h"

namespace trefoilbend::idempotency {

/** @brief A whole answer that can be given again. */
using KeptAnswer = std::shared_ptr<const core::AnswerHead>;

/** @brief What came of a key's run. */
using Result = std::variant<core::Refusal, KeptAnswer>;

/** @brief Bounds of a table of keys. */
struct KeyTableOptions {
  /** @brief Entry that holds the table. */
  core::InstanceName self;
  /** @brief Run of the entry. */
  core::Incarnation incarnation;
  /** @brief Time after a key's issue for which it may be used. */
  std::chrono::milliseconds retention{std::chrono::minutes{10}};
  /** @brief Time by which a key's issue may lie ahead of this entry's clock. */
  std::chrono::milliseconds clock_skew{std::chrono::seconds{30}};
  /** @brief Greatest number of keys. */
  std::size_t keys = 65'536;
  /** @brief Greatest length of all kept answers together in bytes. */
  std::size_t answer_bytes = 16U << 20U;
};

/** @brief The key is new: its request is sent to a target now. */
struct RunCall {};

/** @brief The key's request is running: the caller waits for its result. */
struct AwaitRun {};

/** @brief The key's request has run: the caller gets the first result. */
struct ReplayResult {
  /** @brief First result. */
  Result result;
};

/** @brief The key is not usable. */
struct KeyRefused {
  /** @brief Why, and what is known of the run. */
  core::Refusal refusal;
};

/** @brief What becomes of a request with a key. */
using Verdict = std::variant<RunCall, AwaitRun, ReplayResult, KeyRefused>;

/**
 * @brief Decides which requests with a key may run, so that each key runs at
 * most once.
 *
 * Only keys whose home is this incarnation are run. A key is forgotten only
 * when its issue is older than the retention, and a key as old as that is
 * refused; so a key that is not in the table has never run.
 */
class KeyTable {
 public:
  /**
   * @brief Makes an empty table.
   * @param options Bounds of the table.
   */
  explicit KeyTable(KeyTableOptions options);

  /**
   * @brief Takes another incarnation of this entry; keys of the one before are
   * refused from now on, whether they ran is unknown.
   * @param incarnation The later incarnation.
   */
  void Adopt(core::Incarnation incarnation) noexcept {
    this->options.incarnation = incarnation;
  }

  /**
   * @brief Decides what becomes of a request.
   * @param key Key of the request.
   * @param digest Fingerprint of the request.
   * @param waiter Call that waits for the result.
   * @param now Current time; an earlier one than before counts as the latter.
   * @return The verdict; after RunCall the key is running.
   */
  [[nodiscard]] Verdict Admit(const Key& key, const RequestDigest& digest,
                              core::CallId waiter, IssueTime now);

  /**
   * @brief Takes the result of a run. A result that says not-run forgets the
   * key, so that a repeat may run.
   * @param key Key that is running.
   * @param result What came of the run.
   * @return Calls that wait for the result.
   */
  [[nodiscard]] std::vector<core::CallId> Finish(const Key& key,
                                                 const Result& result);

  /**
   * @brief Forgets a waiter; the run goes on.
   * @param key Key that the call waits for.
   * @param waiter Call whose caller has gone.
   */
  void Leave(const Key& key, core::CallId waiter);

  /**
   * @brief Forgets the keys whose retention has passed and that do not run.
   * @param now Current time.
   */
  void Expire(IssueTime now);

  /** @return Number of keys. */
  [[nodiscard]] std::size_t Size() const noexcept {
    return this->records.size();
  }

  /** @return Length of all kept answers in bytes. */
  [[nodiscard]] std::size_t AnswerBytes() const noexcept {
    return this->kept_bytes;
  }

 private:
  struct Record {
    RequestDigest digest;
    IssueTime issued;
    std::vector<core::CallId> waiters;
    std::optional<Result> result;
  };

  using Records = std::unordered_map<std::string, Record>;

  [[nodiscard]] std::optional<core::Refusal> Check(const Home& home) const;
  [[nodiscard]] bool IsExpired(IssueTime issued) const noexcept;
  [[nodiscard]] Result Keep(const Result& result);
  void ExpireBucket(std::vector<const std::string*>& names);
  void Erase(Records::iterator record);

  KeyTableOptions options;
  IssueTime latest{};
  Records records;
  std::map<IssueTime, std::vector<const std::string*>> by_issue;
  std::size_t kept_bytes{};
};

/**
 * @brief Returns the length that an answer takes in a table.
 * @param answer Whole answer.
 * @return Length of its fields and its body in bytes.
 */
[[nodiscard]] std::size_t LengthOf(const core::AnswerHead& answer) noexcept;

}  // namespace trefoilbend::idempotency

#endif  // TREFOILBEND_IDEMPOTENCY_KEY_TABLE_H_
