#include "trefoilbend/registry/catalogue.h"

#include <algorithm>
#include <set>
#include <utility>

#include "trefoilbend/inventory/codec.h"

namespace trefoilbend::registry {

namespace {

constexpr std::size_t IndexOf(const Table table) noexcept {
  return static_cast<std::size_t>(table);
}

/** Stands for the version of a service that no release has named. */
constexpr const char* kAnyVersion = "any";

}  // namespace

const Catalogue::Handlers& Catalogue::HandlersOf(const Table table) noexcept {
  static constexpr std::array<Handlers, kTables> kHandlers{
      {{&Catalogue::PutOrder, &Catalogue::RemoveOrder, &Catalogue::OrderKeys},
       {&Catalogue::PutTarget, &Catalogue::RemoveTarget,
        &Catalogue::TargetKeys},
       {&Catalogue::PutFleetRow, &Catalogue::RemoveFleetRow,
        &Catalogue::FleetKeys}}};
  return kHandlers[IndexOf(table)];
}

bool Catalogue::Take(const Table table, const platform::TableState& state,
                     const core::TimePoint now) {
  if (state.version < this->VersionOf(table)) {
    return false;
  }
  const Handlers& handlers = HandlersOf(table);
  std::set<std::string> present;
  for (const platform::Row& row : state.rows) {
    present.insert(row.key);
    (this->*handlers.put)(row, now);
    this->newest_rows[IndexOf(table)] =
        std::max(this->newest_rows[IndexOf(table)], row.version);
  }
  for (const std::string& key : (this->*handlers.keys)()) {
    if (!present.contains(key)) {
      (this->*handlers.remove)(key, now);
      this->newest_rows[IndexOf(table)] = state.version;
    }
  }
  this->Advance(table, state.version);
  return true;
}

void Catalogue::Take(const Table table, const platform::TableChanges& changes,
                     const core::TimePoint now) {
  const Handlers& handlers = HandlersOf(table);
  for (const platform::RowChange& change : changes.changes) {
    if (change.row.version <= this->VersionOf(table)) {
      continue;
    }
    if (change.deleted) {
      (this->*handlers.remove)(change.row.key, now);
    } else {
      (this->*handlers.put)(change.row, now);
    }
    this->newest_rows[IndexOf(table)] =
        std::max(this->newest_rows[IndexOf(table)], change.row.version);
  }
  this->Advance(table, changes.version);
}

void Catalogue::Advance(const Table table,
                        const platform::RowVersion version) noexcept {
  platform::RowVersion& known = this->versions[IndexOf(table)];
  known = std::max(known, version);
}

void Catalogue::NoteAnswered(const Table table,
                             const core::TimePoint at) noexcept {
  if (table != Table::kTargets || at <= this->answered) {
    return;
  }
  const bool was_away =
      this->answered &&
      at - *this->answered >= (this->IsAfterOutage() ? kRelapse : kOutage);
  this->answered = at;
  if (!was_away) {
    return;
  }
  this->returned_at = at;
  for (auto& [key, target] : this->targets) {
    if (target.lapses) {
      target.lapses = at + kReturnTime;
    }
  }
}

void Catalogue::NoteConfirmed(const Table table,
                              const core::TimePoint as_of) noexcept {
  this->NoteAnswered(table, as_of);
  if (table == Table::kOrders) {
    this->orders_settled =
        this->releases.NoteOrdersKnown(as_of) || this->orders_settled;
  }
  if (table == Table::kTargets) {
    this->confirmed = std::max(this->confirmed.value_or(as_of), as_of);
  }
}

bool Catalogue::IsAfterOutage() const noexcept {
  return this->returned_at &&
         *this->answered - *this->returned_at < kReturnTime;
}

core::Revision Catalogue::Revision() const noexcept {
  std::uint64_t sum = this->missed;
  for (const platform::RowVersion version : this->newest_rows) {
    sum += version.Value();
  }
  return core::Revision{sum};
}

bool Catalogue::Includes(const inventory::Configuration& other) const noexcept {
  const std::vector<std::uint64_t>& sources = other.Sources();
  for (std::size_t at = 0; at < std::min(kTables, sources.size()); ++at) {
    if (this->versions[at].Value() < sources[at]) {
      return false;
    }
  }
  return true;
}

bool Catalogue::IsAheadOf(
    const inventory::Configuration& other) const noexcept {
  const std::vector<std::uint64_t>& sources = other.Sources();
  for (std::size_t at = 0; at < std::min(kTables, sources.size()); ++at) {
    if (sources[at] < this->newest_rows[at].Value()) {
      return true;
    }
  }
  return false;
}

bool Catalogue::Restore(inventory::ConfigurationPtr configuration) {
  const bool is_known =
      this->Includes(*configuration) || this->IsAheadOf(*configuration);
  const bool is_older = this->restored != nullptr &&
                        configuration->Revision() <= this->restored->Revision();
  if (is_known || is_older) {
    return false;
  }
  this->restored = std::move(configuration);
  return true;
}

void Catalogue::CatchUp(const core::Revision of_peers) noexcept {
  const core::Revision own = this->Revision();
  if (own < of_peers) {
    this->missed += of_peers.Value() - own.Value();
  }
}

void Catalogue::PutOrder(const platform::Row& row, core::TimePoint /*now*/) {
  Order order = this->codec.DecodeOrder(row);
  if (auto* state = std::get_if<DesiredState>(&order)) {
    if (!this->desired || this->desired->version < state->version) {
      this->desired = std::move(*state);
    }
  } else if (auto* release = std::get_if<ReleaseOrder>(&order)) {
    this->releases.PutOrder(row.key, *release, row.version,
                            this->VersionsOf(release->service));
  } else if (auto* evacuation = std::get_if<EvacuationOrder>(&order)) {
    this->evacuations.insert_or_assign(row.key, *evacuation);
  } else if (std::holds_alternative<UnreadableOrder>(order)) {
    this->unreadable.push_back(row.key);
  }
}

void Catalogue::RemoveOrder(const std::string& key, core::TimePoint /*now*/) {
  if (const auto service = this->releases.ServiceOf(key)) {
    this->releases.RemoveOrder(key, this->VersionsOf(*service));
  }
  this->evacuations.erase(key);
}

std::vector<std::string> Catalogue::OrderKeys() const {
  std::vector<std::string> keys = this->releases.OrderKeys();
  for (const auto& [key, order] : this->evacuations) {
    keys.push_back(key);
  }
  return keys;
}

void Catalogue::PutTarget(const platform::Row& row, const core::TimePoint now) {
  auto record = this->codec.DecodeTarget(row);
  if (!record) {
    this->unreadable.push_back(row.key);
    this->targets.erase(row.key);
    return;
  }
  const auto known = this->targets.find(row.key);
  const bool again =
      known != this->targets.end() && known->second.version == row.version;
  const core::TimePoint cold_until =
      again ? known->second.cold_until : now + record->cold_for;
  this->releases.NoteTarget(record->instance, row.version, now);
  this->targets.insert_or_assign(
      row.key,
      Target{std::move(*record), row.version, cold_until, std::nullopt});
}

void Catalogue::RemoveTarget(const std::string& key, core::TimePoint /*now*/) {
  const auto found = this->targets.find(key);
  if (found == this->targets.end()) {
    return;
  }
  if (found->second.record.draining || !this->IsAfterOutage()) {
    this->targets.erase(found);
    return;
  }
  found->second.lapses = *this->returned_at + kReturnTime;
  this->kept.push_back(
      {.key = key, .left = *found->second.lapses - *this->answered});
}

std::vector<std::string> Catalogue::TargetKeys() const {
  std::vector<std::string> keys;
  for (const auto& [key, target] : this->targets) {
    if (!target.lapses) {
      keys.push_back(key);
    }
  }
  return keys;
}

bool Catalogue::DropLapsed() {
  return std::erase_if(this->targets, [this](const auto& entry) {
           return entry.second.lapses && entry.second.lapses <= this->confirmed;
         }) > 0;
}

void Catalogue::PutFleetRow(const platform::Row& row, core::TimePoint /*now*/) {
  auto object = inventory::DecodeObject(row.value);
  if (object && std::holds_alternative<inventory::Instance>(*object)) {
    this->entries.insert_or_assign(
        row.key, std::get<inventory::Instance>(std::move(*object)));
  } else if (object && std::holds_alternative<inventory::Release>(*object)) {
    this->releases.PutRelease(std::get<inventory::Release>(*object),
                              row.version);
  } else {
    this->unreadable.push_back(row.key);
  }
}

void Catalogue::RemoveFleetRow(const std::string& key,
                               core::TimePoint /*now*/) {
  this->entries.erase(key);
}

std::vector<std::string> Catalogue::FleetKeys() const {
  std::vector<std::string> keys;
  for (const auto& [key, entry] : this->entries) {
    keys.push_back(key);
  }
  return keys;
}

VersionCounts Catalogue::VersionsOf(const core::ServiceName& service) const {
  VersionCounts counts;
  for (const auto& [key, target] : this->targets) {
    const inventory::Instance& instance = target.record.instance;
    if (instance.service == service) {
      ++counts[instance.version];
    }
  }
  return counts;
}

Catalogue::Versions Catalogue::AllVersions() const {
  Versions versions;
  for (const auto& [key, target] : this->targets) {
    const inventory::Instance& instance = target.record.instance;
    ++versions[instance.service].present[instance.version];
  }
  return versions;
}

bool Catalogue::AwaitsOrders(const inventory::Instance& target,
                             const ServiceVersions& versions) const {
  const bool is_named =
      versions.roles.CallsOf(target.version) == target.version;
  return !is_named && this->releases.AwaitsOrders(
                          target.service, target.version, versions.present);
}

void Catalogue::AddTargets(
    const Versions& versions, inventory::Configuration::Builder& builder,
    std::vector<platform::ListedInstance>& listed) const {
  std::map<core::ServiceName, std::uint32_t> connections;
  for (std::size_t at = 0; at < this->desired->services.size(); ++at) {
    connections.emplace(this->desired->services[at].name,
                        this->desired->connections.at(at));
  }
  for (const auto& [key, target] : this->targets) {
    inventory::Instance instance = target.record.instance;
    const auto limit = connections.find(instance.service);
    if (limit == connections.end() || target.record.draining ||
        this->AwaitsOrders(instance, versions.at(instance.service))) {
      continue;
    }
    instance.connections = limit->second;
    listed.push_back({.name = instance.name,
                      .cold_until = target.cold_until,
                      .incarnation = target.record.incarnation});
    builder.Put(std::move(instance));
  }
}

std::optional<configuration::Update> Catalogue::Build(
    const std::chrono::sys_seconds wall) {
  std::vector<platform::ListedInstance> listed;
  if (this->restored != nullptr && this->Includes(*this->restored)) {
    this->restored.reset();
  }
  if (this->restored != nullptr) {
    for (const auto& [key, object] : this->restored->Objects()) {
      if (const auto* instance = std::get_if<inventory::Instance>(&object)) {
        listed.push_back({.name = instance->name});
      }
    }
    return configuration::Update{
        .configuration = this->restored,
        .listed = std::make_shared<const std::vector<platform::ListedInstance>>(
            std::move(listed))};
  }
  if (!this->desired) {
    return std::nullopt;
  }
  inventory::Configuration::Builder builder;
  Versions versions = this->AllVersions();
  for (inventory::Service service : this->desired->services) {
    service.version = core::VersionName{kAnyVersion};
    service.carries_unnamed_versions = true;
    ServiceVersions& of_service = versions[service.name];
    const auto release = this->releases.ReleaseOf(
        service.name, this->codec.ReleaseOrderKey(service.name),
        of_service.present, wall);
    if (release) {
      const bool done = release->state == inventory::ReleaseState::kDone;
      service.version = done ? release->version : release->from;
      builder.Put(*release);
    }
    of_service.roles =
        inventory::VersionRoles{service, release ? &*release : nullptr};
    builder.Put(std::move(service));
  }
  for (const inventory::Route& route : this->desired->routes) {
    builder.Put(route);
  }
  for (const auto& [key, evacuation] : this->evacuations) {
    builder.Put(inventory::Outage{evacuation.data_centre});
  }
  this->AddTargets(versions, builder, listed);
  for (const auto& [key, entry] : this->entries) {
    builder.Put(entry);
    listed.push_back({.name = entry.name});
  }
  return configuration::Update{
      .configuration =
          builder.At(this->Revision()).From(this->SourceVersions()).Build(),
      .listed = std::make_shared<const std::vector<platform::ListedInstance>>(
          std::move(listed)),
      .bounds = this->desired->bounds};
}

std::vector<std::uint64_t> Catalogue::SourceVersions() const {
  std::vector<std::uint64_t> sources;
  for (const platform::RowVersion version : this->newest_rows) {
    sources.push_back(version.Value());
  }
  return sources;
}

platform::Transaction Catalogue::MoveRelease(
    const inventory::Release& after) const {
  const std::string order_key = this->codec.ReleaseOrderKey(after.name);
  const std::string row_key = kReleaseRows + after.name.Text();
  platform::Transaction transaction;
  transaction.conditions.push_back(
      {.key = order_key, .version = this->releases.OrderRow(order_key)});
  transaction.conditions.push_back(
      {.key = row_key, .version = this->releases.ReleaseRow(after.name)});
  inventory::Release written = after;
  if (after.state == inventory::ReleaseState::kDone) {
    written.withdrawn = ReplacedBy(after, this->VersionsOf(after.name));
  }
  transaction.writes.push_back(
      {.key = row_key, .value = inventory::Encode(inventory::Object{written})});
  transaction.writes.push_back(this->codec.EncodeStatus(after));
  return transaction;
}

std::vector<inventory::Instance> Catalogue::Entries() const {
  std::vector<inventory::Instance> registered;
  registered.reserve(this->entries.size());
  for (const auto& [key, entry] : this->entries) {
    registered.push_back(entry);
  }
  return registered;
}

std::vector<std::string> Catalogue::TakeUnreadable() {
  return std::exchange(this->unreadable, {});
}

}  // namespace trefoilbend::registry
