#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "fakes.h"
#include "support/await.h"
#include "support/loopback_network.h"
#include "trefoilbend/entry/entry.h"
#include "trefoilbend/entry/settings.h"
#include "trefoilbend/http/client.h"

namespace trefoilbend::entry {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr std::size_t kTargets = 3;
constexpr const char* kToken = "token-of-the-test-operator";
constexpr std::chrono::seconds kTimeout{10};
constexpr std::chrono::milliseconds kPoll{10};
/** Bodies that have no room in the memory for all of them, and that have. */
constexpr std::size_t kTooLong = 90U << 10U;
constexpr std::size_t kShort = 60U << 10U;

bool Await(const std::function<bool()>& condition) {
  return tests::AwaitCondition(condition, kTimeout, kPoll);
}

/** What became of the calls of many callers. */
struct Tally {
  int answered = 0;
  int refused = 0;
  int broken = 0;
  int wrong = 0;
};

/** Callers that each make calls one after another on one event loop. */
class Callers {
 public:
  Callers(http::Address entry, std::string path, const std::size_t length)
      : entry(std::move(entry)), path(std::move(path)), length(length) {}

  [[nodiscard]] Tally Run(const int callers, const int calls_each,
                          const std::chrono::milliseconds patience = kTimeout) {
    this->patience = patience;
    for (int caller = 0; caller < callers; ++caller) {
      this->Next(caller, calls_each);
    }
    this->context.run();
    return this->tally;
  }

 private:
  void Next(const int caller, const int left) {
    if (left == 0) {
      return;
    }
    const std::string call =
        std::to_string(caller) + '-' + std::to_string(left);
    this->http->Send(
        this->entry,
        {.method = "GET",
         .target = this->path + "?bytes=" + std::to_string(this->length),
         .fields = {{"Host", "stock"}, {"Call-Id", call}},
         .body = {}},
        this->patience,
        [this, caller, left, call](const http::ResponseOutcome& outcome) {
          this->Count(call, outcome);
          this->Next(caller, left - 1);
        });
  }

  void Count(const std::string& call, const http::ResponseOutcome& outcome) {
    if (!core::Succeeded(outcome)) {
      ++this->tally.broken;
      return;
    }
    const http::Response& response = core::ValueOf(outcome);
    if (response.status != 200) {
      ++this->tally.refused;
      return;
    }
    const bool right = response.body == fakes::Target::Body(call, this->length);
    ++(right ? this->tally.answered : this->tally.wrong);
  }

  http::Address entry;
  std::string path;
  std::size_t length;
  std::chrono::milliseconds patience{};
  Tally tally;
  boost::asio::io_context context{1};
  std::shared_ptr<http::Client> http = http::Client::Create(this->context);
};

/** An entry with all its duties in this process, between small fakes. */
struct Fixture {
  Fixture() {
    for (std::size_t i = 0; i < kTargets; ++i) {
      this->targets.push_back(std::make_unique<fakes::Target>(
          this->loop.Context(), this->TargetAddress(i)));
    }
    auto settings = ReadSettings(core::ValueOf(settings::Document::Parse(
        "entry.ini",
        "[entry]\nname = entry-1\n[callers]\naddress = " +
            ToString(this->At(1)) +
            "\nkeep = 100ms\nmax-bodies = 100 KiB\n[platform]\naddress = " +
            ToString(this->At(3)) + "\npoll = 50ms\n[operations]\naddress = " +
            ToString(this->At(2)) + "\n[log]\nlevel = off\n")));
    BOOST_REQUIRE(core::Succeeded(settings));
    Settings& checked = std::get<0>(settings);
    checked.operations.operators = core::ValueOf(
        operations::Operators::Read(core::ValueOf(settings::Document::Parse(
            "operators.ini",
            "[operator test]\ntoken = " + std::string{kToken}))));
    this->entry = Entry::Builder{}.WithSettings(std::move(checked)).Build();
    BOOST_REQUIRE(core::Succeeded(this->entry->Start()));
    BOOST_REQUIRE(this->Apply(kTargets) == 200);
    BOOST_REQUIRE(Await([this] { return this->IsServing(); }));
  }

