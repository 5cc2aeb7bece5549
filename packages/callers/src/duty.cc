#include "trefoilbend/callers/duty.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <unordered_map>
#include <utility>
#include <vector>

#include "internal/claims.h"
#include "internal/keyed_calls.h"
#include "internal/listener.h"
#include "internal/metrics.h"
#include "internal/question_server.h"
#include "internal/session.h"
#include "trefoilbend/callers/router.h"
#include "trefoilbend/callers/stop_plan.h"
#include "trefoilbend/core/clock.h"
#include "trefoilbend/core/duty.h"
#include "trefoilbend/core/invariant.h"
#include "trefoilbend/core/log.h"
#include "trefoilbend/core/rate_limit.h"

namespace trefoilbend::callers {

namespace {

constexpr std::size_t kMessagesPerCall = 4;
constexpr std::size_t kConfigurations = 64;
constexpr std::size_t kViews = 64;
constexpr std::chrono::milliseconds kDrainPoll{20};
/** Time for the last answers to leave before the process ends. */
constexpr std::chrono::milliseconds kLastWrites{100};
constexpr std::chrono::milliseconds kExpirePeriod{1'000};
constexpr std::string_view kKeyField = "Idempotency-Key";
/** Lines a second about refusals that balancing does not see. */
constexpr double kRefusalLines = 20;

idempotency::KeyTableOptions TableOptions(const Options& options) {
  return {.self = options.self,
          .incarnation = options.incarnation,
          .retention = options.keys.retention,
          .keys = options.keys.keys,
          .answer_bytes = options.keys.answers};
}

}  // namespace

class CallersDuty::Loop final : public internal::SessionOwner,
                                public internal::KeyedCallsOwner {
 public:
  Loop(Options options, prometheus::Registry& registry)
      : from_balancing(options.limits.calls * kMessagesPerCall),
        from_forwarding(options.limits.calls * kMessagesPerCall),
        from_configuration(kConfigurations),
        from_membership(kViews),
        from_relay(options.limits.calls * kMessagesPerCall),
        options(std::move(options)),
        directory({.self = this->options.self,
                   .incarnation = this->options.incarnation,
                   .max_ttl = this->options.keep,
                   .seed = this->options.seed,
                   .nearest_only = this->options.nearest_only}),
        router(this->options.seed),
        keyed(*this, TableOptions(this->options),
              {.bytes = this->options.keys.answer,
               .late = this->options.keys.late_answer}),
        claims(this->duty.Context(), this->options, this->clock),
        stop({.serve = this->options.leave_notice + this->options.keep,
              .grace = this->options.grace}),
        questions(*this,
                  [this] { return this->IsReady() && !this->IsDraining(); }),
        listener(this->duty.Context(), *this),
        drain_timer(this->duty.Context()),
        expire_timer(this->duty.Context()),
        late_timer(this->duty.Context()),
        metrics(registry) {
    this->duty.Read(
        this->from_balancing, [this](const balancing::ToCallers& message) {
          if (const auto* refused =
                  std::get_if<balancing::CallRefused>(&message)) {
            this->OnRefused(*refused);
          } else if (const auto* broken =
                         std::get_if<balancing::CallBroken>(&message)) {
            this->BreakAnswer(broken->call);
          }
        });
    this->duty.Read(
        this->from_forwarding, [this](forwarding::ToCallers&& message) {
          std::visit([this](auto& answer) { this->OnAnswer(answer); }, message);
        });
    this->duty.Read(this->from_configuration,
                    [this](const configuration::Update& update) {
                      this->Configure(update);
                    });
    this->duty.Read(
        this->from_membership, [this](const membership::View& view) {
          this->Adopt(view.self);
          this->current = view.current || this->options.serves_isolated;
          this->directory.UpdatePeers(view);
        });
    this->duty.Read(this->from_relay, [this](relay::ToCallers&& message) {
      std::visit(core::Visitor{[](std::monostate) {},
                               [this](const relay::CallReceived& call) {
                                 this->OnReceived(call);
                               },
                               [this](const relay::CallReturned& call) {
                                 --this->passes;
                                 this->Deliver(call.call, call.result);
                               }},
                 message);
    });
  }

  core::Outcome<std::monostate, std::string> Start(const Outlets writes) {
    this->outlets = writes;
    auto listening = this->listener.Open(this->options.address);
    if (!core::Succeeded(listening)) {
      return listening;
    }
    this->log.Info("Serves callers on {}.",
                   http::ToString(this->options.address));
    auto serving = this->questions.Open(this->duty.Context(), this->options);
    if (!core::Succeeded(serving)) {
      return serving;
    }
    if (this->options.takes_keys) {
      this->AwaitExpiry();
      this->claims.StartSweep();
    }
    this->duty.Start();
    return listening;
  }

  void Drain(std::function<void()> done) {
    boost::asio::post(this->duty.Context(),
                      [this, done = std::move(done)]() mutable {
                        this->stop.Begin(std::chrono::steady_clock::now());
                        this->LogStop();
                        this->directory.Withdraw();
                        this->drain_timer.expires_at(this->stop.ServesUntil());
                        this->drain_timer.async_wait(
                            [this, done = std::move(done)](auto) mutable {
                              this->listener.Close();
                              this->AwaitLastCall(std::move(done));
                            });
                      });
  }

  [[nodiscard]] const Limits& GetLimits() const noexcept override {
    return this->options.limits;
  }

  [[nodiscard]] const CallerProtocol& Protocol() const noexcept override {
    return *this->options.protocol;
  }

  [[nodiscard]] std::optional<discovery::DirectoryQuery> ReadQuestion(
      const std::string_view target) const override {
    return this->options.directory ? std::nullopt
                                   : this->Protocol().ReadQuestion(target);
  }

  [[nodiscard]] bool IsDraining() const noexcept override {
    return this->stop.HasBegun();
  }

  [[nodiscard]] discovery::DirectoryAnswer Ask(
      const discovery::DirectoryQuery& question) override {
    return this->directory.Resolve(question, this->WallNow());
  }

  [[nodiscard]] core::Outcome<core::CallId, core::Refusal> Submit(
      const std::shared_ptr<internal::Session>& session,
      core::CallRequest request, const Wishes& wishes) override {
    const auto key = this->options.takes_keys
                         ? http::FindField(request.fields, kKeyField)
                         : std::nullopt;
    if (!this->IsReady()) {
      return this->TellRefusal(
          request,
          {.run = key ? core::RunState::kUnknown : core::RunState::kNotRun,
           .reason = core::RefusalReason::kNotReady,
           .retry_after = kRetryAfter});
    }
    if (!this->router.Route(wishes, std::chrono::steady_clock::now(),
                            request)) {
      return this->TellRefusal(
          request, {.run = core::RunState::kNotRun,
                    .reason = core::RefusalReason::kUnknownService});
    }
    const bool keyed_call = !request.idempotent && key && !key->empty();
    const core::RunState untouched =
        keyed_call ? core::RunState::kUnknown : core::RunState::kNotRun;
    if (!this->stop.MayTake(request.deadline)) {
      return this->TellRefusal(request,
                               {.run = untouched,
                                .reason = core::RefusalReason::kStopping,
                                .retry_after = kRetryElsewhere});
    }
    const std::string text{keyed_call ? *key : ""};
    const core::CallId id = this->NextCall();
    const auto shared =
        std::make_shared<const core::CallRequest>(std::move(request));
    if (keyed_call ? !this->HasRoom() : !this->Run(id, shared)) {
      return this->TellRefusal(*shared, {.run = untouched,
                                         .reason = core::RefusalReason::kBusy,
                                         .retry_after = kRetryAfter});
    }
    this->calls.emplace(id, OpenCall{.session = session, .keyed = keyed_call});
    this->metrics.in_progress.Set(static_cast<double>(this->calls.size()));
    if (keyed_call) {
      boost::asio::post(this->duty.Context(), [this, id, shared, text] {
        if (this->calls.contains(id)) {
          this->keyed.Begin(id, shared, text);
        }
      });
    }
    return id;
  }

  void Continue(const core::CallId call) override {
    this->Forward(forwarding::ContinueAnswer{call});
  }

  void DropRest(const core::CallId run) override {
    this->Forward(forwarding::AbandonAnswer{run});
  }

  [[nodiscard]] core::CallId NextCall() override {
    this->last_call = this->last_call.Next();
    return this->last_call;
  }

  [[nodiscard]] bool Run(const core::CallId run,
                         internal::SharedRequest request) override {
    return this->HasRoom() &&
           this->outlets.balancing->TryPush(
               balancing::SubmitCall{run, std::move(request)});
  }

  [[nodiscard]] bool PassOn(relay::PassCall call) override {
    if (this->passes >= this->options.limits.calls ||
        !this->outlets.relay->TryPush(std::move(call))) {
      return false;
    }
    ++this->passes;
    this->metrics.passed_on.Increment();
    return true;
  }

  void Claim(const std::string& row, const idempotency::Home& home,
             std::function<void(const idempotency::ClaimStep&)> done) override {
    this->claims.Record(row, home, std::move(done));
  }

  void Deliver(const core::CallId waiter,
               const idempotency::Result& result) override {
    const auto received = this->received.find(waiter);
    if (received != this->received.end()) {
      this->Reply(received->second, result);
      this->received.erase(received);
      return;
    }
    const std::shared_ptr<internal::Session> session = this->Find(waiter);
    if (session == nullptr) {
      return;
    }
    if (const auto* refusal = std::get_if<core::Refusal>(&result)) {
      this->CountRefusal(*refusal);
      this->Close(waiter);
      session->Refuse(*refusal);
      return;
    }
    this->metrics.answered.Increment();
    session->Answer(*std::get<idempotency::KeptAnswer>(result));
  }

  [[nodiscard]] bool Stream(const core::CallId waiter, const core::CallId run,
                            core::AnswerHead& head) override {
    const std::shared_ptr<internal::Session> session = this->Find(waiter);
    if (session == nullptr) {
      return false;
    }
    this->calls.erase(waiter);
    this->calls.emplace(run, OpenCall{.session = session, .keyed = false});
    session->Continue(run);
    session->Answer(std::move(head));
    return true;
  }

  [[nodiscard]] idempotency::IssueTime WallNow() const override {
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
        this->clock.Now());
  }

