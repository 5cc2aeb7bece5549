#ifndef TREFOILBEND_DISCOVERY_DIRECTORY_H_
#define TREFOILBEND_DISCOVERY_DIRECTORY_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "trefoilbend/configuration/messages.h"
#include "trefoilbend/core/name.h"
#include "trefoilbend/http/address.h"
#include "trefoilbend/idempotency/key.h"
#include "trefoilbend/membership/messages.h"

namespace trefoilbend::discovery {

/** @brief A caller's question which entries to use. */
struct DirectoryQuery {
  /** @brief What tells callers apart, such as an IP number. */
  std::string caller;
  /** @brief Data centre that is nearest to the caller; empty if unknown. */
  core::DataCentreName data_centre;
};

/** @brief The entries that a caller may use. */
struct DirectoryAnswer {
  /** @brief Addresses in the order in which to try them. */
  std::vector<http::Address> entries;
  /** @brief Time for which the caller may keep the answer. */
  std::chrono::milliseconds ttl{};
  /** @brief Home of the keys that the caller makes meanwhile. */
  std::optional<idempotency::Home> home;
};

/** @brief Options of a directory. */
struct DirectoryOptions {
  /** @brief Name of this entry. */
  core::InstanceName self;
  /** @brief Run of this entry. */
  core::Incarnation incarnation;
  /** @brief Longest time for which callers keep an answer. */
  std::chrono::milliseconds max_ttl{2'000};
  /** @brief Seed of the jitter. */
  std::uint64_t seed = 1;
  /** @brief Whether callers are sent to the entries of their data centre only,
   * as long as there are some. */
  bool nearest_only = false;
};

/** @brief Decides which entries a caller uses. */
class Directory {
 public:
  /**
   * @brief Makes a directory that knows no entries yet.
   * @param options Options of the directory.
   */
  explicit Directory(DirectoryOptions options)
      : options(std::move(options)), random(this->options.seed) {}

  /**
   * @brief Takes note of a configuration and a list of instances.
   * @param update What is in force from now on.
   */
  void Configure(configuration::Update update) {
    this->update = std::move(update);
  }

  /**
   * @brief Takes note of what this entry knows of its peers.
   * @param view Peers with their states and incarnations.
   */
  void UpdatePeers(const membership::View& view);

  /** @brief Leaves this entry out of the answers from now on. */
  void Withdraw() noexcept { this->leaving = true; }

  /**
   * @brief Answers a caller.
   * @param query Question of the caller.
   * @param now Current time.
   * @return Usable entries: near ones first, spread evenly by a hash of the
   * caller; and the home of the caller's keys, the first of them if its
   * incarnation is known.
   */
  [[nodiscard]] DirectoryAnswer Resolve(const DirectoryQuery& query,
                                        idempotency::IssueTime now);

 private:
  [[nodiscard]] bool IsUsable(const inventory::Instance& entry) const;
  [[nodiscard]] bool IsUsablePeer(const core::InstanceName& name) const;
  [[nodiscard]] std::optional<idempotency::Home> HomeFor(
      const core::InstanceName& first, idempotency::IssueTime now) const;

  DirectoryOptions options;
  std::mt19937_64 random;
  configuration::Update update;
  std::map<core::InstanceName, membership::Peer> peers;
  bool current = true;
  bool leaving = false;
};

}  // namespace trefoilbend::discovery

#endif  // TREFOILBEND_DISCOVERY_DIRECTORY_H_
