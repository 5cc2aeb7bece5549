#include <rapidcheck/boost_test.h>
#include <rapidcheck/state.h>

#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <string>

#include "trefoilbend/idempotency/key_table.h"

namespace trefoilbend::idempotency {

namespace {

constexpr int kKeys = 6;
constexpr core::CallId kWaiter{1};
constexpr std::chrono::milliseconds kRetention{1'000};

/** The subject itself keeps what happened. */
struct Model {};

struct Subject {
  KeyTable table{{.self = core::InstanceName{"entry-1"},
                  .incarnation = core::Incarnation{1},
                  .retention = kRetention,
                  .clock_skew = kRetention,
                  .keys = kKeys / 2,
                  .answer_bytes = 40}};
  std::map<int, int> runs;
  std::map<int, bool> running;
  IssueTime now{};
};

using Command = rc::state::Command<Model, Subject>;

Key MakeKey(const int number) {
  const IssueTime issued{number * kRetention / 4};
  return {.home = {.entry = core::InstanceName{"entry-1"},
                   .incarnation = core::Incarnation{1},
                   .issued = issued},
          .service = core::ServiceName{"stock"},
          .text = std::to_string(number)};
}

/** A request comes, from whichever caller and through whichever entry. */
struct Request final : Command {
  int key = *rc::gen::inRange(0, kKeys);

  void run(const Model& /*model*/, Subject& subject) const override {
    const Verdict verdict =
        subject.table.Admit(MakeKey(this->key), {}, kWaiter, subject.now);
    const bool has_run = subject.runs[this->key] > 0;
    const bool is_running = subject.running[this->key];
    if (std::holds_alternative<RunCall>(verdict)) {
      RC_ASSERT(!has_run && !is_running);
      subject.running[this->key] = true;
    } else if (std::holds_alternative<AwaitRun>(verdict)) {
      RC_ASSERT(is_running);
    } else if (const auto* refused = std::get_if<KeyRefused>(&verdict)) {
      RC_ASSERT(refused->refusal.run == core::RunState::kUnknown ||
                (!has_run && !is_running));
    } else {
      RC_ASSERT(has_run);
    }
  }

  void show(std::ostream& out) const override {
    out << "Request(" << this->key << ')';
  }
};

/** A run ends, if there is one. */
struct EndRun final : Command {
  int key = *rc::gen::inRange(0, kKeys);
  int how = *rc::gen::inRange(0, 3);

  void run(const Model& /*model*/, Subject& subject) const override {
    if (!subject.running[this->key]) {
      return;
    }
    subject.running[this->key] = false;
    subject.runs[this->key] += this->how == 0 ? 0 : 1;
    (void)subject.table.Finish(MakeKey(this->key), this->MakeResult());
  }

  void show(std::ostream& out) const override {
    out << "EndRun(" << this->key << ", " << this->how << ')';
  }

 private:
  [[nodiscard]] Result MakeResult() const {
    switch (this->how) {
      case 0:
        return core::Refusal{.run = core::RunState::kNotRun};
      case 1:
        return core::Refusal{.run = core::RunState::kUnknown};
      default:
        return std::make_shared<const core::AnswerHead>(core::AnswerHead{
            .status = 200, .fields = {}, .body = "0123456789abcdef"});
    }
  }
};

/** Time passes, or the clock is set back a little. */
struct Wait final : Command {
  int milliseconds = *rc::gen::inRange(-200, 500);
  bool expire = *rc::gen::arbitrary<bool>();

  void run(const Model& /*model*/, Subject& subject) const override {
    subject.now += std::chrono::milliseconds{this->milliseconds};
    if (this->expire) {
      subject.table.Expire(subject.now);
    }
    RC_ASSERT(subject.table.Size() <= static_cast<std::size_t>(kKeys / 2));
    RC_ASSERT(subject.table.AnswerBytes() <= 40U);
  }

  void show(std::ostream& out) const override {
    out << "Wait(" << this->milliseconds << ')';
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(a_table_of_keys_in_any_order_of_events)

RC_BOOST_PROP(runs_each_key_once_and_never_says_not_run_of_one_that_ran, ()) {
  Subject subject;
  rc::state::check(Model{}, subject,
                   rc::state::gen::execOneOfWithArgs<Request, EndRun, Wait>());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::idempotency