  void WakeAt(const core::TimePoint due) override {
    if (due >= this->late_due) {
      return;
    }
    this->late_due = due;
    this->late_timer.expires_at(due);
    this->late_timer.async_wait([this](const boost::system::error_code error) {
      if (!error) {
        this->late_due = core::TimePoint::max();
        this->keyed.RefuseLate(std::chrono::steady_clock::now());
      }
    });
  }

  void Close(const core::CallId call) override {
    this->calls.erase(call);
    this->metrics.in_progress.Set(static_cast<double>(this->calls.size()));
  }

  void Abandon(const core::CallId call) override {
    const auto found = this->calls.find(call);
    const bool keyed_call = found != this->calls.end() && found->second.keyed;
    this->Close(call);
    if (keyed_call) {
      this->keyed.Leave(call);
      return;
    }
    core::CheckInvariant(
        this->outlets.balancing->TryPush(balancing::CancelCall{call}),
        "the ring to balancing has room for every call's end");
    this->Forward(forwarding::AbandonAnswer{call});
  }

  core::Ring<balancing::ToCallers> from_balancing;
  core::Ring<forwarding::ToCallers> from_forwarding;
  core::Ring<configuration::Update> from_configuration;
  core::Ring<membership::View> from_membership;
  core::Ring<relay::ToCallers> from_relay;
  core::Duty duty{"callers"};

