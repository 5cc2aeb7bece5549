#include "trefoilbend/discovery/directory.h"

#include <xxhash.h>

#include <algorithm>

namespace trefoilbend::discovery {

namespace {

struct RankedEntry {
  const inventory::Instance* entry;
  bool remote;
  std::uint64_t weight;
};

std::uint64_t RendezvousWeight(const std::string& caller,
                               const std::string& entry) {
  const std::uint64_t seed = XXH64(caller.data(), caller.size(), 0);
  return XXH64(entry.data(), entry.size(), seed);
}

}  // namespace

void Directory::UpdatePeers(const membership::View& view) {
  this->configuration_current = view.current;
  this->peers.clear();
  for (const membership::Peer& peer : view.peers) {
    this->peers.emplace(peer.name, peer);
  }
}

DirectoryAnswer Directory::Resolve(const DirectoryQuery& query,
                                   const idempotency::IssueTime now) {
  std::vector<RankedEntry> ranked;
  if (this->update.configuration == nullptr) {
    return {};
  }
  for (const inventory::Instance* entry :
       this->update.configuration->Entries()) {
    if (this->IsUsable(*entry)) {
      ranked.push_back(
          {.entry = entry,
           .remote = entry->data_centre != query.data_centre,
           .weight = RendezvousWeight(query.caller, entry->name.Text())});
    }
  }
  std::sort(ranked.begin(), ranked.end(),
            [](const RankedEntry& a, const RankedEntry& b) {
              return a.remote != b.remote ? b.remote : a.weight > b.weight;
            });
  DirectoryAnswer answer;
  for (const RankedEntry& candidate : ranked) {
    if (this->options.nearest_only && candidate.remote &&
        !ranked.front().remote) {
      break;
    }
    answer.entries.push_back(candidate.entry->address);
  }
  if (!ranked.empty()) {
    answer.home = this->HomeFor(ranked.front().entry->name, now);
  }
  const std::int64_t max_ttl = this->options.max_ttl.count();
  std::uniform_int_distribution<std::int64_t> jitter{max_ttl / 2, max_ttl};
  answer.ttl = std::chrono::milliseconds{jitter(this->random)};
  return answer;
}

bool Directory::IsUsable(const inventory::Instance& entry) const {
  if (this->update.configuration->IsOut(entry.data_centre)) {
    return false;
  }
  const auto listed =
      std::find_if(this->update.listed->begin(), this->update.listed->end(),
                   [&](const platform::ListedInstance& instance) {
                     return instance.name == entry.name;
                   });
  if (listed == this->update.listed->end() ||
      listed->state != platform::InstanceState::kLive) {
    return false;
  }
  if (entry.name == this->options.self) {
    return this->configuration_current && !this->withdrawn;
  }
  return this->IsUsablePeer(entry.name);
}

bool Directory::IsUsablePeer(const core::InstanceName& name) const {
  const auto peer = this->peers.find(name);
  return peer == this->peers.end() ||
         peer->second.state == membership::PeerState::kAlive;
}

std::optional<idempotency::Home> Directory::HomeFor(
    const core::InstanceName& first, const idempotency::IssueTime now) const {
  const auto peer = this->peers.find(first);
  if (first != this->options.self && peer != this->peers.end() &&
      peer->second.incarnation != core::Incarnation{}) {
    return idempotency::Home{
        .entry = first, .incarnation = peer->second.incarnation, .issued = now};
  }
  if (this->withdrawn || !this->configuration_current) {
    return std::nullopt;
  }
  return idempotency::Home{.entry = this->options.self,
                           .incarnation = this->options.incarnation,
                           .issued = now};
}

}  // namespace trefoilbend::discovery
