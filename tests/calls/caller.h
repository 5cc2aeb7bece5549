#ifndef TREFOILBEND_TESTS_CALLS_CALLER_H_
#define TREFOILBEND_TESTS_CALLS_CALLER_H_

#include <cstdint>
#include <memory>
#include <string>

#include "fleet/fleet.h"
#include "trefoilbend/http/client.h"

namespace trefoilbend::tests {

/** @brief What a caller sees of one attempt. */
struct Seen {
  /** @brief HTTP status; 0 without an answer. */
  std::uint16_t status{};
  /** @brief Body of the answer. */
  std::string body;
  /** @brief Outcome word of a refusal. */
  std::string outcome;
  /** @brief Reason of a refusal. */
  std::string reason;
};

/** @brief A caller that reserves glass through any entry. */
class Caller {
 public:
  /**
   * @brief Makes a caller.
   * @param fleet Fleet that serves it and outlives it.
   */
  explicit Caller(Fleet& fleet) : fleet(fleet) {}

  /**
   * @brief Asks an entry for a key prefix.
   * @param entry Entry to ask.
   * @return The prefix, or an empty text.
   */
  [[nodiscard]] std::string PrefixFrom(const std::string& entry) const;

  /**
   * @brief Sends a reservation.
   * @param entry Entry to use.
   * @param key Key of the reservation.
   * @param body Body of the request.
   * @return What the caller sees.
   */
  [[nodiscard]] Seen Reserve(const std::string& entry, const std::string& key,
                             const std::string& body = "mirror") const;

  /**
   * @brief Sends a reservation and cuts the connection before the answer.
   * @param entry Entry to use.
   * @param key Key of the reservation.
   * @param after Time after which the connection is cut.
   */
  void ReserveAndLeave(const std::string& entry, const std::string& key,
                       std::chrono::milliseconds after) const;

  /**
   * @brief Counts the runs of a key at all targets.
   * @param key Key to count.
   * @return Number of runs.
   */
  [[nodiscard]] int RunsOf(const std::string& key) const;

 private:
  Fleet& fleet;
};

}  // namespace trefoilbend::tests

#endif  // TREFOILBEND_TESTS_CALLS_CALLER_H_
