#ifndef TREFOILBEND_DISCOVERY_DIRECTORY_H_
#define TREFOILBEND_DISCOVERY_DIRECTORY_H_

#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "trefoilbend/configuration/messages.h"
#include "trefoilbend/core/name.h"
#include "trefoilbend/http/address.h"

namespace trefoilbend::discovery {

/** @brief A caller's question which entries to use. */
struct Question {
  /** @brief What tells callers apart, such as an IP number. */
  std::string caller;
  /** @brief Data centre that is nearest to the caller; empty if unknown. */
  core::DataCentreName near;
};

/** @brief The entries that a caller may use. */
struct Answer {
  /** @brief Addresses in the order in which to try them. */
  std::vector<http::Address> entries;
  /** @brief Time for which the caller may keep the answer. */
  std::chrono::milliseconds keep{};
};

/** @brief Decides which entries a caller uses. */
class Directory {
 public:
  /**
   * @brief Makes a directory that knows no entries yet.
   * @param keep Longest time for which callers keep an answer.
   * @param seed Seed of the jitter.
   */
  Directory(std::chrono::milliseconds keep, std::uint64_t seed)
      : keep(keep), random(seed) {}

  /**
   * @brief Takes note of a configuration and a list of instances.
   * @param update What is in force from now on.
   */
  void Configure(configuration::Update update) {
    this->update = std::move(update);
  }

  /**
   * @brief Leaves an entry out of the answers from now on.
   * @param entry Entry that is about to stop.
   */
  void Exclude(const core::InstanceName& entry) {
    this->excluded.push_back(entry);
  }

  /**
   * @brief Answers a caller.
   * @param question Question of the caller.
   * @return Usable entries: near ones first, spread evenly by a hash of the
   * caller.
   */
  [[nodiscard]] Answer Ask(const Question& question);

 private:
  std::chrono::milliseconds keep;
  std::mt19937_64 random;
  configuration::Update update;
  std::vector<core::InstanceName> excluded;
};

}  // namespace trefoilbend::discovery

#endif  // TREFOILBEND_DISCOVERY_DIRECTORY_H_