 private:
  static constexpr std::chrono::milliseconds kRetryAfter{1'000};
  /** Time after which a caller may turn to another entry. */
  static constexpr std::chrono::milliseconds kRetryElsewhere{10};

  /** A session whose client has sent its next request already waits for
   * nothing but the answer, so that only its call keeps it alive. */
  struct OpenCall {
    std::shared_ptr<internal::Session> session;
    bool keyed{};
  };

  void Configure(const configuration::Update& update) {
    this->configuration = update.configuration;
    this->router.Configure(update.configuration);
    if (update.bounds) {
      Limits& limits = this->options.limits;
      limits.header = update.bounds->header;
      limits.body = update.bounds->body;
      limits.receive = update.bounds->receive;
      limits.idle = update.bounds->idle;
    }
    this->directory.Configure(update);
    this->keyed.Configure(update.configuration);
    const auto* self = update.configuration->Find<inventory::Instance>(
        this->options.self.Text());
    if (self != nullptr && self->relay) {
      core::CheckInvariant(
          this->outlets.relay->TryPush(relay::Listen{*self->relay}),
          "the ring to the relay has room for every configuration");
    }
  }

  /** Peers may know a later run of this entry than this one, if the clock went
   * back before its start; membership then counts on from theirs. Keys that
   * were issued before are of a run that no longer exists. */
  void Adopt(const core::Incarnation incarnation) {
    if (incarnation == this->options.incarnation) {
      return;
    }
    this->log.Warn(
        "The clock went back, takes another incarnation. from={} "
        "to={}",
        this->options.incarnation.Value(), incarnation.Value());
    this->options.incarnation = incarnation;
    this->directory.Adopt(incarnation);
    this->keyed.Adopt(incarnation);
  }

  [[nodiscard]] bool IsReady() const noexcept {
    return this->configuration != nullptr && this->current;
  }

  [[nodiscard]] bool HasRoom() const noexcept {
    return this->calls.size() + this->keyed.Runs() < this->options.limits.calls;
  }

  void OnReceived(const relay::CallReceived& call) {
    if (!this->IsReady()) {
      this->Reply(call.received,
                  core::Refusal{.run = core::RunState::kUnknown,
                                .reason = core::RefusalReason::kNotReady,
                                .retry_after = kRetryAfter});
      return;
    }
    if (!this->stop.MayTake(call.request->deadline)) {
      this->Reply(call.received,
                  core::Refusal{.run = core::RunState::kUnknown,
                                .reason = core::RefusalReason::kStopping,
                                .retry_after = kRetryElsewhere});
      return;
    }
    const core::CallId waiter = this->NextCall();
    this->received.emplace(waiter, call.received);
    this->keyed.Admit(waiter, call.key, call.request);
  }

  void Reply(const relay::ReceivedId received,
             const idempotency::Result& result) {
    core::CheckInvariant(
        this->outlets.relay->TryPush(relay::ReplyCall{received, result}),
        "the ring to the relay has room for every call's result");
  }

  void AwaitExpiry() {
    this->expire_timer.expires_after(kExpirePeriod);
    this->expire_timer.async_wait([this](
                                      const boost::system::error_code error) {
      if (error) {
        return;
      }
      this->keyed.Expire();
      this->metrics.keys.Set(static_cast<double>(this->keyed.Table().Size()));
      this->metrics.key_answer_bytes.Set(
          static_cast<double>(this->keyed.Table().AnswerBytes()));
      this->AwaitExpiry();
    });
  }

  [[nodiscard]] bool IsIdle() const noexcept {
    return this->calls.empty() && this->keyed.Runs() == 0 &&
           this->received.empty() && this->listener.OpenSessions() == 0;
  }

  void LogStop() const {
    const core::TimePoint now = std::chrono::steady_clock::now();
    const auto serve = std::chrono::ceil<std::chrono::milliseconds>(
        this->stop.ServesUntil() - now);
    this->log.Info(
        "Stops: serves for {} ms more, then finishes {} calls. grace_ms={}",
        serve.count(), this->calls.size(),
        this->options.grace.value_or(std::chrono::milliseconds{0}).count());
  }

  void AwaitLastCall(std::function<void()> done) {
    this->listener.CloseIdleSessions(core::Duration::zero());
    if (this->IsIdle()) {
      this->log.Info("Has finished all calls.");
      done();
      return;
    }
    if (std::chrono::steady_clock::now() >= this->stop.AnswersUntil()) {
      this->GiveUpCalls();
      this->drain_timer.expires_after(kLastWrites);
      this->drain_timer.async_wait([done = std::move(done)](auto) { done(); });
      return;
    }
    this->drain_timer.expires_after(kDrainPoll);
    this->drain_timer.async_wait([this, done = std::move(done)](auto) mutable {
      this->AwaitLastCall(std::move(done));
    });
  }

  /** Answers the calls that would be cut without a word. They were taken before
   * the stop began: calls that come later are done by now. */
  void GiveUpCalls() {
    this->log.Warn("The grace ends, gives up calls. calls={} connections={}",
                   this->calls.size(), this->listener.OpenSessions());
    std::vector<std::shared_ptr<internal::Session>> sessions;
    for (const auto& [id, open] : this->calls) {
      sessions.push_back(open.session);
    }
    for (const auto& session : sessions) {
      session->GiveUp(
          this->CountRefusal({.run = core::RunState::kUnknown,
                              .reason = core::RefusalReason::kStopping,
                              .retry_after = kRetryElsewhere}));
    }
  }

  /** Counts a refusal that balancing does not see, and writes a line. */
  core::Refusal TellRefusal(const core::CallRequest& request,
                            const core::Refusal refusal) {
    if (this->refusal_lines.Allow(std::chrono::steady_clock::now())) {
      const std::uint64_t revision =
          this->configuration == nullptr
              ? 0
              : this->configuration->Revision().Value();
      this->log.Info(
          "Refused at the door. id={} host={} path={} reason={} calls={} "
          "revision={}",
          request.id, request.host, http::PathOf(request.path),
          core::ToString(refusal.reason), this->calls.size(), revision);
    }
    return this->CountRefusal(refusal);
  }

  core::Refusal CountRefusal(const core::Refusal refusal) {
    this->metrics.CountRefusal(refusal);
    return refusal;
  }

  void OnRefused(const balancing::CallRefused& call) {
    if (this->keyed.Refused(call.call, call.refusal)) {
      return;
    }
    const std::shared_ptr<internal::Session> session = this->Find(call.call);
    if (session == nullptr) {
      return;
    }
    this->CountRefusal(call.refusal);
    this->Close(call.call);
    session->Refuse(call.refusal);
  }

  void OnAnswer(std::monostate /*none*/) {}

  void OnAnswer(forwarding::AnswerStarted& answer) {
    if (this->keyed.Answer(answer.call, answer.head)) {
      return;
    }
    const std::shared_ptr<internal::Session> session = this->Find(answer.call);
    if (session == nullptr) {
      this->Forward(forwarding::AbandonAnswer{answer.call});
      return;
    }
    this->metrics.answered.Increment();
    session->Answer(std::move(answer.head));
  }

  void OnAnswer(forwarding::AnswerContinued& answer) {
    if (this->keyed.Answer(answer.call, answer.part)) {
      return;
    }
    const std::shared_ptr<internal::Session> session = this->Find(answer.call);
    if (session != nullptr) {
      session->Answer(std::move(answer.part));
    }
  }

  void OnAnswer(const forwarding::AnswerBroken& answer) {
    if (this->keyed.Refused(answer.call,
                            {.run = core::RunState::kUnknown,
                             .reason = core::RefusalReason::kTargetFailed})) {
      return;
    }
    this->BreakAnswer(answer.call);
  }

  void BreakAnswer(const core::CallId call) {
    const std::shared_ptr<internal::Session> session = this->Find(call);
    if (session != nullptr) {
      session->Break();
    }
  }

  [[nodiscard]] std::shared_ptr<internal::Session> Find(
      const core::CallId call) const {
    const auto found = this->calls.find(call);
    return found == this->calls.end() ? nullptr : found->second.session;
  }

  void Forward(const forwarding::FromCallers& message) {
    core::CheckInvariant(
        this->outlets.forwarding->TryPush(forwarding::FromCallers{message}),
        "the ring to forwarding has room for every call's messages");
  }

  Options options;
  Outlets outlets;
  inventory::ConfigurationPtr configuration;
  discovery::Directory directory;
  Router router;
  internal::KeyedCalls keyed;
  core::WallClock clock;
  internal::Claims claims;
  StopPlan stop;
  internal::QuestionServer questions;
  internal::Listener listener;
  boost::asio::steady_timer drain_timer;
  boost::asio::steady_timer expire_timer;
  boost::asio::steady_timer late_timer;
  core::TimePoint late_due = core::TimePoint::max();
  std::unordered_map<core::CallId, OpenCall> calls;
  std::unordered_map<core::CallId, relay::ReceivedId> received;
  std::size_t passes{};
  core::CallId last_call;
  bool current = true;
  internal::Metrics metrics;
  core::RateLimit refusal_lines{kRefusalLines};
  core::Log log{"callers"};
};

CallersDuty::CallersDuty(Options options, prometheus::Registry& registry)
    : loop(std::make_unique<Loop>(std::move(options), registry)) {}

CallersDuty::~CallersDuty() { this->Stop(); }

core::Ring<balancing::ToCallers>& CallersDuty::BalancingInlet() noexcept {
  return this->loop->from_balancing;
}

core::Ring<forwarding::ToCallers>& CallersDuty::ForwardingInlet() noexcept {
  return this->loop->from_forwarding;
}

core::Ring<configuration::Update>& CallersDuty::ConfigurationInlet() noexcept {
  return this->loop->from_configuration;
}

core::Ring<membership::View>& CallersDuty::MembershipInlet() noexcept {
  return this->loop->from_membership;
}

core::Ring<relay::ToCallers>& CallersDuty::RelayInlet() noexcept {
  return this->loop->from_relay;
}

core::Outcome<std::monostate, std::string> CallersDuty::Start(
    const Outlets outlets) {
  return this->loop->Start(outlets);
}

void CallersDuty::Drain(std::function<void()> done) {
  this->loop->Drain(std::move(done));
}

void CallersDuty::Stop() { this->loop->duty.Stop(); }

}  // namespace trefoilbend::callers