  ~Fixture() {
    this->entry.reset();
    this->loop.Stop();
  }

  Fixture(const Fixture&) = delete;
  Fixture& operator=(const Fixture&) = delete;

  [[nodiscard]] http::Address At(const int host) const {
    constexpr std::uint16_t kPort = 7000;
    return this->network.At(host, kPort);
  }

  [[nodiscard]] http::Address TargetAddress(const std::size_t target) const {
    constexpr int kFirst = 10;
    return this->At(kFirst + static_cast<int>(target));
  }

  /** Applies files with the first targets through the operations address. */
  [[nodiscard]] int Apply(const std::size_t count) {
    std::string inventory =
        "[data-centre xela-1]\nregion = west\n[service stock]\nversion = 1\n"
        "[instance entry-1]\nrole = entry\ndata-centre = xela-1\naddress = " +
        ToString(this->At(1)) + "\noperations = " + ToString(this->At(2)) +
        "\npeers = " + ToString(this->At(4)) +
        "\nrelay = " + ToString(this->At(5)) +
        "\nrollout = " + ToString(this->At(6)) + '\n';
    for (std::size_t i = 0; i < count; ++i) {
      inventory += "[instance stock-" + std::to_string(i) +
                   "]\ndata-centre = xela-1\nservice = stock\naddress = " +
                   ToString(this->TargetAddress(i)) +
                   "\nslots = 6\nconnections = 200\n";
    }
    const std::string rules =
        "[route lookup]\nservice = stock\npath = /lookup\nmethod = GET\n"
        "[route reserve]\nservice = stock\npath = /reserve\nmethod = POST\n";
    const json body{{"id", "change-" + std::to_string(++this->changes)},
                    {"who", "test"},
                    {"why", "story"},
                    {"inventory", inventory},
                    {"rules", rules}};
    const auto outcome = http::SendAndWait(
        this->At(2),
        {.method = "POST",
         .target = "/v1/apply",
         .fields = {{"Authorization", std::string{"Bearer "} + kToken}},
         .body = body.dump()},
        kTimeout);
    return core::Succeeded(outcome) ? core::ValueOf(outcome).status : 0;
  }

  [[nodiscard]] std::string Read(const std::string& path) const {
    const auto outcome = http::SendAndWait(
        this->At(2),
        {.method = "GET", .target = path, .fields = {}, .body = {}}, kTimeout);
    return core::Succeeded(outcome) ? core::ValueOf(outcome).body : "";
  }

  [[nodiscard]] std::uint64_t Revision() const {
    return json::parse(this->Read("/v1/status")).at("revision");
  }

  [[nodiscard]] bool IsServing() const {
    return Callers{this->At(1), "/lookup", 1}.Run(1, 1).answered == 1;
  }

  [[nodiscard]] int Handled() const {
    int sum = 0;
    for (const auto& target : this->targets) {
      sum += target->Handled();
    }
    return sum;
  }

  [[nodiscard]] Callers PendingProbes(const std::size_t length = 200) const {
    return {this->At(1), "/lookup", length};
  }

  [[nodiscard]] http::Response Reserve(const std::size_t length,
                                       http::Fields fields = {}) const {
    fields.emplace_back("Host", "stock");
    fields.emplace_back("Call-Id", "call");
    const auto outcome = http::SendAndWait(this->At(1),
                                           {.method = "POST",
                                            .target = "/reserve?bytes=1",
                                            .fields = std::move(fields),
                                            .body = std::string(length, 'x')},
                                           kTimeout);
    return core::Succeeded(outcome) ? core::ValueOf(outcome) : http::Response{};
  }

  [[nodiscard]] static std::string OutcomeOf(const http::Response& response) {
    return std::string{
        http::FindField(response.fields, "Trefoilbend-Outcome").value_or("")};
  }

