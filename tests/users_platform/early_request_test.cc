#include <atomic>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <csignal>
#include <memory>
#include <string>
#include <thread>

#include "platform.h"
#include "raw_caller.h"
#include "raw_target.h"

namespace trefoilbend::tests {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds kWork{300};
/** Time by which the next request comes behind one that a target runs. */
constexpr std::chrono::milliseconds kEarly{50};

/** A daemon whose target takes its time, and a client that has had an answer on
 * the connection. */
struct Early : Platform {
  Early() {
    this->WriteRoute(1, {});
    this->target = std::make_unique<RawTarget>(
        this->RawTargetAddress(),
        [this](RawConnection& connection, const std::string& head) {
          this->Serve(connection, head);
        });
    this->ListOnlyTheRawTarget();
    this->StartDaemon({{"callers", "keep", "200ms"}});
    this->caller = std::make_unique<RawCaller>(this->Front());
    this->Send("kept");
    BOOST_REQUIRE(this->AnswerIsFor("kept"));
  }

  void Serve(RawConnection& connection, const std::string& head) {
    if (IsHealthCheck(head)) {
      connection.Write(kHealthy);
      return;
    }
    ++this->runs;
    std::this_thread::sleep_for(kWork);
    connection.Write(
        "HTTP/1.1 200 OK\r\nTrefoilbend-Request-Id: " + IdOf(head) +
        "\r\nTrefoilbend-Server-Signature: s\r\n"
        "Content-Length: 0\r\n\r\n");
  }

  void Send(const std::string& id) {
    BOOST_REQUIRE(this->caller->Send(RequestOf("GET", "/look/1", id, 2s)));
  }

  [[nodiscard]] bool AnswerIsFor(const std::string& id) {
    const auto response = this->caller->Receive();
    return response && response->status == 200 &&
           http::FindField(response->fields, "Trefoilbend-Request-Id") == id;
  }

  [[nodiscard]] bool HasNoCall() {
    return this->Metrics().find("\ntrefoilbend_calls_in_progress 0") !=
           std::string::npos;
  }

  std::atomic<int> runs{};
  std::unique_ptr<RawTarget> target;
  std::unique_ptr<RawCaller> caller;
};

}  // namespace

/** LOST: requests that targets ran were dropped and their connections reset
 * when the client sent the next one before the answer (case review/2). */
BOOST_FIXTURE_TEST_SUITE(a_client_that_sends_its_next_request_early, Early)

BOOST_AUTO_TEST_CASE(gets_both_answers_in_order) {
  for (const char* round : {"a", "b", "c"}) {
    const std::string first = std::string{round} + "-1";
    const std::string second = std::string{round} + "-2";
    Send(first);
    std::this_thread::sleep_for(kEarly);
    Send(second);
    BOOST_TEST(AnswerIsFor(first));
    BOOST_TEST(AnswerIsFor(second));
  }
}

/** Further bytes of a request that comes in pieces are no less welcome. */
BOOST_AUTO_TEST_CASE(in_pieces_gets_both_answers_too) {
  Send("first");
  const std::string request = RequestOf("GET", "/look/1", "second", 2s);
  for (const char byte : request) {
    BOOST_REQUIRE(caller->Send(std::string{byte}));
    std::this_thread::sleep_for(1ms);
  }
  BOOST_TEST(AnswerIsFor("first"));
  BOOST_TEST(AnswerIsFor("second"));
}

/** MIXED: the refusal of a request that could not be read told a length and
 * had no body, since the request before had been a HEAD. */
BOOST_AUTO_TEST_CASE(behind_a_head_request_gets_a_whole_refusal) {
  BOOST_REQUIRE(caller->Send(RequestOf("HEAD", "/look/1", "first", 2s)));
  BOOST_REQUIRE(caller->Receive(true).has_value());
  BOOST_REQUIRE(caller->Send("no request\r\n\r\n"));
  const auto refusal = caller->Receive();
  BOOST_REQUIRE(refusal.has_value());
  BOOST_TEST(refusal->status == 400);
}

BOOST_AUTO_TEST_CASE(does_not_keep_the_entry_from_ending) {
  Send("first");
  std::this_thread::sleep_for(kEarly);
  Send("second");
  GetDaemon().Signal(SIGTERM);
  BOOST_TEST(AnswerIsFor("first"));
  BOOST_TEST(Await([this] { return !GetDaemon().IsRunning(); }, 5s));
}

BOOST_AUTO_TEST_CASE(and_leaves_holds_no_place_among_the_calls) {
  Send("first");
  std::this_thread::sleep_for(kEarly);
  Send("second");
  std::this_thread::sleep_for(kEarly);
  caller->Close();
  BOOST_TEST(Await([this] { return HasNoCall(); }, 2s));
  BOOST_TEST(runs == 2);
}

BOOST_AUTO_TEST_SUITE_END()

/** LOST: one such request ended the entry with all that was under way in it
 * (review/8). RFC 9110, section 9.3.8, has no content in a TRACE request. */
BOOST_FIXTURE_TEST_SUITE(a_trace_request, Early)

BOOST_AUTO_TEST_CASE(with_content_is_refused_and_harms_no_other_call) {
  RawCaller other{Front()};
  BOOST_REQUIRE(other.Send(RequestOf("GET", "/look/1", "other", 2s)));
  std::this_thread::sleep_for(kEarly);
  std::string request = RequestOf("TRACE", "/look/1", "trace", 2s);
  request.insert(request.size() - 2, "Content-Length: 4\r\n");
  BOOST_REQUIRE(caller->Send(request + "body"));
  const auto refusal = caller->Receive();
  BOOST_REQUIRE(refusal.has_value());
  BOOST_TEST(refusal->status == 400);
  BOOST_TEST(other.Receive().has_value());
  Send("next");
  BOOST_TEST(AnswerIsFor("next"));
  BOOST_TEST(runs == 3);
  BOOST_TEST(GetDaemon().IsRunning());
}

BOOST_AUTO_TEST_CASE(without_content_is_passed_on) {
  BOOST_REQUIRE(caller->Send(RequestOf("TRACE", "/look/1", "trace", 2s)));
  BOOST_TEST(AnswerIsFor("trace"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::tests
