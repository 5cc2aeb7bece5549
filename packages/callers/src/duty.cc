#include "trefoilbend/callers/duty.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <boost/asio/steady_timer.hpp>
#include <unordered_map>
#include <utility>
#include <vector>

#include "internal/session.h"
#include "trefoilbend/callers/refusal_text.h"
#include "trefoilbend/core/duty.h"
#include "trefoilbend/core/invariant.h"
#include "trefoilbend/core/log.h"

namespace trefoilbend::callers {

namespace {

using boost::asio::ip::tcp;

constexpr std::size_t kMessagesPerCall = 4;
constexpr std::size_t kConfigurations = 64;
constexpr std::chrono::milliseconds kDrainPoll{20};

}  // namespace

class CallersDuty::Loop final : public internal::SessionOwner {
 public:
  Loop(Options options, prometheus::Registry& registry)
      : from_balancing(options.limits.calls * kMessagesPerCall),
        from_forwarding(options.limits.calls * kMessagesPerCall),
        from_configuration(kConfigurations),
        options(std::move(options)),
        directory(this->options.keep, this->options.seed),
        acceptor(this->duty.Context()),
        drain_timer(this->duty.Context()),
        answered(prometheus::BuildCounter()
                     .Name("trefoilbend_calls_answered_total")
                     .Help("Calls whose answer came from a target.")
                     .Register(registry)
                     .Add({})),
        refused(prometheus::BuildCounter()
                    .Name("trefoilbend_calls_refused_total")
                    .Help("Calls refused, by reason and by what is known of "
                          "their run.")
                    .Register(registry)),
        in_progress(prometheus::BuildGauge()
                        .Name("trefoilbend_calls_in_progress")
                        .Help("Calls that wait or are in flight.")
                        .Register(registry)
                        .Add({})) {
    this->duty.Read(this->from_balancing,
                    [this](const balancing::ToCallers& message) {
                      if (const auto* call =
                              std::get_if<balancing::CallRefused>(&message)) {
                        this->OnRefused(*call);
                      }
                    });
    this->duty.Read(
        this->from_forwarding, [this](forwarding::ToCallers&& message) {
          std::visit([this](auto& answer) { this->OnAnswer(answer); }, message);
        });
    this->duty.Read(this->from_configuration,
                    [this](const configuration::Update& update) {
                      this->configuration = update.configuration;
                      this->directory.Configure(update);
                    });
  }

  core::Outcome<std::monostate, std::string> Start(const Outlets writes) {
    this->outlets = writes;
    boost::system::error_code error;
    const tcp::endpoint endpoint{
        boost::asio::ip::make_address(this->options.address.host, error),
        this->options.address.port};
    this->acceptor.open(endpoint.protocol(), error);
    this->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    this->acceptor.bind(endpoint, error);
    if (!error) {
      this->acceptor.listen(boost::asio::socket_base::max_listen_connections,
                            error);
    }
    if (error) {
      return "cannot listen on " + http::ToString(this->options.address) +
             ": " + error.message();
    }
    this->log.Info("Serves callers on {}.",
                   http::ToString(this->options.address));
    this->Accept();
    this->duty.Start();
    return std::monostate{};
  }

  void Drain(std::function<void()> done) {
    boost::asio::post(this->duty.Context(), [this,
                                             done = std::move(done)]() mutable {
      this->log.Info("Stops: serves for {} ms more, then finishes {} calls.",
                     this->options.keep.count(), this->calls.size());
      this->draining = true;
      this->directory.Exclude(this->options.self);
      this->drain_timer.expires_after(this->options.keep);
      this->drain_timer.async_wait(
          [this, done = std::move(done)](auto) mutable {
            boost::system::error_code ignored;
            this->acceptor.close(ignored);
            this->AwaitLastCall(std::move(done));
          });
    });
  }

  [[nodiscard]] const Limits& GetLimits() const noexcept override {
    return this->options.limits;
  }

  [[nodiscard]] bool IsDraining() const noexcept override {
    return this->draining;
  }

  [[nodiscard]] discovery::Answer Ask(
      const discovery::Question& question) override {
    return this->directory.Ask(question);
  }

