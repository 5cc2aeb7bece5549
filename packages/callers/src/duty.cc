#include "trefoilbend/callers/duty.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <utility>
#include <vector>

#include "internal/claims.h"
#include "internal/keyed_calls.h"
#include "internal/listener.h"
#include "internal/metrics.h"
#include "internal/open_calls.h"
#include "internal/peer_calls.h"
#include "internal/question_server.h"
#include "internal/refusal_notes.h"
#include "internal/session.h"
#include "internal/stopper.h"
#include "trefoilbend/callers/router.h"
#include "trefoilbend/core/clock.h"
#include "trefoilbend/core/duty.h"
#include "trefoilbend/core/invariant.h"
#include "trefoilbend/core/log.h"

namespace trefoilbend::callers {

namespace {

constexpr std::size_t kMessagesPerCall = 4;
constexpr std::size_t kConfigurations = 64;
constexpr std::size_t kViews = 64;
constexpr std::chrono::milliseconds kExpirePeriod{1'000};
constexpr std::chrono::milliseconds kOrderRetry{20};
constexpr std::string_view kKeyField = "Idempotency-Key";

idempotency::KeyTableOptions TableOptions(const Options& options) {
  return {.self = options.self,
          .incarnation = options.incarnation,
          .retention = options.keys.retention,
          .keys = options.keys.keys,
          .answer_bytes = options.keys.answers};
}

}  // namespace

class CallersDuty::Loop final : public internal::SessionOwner,
                                public internal::KeyedCallsOwner,
                                public internal::StopperOwner {
 public:
  Loop(Options options, prometheus::Registry& registry)
      : from_balancing(options.limits.calls * kMessagesPerCall),
        from_forwarding(options.limits.calls * kMessagesPerCall),
        from_configuration(kConfigurations),
        from_membership(kViews),
        from_relay(options.limits.calls * kMessagesPerCall),
        options(std::move(options)),
        metrics(registry),
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
        stopper(*this, this->duty.Context(),
                {.serve = this->options.leave_notice + this->options.keep,
                 .grace = this->options.grace}),
        questions(*this,
                  [this] { return this->IsReady() && !this->IsDraining(); }),
        listener(this->duty.Context(), *this),
        expire_timer(this->duty.Context()),
        late_timer(this->duty.Context()),
        order_timer(this->duty.Context()) {
    this->duty.Read(
        this->from_balancing, [this](const balancing::ToCallers& message) {
          if (const auto* refused =
                  std::get_if<balancing::CallRefused>(&message)) {
            this->OnRefused(*refused);
          } else if (const auto* broken =
                         std::get_if<balancing::CallBroken>(&message)) {
            this->calls.Break(broken->call);
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
                                 this->peers.NoteReturned();
                                 this->Deliver(call.call, call.result);
                               }},
                 message);
    });
  }

