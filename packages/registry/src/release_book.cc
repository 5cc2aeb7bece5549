#include "trefoilbend/registry/release_book.h"

#include <algorithm>

namespace trefoilbend::registry {

namespace {

/** Stands for the version before a release where no target carried traffic. */
constexpr const char* kNoVersion = "none";

/** The version of an order grows like time within an era and tells it from
 * others; over eras each release begins after the one before it. */
std::chrono::sys_seconds BeginOf(const platform::Position& given,
                                 const inventory::Release* previous) {
  const std::chrono::sys_seconds begin{
      std::chrono::seconds{static_cast<std::int64_t>(given.Version().Value())}};
  constexpr std::chrono::seconds kStep{1};
  return previous == nullptr ? begin : std::max(begin, previous->begun + kStep);
}

/** Position of the order that a stored release carries out. Rows of earlier
 * programs tell its version by the release's begin. */
platform::Position OrderOf(const inventory::Release& release,
                           const platform::Position& row) {
  const auto begun =
      static_cast<std::uint64_t>(release.begun.time_since_epoch().count());
  return release.order.value_or(
      platform::Position{row.Era(), core::RowVersion{begun}});
}

bool IsOver(const inventory::Release& release) noexcept {
  return release.state == inventory::ReleaseState::kDone ||
         release.state == inventory::ReleaseState::kTakenBack;
}

/** Whether one state of a release comes after another one of it. */
bool IsFurther(const inventory::Release& one,
               const inventory::Release& other) noexcept {
  return !IsOver(other) && (IsOver(one) || one.step > other.step);
}

bool IsSameRelease(const inventory::Release& one,
                   const inventory::Release& other) {
  return one.version == other.version && one.begun == other.begun;
}

std::optional<core::VersionName> MostCommon(
    const VersionCounts& present, const std::set<core::VersionName>& excluded) {
  const VersionCounts::value_type* most = nullptr;
  for (const auto& one : present) {
    if (!excluded.contains(one.first) &&
        (most == nullptr || most->second < one.second)) {
      most = &one;
    }
  }
  return most == nullptr ? std::nullopt : std::optional{most->first};
}

}  // namespace

void ReleaseBook::PutOrder(const std::string& key, const ReleaseOrder& order,
                           const platform::Position& position,
                           const VersionCounts& present) {
  const auto known = this->orders.find(key);
  if (known != this->orders.end() && known->second.order == order &&
      (known->second.row == position || known->second.may_be_rewritten)) {
    this->Rewrite(known->second, position);
    return;
  }
  this->NoteSuperseded(key, present);
  const auto put =
      this->orders
          .insert_or_assign(key, StoredOrder{order, position, position, false})
          .first;
  this->FollowOrder(put->second);
}

void ReleaseBook::Rewrite(StoredOrder& order,
                          const platform::Position& position) {
  const bool is_carried_out = this->IsCarriedOut(order);
  order.row = position;
  if (is_carried_out) {
    StoredRelease& stored = this->releases.at(order.order.service);
    stored.is_stored = stored.is_stored && stored.order == position;
    stored.order = position;
  }
}

void ReleaseBook::FollowOrder(const StoredOrder& order) {
  const auto stored = this->releases.find(order.order.service);
  if (stored != this->releases.end() && this->IsCarriedOut(order) &&
      stored->second.order.IsOfEarlierEraThan(order.row)) {
    stored->second.order = order.row;
    stored->second.is_stored = false;
  }
}

void ReleaseBook::RemoveOrder(const std::string& key,
                              const VersionCounts& present) {
  this->NoteSuperseded(key, present);
  this->orders.erase(key);
}

void ReleaseBook::PutRelease(const inventory::Release& release,
                             const platform::Position& position) {
  const platform::Position order = OrderOf(release, position);
  const auto known = this->releases.find(release.name);
  const bool goes_back = known != this->releases.end() &&
                         (IsSameRelease(known->second.release, release)
                              ? IsFurther(known->second.release, release)
                              : order.Precedes(known->second.order));
  if (goes_back) {
    known->second.is_stored = false;
    return;
  }
  this->releases.insert_or_assign(release.name,
                                  StoredRelease{release, order, true});
  for (const auto& [key, one] : this->orders) {
    if (one.order.service == release.name) {
      this->FollowOrder(one);
    }
  }
}

void ReleaseBook::BeginEra() {
  for (auto& [service, stored] : this->releases) {
    stored.is_stored = false;
  }
  for (auto& [key, order] : this->orders) {
    order.may_be_rewritten = true;
  }
}

void ReleaseBook::EndRewrites() {
  for (auto& [key, order] : this->orders) {
    order.may_be_rewritten = false;
  }
}

void ReleaseBook::NoteTarget(const inventory::Instance& target,
                             const platform::Position& position,
                             const core::TimePoint now) {
  this->first[target.service].try_emplace(target.version,
                                          FirstTarget{position, now, false});
}

bool ReleaseBook::NoteOrdersKnown(const core::TimePoint as_of) {
  bool any = false;
  for (auto& [service, versions] : this->first) {
    for (auto& [version, first_target] : versions) {
      if (!first_target.settled && first_target.at <= as_of) {
        first_target.settled = true;
        any = true;
      }
    }
  }
  return any;
}

bool ReleaseBook::AwaitsOrders(const core::ServiceName& service,
                               const core::VersionName& version,
                               const VersionCounts& present) const {
  const auto known = this->first.find(service);
  if (known == this->first.end()) {
    return false;
  }
  const auto is_settled = [&](const core::VersionName& one) {
    const auto first_target = known->second.find(one);
    return first_target != known->second.end() && first_target->second.settled;
  };
  return !is_settled(version) &&
         std::any_of(present.begin(), present.end(),
                     [&](const auto& one) { return is_settled(one.first); });
}

std::optional<inventory::Release> ReleaseBook::ReleaseOf(
    const core::ServiceName& service, const std::string& key,
    const VersionCounts& present, const std::chrono::sys_seconds wall) {
  const auto order = this->orders.find(key);
  const inventory::Release* stored = this->StoredFor(service);
  if (order == this->orders.end() && stored == nullptr) {
    return this->OrderTakenAway(service, present);
  }
  const bool stands =
      order == this->orders.end() || this->IsCarriedOut(order->second);
  inventory::Release release =
      stands ? *stored : this->NewRelease(order->second, stored, present, wall);
  if (stands) {
    release.order = this->releases.at(service).order;
  }
  release.withdrawn = this->WithdrawnBefore(release, stands ? nullptr : stored);
  return release;
}

std::optional<core::ServiceName> ReleaseBook::ServiceOf(
    const std::string& key) const {
  const auto order = this->orders.find(key);
  return order == this->orders.end()
             ? std::nullopt
             : std::optional{order->second.order.service};
}

bool ReleaseBook::IsLost(const core::ServiceName& service,
                         const std::string& key) const {
  const auto stored = this->releases.find(service);
  const auto order = this->orders.find(key);
  return stored != this->releases.end() && !stored->second.is_stored &&
         (order == this->orders.end() || this->IsCarriedOut(order->second));
}

const inventory::Release* ReleaseBook::StoredFor(
    const core::ServiceName& service) const {
  const auto stored = this->releases.find(service);
  return stored == this->releases.end() ? nullptr : &stored->second.release;
}

/** Within an era, the release of an order or of a later one. Over eras versions
 * tell nothing, so that a release to the same version is that of the order: it
 * stands in the copy, or was written again. */
bool ReleaseBook::IsCarriedOut(const StoredOrder& order) const {
  const auto stored = this->releases.find(order.order.service);
  if (stored == this->releases.end()) {
    return false;
  }
  const platform::Position& carried_out = stored->second.order;
  if (carried_out.SharesEraWith(order.row)) {
    return !carried_out.Precedes(order.row);
  }
  return order.row.IsOfEarlierEraThan(carried_out) ||
         stored->second.release.version == order.order.version;
}

void ReleaseBook::NoteSuperseded(const std::string& key,
                                 const VersionCounts& present) {
  const auto known = this->orders.find(key);
  if (known == this->orders.end()) {
    return;
  }
  const StoredOrder& order = known->second;
  const core::VersionName& version = order.order.version;
  const inventory::Release* stored = this->StoredFor(order.order.service);
  if (!this->IsCarriedOut(order) &&
      this->CarrierBefore(order, stored, present) != version) {
    this->superseded[order.order.service].insert(version);
  }
}

inventory::Release ReleaseBook::NewRelease(
    const StoredOrder& order, const inventory::Release* previous,
    const VersionCounts& present, const std::chrono::sys_seconds wall) {
  const core::ServiceName& service = order.order.service;
  auto& deadline = this->deadlines[service];
  if (deadline.first != order.given) {
    deadline = {order.given, wall + std::chrono::floor<std::chrono::seconds>(
                                        order.order.within)};
  }
  return {.name = service,
          .version = order.order.version,
          .from = this->CarrierBefore(order, previous, present),
          .begun = BeginOf(order.given, previous),
          .deadline = deadline.second,
          .order = order.row};
}

std::optional<inventory::Release> ReleaseBook::OrderTakenAway(
    const core::ServiceName& service, const VersionCounts& present) const {
  const auto seen = this->superseded.find(service);
  if (seen == this->superseded.end()) {
    return std::nullopt;
  }
  inventory::Release release{
      .name = service,
      .version = *seen->second.begin(),
      .from = MostCommon(present, seen->second)
                  .value_or(core::VersionName{kNoVersion}),
      .state = inventory::ReleaseState::kTakenBack};
  release.withdrawn = this->WithdrawnBefore(release, nullptr);
  return release;
}

core::VersionName ReleaseBook::CarrierBefore(
    const StoredOrder& order, const inventory::Release* previous,
    const VersionCounts& present) const {
  const core::ServiceName& service = order.order.service;
  const core::VersionName& to = order.order.version;
  Names excluded{to};
  if (previous != nullptr) {
    const bool done = previous->state == inventory::ReleaseState::kDone;
    const core::VersionName& carrier =
        done ? previous->version : previous->from;
    if (carrier.Text() != kNoVersion) {
      return carrier;
    }
    excluded.insert(previous->withdrawn.begin(), previous->withdrawn.end());
    excluded.insert(previous->version);
  }
  if (const auto seen = this->superseded.find(service);
      seen != this->superseded.end()) {
    excluded.insert(seen->second.begin(), seen->second.end());
  }
  if (const auto most = MostCommon(present, excluded)) {
    return *most;
  }
  const auto versions = this->first.find(service);
  if (versions == this->first.end()) {
    return core::VersionName{kNoVersion};
  }
  const auto known = versions->second.find(to);
  const bool was_there = known != versions->second.end() &&
                         known->second.row.Precedes(order.given);
  return was_there ? to : core::VersionName{kNoVersion};
}

std::vector<core::VersionName> ReleaseBook::WithdrawnBefore(
    const inventory::Release& release,
    const inventory::Release* previous) const {
  Names withdrawn{release.withdrawn.begin(), release.withdrawn.end()};
  if (const auto seen = this->superseded.find(release.name);
      seen != this->superseded.end()) {
    withdrawn.insert(seen->second.begin(), seen->second.end());
  }
  if (previous != nullptr) {
    withdrawn.insert(previous->withdrawn.begin(), previous->withdrawn.end());
    withdrawn.insert(previous->version);
    withdrawn.insert(previous->from);
  }
  withdrawn.erase(release.version);
  withdrawn.erase(release.from);
  withdrawn.erase(core::VersionName{kNoVersion});
  return {withdrawn.begin(), withdrawn.end()};
}

std::vector<core::VersionName> ReplacedBy(const inventory::Release& done,
                                          const VersionCounts& present) {
  std::set<core::VersionName> replaced{done.withdrawn.begin(),
                                       done.withdrawn.end()};
  replaced.insert(done.from);
  for (const auto& [version, count] : present) {
    replaced.insert(version);
  }
  replaced.erase(done.version);
  replaced.erase(core::VersionName{kNoVersion});
  return {replaced.begin(), replaced.end()};
}

}  // namespace trefoilbend::registry
