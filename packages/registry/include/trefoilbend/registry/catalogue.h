#ifndef TREFOILBEND_REGISTRY_CATALOGUE_H_
#define TREFOILBEND_REGISTRY_CATALOGUE_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "trefoilbend/configuration/messages.h"
#include "trefoilbend/core/clock.h"
#include "trefoilbend/inventory/configuration.h"
#include "trefoilbend/inventory/version_roles.h"
#include "trefoilbend/platform/messages.h"
#include "trefoilbend/registry/release_book.h"
#include "trefoilbend/registry/row_codec.h"
#include "trefoilbend/registry/row_memory.h"

namespace trefoilbend::registry {

/** @brief Tables that the registry follows. */
enum class Table : std::uint8_t { kOrders, kTargets, kFleet };

/** @brief Number of tables. */
inline constexpr std::size_t kTables = 3;

/** @brief All tables. */
inline constexpr std::array<Table, kTables> kAllTables{
    Table::kOrders, Table::kTargets, Table::kFleet};

/** @brief Beginning of the keys of the rows in which entries register. */
inline constexpr const char* kEntryRows = "fleet/entry/";

/** @brief Beginning of the keys of the rows that hold releases. */
inline constexpr const char* kReleaseRows = "fleet/release/";

/** @brief Time after an outage of the store within which targets whose
 * registration lapsed meanwhile register again. */
inline constexpr std::chrono::milliseconds kReturnTime{2'000};

/** @brief Time without an answer on the targets' table from which the store
 * counts as having been away; registrations last longer. */
inline constexpr std::chrono::milliseconds kOutage{2'500};

/** @brief The same within kReturnTime after an outage, so that a store that
 * comes and goes does not drop the targets. */
inline constexpr std::chrono::milliseconds kRelapse{1'200};

/** @brief Time after the store has come back from an older copy within which
 * operators' and entries' rows are written again, and rows that were removed
 * before are removed again. */
inline constexpr std::chrono::milliseconds kRewriteTime{10'000};

/** @brief A target that is kept though its row is gone. */
struct KeptTarget {
  /** @brief Key of the row. */
  std::string key;
  /** @brief Time for which it is kept at least. */
  core::Duration left{};
};

/** @brief The store has come back from an older copy of itself. */
struct EraChange {
  /** @brief Latest position that was known of the era before. */
  platform::Position before;
  /** @brief Latest position in the new era. */
  platform::Position after;
  /** @brief Rows that the store lacks and that stay in force for a time. */
  std::size_t missing{};
  /** @brief Rows that the store has in an older form, which is held back. */
  std::size_t older{};
};

/**
 * @brief What operators, targets and entries have written to the store, made
 * into one configuration.
 *
 * Each table only moves forward: a state older than the one known is passed
 * over, so that a stale read changes nothing. A state of a later era is kept
 * aside until all tables are known in that era, and they come into force
 * together. What was known before then stays in force for a time where the
 * store lacks it, since it is written again.
 */
class Catalogue {
 public:
  /**
   * @brief Makes an empty catalogue.
   * @param codec Reads the rows; outlives the catalogue.
   */
  explicit Catalogue(const RowCodec& codec) : codec(codec) {}

  /**
   * @brief Takes a whole table, into force or aside.
   * @param table Which table it is.
   * @param state Rows of the table.
   * @param now Current time.
   * @return False if it is older than what is known.
   */
  [[nodiscard]] bool Take(Table table, const platform::TableState& state,
                          core::TimePoint now);

  /**
   * @brief Takes changes of a table.
   * @param table Which table it is.
   * @param changes Changes in their order; those of another era than the
   * table's are passed over, as only a whole table begins one.
   * @param now Current time.
   */
  void Take(Table table, const platform::TableChanges& changes,
            core::TimePoint now);

  /**
   * @brief Takes the tables that a peer knew before the store came back from an
   * older copy, where this entry has read the copy alone. Rows that the store
   * lacks or has in an older form are held as peers hold them.
   * @param tables Rows and late deletions of each table in an earlier era.
   * @param until Time up to which they may be held.
   * @param now Current time.
   * @return Whether any row is held by it.
   */
  [[nodiscard]] bool TakeEarlier(
      const std::vector<platform::TableChanges>& tables, core::TimePoint until,
      core::TimePoint now);

  /**
   * @brief Takes note that the store has answered on a table, though it may
   * have told an older state of it.
   *
   * An outage of the store is a time without an answer, whoever got it. What an
   * entry or a peer cannot reach by itself does not count.
   *
   * @param table Which table it is.
   * @param at Time of the answer.
   */
  void NoteAnswered(Table table, core::TimePoint at) noexcept;

  /**
   * @brief Takes note of the time as of which a table is known, which is that
   * of an answer; called before what is news as of that time is taken.
   * @param table Which table it is.
   * @param as_of Time as of which the table is known.
   */
  void NoteConfirmed(Table table, core::TimePoint as_of) noexcept;

  /**
   * @brief Takes a peer's configuration if it is newer than what is known, and
   * older in no table.
   * @param configuration Configuration of a peer.
   * @return Whether it was taken.
   */
  [[nodiscard]] bool Restore(inventory::ConfigurationPtr configuration);

  /**
   * @brief Takes note that the tables as the store has them now are what peers
   * know under a revision, though this entry counts another one, having seen
   * other changes on the way.
   * @param of_peers Revision of the peers.
   */
  void CatchUp(core::Revision of_peers) noexcept;

  /** @return Revision of the configuration that Build makes. */
  [[nodiscard]] core::Revision Revision() const noexcept;

  /**
   * @brief Drops the targets whose registration lapsed in an outage and that
   * are known not to have come back in time.
   * @return Whether any was dropped.
   */
  [[nodiscard]] bool DropLapsed();

  /**
   * @brief Takes what the store has of the rows that were held and are known
   * not to have been written again in time.
   * @param now Current time.
   * @return Whether any row was held for as long.
   */
  [[nodiscard]] bool SettleHeld(core::TimePoint now);

  /** @return Number of the rows that are in force otherwise than the store has
   * them. */
  [[nodiscard]] std::size_t HeldCount() const noexcept;

  /** @return Era of what is in force. */
  [[nodiscard]] platform::Era Era() const noexcept {
    return this->era.value_or(platform::Era{});
  }

  /** @return Whether tables of a later era wait for the others. */
  [[nodiscard]] bool IsChangingEra() const noexcept;

  /**
   * @brief Tells whether a table is known in the latest era that any is.
   * @param table Which table it is.
   * @return Whether it need not be read for the sake of the era.
   */
  [[nodiscard]] bool HasLatestEra(Table table) const noexcept;

  /**
   * @brief Tells whether news come into force at once.
   * @param position Position of the news.
   * @return False if they are of another era than what is in force.
   */
  [[nodiscard]] bool IsInForce(
      const platform::Position& position) const noexcept {
    return !this->era || *this->era == position.Era();
  }

  /** @return The last change of era since the last call. */
  [[nodiscard]] std::optional<EraChange> TakeEraChange() noexcept {
    return std::exchange(this->era_change, std::nullopt);
  }

  /** @return Whether targets of a new version were found since the last call to
   * belong to no order that was still to come. */
  [[nodiscard]] bool TakeSettled() noexcept {
    return std::exchange(this->orders_settled, false);
  }

  /**
   * @brief Makes the configuration of what is known.
   * @param wall Current wall-clock time, from which deadlines count.
   * @return Configuration with the list of instances; nothing before the first
   * desired state.
   */
  [[nodiscard]] std::optional<configuration::Update> Build(
      std::chrono::sys_seconds wall);

  /**
   * @brief Prepares the transaction that moves a release on.
   * @param after Release as it shall become.
   * @return The transaction, guarded by the release's order and row.
   */
  [[nodiscard]] platform::Transaction MoveRelease(
      const inventory::Release& after) const;

  /** @return Position up to which a table is known, in force or aside. */
  [[nodiscard]] platform::Position PositionOf(Table table) const noexcept;

  /** @return Number of the desired state in force. */
  [[nodiscard]] std::uint64_t DesiredVersion() const noexcept {
    return this->desired ? this->desired->version : 0;
  }

  /** @return Entries that have registered. */
  [[nodiscard]] std::vector<inventory::Instance> Entries() const;

  /**
   * @brief Tells whether an entry has registered.
   * @param entry Name of the entry.
   * @return Whether the store has its row.
   */
  [[nodiscard]] bool HasEntry(const core::InstanceName& entry) const;

  /** @return Number of the entries that have registered. */
  [[nodiscard]] std::size_t EntryCount() const noexcept {
    return this->entries.size();
  }

  /** @return Rows that could not be read since the last call. */
  [[nodiscard]] std::vector<std::string> TakeUnreadable();

  /** @return Targets that were kept without a row since the last call. */
  [[nodiscard]] std::vector<KeptTarget> TakeKept() {
    return std::exchange(this->kept, {});
  }

 private:
  struct Target {
    TargetRecord record;
    platform::Position position;
    core::TimePoint cold_until{};
    /** Time up to which a target without a row may register again. */
    std::optional<core::TimePoint> lapses;
  };

  /** Versions of a service's targets, and which calls they take. */
  struct ServiceVersions {
    VersionCounts present;
    inventory::VersionRoles roles;
  };

  using Versions = std::map<core::ServiceName, ServiceVersions>;
  using Put = void (Catalogue::*)(const platform::Row&, core::TimePoint);
  using Remove = void (Catalogue::*)(const std::string&, core::TimePoint);

  struct Handlers {
    Put put;
    Remove remove;
    /** Time for which a row that the store lacks in a new era is kept. */
    std::chrono::milliseconds keep_missing;
  };

  /** What is known of a table. */
  struct TableKnowledge {
    platform::Position position;
    platform::Position newest_row;
    RowMemory memory;
    /** Time as of which it is known. */
    std::optional<core::TimePoint> confirmed;
    /** The table in a later era, which waits for the other tables. */
    std::optional<platform::TableState> next;
  };

  [[nodiscard]] static const Handlers& HandlersOf(Table table) noexcept;

  void PutOrder(const platform::Row& row, core::TimePoint now);
  void PutTarget(const platform::Row& row, core::TimePoint now);
  void PutFleetRow(const platform::Row& row, core::TimePoint now);
  void RemoveOrder(const std::string& key, core::TimePoint now);
  void RemoveTarget(const std::string& key, core::TimePoint now);
  void RemoveFleetRow(const std::string& key, core::TimePoint now);

  [[nodiscard]] TableKnowledge& Of(Table table) noexcept {
    return this->tables[static_cast<std::size_t>(table)];
  }
  [[nodiscard]] const TableKnowledge& Of(Table table) const noexcept {
    return this->tables[static_cast<std::size_t>(table)];
  }
  [[nodiscard]] platform::Position InStore(Table table,
                                           const std::string& key) const {
    return this->Of(table).memory.InStore(key);
  }
  /** Takes a row into force. */
  void Apply(Table table, const platform::Row& row, core::TimePoint now);
  /** Takes a row out of force. */
  void Withdraw(Table table, const std::string& key, core::TimePoint now);
  void Replace(Table table, const platform::TableState& state,
               core::TimePoint now);
  /** Whether a row of a later era is taken at once, whatever its version: steps
   * of releases, as what is known of them is further and is written again by
   * the holder of the lease, and targets that say that they leave. */
  [[nodiscard]] bool IsTakenAtOnce(Table table, const platform::Row& row) const;
  /** Replace for the first state of a later era. */
  void ReplaceOverEras(Table table, const platform::TableState& state,
                       core::TimePoint now);
  void SetAside(Table table, const platform::TableState& state);
  void ChangeSetAside(Table table, const platform::TableChanges& changes);
  /** Brings the tables that were set aside into force once all are there. */
  void TryBeginEra(core::TimePoint now);
  /** Holds a row as a peer had it in force, unless the store has it as new.
   * Returns whether it is held. */
  bool HoldEarlier(Table table, const platform::RowChange& earlier,
                   core::TimePoint until, core::TimePoint now);
  /** Takes what the store has of a row that was held for long enough. */
  void Settle(Table table, const std::string& key, const HeldRow& held,
              core::TimePoint now);
  /** Whether the store last answered soon after an outage. */
  [[nodiscard]] bool IsAfterOutage() const noexcept;
  /** Whether the tables hold all that a peer's configuration was made from. */
  [[nodiscard]] bool Includes(
      const inventory::Configuration& other) const noexcept;
  /** Whether some table holds newer rows than a peer's configuration. */
  [[nodiscard]] bool IsAheadOf(
      const inventory::Configuration& other) const noexcept;
  [[nodiscard]] std::optional<inventory::Release> ReleaseOf(
      const core::ServiceName& service, std::chrono::sys_seconds wall);
  [[nodiscard]] VersionCounts VersionsOf(
      const core::ServiceName& service) const;
  [[nodiscard]] std::vector<platform::Position> SourcePositions() const;
  /** Whether a peer's configuration of an earlier era stays in force for a
   * while, as the rows that the store has lost are written again. */
  [[nodiscard]] bool KeepsRestored() const noexcept;
  [[nodiscard]] Versions AllVersions() const;
  /** Whether an order that names a target's version may still come. */
  [[nodiscard]] bool AwaitsOrders(const inventory::Instance& target,
                                  const ServiceVersions& versions) const;
  void AddTargets(const Versions& versions,
                  inventory::Configuration::Builder& builder,
                  std::vector<platform::ListedInstance>& listed) const;

  const RowCodec& codec;
  std::array<TableKnowledge, kTables> tables;
  /** Era of what is in force; nothing before the first read. */
  std::optional<platform::Era> era;
  std::optional<EraChange> era_change;
  /** Time from which the operators have written again what the store lost. */
  std::optional<core::TimePoint> orders_rewritten;
  /** Time of the first read. */
  std::optional<core::TimePoint> first_read;
  /** Difference between the peers' count of changes and this entry's. */
  std::uint64_t missed{};
  std::optional<DesiredState> desired;
  std::map<std::string, EvacuationOrder> evacuations;
  std::map<std::string, Target> targets;
  std::map<std::string, inventory::Instance> entries;
  ReleaseBook releases;
  /** Whether targets may have stopped waiting for an order since the last call
   * of TakeSettled. */
  bool orders_settled{};
  inventory::ConfigurationPtr restored;
  /** Whether it was in force last though the tables hold as much. */
  bool kept_restored{};
  std::vector<std::string> unreadable;
  std::vector<KeptTarget> kept;
  /** Time of the last answer on the targets' table. */
  std::optional<core::TimePoint> answered;
  /** Time of the first answer after the last outage. */
  std::optional<core::TimePoint> returned_at;
};

}  // namespace trefoilbend::registry

#endif  // TREFOILBEND_REGISTRY_CATALOGUE_H_
