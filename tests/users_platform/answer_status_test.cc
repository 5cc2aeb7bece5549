#include <atomic>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "platform.h"
#include "raw_target.h"
#include "trefoilbend/forwarding/fields.h"
#include "trefoilbend/wire/headers.h"

namespace trefoilbend::tests {

namespace {

/** Statuses that promise to clients that a request has not run. A 421 is a
 * promise of the target by itself and needs no further word. */
const std::vector<std::string> kPromises{
    "408 Request Timeout", "429 Too Many Requests", "503 Unavailable"};
/** Ways in which a target says where its body ends. */
const std::vector<std::string> kFramings{
    "Content-Length: 4\r\n\r\nbody",
    "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    "Connection: close\r\n\r\nbody"};
const std::string kNotRun = "Trefoilbend-Not-Executed: 1\r\n";

constexpr std::chrono::milliseconds kPause{20};
/** Statuses that no answer has (RFC 9110, section 15). */
const std::vector<std::string> kNoStatuses{"000 None", "001 None", "099 None",
                                           "600 None", "999 None"};

/** A daemon whose only target runs each request and then answers with a status
 * that a story chooses. */
struct Answering : Platform {
  void Use(const std::string& kind, const std::string& hold = "64 KiB") {
    this->WriteRoute(1, {.kind = kind});
    this->target = std::make_unique<RawTarget>(
        this->RawTargetAddress(),
        [this](RawConnection& connection, const std::string& request) {
          this->Serve(connection, request);
        });
    this->ListOnlyTheRawTarget();
    this->StartDaemon({{"forwarding", "hold", hold}});
  }

  void Serve(RawConnection& connection, const std::string& request) {
    if (IsHealthCheck(request)) {
      connection.Write(this->health);
      if (!this->health_rest.empty()) {
        std::this_thread::sleep_for(kPause);
        connection.Write(this->health_rest);
      }
      return;
    }
    ++this->arrivals;
    connection.Write("HTTP/1.1 " + this->status +
                     "\r\nTrefoilbend-Request-Id: " + IdOf(request) +
                     "\r\nTrefoilbend-Server-Signature: s\r\n" + this->mark +
                     this->framing);
    if (this->framing.starts_with("Connection: close")) {
      connection.Close();
    }
  }

  /** Checks each of some statuses in each framing, as the client sees it. */
  void CheckThatNoneIsPassedOn(const std::vector<std::string>& statuses,
                               const std::string& method) {
    for (const std::string& one : statuses) {
      for (const std::string& way : kFramings) {
        this->status = one;
        this->framing = way;
        this->arrivals = 0;
        const http::Response response = this->Call("/look/1", method);
        BOOST_TEST(response.status == 502, one << ", " << way);
        BOOST_TEST(!http::FindField(response.fields, wire::kSignatureHeader));
        BOOST_TEST(this->arrivals >= 1);
      }
    }
    BOOST_TEST(this->GetDaemon().IsRunning());
  }

  std::string health = kHealthy;
  /** What follows the answer to a health check after a pause. */
  std::string health_rest;
  std::string status;
  std::string framing = kFramings.front();
  std::string mark;
  std::atomic<int> arrivals{};
  std::unique_ptr<RawTarget> target;
};

}  // namespace

/** REFUSED: clients were told by a target's own 503 that reservations had not
 * run which had, and made them once more (review/6). */
BOOST_FIXTURE_TEST_SUITE(a_target_that_runs_a_request, Answering)

BOOST_AUTO_TEST_SUITE(and_answers_with_a_status_that_promises_it_has_not)

BOOST_AUTO_TEST_CASE(keeps_the_promise_from_a_call_that_must_not_be_repeated) {
  Use("non_idempotent");
  CheckThatNoneIsPassedOn(kPromises, "POST");
}

BOOST_AUTO_TEST_CASE(runs_a_call_that_must_not_be_repeated_once) {
  Use("non_idempotent");
  status = kPromises.back();
  BOOST_TEST(Call("/look/1", "POST").status == 502);
  BOOST_TEST(arrivals == 1);
}

BOOST_AUTO_TEST_CASE(keeps_the_promise_from_a_call_that_may_be_repeated) {
  Use("idempotent");
  CheckThatNoneIsPassedOn(kPromises, "GET");
}

BOOST_AUTO_TEST_CASE(keeps_the_promise_from_a_call_on_its_last_attempt) {
  WriteRoute(1, {.kind = "idempotent"});
  for (const char* id : {"a", "b", "c"}) {
    Target(id).Behave(Conduct::kPromises);
  }
  StartDaemon();
  BOOST_TEST(Call("/look/1").status == 502);
  BOOST_TEST(Runs() == 2);
}

BOOST_AUTO_TEST_CASE(keeps_the_promise_from_a_call_without_a_body) {
  Use("idempotent");
  CheckThatNoneIsPassedOn(kPromises, "HEAD");
}

BOOST_AUTO_TEST_CASE(keeps_the_promise_from_a_download_that_is_not_held) {
  Use("download", "0 B");
  CheckThatNoneIsPassedOn(kPromises, "GET");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(and_answers_with_a_status_that_promises_nothing)

BOOST_AUTO_TEST_CASE(has_its_status_and_signature_passed_on) {
  Use("non_idempotent");
  for (const char* one : {"500 Failed", "502 Bad Gateway", "504 Timeout",
                          "404 Not Found", "507 Full"}) {
    status = one;
    const http::Response response = Call("/look/1", "POST");
    BOOST_TEST(response.status == std::stoi(status));
    BOOST_TEST(
        http::FindField(response.fields, wire::kSignatureHeader).has_value());
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(and_answers_in_the_words_of_an_entry)

/** Callers of the project's own interface trust this field as others trust a
 * 503. */
BOOST_AUTO_TEST_CASE(has_them_kept_from_the_caller) {
  Use("non_idempotent");
  status = "500 Failed";
  mark = "Trefoilbend-Outcome: not-run\r\ntrefoilbend-reason: busy\r\n";
  const http::Response response = Call("/look/1", "POST");
  BOOST_TEST(response.status == 500);
  BOOST_TEST(!http::FindField(response.fields, forwarding::kOutcomeField));
  BOOST_TEST(!http::FindField(response.fields, forwarding::kReasonField));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(a_target_that_says_that_it_has_not_run_a_request,
                         Answering)

BOOST_AUTO_TEST_CASE(has_the_client_told_so) {
  Use("non_idempotent");
  mark = kNotRun;
  for (const std::string& promise : kPromises) {
    status = promise;
    BOOST_TEST(Call("/look/1", "POST").status == 503, promise);
  }
}

BOOST_AUTO_TEST_SUITE_END()

/** MIXED: a client got the status 000 as the answer of a target in trouble
 * (reports of other operators). */
BOOST_FIXTURE_TEST_SUITE(a_target_whose_status_does_not_exist, Answering)

BOOST_AUTO_TEST_SUITE(in_a_whole_answer)

BOOST_AUTO_TEST_CASE(fails_a_call_that_must_not_be_repeated) {
  Use("non_idempotent");
  CheckThatNoneIsPassedOn(kNoStatuses, "POST");
}

BOOST_AUTO_TEST_CASE(fails_a_call_that_may_be_repeated) {
  Use("idempotent");
  CheckThatNoneIsPassedOn(kNoStatuses, "GET");
}

BOOST_AUTO_TEST_CASE(fails_a_call_without_a_body) {
  Use("idempotent");
  CheckThatNoneIsPassedOn(kNoStatuses, "HEAD");
}

BOOST_AUTO_TEST_CASE(fails_a_download_that_is_not_held) {
  Use("download", "0 B");
  CheckThatNoneIsPassedOn(kNoStatuses, "GET");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(in_an_answer_that_says_it_has_not_run_the_request)

BOOST_AUTO_TEST_CASE(is_not_believed) {
  Use("non_idempotent");
  mark = kNotRun;
  CheckThatNoneIsPassedOn(kNoStatuses, "POST");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(in_the_answer_to_a_health_check)

/** What follows such an answer was taken for that to the next call on its
 * connection. */
BOOST_AUTO_TEST_CASE(leaves_no_bytes_to_the_calls_that_follow) {
  health = "HTTP/1.1 103 Early Hints\r\n\r\n";
  health_rest = kHealthy;
  status = "200 OK";
  Use("non_idempotent");
  for (int call = 0; call < 10; ++call) {
    BOOST_TEST(Call("/look/1", "POST").status == 200);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::tests
