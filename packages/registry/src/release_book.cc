#include "trefoilbend/registry/release_book.h"

#include <algorithm>

namespace trefoilbend::registry {

namespace {

/** Stands for the version before a release where no target carried traffic. */
constexpr const char* kNoVersion = "none";

/** The version of an order grows like time and tells it from others. */
std::chrono::sys_seconds BeginOf(const platform::RowVersion order) {
  return std::chrono::sys_seconds{
      std::chrono::seconds{static_cast<std::int64_t>(order.Value())}};
}

/** Whether a stored release is that of an order, or of a later one. */
bool Holds(const inventory::Release* stored,
           const platform::RowVersion order) noexcept {
  return stored != nullptr && stored->begun >= BeginOf(order);
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
                           const platform::RowVersion version,
                           const VersionCounts& present) {
  this->NoteSuperseded(key, present);
  this->orders.insert_or_assign(key, StoredOrder{order, version});
}

void ReleaseBook::RemoveOrder(const std::string& key,
                              const VersionCounts& present) {
  this->NoteSuperseded(key, present);
  this->orders.erase(key);
}

void ReleaseBook::PutRelease(const inventory::Release& release,
                             const platform::RowVersion version) {
  this->releases.insert_or_assign(release.name,
                                  StoredRelease{release, version});
}

void ReleaseBook::NoteTarget(const inventory::Instance& target,
                             const platform::RowVersion version,
                             const core::TimePoint now) {
  this->first[target.service].try_emplace(target.version,
                                          FirstTarget{version, now, false});
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
      order == this->orders.end() || Holds(stored, order->second.version);
  inventory::Release release =
      stands ? *stored : this->NewRelease(order->second, stored, present, wall);
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

std::vector<std::string> ReleaseBook::OrderKeys() const {
  std::vector<std::string> keys;
  for (const auto& [key, order] : this->orders) {
    keys.push_back(key);
  }
  return keys;
}

platform::RowVersion ReleaseBook::OrderRow(const std::string& key) const {
  const auto order = this->orders.find(key);
  return order == this->orders.end() ? platform::kAbsent
                                     : order->second.version;
}

platform::RowVersion ReleaseBook::ReleaseRow(
    const core::ServiceName& service) const {
  const auto stored = this->releases.find(service);
  return stored == this->releases.end() ? platform::kAbsent
                                        : stored->second.version;
}

const inventory::Release* ReleaseBook::StoredFor(
    const core::ServiceName& service) const {
  const auto stored = this->releases.find(service);
  return stored == this->releases.end() ? nullptr : &stored->second.release;
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
  if (!Holds(stored, order.version) &&
      this->CarrierBefore(order, stored, present) != version) {
    this->superseded[order.order.service].insert(version);
  }
}

inventory::Release ReleaseBook::NewRelease(
    const StoredOrder& order, const inventory::Release* previous,
    const VersionCounts& present, const std::chrono::sys_seconds wall) {
  const core::ServiceName& service = order.order.service;
  auto& deadline = this->deadlines[service];
  if (deadline.first != order.version) {
    deadline = {order.version, wall + std::chrono::floor<std::chrono::seconds>(
                                          order.order.within)};
  }
  return {.name = service,
          .version = order.order.version,
          .from = this->CarrierBefore(order, previous, present),
          .begun = BeginOf(order.version),
          .deadline = deadline.second};
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
  const bool was_there =
      known != versions->second.end() && known->second.row < order.version;
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
