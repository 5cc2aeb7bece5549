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

/** @brief Request of a caller for the entries that it may use. */
struct DirectoryQuery {
  /** @brief Identity of the caller, such as its IP address. */
  std::string caller;
  /** @brief Data centre nearest to the caller; empty if unknown. */
  core::DataCentreName data_centre;
};

/** @brief Entries that a caller may use. */
struct DirectoryAnswer {
  /** @brief Addresses of the entries, in order of preference. */
  std::vector<http::Address> entries;
  /** @brief Time for which the caller may cache the answer. */
  std::chrono::milliseconds ttl{};
  /** @brief Home of the idempotency keys that the caller creates while the
   * answer is valid. */
  std::optional<idempotency::Home> home;
};

/** @brief Options of a directory. */
struct DirectoryOptions {
  /** @brief Name of this entry. */
  core::InstanceName self;
  /** @brief Incarnation of this entry's process. */
  core::Incarnation incarnation;
  /** @brief Maximum time for which callers may cache an answer. */
  std::chrono::milliseconds max_ttl{2'000};
  /** @brief Seed of the random jitter in the time to live. */
  std::uint64_t seed = 1;
  /** @brief Whether an answer names only entries in the caller's data centre,
   * as long as one of them is usable. */
  bool nearest_only = false;
};

/** @brief Selects the entries that callers use. */
class Directory {
 public:
  /**
   * @brief Creates a directory without a configuration; its answers are empty.
   * @param options Options of the directory.
   */
  explicit Directory(DirectoryOptions options)
      : options(std::move(options)), random(this->options.seed) {}

  /**
   * @brief Replaces the configuration and the list of instances.
   * @param update New configuration and list.
   */
  void Configure(configuration::Update update) {
    this->update = std::move(update);
  }

  /**
   * @brief Replaces the states of the peers.
   * @param view Peers with their states and incarnations, and whether this
   * entry's configuration is current.
   */
  void UpdatePeers(const membership::View& view);

  /**
   * @brief Takes another incarnation of this entry.
   * @param incarnation The later incarnation.
   */
  void Adopt(core::Incarnation incarnation) noexcept {
    this->options.incarnation = incarnation;
  }

  /** @brief Removes this entry from all later answers. */
  void Withdraw() noexcept { this->withdrawn = true; }

  /**
   * @brief Selects the entries for a caller.
   * @param query Identity and data centre of the caller.
   * @param now Current wall-clock time.
   * @return The usable entries, those in the caller's data centre first. Each
   * group is ordered by rendezvous hashing of the caller, which spreads callers
   * evenly. The home of the caller's keys is the first of these entries if its
   * incarnation is known, otherwise this entry. There is no home if no entry is
   * usable, or if this entry would be the home but is withdrawn or its
   * configuration may be out of date.
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
  bool configuration_current = true;
  bool withdrawn = false;
};

}  // namespace trefoilbend::discovery

#endif  // TREFOILBEND_DISCOVERY_DIRECTORY_H_
