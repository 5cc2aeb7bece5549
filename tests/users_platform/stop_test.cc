#include <boost/test/unit_test.hpp>
#include <chrono>
#include <csignal>
#include <list>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>

#include "platform.h"
#include "raw_caller.h"
#include "raw_target.h"

namespace trefoilbend::tests {

namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

/** Time between SIGTERM and SIGKILL. */
constexpr std::chrono::seconds kGrace{6};
/** Time that the target works on each call: one that comes 2 s after SIGTERM
 * would end after the grace. */
constexpr std::chrono::milliseconds kWork{4'500};
/** Time that it works on calls that outlast the grace. */
constexpr std::chrono::milliseconds kLongWork{7'000};
/** Longest time that an operator has a client wait here. */
constexpr std::chrono::seconds kTimeout{20};

std::string AnswerTo(const std::string& head) {
  return "HTTP/1.1 200 OK\r\nTrefoilbend-Request-Id: " + IdOf(head) +
         "\r\nTrefoilbend-Server-Signature: s\r\n"
         "Content-Length: 5\r\n\r\nwhole";
}

/** A daemon in its grace whose only target works long on each call. */
struct Stopped : Platform {
  void Start(const std::string& kind, const int connections = 100) {
    this->WriteRoute(
        1, {.kind = kind, .timeout = kTimeout, .connections = connections});
    this->target = std::make_unique<RawTarget>(
        this->RawTargetAddress(),
        [this](RawConnection& connection, const std::string& head) {
          this->Serve(connection, head);
        });
    this->ListOnlyTheRawTarget();
    this->StartDaemon({{"callers", "keep", "2s"},
                       {"callers", "grace", "6s"},
                       {"forwarding", "hold", "64 KiB"}});
  }

  ~Stopped() {
    for (std::thread& caller : this->callers) {
      caller.join();
    }
  }

  void Serve(RawConnection& connection, const std::string& head) {
    if (IsHealthCheck(head)) {
      connection.Write(kHealthy);
      return;
    }
    {
      const std::lock_guard lock(this->mutex);
      this->run.insert(IdOf(head));
    }
    const std::string answer = AnswerTo(head);
    const std::size_t begun =
        head.find("/look/parts") == std::string::npos ? 0 : answer.size() - 2;
    connection.Write(answer.substr(0, begun));
    const bool is_long = head.find("/look/long") != std::string::npos;
    std::this_thread::sleep_for(is_long ? kLongWork : kWork);
    connection.Write(answer.substr(begun));
  }

  /** Sends SIGTERM, as the platform does, and SIGKILL after the grace. */
  void Stop() {
    this->terminated = Clock::now();
    this->GetDaemon().Signal(SIGTERM);
  }

  void Kill() {
    std::this_thread::sleep_until(this->terminated + kGrace);
    this->ended_by_itself = !this->GetDaemon().IsRunning();
    if (!this->ended_by_itself) {
      this->GetDaemon().Signal(SIGKILL);
    }
    for (std::thread& caller : this->callers) {
      caller.join();
    }
    this->callers.clear();
  }

  /** Connects now, and sends a request on the open connection later. */
  void CallAt(const Clock::time_point at, const std::string& id) {
    auto caller = std::make_shared<RawCaller>(this->Front());
    BOOST_REQUIRE(caller->IsConnected());
    this->callers.emplace_back([this, caller, at, id] {
      std::this_thread::sleep_until(at);
      const bool sent =
          caller->Send(RequestOf("POST", "/look/1", id, kTimeout));
      this->Note(id, sent ? caller->Receive() : std::nullopt);
    });
  }

  void Note(const std::string& id,
            const std::optional<http::Response>& response) {
    const std::lock_guard lock(this->mutex);
    if (response) {
      this->answered.insert(id);
      this->served += response->status == 200 ? 1 : 0;
      this->refused += response->status == 503 ? 1 : 0;
    }
  }

  /** Whether a target begins to run a call. */
  [[nodiscard]] bool AwaitRun(const std::string& id) {
    return Await([this, &id] {
      const std::lock_guard lock(this->mutex);
      return this->run.contains(id);
    });
  }

  /** Checks that each call that a target ran has an answer, and that refused
   * ones did not run. */
  void CheckThatNothingWasCut() {
    for (const std::string& id : this->run) {
      BOOST_TEST(this->answered.contains(id), "cut: " << id);
    }
    BOOST_TEST(this->served == this->run.size());
    BOOST_TEST(this->ended_by_itself);
  }

  std::mutex mutex;
  std::set<std::string> run;
  std::set<std::string> answered;
  std::size_t served{};
  std::size_t refused{};
  Clock::time_point terminated;
  bool ended_by_itself = false;
  std::list<std::thread> callers;
  std::unique_ptr<RawTarget> target;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(a_daemon_that_is_killed_at_the_end_of_its_grace,
                         Stopped)

/** LOST: calls that came late in the grace, on connections that clients kept,
 * were passed on and cut at its end, among them calls that must not be
 * repeated. */
BOOST_AUTO_TEST_CASE(cuts_no_call_that_came_while_it_stopped) {
  constexpr std::chrono::milliseconds kBefore{500};
  constexpr std::chrono::milliseconds kBetween{100};
  constexpr int kCalls = 30;
  Start("non_idempotent");
  const auto begin = Clock::now() + kBefore;
  for (int call = 0; call < kCalls; ++call) {
    CallAt(begin + call * kBetween, "late-" + std::to_string(call));
  }
  std::this_thread::sleep_until(begin + kBefore);
  Stop();
  Kill();
  CheckThatNothingWasCut();
  BOOST_TEST(served > 0);
  BOOST_TEST(refused > 0);
}

/** The same for calls that may be repeated. */
BOOST_AUTO_TEST_CASE(cuts_no_idempotent_call_either) {
  constexpr std::chrono::milliseconds kBetween{200};
  constexpr int kCalls = 12;
  Start("idempotent");
  const auto begin = Clock::now();
  for (int call = 0; call < kCalls; ++call) {
    CallAt(begin + call * kBetween, "late-" + std::to_string(call));
  }
  Stop();
  Kill();
  CheckThatNothingWasCut();
}

/** LOST: a second SIGTERM within the grace ended the process at once. */
BOOST_AUTO_TEST_CASE(cuts_no_call_when_the_signal_is_repeated) {
  Start("non_idempotent");
  CallAt(Clock::now(), "first");
  BOOST_REQUIRE(AwaitRun("first"));
  Stop();
  for (int repeat = 0; repeat < 2; ++repeat) {
    std::this_thread::sleep_for(500ms);
    GetDaemon().Signal(SIGTERM);
  }
  Kill();
  CheckThatNothingWasCut();
  BOOST_TEST(served == 1);
}

/** The same for a request that a client sends behind one that takes long, on
 * the same connection. */
BOOST_AUTO_TEST_CASE(cuts_no_call_behind_one_that_takes_long) {
  Start("non_idempotent");
  RawCaller caller{Front()};
  BOOST_REQUIRE(
      caller.Send(RequestOf("POST", "/look/parts", "first", kTimeout)));
  BOOST_REQUIRE(AwaitRun("first"));
  Stop();
  std::this_thread::sleep_for(1s);
  BOOST_REQUIRE(caller.Send(RequestOf("POST", "/look/1", "second", kTimeout)));
  Note("first", caller.Receive());
  Note("second", caller.Receive());
  Kill();
  CheckThatNothingWasCut();
  BOOST_TEST(answered.contains("first"));
  BOOST_TEST(refused == 1);
}

/** The same for calls that had come before and waited for their target: they
 * were sent when it had room, late in the grace. */
BOOST_AUTO_TEST_CASE(gives_calls_that_wait_for_a_target_back_at_once) {
  constexpr std::size_t kWaiting = 4;
  constexpr std::chrono::seconds kSoon{2};
  Start("non_idempotent", 1);
  const auto begin = Clock::now();
  CallAt(begin, "first");
  BOOST_REQUIRE(AwaitRun("first"));
  for (std::size_t call = 0; call < kWaiting; ++call) {
    CallAt(begin, "waits-" + std::to_string(call));
  }
  std::this_thread::sleep_for(500ms);
  Stop();
  BOOST_TEST(Await(
      [this] {
        const std::lock_guard lock(mutex);
        return refused == kWaiting;
      },
      kSoon));
  Kill();
  CheckThatNothingWasCut();
  BOOST_TEST(run.size() == 1);
}

/** The same for a request whose body ends late in the grace. */
BOOST_AUTO_TEST_CASE(passes_on_no_request_whose_body_came_too_late) {
  Start("non_idempotent");
  RawCaller caller{Front()};
  std::string head = RequestOf("POST", "/look/1", "slow", kTimeout);
  head.insert(head.size() - 2, "Content-Length: 4\r\n");
  BOOST_REQUIRE(caller.Send(head + "bo"));
  Stop();
  std::this_thread::sleep_for(2'500ms);
  (void)caller.Send("dy");
  const auto response = caller.Receive();
  BOOST_REQUIRE(response.has_value());
  BOOST_TEST(response->status == 503);
  BOOST_TEST(http::FindField(response->fields, "Retry-After").has_value());
  Kill();
  BOOST_TEST(run.empty());
}

/** Calls that were taken long before and outlast the grace were cut without a
 * word. */
BOOST_AUTO_TEST_CASE(tells_callers_of_calls_that_outlast_the_grace) {
  Start("non_idempotent");
  RawCaller caller{Front()};
  BOOST_REQUIRE(caller.Send(RequestOf("POST", "/look/long", "long", kTimeout)));
  BOOST_REQUIRE(AwaitRun("long"));
  Stop();
  const auto response = caller.Receive();
  BOOST_REQUIRE(response.has_value());
  BOOST_TEST(response->status == 502);
  Kill();
  BOOST_TEST(ended_by_itself);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::tests
