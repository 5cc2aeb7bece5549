#include "trefoilbend/configuration/duty.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <cstdlib>
#include <ctime>
#include <deque>
#include <random>
#include <utility>

#include "trefoilbend/configuration/follower.h"
#include "trefoilbend/core/duty.h"
#include "trefoilbend/core/invariant.h"
#include "trefoilbend/core/log.h"
#include "trefoilbend/core/outcome.h"
#include "trefoilbend/inventory/codec.h"
#include "trefoilbend/inventory/snapshot.h"
#include "trefoilbend/platform/backoff.h"
#include "trefoilbend/platform/client.h"

namespace trefoilbend::configuration {

namespace {

constexpr std::size_t kRequests = 64;
constexpr std::size_t kRowsAtOnce = 256;
constexpr std::size_t kPeerMessages = 16;
constexpr std::uint64_t kRevisionsPerSnapshot = 64;
constexpr const char* kSnapshotName = "configuration";
constexpr int kAttempts = 4;
constexpr int kDecimal = 10;
constexpr const char* kLostMessage =
    "The platform's answer was lost, so the change may have taken effect. "
    "Repeat the command with the same change id.";
constexpr const char* kUnreachableMessage =
    "The platform cannot be reached. Nothing was changed; repeat the command "
    "when it answers again.";
constexpr const char* kBusyMessage =
    "Other changes came first each time. Nothing was changed; repeat the "
    "command.";
constexpr const char* kFenceMessage =
    "A row that the change depends on, such as its lease, has changed. Nothing "
    "was changed.";

std::string WallClock() {
  const std::time_t now =
      std::chrono::system_clock::to_time_t(std::chrono::system_clock::now());
  std::tm utc{};
  gmtime_r(&now, &utc);
  char text[sizeof "2026-12-04T10:00:00Z"];
  std::strftime(text, sizeof text, "%FT%TZ", &utc);
  return text;
}

}  // namespace

class ConfigurationDuty::Loop {
 public:
  explicit Loop(Options options)
      : from_operations(kRequests),
        from_automation(kRequests),
        from_peers(kPeerMessages),
        options(std::move(options)),
        timer(this->duty.Context()),
        platform(http::Client::Create(this->duty.Context()),
                 this->options.platform, this->options.timeout) {
    this->duty.Read(this->from_operations, [this](ChangeRequest&& request) {
      this->Enqueue(
          {.request = std::move(request), .results = this->outlets.operations});
    });
    this->duty.Read(this->from_automation, [this](ChangeRequest&& request) {
      this->Enqueue(
          {.request = std::move(request), .results = this->outlets.automation});
    });
    this->duty.Read(this->from_peers, [this](const PeerRevisions& passed) {
      this->TakeFromPeer(passed);
    });
  }

  void Start(Outlets writes) {
    this->outlets = std::move(writes);
    this->delivered.assign(this->outlets.followers.size(), true);
    boost::asio::post(this->duty.Context(), [this] { this->ReadSnapshot(); });
    this->duty.Start();
  }

  core::Ring<ChangeRequest> from_operations;
  core::Ring<ChangeRequest> from_automation;
  core::Ring<PeerRevisions> from_peers;
  core::Duty duty{"configuration"};

 private:
  void ReadSnapshot() {
    this->platform.ReadObject(
        kSnapshotName, [this](const platform::ObjectOutcome& outcome) {
          const auto* object =
              std::get_if<std::optional<std::string>>(&outcome);
          if (object != nullptr && *object) {
            this->Restore(**object);
          }
          this->Poll();
        });
  }

  void Restore(const std::string& text) {
    const auto read = inventory::DecodeSnapshot(text);
    if (const auto* problem = std::get_if<inventory::SnapshotProblem>(&read)) {
      this->log.Warn("Snapshot not taken: {}.", inventory::ToString(*problem));
      return;
    }
    const core::Revision before = this->follower.Current()->Revision();
    (void)this->follower.Restore(std::get<inventory::ConfigurationPtr>(read));
    this->NoteRevision(before);
  }

  void Poll() {
    this->ReadRevisions([this](const bool read) {
      if (!read) {
        this->Publish();
        this->Wait(this->backoff.Fail());
        return;
      }
      this->backoff.Reset();
      this->platform.ListInstances([this](ListOutcome outcome) {
        this->TakeList(std::move(outcome));
        this->Publish();
        this->Wait(this->options.poll);
      });
    });
  }

  void Wait(const std::chrono::milliseconds delay) {
    this->timer.expires_after(delay);
    this->timer.async_wait([this](const boost::system::error_code error) {
      if (!error) {
        this->Poll();
      }
    });
  }

