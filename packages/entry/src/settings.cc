#include "trefoilbend/entry/settings.h"

#include <chrono>
#include <random>
#include <sstream>
#include <utility>

#include "trefoilbend/balancing/strategy.h"
#include "trefoilbend/settings/section.h"
#include "trefoilbend/wire/caller_protocol.h"
#include "trefoilbend/wire/row_codec.h"
#include "trefoilbend/wire/store_client.h"
#include "trefoilbend/wire/target_protocol.h"

namespace trefoilbend::entry {

namespace {

using namespace std::chrono_literals;
using settings::Mistakes;
using settings::Section;

constexpr std::uint64_t kMostCalls = 1'000'000;
constexpr std::uint64_t kMostHeader = 1U << 20U;
constexpr std::uint64_t kMostBody = 64U << 20U;
constexpr std::uint64_t kMostMemory = 1ULL << 40U;
/** Part of an entry's memory that request bodies may take: one in so many. */
constexpr std::uint64_t kBodiesPartOfMemory = 2;
constexpr std::uint64_t kMostKeys = 10'000'000;
constexpr std::uint64_t kMostAnswers = 1U << 30U;
constexpr std::uint64_t kMostAttempts = 10;
constexpr std::uint64_t kMostProbes = 8;
constexpr std::uint64_t kMostTraces = 64U << 20U;
constexpr std::uint64_t kMostHedgePercent = 50;
constexpr std::uint64_t kWholePercent = 100;
constexpr double kMostCores = 1'024;
/** Longer than a configuration or list needs to be known everywhere. */
constexpr std::chrono::seconds kShareDelay{10};

constexpr const char* kOwnTable = "own-table";
constexpr const char* kUsersStore = "users-store";
/** Longest time for which the store holds a request that waits for a change. */
constexpr std::chrono::seconds kWatch{10};

std::chrono::milliseconds Milliseconds(const std::chrono::microseconds time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time);
}

/** Two runs of one entry never begin within the same microsecond. */
core::Incarnation NewIncarnation() {
  const auto now = std::chrono::time_point_cast<std::chrono::microseconds>(
      std::chrono::system_clock::now());
  return core::Incarnation{
      static_cast<std::uint64_t>(now.time_since_epoch().count())};
}

class Reader {
 public:
  explicit Reader(const settings::Document& document) : document(document) {}

  core::Outcome<Settings, Mistakes> Read() {
    const std::vector<std::pair<std::string, void (Reader::*)(Section&)>>
        readers{{"entry", &Reader::ReadEntry},
                {"callers", &Reader::ReadCallers},
                {"keys", &Reader::ReadKeys},
                {"balancing", &Reader::ReadBalancing},
                {"forwarding", &Reader::ReadForwarding},
                {"membership", &Reader::ReadMembership},
                {"platform", &Reader::ReadPlatform},
                {"operations", &Reader::ReadOperations},
                {"log", &Reader::ReadLog}};
    this->RefuseOtherSections(readers);
    for (const auto& [name, reader] : readers) {
      Section section{this->document.File(), name, this->EntriesOf(name),
                      this->mistakes};
      (this->*reader)(section);
      section.RefuseOtherKeys();
    }
    if (!this->mistakes.empty()) {
      return std::move(this->mistakes);
    }
    return std::move(this->result);
  }

 private:
  [[nodiscard]] const settings::Document::Entries& EntriesOf(
      const std::string& name) const {
    static const settings::Document::Entries kNone;
    for (const auto& [title, entries] : this->document.Sections()) {
      if (title == name) {
        return entries;
      }
    }
    return kNone;
  }

  template <typename Readers>
  void RefuseOtherSections(const Readers& readers) {
    std::string expected = "one of the sections";
    for (const auto& [name, reader] : readers) {
      expected += " [" + name + "]";
    }
    for (const auto& [title, entries] : this->document.Sections()) {
      bool known = false;
      for (const auto& [name, reader] : readers) {
        known = known || name == title;
      }
      if (!known) {
        Section{this->document.File(), title, entries, this->mistakes}.Refuse(
            "", expected);
      }
    }
  }

  void ReadEntry(Section& section) {
    const core::InstanceName self{section.Text("name")};
    this->result.callers.self = self;
    this->result.balancing.self = self;
    this->result.callers.incarnation = NewIncarnation();
    this->result.callers.seed = std::random_device{}();
    this->result.balancing.seed = std::random_device{}();
    this->result.configuration.self = self;
    this->result.operations.self = self;
    this->result.membership.self = self;
    this->self.name = self;
    this->self.role = inventory::Role::kEntry;
    this->self.data_centre =
        core::DataCentreName{section.Text("data-centre", "")};
    this->self.processor_percent = static_cast<std::uint32_t>(
        kWholePercent * section.Decimal("cores", {0.01, kMostCores}, 1.0));
    if (const std::uint64_t memory =
            section.Bytes("memory", {0, kMostMemory}, 0)) {
      this->result.callers.limits.bodies = memory / kBodiesPartOfMemory;
    }
    this->result.membership.incarnation = this->result.callers.incarnation;
  }

