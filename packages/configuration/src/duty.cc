#include "trefoilbend/configuration/duty.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <ctime>
#include <utility>

#include "trefoilbend/configuration/follower.h"
#include "trefoilbend/core/duty.h"
#include "trefoilbend/core/invariant.h"
#include "trefoilbend/core/log.h"
#include "trefoilbend/core/outcome.h"
#include "trefoilbend/inventory/codec.h"
#include "trefoilbend/platform/client.h"

namespace trefoilbend::configuration {

namespace {

constexpr std::size_t kRequests = 64;
constexpr std::size_t kRowsAtOnce = 256;

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
        options(std::move(options)),
        timer(this->duty.Context()),
        platform(http::Client::Create(this->duty.Context()),
                 this->options.platform, this->options.timeout) {
    this->duty.Read(this->from_operations, [this](ChangeRequest&& request) {
      this->Begin(std::move(request));
    });
  }

  void Start(Outlets writes) {
    this->outlets = std::move(writes);
    this->delivered.assign(this->outlets.followers.size(), true);
    boost::asio::post(this->duty.Context(), [this] { this->Poll(); });
    this->duty.Start();
  }

  core::Ring<ChangeRequest> from_operations;
  core::Duty duty{"configuration"};

 private:
  void Poll() {
    this->ReadRevisions([this] {
      this->platform.ListInstances([this](ListOutcome outcome) {
        this->TakeList(std::move(outcome));
        this->Publish();
        this->timer.expires_after(this->options.poll);
        this->timer.async_wait([this](const boost::system::error_code error) {
          if (!error) {
            this->Poll();
          }
        });
      });
    });
  }

  using ListOutcome = platform::ListOutcome;

  void ReadRevisions(std::function<void()> then) {
    this->platform.ReadRange(
        std::string{inventory::kChangePrefix}, this->follower.After(),
        kRowsAtOnce,
        [this, then = std::move(then)](const platform::RangeOutcome& outcome) {
          const bool whole =
              std::holds_alternative<std::vector<platform::Row>>(outcome) &&
              std::get<0>(outcome).size() == kRowsAtOnce;
          this->TakeRevisions(outcome);
          if (whole) {
            this->ReadRevisions(then);
            return;
          }
          then();
        });
  }

  void TakeRevisions(const platform::RangeOutcome& outcome) {
    if (const auto* failure = std::get_if<platform::Unavailable>(&outcome)) {
      this->SetReachable(false, failure->message);
      return;
    }
    this->SetReachable(true, "");
    const core::Revision before = this->follower.Current()->Revision();
    if (const auto problem = this->follower.Take(std::get<0>(outcome))) {
      this->log.Warn("Revision not taken: {}.", *problem);
    }
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

  void Begin(ChangeRequest request) {
    const auto shared =
        std::make_shared<const ChangeRequest>(std::move(request));
    this->ReadRevisions([this, shared] { this->Commit(shared); });
  }

  void Commit(const std::shared_ptr<const ChangeRequest>& request) {
    if (const inventory::Revised* done =
            this->follower.FindChange(request->change_id)) {
      this->Finish(*request, ChangeAccepted{done->revision});
      return;
    }
    auto prepared =
        this->follower.Prepare(*request, WallClock(), this->options.self);
    if (auto* clash = std::get_if<ChangeClash>(&prepared)) {
      this->Finish(*request, std::move(*clash));
      return;
    }
    this->platform.Transact(
        std::get<platform::Transaction>(prepared),
        [this, request](const platform::TransactOutcome& outcome) {
          std::visit(core::Visitor{[&](const platform::Committed&) {
                                     this->ReadRevisions([this, request] {
                                       this->Settle(request);
                                     });
                                   },
                                   [&](const platform::Conflict&) {
                                     this->Begin(*request);
                                   },
                                   [&](const platform::Unavailable& failure) {
                                     this->ReadBack(request, failure);
                                   }},
                     outcome);
        });
  }

  void Settle(const std::shared_ptr<const ChangeRequest>& request) {
    const inventory::Revised* done =
        this->follower.FindChange(request->change_id);
    if (done == nullptr) {
      this->Finish(
          *request,
          ChangeRefused{.effect_unknown = true,
                        .message = "The platform's answer was lost. Repeat the "
                                   "command with the same change id."});
      return;
    }
    this->Publish();
    this->Finish(*request, ChangeAccepted{done->revision});
  }

  void ReadBack(const std::shared_ptr<const ChangeRequest>& request,
                const platform::Unavailable& failure) {
    if (failure.effect_unknown) {
      this->ReadRevisions([this, request] { this->Settle(request); });
      return;
    }
    this->Finish(
        *request,
        ChangeRefused{
            .effect_unknown = false,
            .message = "The platform cannot be reached (" + failure.message +
                       "). Nothing was changed; repeat the command later."});
  }

  void Finish(const ChangeRequest& request,
              decltype(ChangeResult::result) result) {
    core::CheckInvariant(
        this->outlets.operations->TryPush(
            {.request = request.request, .result = std::move(result)}),
        "the ring to operations has room for every request's result");
  }

  Options options;
  Outlets outlets;
  std::vector<bool> delivered;
  boost::asio::steady_timer timer;
  platform::Client platform;
  Follower follower;
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

void ConfigurationDuty::Start(Outlets outlets) {
  this->loop->Start(std::move(outlets));
}

void ConfigurationDuty::Stop() { this->loop->duty.Stop(); }

}  // namespace trefoilbend::configuration
