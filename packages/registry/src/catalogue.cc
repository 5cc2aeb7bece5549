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
      {{&Catalogue::PutOrder, &Catalogue::RemoveOrder, kRewriteTime},
       {&Catalogue::PutTarget, &Catalogue::RemoveTarget, kReturnTime},
       {&Catalogue::PutFleetRow, &Catalogue::RemoveFleetRow, kRewriteTime}}};
  return kHandlers[IndexOf(table)];
}

platform::Position Catalogue::PositionOf(const Table table) const noexcept {
  const TableKnowledge& known = this->Of(table);
  return known.next ? known.next->position : known.position;
}

bool Catalogue::Take(const Table table, const platform::TableState& state,
                     const core::TimePoint now) {
  if (state.position.Precedes(this->PositionOf(table))) {
    return false;
  }
  if (!this->era) {
    this->era = state.position.Era();
    this->first_read = now;
  }
  if (this->IsInForce(state.position)) {
    this->Replace(table, state, now);
  } else {
    this->SetAside(table, state);
    this->TryBeginEra(now);
  }
  return true;
}

void Catalogue::Take(const Table table, const platform::TableChanges& changes,
                     const core::TimePoint now) {
  TableKnowledge& known = this->Of(table);
  if (!changes.position.SharesEraWith(this->PositionOf(table))) {
    return;
  }
  this->era = this->era.value_or(changes.position.Era());
  if (known.next) {
    this->ChangeSetAside(table, changes);
    return;
  }
  for (const platform::RowChange& change : changes.changes) {
    if (!known.position.Precedes(change.row.position)) {
      continue;
    }
    if (change.deleted) {
      this->Withdraw(table, change.row.key, now);
      known.newest_row = core::LaterOf(known.newest_row, change.row.position);
    } else {
      this->Apply(table, change.row, now);
    }
  }
  known.position = core::LaterOf(known.position, changes.position);
}

void Catalogue::Apply(const Table table, const platform::Row& row,
                      const core::TimePoint now) {
  TableKnowledge& known = this->Of(table);
  known.memory.Put(row);
  known.newest_row = core::LaterOf(known.newest_row, row.position);
  (this->*HandlersOf(table).put)(row, now);
}

void Catalogue::Withdraw(const Table table, const std::string& key,
                         const core::TimePoint now) {
  this->Of(table).memory.Remove(key, now);
  (this->*HandlersOf(table).remove)(key, now);
}

void Catalogue::Replace(const Table table, const platform::TableState& state,
                        const core::TimePoint now) {
  TableKnowledge& known = this->Of(table);
  std::set<std::string> present;
  for (const platform::Row& row : state.rows) {
    present.insert(row.key);
    const HeldRow* held = known.memory.FindHeld(row.key);
    const bool is_news =
        held == nullptr ? !known.memory.Has(row) : !held->IsAgainst(&row);
    if (is_news) {
      this->Apply(table, row, now);
    }
  }
  for (const std::string& key : known.memory.Keys()) {
    const HeldRow* held = known.memory.FindHeld(key);
    if (!present.contains(key) &&
        (held == nullptr || !held->IsAgainst(nullptr))) {
      this->Withdraw(table, key, now);
      known.newest_row = state.position;
    }
  }
  known.position = core::LaterOf(known.position, state.position);
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
  const bool has_all_orders =
      !this->orders_rewritten || *this->orders_rewritten <= as_of;
  if (table == Table::kOrders && has_all_orders) {
    if (std::exchange(this->orders_rewritten, std::nullopt)) {
      this->releases.EndRewrites();
    }
    this->orders_settled =
        this->releases.NoteOrdersKnown(as_of) || this->orders_settled;
  }
  auto& confirmed = this->Of(table).confirmed;
  confirmed = std::max(confirmed.value_or(as_of), as_of);
}

bool Catalogue::IsAfterOutage() const noexcept {
  return this->returned_at &&
         *this->answered - *this->returned_at < kReturnTime;
}

core::Revision Catalogue::Revision() const noexcept {
  std::uint64_t sum = this->missed;
  for (const TableKnowledge& known : this->tables) {
    sum += known.newest_row.Version().Value();
  }
  return core::Revision{sum};
}

bool Catalogue::Includes(const inventory::Configuration& other) const noexcept {
  const std::vector<platform::Position>& sources = other.Sources();
  for (std::size_t at = 0; at < std::min(kTables, sources.size()); ++at) {
    if (this->tables[at].position.Precedes(sources[at])) {
      return false;
    }
  }
  return true;
}