  void ReadCallers(Section& section) {
    callers::Options& options = this->result.callers;
    callers::Limits& limits = options.limits;
    options.address = section.Address("address");
    this->self.address = options.address;
    options.directory = section.OptionalAddress("directory");
    options.readiness = section.OptionalAddress("readiness");
    options.keep =
        Milliseconds(section.Time("keep", {100ms, 1min}, options.keep));
    options.leave_notice = Milliseconds(
        section.Time("leave-notice", {0ms, 1min}, options.leave_notice));
    if (const auto grace = section.OptionalTime("grace", {100ms, 1h})) {
      options.grace = Milliseconds(*grace);
    }
    limits.calls = section.Integer("max-calls", {1, kMostCalls}, limits.calls);
    limits.connections =
        section.Integer("max-connections", {1, kMostCalls}, limits.connections);
    limits.header = static_cast<std::uint32_t>(
        section.Bytes("max-header", {1'024, kMostHeader}, limits.header));
    limits.body = section.Bytes("max-body", {0, kMostBody}, limits.body);
    limits.bodies =
        section.Bytes("max-bodies", {0, kMostMemory}, limits.bodies);
    limits.receive = Milliseconds(
        section.Time("receive-timeout", {10ms, 1h}, limits.receive));
    limits.send =
        Milliseconds(section.Time("send-timeout", {10ms, 1h}, limits.send));
    limits.idle =
        Milliseconds(section.Time("idle-timeout", {10ms, 1h}, limits.idle));
  }

  void ReadKeys(Section& section) {
    callers::KeyLimits& limits = this->result.callers.keys;
    limits.retention =
        Milliseconds(section.Time("retention", {1s, 24h}, limits.retention));
    limits.keys = section.Integer("max-keys", {1, kMostKeys}, limits.keys);
    limits.answers =
        section.Bytes("max-answers", {0, kMostAnswers}, limits.answers);
    limits.answer = section.Bytes("max-answer", {0, kMostBody}, limits.answer);
    limits.late_answer =
        Milliseconds(section.Time("late-answer", {0s, 1h}, limits.late_answer));
    limits.claim_retention = Milliseconds(
        section.Time("claim-retention", {1s, 8'760h}, limits.claim_retention));
    if (limits.claim_retention < limits.retention) {
      section.Refuse("claim-retention", "a time not shorter than retention");
    }
    limits.claim_sweep = Milliseconds(
        section.Time("claim-sweep", {100ms, 24h}, limits.claim_sweep));
  }

  void ReadBalancing(Section& section) {
    balancing::DispatcherOptions& options = this->result.balancing;
    options.strategy =
        section.Word("strategy", balancing::StrategyNames(), options.strategy);
    options.queue.length =
        section.Integer("queue", {1, kMostCalls}, options.queue.length);
    options.attempts = static_cast<std::uint32_t>(
        section.Integer("attempts", {1, kMostAttempts}, options.attempts));
    options.probes = static_cast<std::uint32_t>(
        section.Integer("probes", {0, kMostProbes}, options.probes));
    options.fleet_attempts.attempts = static_cast<std::uint32_t>(
        section.Integer("fleet-attempts", {0, kMostCalls}, 0));
    options.fleet_attempts.window = Milliseconds(section.Time(
        "fleet-attempts-window", {100ms, 1h}, options.fleet_attempts.window));
    options.hedge_percent = static_cast<std::uint32_t>(section.Integer(
        "hedge-percent", {0, kMostHedgePercent}, options.hedge_percent));
    options.further_attempts_percent = static_cast<std::uint32_t>(
        section.Integer("further-attempts-percent", {0, kWholePercent},
                        options.further_attempts_percent));
  }

  void ReadForwarding(Section& section) {
    balancing::DispatcherOptions& options = this->result.balancing;
    options.share_delay =
        section.Time("share-delay", {0ms, 10min}, kShareDelay);
    options.connection_percent = static_cast<std::uint32_t>(section.Integer(
        "connection-percent", {0, kWholePercent}, options.connection_percent));
    forwarding::Options& forwarding = this->result.forwarding;
    forwarding.idle_timeout = Milliseconds(
        section.Time("idle-timeout", {100ms, 1h}, forwarding.idle_timeout));
    forwarding.only_idle_timeout = Milliseconds(section.Time(
        "only-idle-timeout", {100ms, 1h}, forwarding.only_idle_timeout));
    forwarding.unsafe_idle = Milliseconds(
        section.Time("unsafe-idle", {0ms, 1h}, forwarding.unsafe_idle));
    forwarding.connect_timeout =
        Milliseconds(section.Time("connect-timeout", {0ms, 1min}, 0ms));
    forwarding.hold = section.Bytes("hold", {0, kMostBody}, 0);
  }

  void ReadPlatform(Section& section) {
    configuration::Options& options = this->result.configuration;
    const std::string kind =
        section.Word("kind", {kOwnTable, kUsersStore}, kOwnTable);
    options.platform = section.Address("address");
    options.timeout =
        Milliseconds(section.Time("timeout", {10ms, 1min}, options.timeout));
    options.poll = Milliseconds(section.Time("poll", {10ms, 5s}, options.poll));
    this->result.callers.platform = options.platform;
    this->result.callers.platform_timeout = options.timeout;
    this->result.operations.platform = options.platform;
    this->result.operations.platform_timeout = options.timeout;
    const auto watch =
        Milliseconds(section.Time("watch", {100ms, 30s}, kWatch));
    if (kind == kUsersStore) {
      this->UseStore(options, watch);
    }
  }

  /** The users' store and protocols take the place of the project's own. */
  void UseStore(const configuration::Options& options,
                const std::chrono::milliseconds watch) {
    const auto make = [address = options.platform, timeout = options.timeout](
                          boost::asio::io_context& context) {
      return std::make_unique<wire::StoreClient>(http::Client::Create(context),
                                                 address, timeout);
    };
    this->result.registry =
        registry::Options{.self = this->self,
                          .store = make,
                          .codec = std::make_shared<wire::RowCodec>(),
                          .watch = watch};
    this->result.rollout_store = make;
    callers::Options& callers = this->result.callers;
    callers.protocol = std::make_shared<wire::CallerProtocol>();
    callers.takes_keys = false;
    callers.serves_isolated = true;
    callers.nearest_only = true;
    this->result.forwarding.protocol = std::make_shared<wire::TargetProtocol>();
    balancing::DispatcherOptions& balancing = this->result.balancing;
    balancing.retries_failures = true;
    balancing.data_centre = this->self.data_centre;
  }

  void ReadMembership(Section& section) {
    membership::Options& options = this->result.membership;
    options.limits.round =
        Milliseconds(section.Time("round", {50ms, 5s}, options.limits.round));
    options.limits.fresh = Milliseconds(
        section.Time("fresh", {500ms, 1min}, options.limits.fresh));
    options.limits.suspect = Milliseconds(
        section.Time("suspect", {500ms, 1min}, options.limits.suspect));
    options.limits.dead =
        Milliseconds(section.Time("dead", {500ms, 10min}, options.limits.dead));
    this->self.peers = section.OptionalAddress("address");
    this->self.rollout = section.OptionalAddress("rollout-address");
    this->self.feed = section.OptionalAddress("feed-address");
    std::istringstream seeds{section.Text("seeds", "")};
    for (std::string seed; seeds >> seed;) {
      const auto address = http::ParseAddress(seed);
      if (!address) {
        section.Refuse("seeds",
                       "IP numbers and ports with spaces between them");
        return;
      }
      options.seeds.push_back(*address);
    }
  }

  void ReadOperations(Section& section) {
    this->result.operations.address = section.Address("address");
    const std::string tokens = section.Text("tokens", "");
    if (!tokens.empty()) {
      this->ReadOperators(tokens);
    }
  }

  void ReadOperators(const std::string& path) {
    const auto document = settings::Document::Load(path);
    if (!core::Succeeded(document)) {
      this->Add(core::ProblemOf(document));
      return;
    }
    auto operators = operations::Operators::Read(core::ValueOf(document));
    if (!core::Succeeded(operators)) {
      this->Add(core::ProblemOf(operators));
      return;
    }
    this->result.operations.operators = std::get<0>(std::move(operators));
  }

  void Add(const Mistakes& more) {
    this->mistakes.insert(this->mistakes.end(), more.begin(), more.end());
  }

  void ReadLog(Section& section) {
    static const std::vector<std::string> kLevels{"trace", "debug", "info",
                                                  "warn",  "error", "off"};
    balancing::TraceOptions& traces = this->result.traces;
    traces.budget =
        section.Bytes("trace-budget", {0, kMostTraces}, traces.budget);
    traces.one_in = static_cast<std::uint32_t>(
        section.Integer("trace-one-in", {0, kMostCalls}, traces.one_in));
    traces.slow =
        Milliseconds(section.Time("trace-slow", {1ms, 1h}, traces.slow));
    this->result.log_level =
        section.Word("level", kLevels, this->result.log_level);
    for (const char* part :
         {"callers", "balancing", "relay", "configuration", "operations",
          "rollout", "membership", "registry", "entry"}) {
      this->result.log_levels[part] =
          section.Word(part, kLevels, this->result.log_level);
    }
  }

  const settings::Document& document;
  Mistakes mistakes;
  inventory::Instance self;
  Settings result;
};

}  // namespace

core::Outcome<Settings, Mistakes> ReadSettings(
    const settings::Document& document) {
  return Reader{document}.Read();
}

}  // namespace trefoilbend::entry