  tests::LoopbackNetwork network;
  fakes::Loop loop;
  std::vector<std::unique_ptr<fakes::Target>> targets;
  fakes::Platform platform{this->loop.Context(),
                           this->At(3),
                           {"entry-1", "stock-0", "stock-1", "stock-2"}};
  std::unique_ptr<Entry> entry;
  int changes = 0;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(a_whole_entry_in_one_process, Fixture)

BOOST_AUTO_TEST_CASE(gives_each_of_many_callers_its_own_answer) {
  const int before = Handled();
  BOOST_TEST(PendingProbes().Run(16, 25).answered == 16 * 25);
  BOOST_TEST(Handled() == before + 16 * 25);
}

BOOST_AUTO_TEST_CASE(streams_long_answers_whole) {
  constexpr std::size_t kLength = 300'000;
  const Tally tally = PendingProbes(kLength).Run(8, 4);
  BOOST_TEST(tally.answered == 8 * 4);
}

BOOST_AUTO_TEST_CASE(serves_operators_while_it_serves_callers) {
  auto calls = std::async(std::launch::async,
                          [this] { return PendingProbes().Run(8, 50); });
  while (calls.wait_for(0s) != std::future_status::ready) {
    BOOST_TEST(!Read("/metrics").empty());
    BOOST_TEST(!Read("/v1/configuration").empty());
  }
  BOOST_TEST(calls.get().answered == 8 * 50);
}

BOOST_AUTO_TEST_SUITE(when_operators_take_a_target_away_under_load)

BOOST_AUTO_TEST_CASE(sends_it_no_more_work_and_loses_no_call) {
  auto calls = std::async(std::launch::async,
                          [this] { return PendingProbes().Run(8, 100); });
  const std::uint64_t before = Revision();
  BOOST_TEST(Apply(kTargets - 1) == 200);
  BOOST_TEST(Await([&] { return Revision() == before + 1; }));
  BOOST_TEST(calls.get().answered == 8 * 100);
  const int settled = targets.back()->Handled();
  BOOST_TEST(PendingProbes().Run(4, 20).answered == 4 * 20);
  BOOST_TEST(targets.back()->Handled() == settled);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_callers_leave_before_their_answer)

BOOST_AUTO_TEST_CASE(goes_on_serving_the_others) {
  for (const auto& target : targets) {
    target->Take(200ms);
  }
  const Tally tally = PendingProbes().Run(8, 3, 50ms);
  BOOST_TEST(tally.broken == 8 * 3);
  for (const auto& target : targets) {
    target->Take(0ms);
  }
  BOOST_TEST(PendingProbes().Run(4, 10).answered == 4 * 10);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_body_finds_no_room)

BOOST_AUTO_TEST_CASE(says_that_the_call_has_not_run) {
  const http::Response response = Reserve(kTooLong);
  BOOST_TEST(response.status == 503);
  BOOST_TEST(OutcomeOf(response) == "not-run");
  BOOST_TEST(http::FindField(response.fields, "Retry-After").has_value());
}

/** The key may have run before. */
BOOST_AUTO_TEST_CASE(promises_nothing_of_a_call_with_a_key) {
  const http::Response response =
      Reserve(kTooLong, {{"Idempotency-Key", "key-1"}});
  BOOST_TEST(response.status == 503);
  BOOST_TEST(OutcomeOf(response) == "unknown");
}

BOOST_AUTO_TEST_CASE(serves_shorter_ones) {
  BOOST_TEST(Reserve(kShort).status == 200);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_the_platform_is_down)

BOOST_AUTO_TEST_CASE(serves_calls_and_refuses_changes_until_it_is_back) {
  platform.SetDown(true);
  BOOST_TEST(Apply(1) == 503);
  BOOST_TEST(PendingProbes().Run(4, 10).answered == 4 * 10);
  platform.SetDown(false);
  BOOST_TEST(Await([&] { return Apply(1) == 200; }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_it_is_asked_to_stop)

BOOST_AUTO_TEST_CASE(ends_after_the_calls_in_progress) {
  for (const auto& target : targets) {
    target->Take(300ms);
  }
  const int before = Handled();
  auto calls = std::async(std::launch::async,
                          [this] { return PendingProbes().Run(6, 1); });
  BOOST_TEST(Await([&] { return Handled() == before + 6; }));
  std::promise<void> stopped;
  entry->Drain([&] { stopped.set_value(); });
  BOOST_TEST(
      (stopped.get_future().wait_for(kTimeout) == std::future_status::ready));
  BOOST_TEST(calls.get().answered == 6);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::entry
