#include "trefoilbend/membership/member_table.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace trefoilbend::membership {

namespace {

/** Share of rounds that go to a peer that seems alive. */
constexpr double kPreferAlive = 0.75;

MemberId IdOf(const core::InstanceName& name) {
  return MemberId{XXH32(name.Text().data(), name.Text().size(), 0)};
}

}  // namespace

MemberTable::MemberTable(core::InstanceName self,
                         const core::Incarnation incarnation,
                         const MembershipLimits limits,
                         const std::uint64_t seed)
    : name(std::move(self)),
      self({.id = IdOf(this->name), .incarnation = incarnation}),
      limits(limits),
      random(seed) {}

void MemberTable::Configure(inventory::ConfigurationPtr configuration,
                            const core::TimePoint now) {
  this->configuration = std::move(configuration);
  this->self.revision = this->configuration->Revision();
  std::map<MemberId, Member> next;
  for (const inventory::Instance* entry : this->configuration->Entries()) {
    const MemberId id = IdOf(entry->name);
    if (id == this->self.id) {
      continue;
    }
    auto known = this->members.extract(id);
    Member member = known ? std::move(known.mapped())
                          : Member{.name = entry->name,
                                   .row = {.id = id},
                                   .address = {},
                                   .risen = now};
    member.address = entry->peers;
    next.emplace(id, std::move(member));
  }
  this->members = std::move(next);
}

void MemberTable::NotePlatform(const core::TimePoint sent) {
  this->platform = std::max(this->platform.value_or(sent), sent);
}

void MemberTable::Beat() { this->self.heartbeat = this->self.heartbeat.Next(); }

std::vector<MemberRow> MemberTable::Tell(const core::TimePoint now) {
  std::vector<MemberRow> rows;
  for (const auto& [id, member] : this->members) {
    if (member.heard) {
      rows.push_back(member.row);
      rows.back().age = AgeOf(member, now);
    }
  }
  std::shuffle(rows.begin(), rows.end(), this->random);
  std::stable_sort(
      rows.begin(), rows.end(),
      [](const MemberRow& a, const MemberRow& b) { return a.age < b.age; });
  rows.resize(std::min(rows.size(), this->limits.rows - 1));
  rows.push_back(this->self);
  return rows;
}

void MemberTable::Hear(const std::vector<MemberRow>& rows,
                       const core::TimePoint now) {
  for (const MemberRow& row : rows) {
    if (row.id == this->self.id) {
      this->HearOfSelf(row);
      continue;
    }
    const auto found = this->members.find(row.id);
    if (found == this->members.end() || !Rises(found->second.row, row)) {
      continue;
    }
    Member& member = found->second;
    member.row = row;
    member.risen = now;
    member.heard = true;
  }
}

void MemberTable::HearAnswer(const std::vector<MemberRow>& rows,
                             const core::TimePoint asked,
                             const core::TimePoint now) {
  this->Hear(rows, now);
  for (const MemberRow& row : rows) {
    const auto found = this->members.find(row.id);
    if (found == this->members.end() || row.age >= kUnknownAge ||
        row.incarnation != found->second.row.incarnation) {
      continue;
    }
    std::optional<core::TimePoint>& proven = found->second.proven;
    proven = std::max(proven.value_or(asked - row.age), asked - row.age);
  }
}

std::vector<http::Address> MemberTable::ChoosePeers(const std::size_t count,
                                                    const core::TimePoint now) {
  std::vector<const Member*> peers;
  for (const auto& [id, member] : this->members) {
    if (member.address && !member.row.leaving) {
      peers.push_back(&member);
    }
  }
  std::shuffle(peers.begin(), peers.end(), this->random);
  std::bernoulli_distribution prefer_alive{kPreferAlive};
  if (prefer_alive(this->random)) {
    std::stable_partition(
        peers.begin(), peers.end(), [&](const Member* member) {
          return this->StateOf(*member, now) == PeerState::kAlive;
        });
  }
  peers.resize(std::min(count, peers.size()));
  std::vector<http::Address> addresses;
  addresses.reserve(peers.size());
  for (const Member* peer : peers) {
    addresses.push_back(*peer->address);
  }
  return addresses;
}

std::optional<http::Address> MemberTable::ChooseAhead() {
  std::vector<const Member*> ahead;
  for (const auto& [id, member] : this->members) {
    if (member.address && member.row.revision > this->self.revision) {
      ahead.push_back(&member);
    }
  }
  if (ahead.empty()) {
    return std::nullopt;
  }
  std::uniform_int_distribution<std::size_t> index{0, ahead.size() - 1};
  return ahead[index(this->random)]->address;
}

View MemberTable::Observe(const core::TimePoint now) const {
  View view{.self = this->self.incarnation,
            .peers = {},
            .current = this->IsCurrent(now)};
  for (const auto& [id, member] : this->members) {
    view.peers.push_back({.name = member.name,
                          .incarnation = member.row.incarnation,
                          .state = this->StateOf(member, now),
                          .revision = member.row.revision});
  }
  std::sort(view.peers.begin(), view.peers.end(),
            [](const Peer& a, const Peer& b) { return a.name < b.name; });
  return view;
}

std::optional<http::Address> MemberTable::OwnAddress() const {
  if (this->configuration == nullptr) {
    return std::nullopt;
  }
  const auto* instance =
      this->configuration->Find<inventory::Instance>(this->name.Text());
  return instance == nullptr ? std::nullopt : instance->peers;
}

PeerState MemberTable::StateOf(const Member& member,
                               const core::TimePoint now) const {
  const core::Duration age = now - member.risen;
  if (age >= this->Scale(this->limits.dead)) {
    return PeerState::kDead;
  }
  if (member.row.leaving) {
    return PeerState::kLeaving;
  }
  return age >= this->Scale(this->limits.suspect) ? PeerState::kSuspect
                                                  : PeerState::kAlive;
}

core::Duration MemberTable::Scale(const std::chrono::milliseconds time) const {
  const std::size_t rows = this->limits.rows * this->limits.peers;
  const std::size_t rounds = (this->members.size() + rows) / rows;
  return time * static_cast<std::int64_t>(rounds);
}

bool MemberTable::IsCurrent(const core::TimePoint now) const {
  if (this->configuration == nullptr) {
    return false;
  }
  if (this->HasFreshPlatform(now)) {
    return true;
  }
  const bool is_member = this->configuration->Find<inventory::Instance>(
                             this->name.Text()) != nullptr;
  std::size_t contacts = 1;
  for (const auto& [id, member] : this->members) {
    if (!member.proven || now - *member.proven >= this->limits.fresh) {
      continue;
    }
    if (member.row.revision > this->self.revision) {
      return false;
    }
    ++contacts;
  }
  return is_member && contacts * 2 > this->members.size() + 1;
}

std::chrono::milliseconds MemberTable::AgeOf(const Member& member,
                                             const core::TimePoint now) {
  if (!member.proven) {
    return kUnknownAge;
  }
  return std::min(kUnknownAge, std::chrono::ceil<std::chrono::milliseconds>(
                                   now - *member.proven));
}

void MemberTable::HearOfSelf(const MemberRow& row) {
  if (row.incarnation > this->self.incarnation) {
    this->self.incarnation = row.incarnation.Next();
  }
}

bool MemberTable::Rises(const MemberRow& from, const MemberRow& to) noexcept {
  return to.incarnation != from.incarnation ? to.incarnation > from.incarnation
                                            : to.heartbeat > from.heartbeat;
}

}  // namespace trefoilbend::membership