  [[nodiscard]] core::Outcome<core::CallId, core::Refusal> Submit(
      const std::shared_ptr<internal::Session>& session,
      core::CallRequest request, const Wishes& wishes) override {
    if (this->configuration == nullptr) {
      return this->CountRefusal({.run = core::RunState::kNotRun,
                                 .reason = core::RefusalReason::kNotReady,
                                 .retry_after = kRetryAfter});
    }
    const auto view = this->configuration->Services().find(request.service);
    if (view == this->configuration->Services().end()) {
      return this->CountRefusal(
          {.run = core::RunState::kNotRun,
           .reason = core::RefusalReason::kUnknownService});
    }
    ApplyRules(view->second, wishes, std::chrono::steady_clock::now(), request);
    const core::CallId id = this->last_call.Next();
    if (this->calls.size() >= this->options.limits.calls ||
        !this->outlets.balancing->TryPush(balancing::SubmitCall{
            id,
            std::make_shared<const core::CallRequest>(std::move(request))})) {
      return this->CountRefusal({.run = core::RunState::kNotRun,
                                 .reason = core::RefusalReason::kBusy,
                                 .retry_after = kRetryAfter});
    }
    this->last_call = id;
    this->calls.emplace(id, session);
    this->in_progress.Set(static_cast<double>(this->calls.size()));
    return id;
  }

  void Continue(const core::CallId call) override {
    this->Forward(forwarding::ContinueAnswer{call});
  }

  void Close(const core::CallId call) override {
    this->calls.erase(call);
    this->in_progress.Set(static_cast<double>(this->calls.size()));
  }

  void Abandon(const core::CallId call) override {
    this->Close(call);
    core::CheckInvariant(
        this->outlets.balancing->TryPush(balancing::CancelCall{call}),
        "the ring to balancing has room for every call's end");
    this->Forward(forwarding::AbandonAnswer{call});
  }

  core::Ring<balancing::ToCallers> from_balancing;
  core::Ring<forwarding::ToCallers> from_forwarding;
  core::Ring<configuration::Update> from_configuration;
  core::Duty duty{"callers"};

 private:
  static constexpr std::chrono::milliseconds kRetryAfter{1'000};

  void Accept() {
    this->acceptor.async_accept(
        [this](const boost::system::error_code error, tcp::socket socket) {
          if (!this->acceptor.is_open()) {
            return;
          }
          const auto open =
              static_cast<std::size_t>(this->session_token.use_count());
          if (!error && open <= this->options.limits.connections) {
            std::make_shared<internal::Session>(*this, std::move(socket),
                                                this->session_token)
                ->Read();
          }
          this->Accept();
        });
  }

  void AwaitLastCall(std::function<void()> done) {
    if (this->calls.empty()) {
      this->log.Info("Has finished all calls.");
      done();
      return;
    }
    this->drain_timer.expires_after(kDrainPoll);
    this->drain_timer.async_wait([this, done = std::move(done)](auto) mutable {
      this->AwaitLastCall(std::move(done));
    });
  }

  core::Refusal CountRefusal(const core::Refusal refusal) {
    const std::string run =
        refusal.run == core::RunState::kNotRun ? "not-run" : "unknown";
    this->refused
        .Add({{"reason", std::string{ToString(refusal.reason)}},
              {"outcome", run}})
        .Increment();
    return refusal;
  }

  void OnRefused(const balancing::CallRefused& call) {
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
    const std::shared_ptr<internal::Session> session = this->Find(answer.call);
    if (session == nullptr) {
      this->Forward(forwarding::AbandonAnswer{answer.call});
      return;
    }
    this->answered.Increment();
    session->Answer(std::move(answer.head));
  }

  void OnAnswer(forwarding::AnswerContinued& answer) {
    const std::shared_ptr<internal::Session> session = this->Find(answer.call);
    if (session != nullptr) {
      session->Answer(std::move(answer.part));
    }
  }

  void OnAnswer(const forwarding::AnswerBroken& answer) {
    const std::shared_ptr<internal::Session> session = this->Find(answer.call);
    if (session != nullptr) {
      session->Break();
    }
  }

  [[nodiscard]] std::shared_ptr<internal::Session> Find(
      const core::CallId call) const {
    const auto found = this->calls.find(call);
    return found == this->calls.end() ? nullptr : found->second.lock();
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
  tcp::acceptor acceptor;
  boost::asio::steady_timer drain_timer;
  std::unordered_map<core::CallId, std::weak_ptr<internal::Session>> calls;
  core::CallId last_call;
  std::shared_ptr<const void> session_token = std::make_shared<int>();
  bool draining = false;
  prometheus::Counter& answered;
  prometheus::Family<prometheus::Counter>& refused;
  prometheus::Gauge& in_progress;
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

core::Outcome<std::monostate, std::string> CallersDuty::Start(
    const Outlets outlets) {
  return this->loop->Start(outlets);
}

void CallersDuty::Drain(std::function<void()> done) {
  this->loop->Drain(std::move(done));
}

void CallersDuty::Stop() { this->loop->duty.Stop(); }

}  // namespace trefoilbend::callers
