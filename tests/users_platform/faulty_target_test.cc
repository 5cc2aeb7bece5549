#include <atomic>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <utility>

#include "platform.h"
#include "raw_target.h"

namespace trefoilbend::tests {

namespace {

using namespace std::chrono_literals;

/** Time in which a call to a target that only floods has its answer; the call
 * itself has 2 s. */
constexpr std::chrono::milliseconds kSoon{1'000};
const std::string kNotRun =
    "HTTP/1.1 503 Busy\r\nTrefoilbend-Not-Executed: 1\r\n"
    "Content-Length: 0\r\n\r\n";
const std::string kPiece(4'096, 'x');

/** An entry whose only target does what a story says with each request, and is
 * healthy unless the story takes the health checks as well. */
struct Flooded : Platform {
  void Use(RawTarget::Story story, const std::string& kind = "non_idempotent") {
    this->WriteDesiredState(1, "/look/", kind);
    this->target = std::make_unique<RawTarget>(
        this->RawTargetAddress(),
        [this, story = std::move(story)](RawConnection& connection,
                                         const std::string& head) {
          const bool is_check = IsHealthCheck(head);
          if (is_check && !this->takes_checks) {
            connection.Write(kHealthy);
            return;
          }
          this->requests += is_check ? 0 : 1;
          story(connection, head);
        });
    this->ListOnlyTheRawTarget();
    this->StartEntry();
    BOOST_REQUIRE(Await([this] { return this->Readiness() == 200; }));
  }

  /** Whether a call has some answer soon, and the entry lives on. */
  [[nodiscard]] int StatusSoon() {
    const auto begin = std::chrono::steady_clock::now();
    const int status = this->Call("/look/1", "POST").status;
    BOOST_TEST((std::chrono::steady_clock::now() - begin < kSoon));
    BOOST_TEST(this->Readiness() == 200);
    return status;
  }

  std::atomic<int> requests{};
  bool takes_checks = false;
  std::unique_ptr<RawTarget> target;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(a_target_whose_bytes_never_end, Flooded)

/** Memory without bound, and calls held to their deadline, by bytes that are no
 * answer (reports of other operators). */
BOOST_AUTO_TEST_CASE(in_a_head_fails_the_call_soon) {
  Use([](RawConnection& connection, const std::string&) {
    connection.Write("HTTP/1.1 200 OK\r\nX-Filler: ");
    connection.WriteWithoutEnd(kPiece);
  });
  BOOST_TEST(StatusSoon() == 502);
}

/** The same in the line that begins a chunk. */
BOOST_AUTO_TEST_CASE(in_the_line_of_a_chunk_fails_the_call_soon) {
  Use([](RawConnection& connection, const std::string& head) {
    connection.Write("HTTP/1.1 500 Failed\r\nTrefoilbend-Request-Id: " +
                     IdOf(head) + "\r\nTransfer-Encoding: chunked\r\n\r\n1;");
    connection.WriteWithoutEnd(kPiece);
  });
  const int status = StatusSoon();
  BOOST_TEST((status == 500 || status == 502 || status == 0), status);
}

/** Calls that were not run and were told so only at their deadline. */
BOOST_AUTO_TEST_CASE(in_the_body_of_a_refusal_does_not_hold_the_refusal_up) {
  Use([](RawConnection& connection, const std::string& head) {
    connection.Write(
        "HTTP/1.1 503 Busy\r\nTrefoilbend-Not-Executed: 1\r\n"
        "Trefoilbend-Request-Id: " +
        IdOf(head) + "\r\nTransfer-Encoding: chunked\r\n\r\n");
    connection.WriteWithoutEnd("1000\r\n" + kPiece + "\r\n");
  });
  BOOST_TEST(StatusSoon() == 503);
}

/** The same, when the bytes come too slowly to be counted. */
BOOST_AUTO_TEST_CASE(in_a_refusal_that_trickles_does_not_hold_it_up_either) {
  Use([](RawConnection& connection, const std::string& head) {
    connection.Write(
        "HTTP/1.1 503 Busy\r\nTrefoilbend-Not-Executed: 1\r\n"
        "Trefoilbend-Request-Id: " +
        IdOf(head) + "\r\nContent-Length: 1000000\r\n\r\n");
    while (connection.Write("x")) {
      std::this_thread::sleep_for(10ms);
    }
  });
  BOOST_TEST(StatusSoon() == 503);
}

/** Calls held to their deadline by answers to other requests. */
BOOST_AUTO_TEST_CASE(in_answers_to_other_requests_fails_the_call_soon) {
  Use([](RawConnection& connection, const std::string&) {
    connection.WriteWithoutEnd(
        "HTTP/1.1 200 OK\r\nTrefoilbend-Request-Id: other\r\n"
        "Trefoilbend-Server-Signature: s\r\nContent-Length: 4096\r\n\r\n" +
        kPiece);
  });
  BOOST_TEST(StatusSoon() == 502);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(a_target_that_writes_an_old_refusal_again, Flooded)

/** REFUSED: clients were told that requests had not run which had. */
BOOST_AUTO_TEST_CASE(of_a_health_check_is_not_believed) {
  takes_checks = true;
  Use([](RawConnection& connection, const std::string& head) {
    if (IsHealthCheck(head)) {
      connection.Write(kNotRun);
      return;
    }
    connection.Write(kNotRun);
    connection.Write(
        "HTTP/1.1 200 OK\r\nTrefoilbend-Request-Id: " + IdOf(head) +
        "\r\nTrefoilbend-Server-Signature: s\r\n"
        "Content-Length: 0\r\n\r\n");
  });
  BOOST_TEST(StatusSoon() == 502);
  BOOST_TEST(requests == 1);
}

/** TWICE: what an old refusal seemed to spare ran at a second target. */
BOOST_AUTO_TEST_CASE(of_an_earlier_request_is_passed_over) {
  std::string refused;
  Use([&refused](RawConnection& connection, const std::string& head) {
    const std::string id = IdOf(head);
    if (refused.empty()) {
      refused =
          "HTTP/1.1 503 Busy\r\nTrefoilbend-Not-Executed: 1\r\n"
          "Trefoilbend-Request-Id: " +
          id + "\r\nContent-Length: 0\r\n\r\n";
      connection.Write(refused);
      return;
    }
    connection.Write(refused);
    connection.Write("HTTP/1.1 200 OK\r\nTrefoilbend-Request-Id: " + id +
                     "\r\nTrefoilbend-Server-Signature: s\r\n"
                     "Content-Length: 0\r\n\r\n");
  });
  BOOST_TEST(StatusSoon() == 503);
  BOOST_TEST(StatusSoon() == 200);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::tests
