#include <algorithm>
#include <chrono>
#include <cstdio>
#include <deque>
#include <string>
#include <vector>

#include "trefoilbend/membership/member_table.h"

namespace {

namespace core = trefoilbend::core;
namespace http = trefoilbend::http;
namespace inventory = trefoilbend::inventory;
namespace membership = trefoilbend::membership;

constexpr int kWarmUpRounds = 40;
constexpr int kMostRounds = 100;
constexpr int kSteadyRounds = 1'000;
constexpr int kHostsPerNetwork = 250;
/** Size of a row of gossip.capnp. */
constexpr std::size_t kRowBytes = 24;
/** Requests and answers that an entry sends a round on average. */
constexpr double kMessagesPerRound = 4;

inventory::ConfigurationPtr Entries(const int count,
                                    const std::uint64_t revision) {
  inventory::Configuration::Builder builder;
  for (int i = 0; i < count; ++i) {
    builder.Put(inventory::Instance{
        .name = core::InstanceName{"entry-" + std::to_string(i)},
        .role = inventory::Role::kEntry,
        .peers = http::Address{
            .host = "10.0." + std::to_string(i / kHostsPerNetwork) + '.' +
                    std::to_string(i % kHostsPerNetwork + 1),
            .port = 7201}});
  }
  return builder.At(core::Revision{revision}).Build();
}

/** Tables that exchange rows and revisions without a network. */
class Fleet {
 public:
  explicit Fleet(const int count) : count(count), changed(Entries(count, 2)) {
    const auto first = Entries(count, 1);
    for (int i = 0; i < count; ++i) {
      this->tables.emplace_back(
          core::InstanceName{"entry-" + std::to_string(i)},
          core::Incarnation{1}, membership::MembershipLimits{},
          static_cast<std::uint64_t>(i) + 1);
      this->tables.back().Configure(first, this->clock.Now());
      this->addresses.push_back(*this->tables.back().OwnAddress());
    }
  }

  void Round() {
    this->clock.Advance(std::chrono::milliseconds{500});
    for (membership::MemberTable& table : this->tables) {
      table.Beat();
      for (const http::Address& peer : table.ChoosePeers(
               membership::MembershipLimits{}.peers, this->clock.Now())) {
        membership::MemberTable& other = this->At(peer);
        const core::TimePoint now = this->clock.Now();
        other.Hear(table.Tell(now), now);
        table.HearAnswer(other.Tell(now), now, now);
      }
      if (table.ChooseAhead()) {
        table.Configure(this->changed, this->clock.Now());
      }
    }
  }

  void Change() { this->tables[0].Configure(this->changed, this->clock.Now()); }

  [[nodiscard]] int Behind() {
    return static_cast<int>(
        std::count_if(this->tables.begin(), this->tables.end(),
                      [](auto& table) { return table.ChooseAhead(); }));
  }

  [[nodiscard]] int Current() {
    return static_cast<int>(std::count_if(
        this->tables.begin(), this->tables.end(), [this](const auto& table) {
          return table.Observe(this->clock.Now()).current;
        }));
  }

  [[nodiscard]] int Confirmed() {
    const membership::View view = this->tables[0].Observe(this->clock.Now());
    return static_cast<int>(std::count_if(
        view.peers.begin(), view.peers.end(),
        [](const auto& peer) { return peer.revision == core::Revision{2}; }));
  }

  [[nodiscard]] std::size_t RowsPerMessage() {
    return this->tables[0].Tell(this->clock.Now()).size();
  }

 private:
  membership::MemberTable& At(const http::Address& address) {
    const auto found =
        std::find(this->addresses.begin(), this->addresses.end(), address);
    return this
        ->tables[static_cast<std::size_t>(found - this->addresses.begin())];
  }

  int count;
  inventory::ConfigurationPtr changed;
  core::ManualClock clock;
  std::deque<membership::MemberTable> tables;
  std::vector<http::Address> addresses;
};

void Measure(const int count) {
  Fleet fleet{count};
  const auto begin = std::chrono::steady_clock::now();
  for (int round = 0; round < kWarmUpRounds; ++round) {
    fleet.Round();
  }
  const std::chrono::duration<double, std::micro> spent =
      std::chrono::steady_clock::now() - begin;
  fleet.Change();
  int rounds = 0;
  while (fleet.Confirmed() < count - 1 && rounds < kMostRounds) {
    fleet.Round();
    ++rounds;
  }
  int current = 0;
  for (int round = 0; round < kSteadyRounds; ++round) {
    fleet.Round();
    current += fleet.Current();
  }
  const std::size_t bytes = fleet.RowsPerMessage() * kRowBytes;
  std::printf("figure decisions_per_entry_and_round_%d %.1f us\n", count,
              spent.count() / kWarmUpRounds / count);
  std::printf("figure change_known_confirmed_everywhere_%d %d rounds\n", count,
              rounds);
  std::printf("figure current_without_platform_%d %.3f share\n", count,
              static_cast<double>(current) / (kSteadyRounds * count));
  std::printf("figure row_bytes_sent_per_entry_%d %.0f B/s\n", count,
              static_cast<double>(bytes) * kMessagesPerRound * 2);
}

}  // namespace

int main() {
  for (const int count : {3, 5, 19, 50, 200}) {
    Measure(count);
  }
  return 0;
}