  void TakeFromPeer(const PeerRevisions& passed) {
    if (!passed.snapshot.empty()) {
      this->Restore(passed.snapshot);
    }
    std::vector<platform::Row> rows;
    for (const std::string& row : passed.rows) {
      rows.push_back({.key = "of a peer", .value = row, .position = {}});
    }
    this->TakeRows(rows);
    this->Publish();
  }

  using ListOutcome = platform::ListOutcome;

  void ReadRevisions(std::function<void(bool)> then) {
    const core::TimePoint sent = std::chrono::steady_clock::now();
    this->platform.ReadRange(
        std::string{inventory::kChangePrefix}, this->follower.After(),
        kRowsAtOnce,
        [this, sent,
         then = std::move(then)](const platform::RangeOutcome& outcome) {
          const core::Revision before = this->follower.Current()->Revision();
          this->TakeRevisions(outcome);
          const auto* rows = std::get_if<std::vector<platform::Row>>(&outcome);
          if (rows != nullptr && rows->size() == kRowsAtOnce &&
              this->follower.Current()->Revision() != before) {
            this->ReadRevisions(then);
            return;
          }
          if (rows != nullptr) {
            this->TellMembership(sent);
          }
          then(rows != nullptr);
        });
  }

  void TakeRevisions(const platform::RangeOutcome& outcome) {
    if (const auto* failure = std::get_if<platform::Unavailable>(&outcome)) {
      this->SetReachable(false, failure->message);
      return;
    }
    this->SetReachable(true, "");
    this->TakeRows(std::get<0>(outcome));
  }

  void TakeRows(const std::vector<platform::Row>& rows) {
    const core::Revision before = this->follower.Current()->Revision();
    if (const auto problem = this->follower.Take(rows)) {
      this->log.Warn("Revision not taken: {}.", *problem);
    }
    this->NoteRevision(before);
  }

  void TellMembership(const std::optional<core::TimePoint> answered) {
    if (this->outlets.membership == nullptr) {
      return;
    }
    if (this->told != this->follower.Current()) {
      this->recent = std::make_shared<const std::vector<inventory::Revised>>(
          this->follower.Recent());
    }
    if (this->outlets.membership->TryPush(
            {.configuration = this->follower.Current(),
             .recent = this->recent,
             .platform_answered = answered})) {
      this->told = this->follower.Current();
    }
  }

  void NoteRevision(const core::Revision before) {
    if (this->follower.Current()->Revision() != before) {
      this->changed = true;
      this->log.Info("Revision {} is in force.",
                     this->follower.Current()->Revision().Value());
    }
  }

  void TakeList(ListOutcome outcome) {
    auto* const list =
        std::get_if<std::vector<platform::ListedInstance>>(&outcome);
    if (list != nullptr && *list != *this->listed) {
      this->listed =
          std::make_shared<const std::vector<platform::ListedInstance>>(
              std::move(*list));
      this->changed = true;
    }
  }

  void Publish() {
    if (this->told != this->follower.Current()) {
      this->TellMembership(std::nullopt);
    }
    if (std::exchange(this->changed, false)) {
      this->delivered.assign(this->outlets.followers.size(), false);
    }
    for (std::size_t at = 0; at < this->delivered.size(); ++at) {
      if (!this->delivered[at]) {
        this->delivered[at] = this->outlets.followers[at]->TryPush(Update{
            .configuration = this->follower.Current(), .listed = this->listed});
      }
    }
  }

  void SetReachable(const bool now_reachable, const std::string& message) {
    if (std::exchange(this->reachable, now_reachable) == now_reachable) {
      return;
    }
    if (now_reachable) {
      this->log.Info("The platform answers again.");
    } else {
      this->log.Warn("The platform does not answer: {}.", message);
    }
  }

  /** A request under way, with the ring that takes its result. */
  struct Pending {
    ChangeRequest request;
    core::Ring<ChangeResult>* results{};
    int attempts = 0;
  };

  using PendingPtr = std::shared_ptr<Pending>;

  void Enqueue(Pending pending) {
    this->pending.push_back(std::make_shared<Pending>(std::move(pending)));
    if (this->pending.size() == 1) {
      this->Begin(this->pending.front());
    }
  }

  void Begin(const PendingPtr& pending) {
    ++pending->attempts;
    this->ReadRevisions([this, pending](const bool read) {
      if (read) {
        this->Commit(pending);
      } else {
        this->RefuseUnreachable(*pending);
      }
    });
  }