bool Catalogue::IsAheadOf(
    const inventory::Configuration& other) const noexcept {
  const std::vector<platform::Position>& sources = other.Sources();
  for (std::size_t at = 0; at < std::min(kTables, sources.size()); ++at) {
    if (sources[at].Precedes(this->tables[at].newest_row)) {
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
    this->releases.PutOrder(row.key, *release, row.position,
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

void Catalogue::PutTarget(const platform::Row& row, const core::TimePoint now) {
  auto record = this->codec.DecodeTarget(row);
  if (!record) {
    this->unreadable.push_back(row.key);
    this->targets.erase(row.key);
    return;
  }
  const auto known = this->targets.find(row.key);
  const bool again =
      known != this->targets.end() &&
      (known->second.position == row.position ||
       (known->second.position.IsOfEarlierEraThan(row.position) &&
        known->second.record == *record));
  const core::TimePoint cold_until =
      again ? known->second.cold_until : now + record->cold_for;
  this->releases.NoteTarget(record->instance, row.position, now);
  this->targets.insert_or_assign(
      row.key,
      Target{std::move(*record), row.position, cold_until, std::nullopt});
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

bool Catalogue::DropLapsed() {
  const auto& confirmed = this->Of(Table::kTargets).confirmed;
  return std::erase_if(this->targets, [&confirmed](const auto& entry) {
           return entry.second.lapses && entry.second.lapses <= confirmed;
         }) > 0;
}

void Catalogue::PutFleetRow(const platform::Row& row, core::TimePoint /*now*/) {
  auto object = inventory::DecodeObject(row.value);
  if (object && std::holds_alternative<inventory::Instance>(*object)) {
    this->entries.insert_or_assign(
        row.key, std::get<inventory::Instance>(std::move(*object)));
  } else if (object && std::holds_alternative<inventory::Release>(*object)) {
    this->releases.PutRelease(std::get<inventory::Release>(*object),
                              row.position);
  } else {
    this->unreadable.push_back(row.key);
  }
}

void Catalogue::RemoveFleetRow(const std::string& key,
                               core::TimePoint /*now*/) {
  this->entries.erase(key);
}

bool Catalogue::HasEntry(const core::InstanceName& entry) const {
  const std::string key = kEntryRows + entry.Text();
  return this->entries.contains(key) &&
         this->InStore(Table::kFleet, key) != platform::kAbsent;
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
  this->kept_restored = this->KeepsRestored();
  if (this->restored != nullptr && this->Includes(*this->restored) &&
      !this->kept_restored) {
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
  std::vector<core::ServiceName> lost_releases;
  for (inventory::Service service : this->desired->services) {
    service.version = core::VersionName{kAnyVersion};
    service.carries_unnamed_versions = true;
    ServiceVersions& of_service = versions[service.name];
    const std::string order_key = this->codec.ReleaseOrderKey(service.name);
    const auto release = this->releases.ReleaseOf(service.name, order_key,
                                                  of_service.present, wall);
    if (this->releases.IsLost(service.name, order_key)) {
      lost_releases.push_back(service.name);
    }
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
          builder.At(this->Revision()).From(this->SourcePositions()).Build(),
      .listed = std::make_shared<const std::vector<platform::ListedInstance>>(
          std::move(listed)),
      .bounds = this->desired->bounds,
      .era = this->Era(),
      .lost_releases = std::move(lost_releases)};
}

std::vector<platform::Position> Catalogue::SourcePositions() const {
  std::vector<platform::Position> sources;
  for (const TableKnowledge& known : this->tables) {
    sources.emplace_back(this->Era(), known.newest_row.Version());
  }
  return sources;
}

platform::Transaction Catalogue::MoveRelease(
    const inventory::Release& after) const {
  const std::string order_key = this->codec.ReleaseOrderKey(after.name);
  const std::string row_key = kReleaseRows + after.name.Text();
  platform::Transaction transaction;
  transaction.conditions.push_back(
      {.key = order_key, .position = this->InStore(Table::kOrders, order_key)});
  transaction.conditions.push_back(
      {.key = row_key, .position = this->InStore(Table::kFleet, row_key)});
  inventory::Release written = after;
  const inventory::Release* stored = this->releases.StoredFor(after.name);
  const bool was_done = stored != nullptr && stored->version == after.version &&
                        stored->state == inventory::ReleaseState::kDone;
  if (after.state == inventory::ReleaseState::kDone && !was_done) {
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