  core::Outcome<std::monostate, std::string> Start(const Outlets writes) {
    this->outlets = writes;
    this->peers.Start(writes.relay);
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
                        this->directory.Withdraw();
                        this->stopper.Begin([this, done = std::move(done)] {
                          if (this->IsIdle()) {
                            this->log.Info("Has finished all calls.");
                          }
                          done();
                        });
                        this->TellStop();
                      });
  }

  [[nodiscard]] const Limits& GetLimits() const noexcept override {
    return this->options.limits;
  }

  [[nodiscard]] std::shared_ptr<BodyLease> LeaseBody() override {
    return this->bodies.Lease();
  }

  [[nodiscard]] core::Refusal RefuseForRoom(
      const core::CallRequest& head) override {
    return this->TellRefusal(head, {.run = this->UntouchedState(head),
                                    .reason = core::RefusalReason::kBusy,
                                    .retry_after = kRetryAfter});
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
    return this->stopper.Plan().HasBegun();
  }

  [[nodiscard]] discovery::DirectoryAnswer Ask(
      const discovery::DirectoryQuery& question) override {
    return this->directory.Resolve(question, this->WallNow());
  }

  [[nodiscard]] core::Outcome<core::CallId, core::Refusal> Submit(
      const std::shared_ptr<internal::Session>& session,
      core::CallRequest request, const Wishes& wishes) override {
    if (!this->IsReady()) {
      return this->TellRefusal(request,
                               {.run = this->UntouchedState(request),
                                .reason = core::RefusalReason::kNotReady,
                                .retry_after = kRetryAfter});
    }
    const auto key = this->KeyOf(request);
    if (!this->router.Route(wishes, std::chrono::steady_clock::now(),
                            request)) {
      return this->TellRefusal(
          request, {.run = core::RunState::kNotRun,
                    .reason = core::RefusalReason::kUnknownService});
    }
    const bool keyed_call = !request.idempotent && key && !key->empty();
    const core::RunState untouched =
        keyed_call ? core::RunState::kUnknown : core::RunState::kNotRun;
    if (!this->stopper.Plan().MayTake(request.deadline)) {
      return this->TellRefusal(request,
                               {.run = untouched,
                                .reason = core::RefusalReason::kStopping,
                                .retry_after = balancing::kRetryElsewhere});
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
    this->calls.Add(id, session, keyed_call);
    if (keyed_call) {
      boost::asio::post(this->duty.Context(), [this, id, shared, text] {
        if (this->calls.Contains(id)) {
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
    const bool passed_on = this->peers.PassOn(std::move(call));
    this->metrics.passed_on.Increment(passed_on ? 1 : 0);
    return passed_on;
  }

  void Claim(const std::string& row, const idempotency::Home& home,
             std::function<void(const idempotency::ClaimStep&)> done) override {
    this->claims.Record(row, home, std::move(done));
  }

  void Deliver(const core::CallId waiter,
               const idempotency::Result& result) override {
    if (this->peers.Deliver(waiter, result)) {
      return;
    }
    if (const auto* refusal = std::get_if<core::Refusal>(&result)) {
      this->calls.Refuse(waiter, *refusal);
    } else {
      (void)this->calls.Answer(waiter,
                               *std::get<idempotency::KeptAnswer>(result));
    }
  }

  [[nodiscard]] bool Stream(const core::CallId waiter, const core::CallId run,
                            core::AnswerHead& head) override {
    return this->calls.Stream(waiter, run, head);
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

  void Close(const core::CallId call) override { this->calls.Remove(call); }

  void Abandon(const core::CallId call) override {
    const bool keyed_call = this->calls.IsKeyed(call);
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

  void StopAccepting() override { this->listener.Close(); }

  void CloseIdleSessions() override {
    this->listener.CloseIdleSessions(core::Duration::zero());
  }

  [[nodiscard]] bool IsIdle() const noexcept override {
    return this->calls.Size() == 0 && this->keyed.Runs() == 0 &&
           this->peers.IsIdle() && this->listener.OpenSessions() == 0;
  }

  /** They were taken before the stop began: calls that come later are done by
   * then. */
  void GiveUpCalls() override {
    this->log.Warn("The grace ends, gives up calls. calls={} connections={}",
                   this->calls.Size(), this->listener.OpenSessions());
    this->calls.GiveUp({.run = core::RunState::kUnknown,
                        .reason = core::RefusalReason::kStopping,
                        .retry_after = balancing::kRetryElsewhere});
  }

  core::Ring<balancing::ToCallers> from_balancing;
  core::Ring<forwarding::ToCallers> from_forwarding;
  core::Ring<configuration::Update> from_configuration;
  core::Ring<membership::View> from_membership;
  core::Ring<relay::ToCallers> from_relay;
  core::Duty duty{"callers"};

 private:
  static constexpr std::chrono::milliseconds kRetryAfter{1'000};

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
      this->peers.Listen({*self->relay});
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

  [[nodiscard]] std::optional<std::string_view> KeyOf(
      const core::CallRequest& request) const {
    return this->options.takes_keys ? http::FindField(request.fields, kKeyField)
                                    : std::nullopt;
  }

  /** What is known of a call before it is routed: one with a key may have run
   * before. */
  [[nodiscard]] core::RunState UntouchedState(
      const core::CallRequest& request) const {
    return this->KeyOf(request) ? core::RunState::kUnknown
                                : core::RunState::kNotRun;
  }

  [[nodiscard]] bool IsReady() const noexcept {
    return this->configuration != nullptr && this->current;
  }

  [[nodiscard]] bool HasRoom() const noexcept {
    return this->calls.Size() + this->keyed.Runs() < this->options.limits.calls;
  }

  void OnReceived(const relay::CallReceived& call) {
    core::Refusal refusal{.run = core::RunState::kUnknown,
                          .reason = core::RefusalReason::kNotReady,
                          .retry_after = kRetryAfter};
    if (!this->IsReady()) {
      this->peers.Reply(call.received, refusal);
      return;
    }
    if (!this->stopper.Plan().MayTake(call.request->deadline)) {
      refusal.reason = core::RefusalReason::kStopping;
      refusal.retry_after = balancing::kRetryElsewhere;
      this->peers.Reply(call.received, refusal);
      return;
    }
    const core::CallId waiter = this->NextCall();
    this->peers.Receive(waiter, call.received);
    this->keyed.Admit(waiter, call.key, call.request);
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

  /** Calls that wait to be sent are refused where they could be cut. */
  void TellStop() {
    const StopPlan& plan = this->stopper.Plan();
    const auto serve = std::chrono::ceil<std::chrono::milliseconds>(
        plan.ServesUntil() - std::chrono::steady_clock::now());
    this->log.Info(
        "Stops: serves for {} ms more, then finishes {} calls. grace_ms={}",
        serve.count(), this->calls.Size(),
        this->options.grace.value_or(std::chrono::milliseconds{0}).count());
    this->OrderStop();
  }

  /** Calls that are given up may fill the ring; the order is given all the
   * same. */
  void OrderStop() {
    if (this->outlets.balancing->TryPush(
            balancing::StopSending{this->stopper.Plan().AnswersUntil()})) {
      return;
    }
    this->order_timer.expires_after(kOrderRetry);
    this->order_timer.async_wait([this](const boost::system::error_code error) {
      if (!error) {
        this->OrderStop();
      }
    });
  }

  core::Refusal TellRefusal(const core::CallRequest& request,
                            const core::Refusal& refusal) {
    return this->refusals.Tell(
        request, refusal,
        {.calls = this->calls.Size(),
         .body_bytes = this->bodies.Held(),
         .revision = this->configuration == nullptr
                         ? 0
                         : this->configuration->Revision().Value()});
  }

  void OnRefused(const balancing::CallRefused& call) {
    if (!this->keyed.Refused(call.call, call.refusal)) {
      this->calls.Refuse(call.call, call.refusal);
    }
  }

  void OnAnswer(std::monostate /*none*/) {}

  void OnAnswer(forwarding::AnswerStarted& answer) {
    if (!this->keyed.Answer(answer.call, answer.head) &&
        !this->calls.Answer(answer.call, std::move(answer.head))) {
      this->Forward(forwarding::AbandonAnswer{answer.call});
    }
  }

  void OnAnswer(forwarding::AnswerContinued& answer) {
    if (!this->keyed.Answer(answer.call, answer.part)) {
      this->calls.Answer(answer.call, std::move(answer.part));
    }
  }

  void OnAnswer(const forwarding::AnswerBroken& answer) {
    if (!this->keyed.Refused(answer.call,
                             {.run = core::RunState::kUnknown,
                              .reason = core::RefusalReason::kTargetFailed})) {
      this->calls.Break(answer.call);
    }
  }

  void Forward(const forwarding::FromCallers& message) {
    core::CheckInvariant(
        this->outlets.forwarding->TryPush(forwarding::FromCallers{message}),
        "the ring to forwarding has room for every call's messages");
  }

  Options options;
  internal::Metrics metrics;
  internal::RefusalNotes refusals{this->metrics};
  BodyBudget bodies{this->options.limits.bodies};
  internal::OpenCalls calls{this->metrics, this->refusals};
  internal::PeerCalls peers{this->options.limits.calls};
  Outlets outlets;
  inventory::ConfigurationPtr configuration;
  discovery::Directory directory;
  Router router;
  internal::KeyedCalls keyed;
  core::WallClock clock;
  internal::Claims claims;
  internal::Stopper stopper;
  internal::QuestionServer questions;
  internal::Listener listener;
  boost::asio::steady_timer expire_timer;
  boost::asio::steady_timer late_timer;
  boost::asio::steady_timer order_timer;
  core::TimePoint late_due = core::TimePoint::max();
  core::CallId last_call;
  bool current = true;
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