  void Commit(const PendingPtr& pending) {
    const ChangeRequest& request = pending->request;
    if (const inventory::Revised* done =
            this->follower.FindChange(request.change_id)) {
      this->Finish(*pending, ChangeAccepted{done->revision});
      return;
    }
    auto prepared =
        this->follower.Prepare(request, WallClock(), this->options.self);
    if (auto* clash = std::get_if<ChangeClash>(&prepared)) {
      this->Finish(*pending, std::move(*clash));
      return;
    }
    this->platform.Transact(
        std::get<platform::Transaction>(prepared),
        [this, pending](const platform::TransactOutcome& outcome) {
          std::visit(core::Visitor{[&](const platform::Committed&) {
                                     this->ReadRevisions([this, pending](bool) {
                                       this->Settle(pending);
                                     });
                                   },
                                   [&](const platform::Conflict& conflict) {
                                     this->Resolve(pending, conflict);
                                   },
                                   [&](const platform::Unavailable& failure) {
                                     this->ReadBack(pending, failure);
                                   }},
                     outcome);
        });
  }

  void Resolve(const PendingPtr& pending, const platform::Conflict& conflict) {
    for (const platform::Row& row : conflict.rows) {
      if (row.key == inventory::ChangeIdKey(pending->request.change_id)) {
        const core::Revision done{
            std::strtoull(row.value.c_str(), nullptr, kDecimal)};
        this->Finish(*pending, ChangeAccepted{done});
        return;
      }
      for (const platform::Condition& fence : pending->request.fences) {
        if (row.key == fence.key) {
          this->Finish(*pending, ChangeRefused{.effect_unknown = false,
                                               .message = kFenceMessage});
          return;
        }
      }
    }
    this->Retry(pending, {.effect_unknown = false, .message = kBusyMessage});
  }

  void Retry(const PendingPtr& pending, ChangeRefused refusal) {
    if (pending->attempts >= kAttempts) {
      this->Finish(*pending, std::move(refusal));
      return;
    }
    this->Begin(pending);
  }

  void Settle(const PendingPtr& pending) {
    const inventory::Revised* done =
        this->follower.FindChange(pending->request.change_id);
    if (done == nullptr) {
      this->Retry(pending, {.effect_unknown = true, .message = kLostMessage});
      return;
    }
    this->Publish();
    if (done->revision.Value() % kRevisionsPerSnapshot == 0) {
      this->platform.WriteObject(
          kSnapshotName, inventory::EncodeSnapshot(*this->follower.Current()));
    }
    this->Finish(*pending, ChangeAccepted{done->revision});
  }

  void ReadBack(const PendingPtr& pending,
                const platform::Unavailable& failure) {
    if (failure.effect_unknown) {
      this->ReadRevisions([this, pending](bool) { this->Settle(pending); });
      return;
    }
    this->RefuseUnreachable(*pending);
  }

  void RefuseUnreachable(const Pending& pending) {
    const bool unknown = pending.attempts > 1;
    this->Finish(
        pending,
        ChangeRefused{.effect_unknown = unknown,
                      .message = unknown ? kLostMessage : kUnreachableMessage});
  }

  void Finish(const Pending& pending, decltype(ChangeResult::result) result) {
    core::CheckInvariant(
        pending.results->TryPush(
            {.request = pending.request.request, .result = std::move(result)}),
        "the ring for results has room for every request's result");
    this->pending.pop_front();
    if (!this->pending.empty()) {
      this->Begin(this->pending.front());
    }
  }

  Options options;
  Outlets outlets;
  std::vector<bool> delivered;
  boost::asio::steady_timer timer;
  platform::Client platform;
  platform::Backoff backoff{{}, std::random_device{}()};
  Follower follower;
  inventory::ConfigurationPtr told;
  RecentRevisions recent;
  std::deque<PendingPtr> pending;
  InstanceList listed =
      std::make_shared<const std::vector<platform::ListedInstance>>();
  bool changed = false;
  bool reachable = true;
  core::Log log{"configuration"};
};

ConfigurationDuty::ConfigurationDuty(Options options)
    : loop(std::make_unique<Loop>(std::move(options))) {}

ConfigurationDuty::~ConfigurationDuty() { this->Stop(); }

core::Ring<ChangeRequest>& ConfigurationDuty::OperationsInlet() noexcept {
  return this->loop->from_operations;
}

core::Ring<ChangeRequest>& ConfigurationDuty::AutomationInlet() noexcept {
  return this->loop->from_automation;
}

core::Ring<PeerRevisions>& ConfigurationDuty::PeersInlet() noexcept {
  return this->loop->from_peers;
}

void ConfigurationDuty::Start(Outlets outlets) {
  this->loop->Start(std::move(outlets));
}

void ConfigurationDuty::Stop() { this->loop->duty.Stop(); }

}  // namespace trefoilbend::configuration
