#ifndef TREFOILBEND_TESTS_SOAK_JUDGE_H_
#define TREFOILBEND_TESTS_SOAK_JUDGE_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace trefoilbend::soak {

/** @brief Holds what targets and callers have counted against each other. */
class Judge {
 public:
  /**
   * @brief Adds what one incarnation of a target has run.
   * @param counts Counts of the target stand-in, with its runs.
   */
  void AddTarget(const nlohmann::json& counts);

  /**
   * @brief Adds what callers have seen.
   * @param report Report of a driver that lists calls refused as not run.
   */
  void AddCallers(const nlohmann::json& report);

  /**
   * @brief Adds a change that an entry has accepted.
   * @param entry Entry that accepted it.
   * @param revision Revision that began with it.
   */
  void AddAccepted(const std::string& entry, std::uint64_t revision);

  /**
   * @brief Adds a violation that was seen directly.
   * @param violation What was seen, in words.
   */
  void AddViolation(std::string violation);

  /** @return Everything that must not be, in words; empty after a good run. */
  [[nodiscard]] std::vector<std::string> Violations() const;

  /** @return Highest revision of an accepted change, or 0. */
  [[nodiscard]] std::uint64_t NewestAccepted() const noexcept;

  /** @return Number of accepted changes. */
  [[nodiscard]] std::size_t Accepted() const noexcept {
    return this->accepted.size();
  }

  /** @return Number of different keys that were run. */
  [[nodiscard]] std::size_t Keys() const noexcept {
    return this->runs_by_key.size();
  }

  /** @return Number of calls that were refused as not run. */
  [[nodiscard]] std::size_t NotRun() const noexcept {
    return this->not_run.size();
  }

 private:
  std::map<std::string, std::uint64_t> runs_by_key;
  std::set<std::string> run;
  std::set<std::string> not_run;
  std::map<std::uint64_t, std::string> accepted;
  std::vector<std::string> violations;
};

}  // namespace trefoilbend::soak

#endif  // TREFOILBEND_TESTS_SOAK_JUDGE_H_
