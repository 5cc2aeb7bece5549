#include <atomic>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <mutex>
#include <sstream>
#include <string>
#include <utility>

#include "platform.h"
#include "raw_target.h"

namespace trefoilbend::tests {

namespace {

const std::string kBody = "a body that is whole";
/** Ways in which a target says where its body ends. */
const std::string kByLength =
    "Content-Length: " + std::to_string(kBody.size()) + "\r\n";
const std::string kByChunks = "Transfer-Encoding: chunked\r\n";
const std::string kByClose;
/** A rest that goes on beyond the end of the body. */
const std::string kTooMany = kBody.substr(kBody.size() / 2) + " and more";

std::string HeadTo(const std::string& request, const std::string& framing,
                   const std::string& status = "200 OK") {
  return "HTTP/1.1 " + status + "\r\nTrefoilbend-Request-Id: " + IdOf(request) +
         "\r\nTrefoilbend-Server-Signature: s\r\n" + framing + "\r\n";
}

/** A daemon whose only target stops within the head of its answer and closes,
 * every second time on a connection that has carried a whole answer. */
struct CutShort : Platform {
  void Use(const std::string& kind, const std::string& framing,
           const std::string& hold, const std::string& first = "") {
    this->BeginWith(first);
    this->WriteRoute(1, {.kind = kind});
    this->target = std::make_unique<RawTarget>(
        this->RawTargetAddress(),
        [this, framing](RawConnection& connection, const std::string& request) {
          this->Serve(connection, request, framing);
        });
    this->ListOnlyTheRawTarget();
    this->StartDaemon({{"forwarding", "hold", hold}});
  }

  /** Sets the status of a head that comes before the answer's, and how it says
   * that it has no body. */
  void BeginWith(const std::string& status, const std::string& framing = "") {
    const std::lock_guard lock(this->mutex);
    this->before = status;
    this->before_framing = framing;
  }

  void WriteFirst(RawConnection& connection, const std::string& request) {
    const std::lock_guard lock(this->mutex);
    if (!this->before.empty()) {
      connection.Write(HeadTo(request, this->before_framing, this->before));
    }
  }

  void Serve(RawConnection& connection, const std::string& request,
             const std::string& framing) {
    if (IsHealthCheck(request)) {
      connection.Write(kHealthy);
      return;
    }
    if (request.find("/look/whole") != std::string::npos) {
      connection.Write(HeadTo(request, kByLength) + kBody);
      return;
    }
    const std::string head = HeadTo(request, framing);
    this->head_length = head.size();
    this->WriteFirst(connection, request);
    if (request.find("/look/answered") != std::string::npos) {
      connection.Write(head + kBody);
      return;
    }
    connection.Write(head.substr(0, this->cut_at));
    ++this->cuts;
    connection.Close();
  }

  /** Has an answer cut at a place; returns what the client got for it. */
  http::Response CallCutAt(const std::size_t place, const std::string& method) {
    this->cut_at = place;
    const int before = this->cuts;
    http::Response response;
    BOOST_REQUIRE(Await([&] {
      response = this->Call("/look/cut", method);
      return this->cuts > before;
    }));
    return response;
  }

  /** Checks each place within the head, as clients see it. A 503 promises that
   * nothing has run, so that only what may be repeated may end with one. */
  void CheckEveryCut(const std::string& method) {
    const bool may_promise = method != "POST";
    (void)this->CallCutAt(0, method);
    for (std::size_t place = 0; place < this->head_length; ++place) {
      if (place % 2 == 0) {
        BOOST_TEST((Await([this] {
          return this->Call("/look/whole", "GET").body == kBody;
        })));
      }
      const http::Response response = this->CallCutAt(place, method);
      BOOST_TEST(
          (response.status == 502 || (may_promise && response.status == 503)),
          "cut at " << place << ": status " << response.status);
    }
    BOOST_TEST(this->GetDaemon().IsRunning());
  }

  std::mutex mutex;
  std::string before;
  std::string before_framing;
  std::atomic<std::size_t> cut_at{};
  std::atomic<std::size_t> head_length{};
  std::atomic<int> cuts{};
  std::unique_ptr<RawTarget> target;
};

}  // namespace

/** MIXED: clients got a 200 with an empty or short body, framed as whole
 * (reports of other operators). */
BOOST_FIXTURE_TEST_SUITE(a_target_that_closes_within_the_head_of_its_answer,
                         CutShort)

BOOST_AUTO_TEST_SUITE(to_a_call_that_must_not_be_repeated)

BOOST_AUTO_TEST_CASE(with_a_length_gives_no_success) {
  Use("non_idempotent", kByLength, "64 KiB");
  CheckEveryCut("POST");
}

BOOST_AUTO_TEST_CASE(in_chunks_gives_no_success) {
  Use("non_idempotent", kByChunks, "0 B");
  CheckEveryCut("POST");
}

BOOST_AUTO_TEST_CASE(without_a_length_gives_no_success) {
  Use("non_idempotent", kByClose, "64 KiB");
  CheckEveryCut("POST");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(to_a_call_that_may_be_repeated)

BOOST_AUTO_TEST_CASE(held_until_it_is_whole_gives_no_success) {
  Use("idempotent", kByLength, "64 KiB");
  CheckEveryCut("GET");
}

BOOST_AUTO_TEST_CASE(passed_on_as_it_comes_gives_no_success) {
  Use("idempotent", kByClose, "0 B");
  CheckEveryCut("GET");
}

BOOST_AUTO_TEST_CASE(without_a_body_gives_no_success) {
  Use("download", kByLength, "0 B");
  CheckEveryCut("HEAD");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

/** MIXED: a client got a status that no request ends with as its answer. */
BOOST_FIXTURE_TEST_SUITE(a_target_that_begins_with_another_head, CutShort)

BOOST_AUTO_TEST_SUITE(of_an_interim_answer)

BOOST_AUTO_TEST_CASE(and_closes_within_the_next_gives_no_success) {
  Use("non_idempotent", kByLength, "64 KiB", "103 Early Hints");
  CheckEveryCut("POST");
}

BOOST_AUTO_TEST_CASE(and_then_answers_has_its_answer_passed_on) {
  Use("non_idempotent", kByLength, "64 KiB", "103 Early Hints");
  const http::Response response = Call("/look/answered", "POST");
  BOOST_TEST(response.status == 200);
  BOOST_TEST(response.body == kBody);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(of_a_status_that_does_not_exist)

BOOST_AUTO_TEST_CASE(gives_a_failure_of_the_entry) {
  Use("non_idempotent", kByLength, "64 KiB", "099 None");
  for (const char* status :
       {"000 None", "020 None", "099 None", "101 Switching Protocols"}) {
    BeginWith(status, "Content-Length: 0\r\n");
    BOOST_TEST(CallCutAt(0, "POST").status == 502, status);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

namespace {

/** A daemon whose only target breaks off each answer within its body, and
 * answers as a story says when it is asked for the rest. */
struct WrongRest : Platform {
  void Use(const std::string& framing, RawTarget::Story give_rest) {
    this->WriteRoute(1, {.kind = "download"});
    this->target = std::make_unique<RawTarget>(
        this->RawTargetAddress(),
        [this, framing, give_rest = std::move(give_rest)](
            RawConnection& connection, const std::string& request) {
          if (IsHealthCheck(request)) {
            connection.Write(kHealthy);
          } else if (request.find(kRange) == std::string::npos) {
            BreakOff(connection, request, framing);
          } else {
            ++this->rests;
            give_rest(connection, request);
          }
        });
    this->ListOnlyTheRawTarget();
    this->StartDaemon({{"forwarding", "hold", "0 B"}});
  }

  static void BreakOff(RawConnection& connection, const std::string& request,
                       const std::string& framing) {
    const std::string begun = kBody.substr(0, kBody.size() / 2);
    connection.Write(HeadTo(request, kTag + framing) +
                     (framing == kByChunks ? "a\r\n" + begun + "\r\n" : begun));
    connection.Close();
  }

  /** Gives some bytes for the rest, whatever it says of them. */
  static RawTarget::Story Bytes(const std::string& rest,
                                const bool in_chunks = false) {
    return [rest, in_chunks](RawConnection& connection,
                             const std::string& request) {
      const std::string length =
          "Content-Length: " + std::to_string(rest.size()) + "\r\n";
      connection.Write(HeadTo(request,
                              kTag + RangeFrom(kBody.size() / 2) +
                                  (in_chunks ? kByChunks : length),
                              "206 Partial Content") +
                       (in_chunks ? InChunks(rest) : rest));
    };
  }

  /** Gives some bytes without a length, and closes. */
  static RawTarget::Story BytesToTheClose(const std::string& rest) {
    return [rest](RawConnection& connection, const std::string& request) {
      connection.Write(HeadTo(request, kTag + RangeFrom(kBody.size() / 2),
                              "206 Partial Content") +
                       rest);
      connection.Close();
    };
  }

  /** Gives an answer to another request and closes, the first time that it is
   * asked, and then the rest from where it is asked. */
  RawTarget::Story ForeignAnswerFirst() {
    return [this](RawConnection& connection, const std::string& request) {
      if (this->rests == 1) {
        connection.Write(
            "HTTP/1.1 200 OK\r\nTrefoilbend-Request-Id: another\r\n"
            "Trefoilbend-Server-Signature: s\r\nContent-Length: 4\r\n\r\nbody");
        connection.Close();
        return;
      }
      const std::size_t from =
          std::stoul(request.substr(request.find(kRange) + kRange.size()));
      connection.Write(HeadTo(request, kTag + RangeFrom(from) + kByChunks,
                              "206 Partial Content") +
                       InChunks(kBody.substr(from)));
    };
  }

  static std::string RangeFrom(const std::size_t first) {
    return "Content-Range: bytes " + std::to_string(first) + "-" +
           std::to_string(kBody.size() - 1) + "/" +
           std::to_string(kBody.size()) + "\r\n";
  }

  static std::string InChunks(const std::string& bytes) {
    std::ostringstream chunks;
    chunks << std::hex << bytes.size() << "\r\n" << bytes << "\r\n0\r\n\r\n";
    return chunks.str();
  }

  /** Checks that the client does not take what it got for the whole body, and
   * does not wait for more. */
  void CheckThatNothingLooksWhole() {
    const auto begin = std::chrono::steady_clock::now();
    const http::Response response = this->Call("/look/1");
    BOOST_TEST(
        (std::chrono::steady_clock::now() - begin < std::chrono::seconds{2}));
    BOOST_TEST(this->rests > 0);
    BOOST_TEST(response.status != 200);
  }

  /** Checks that the client gets each byte of the body once. */
  void CheckThatTheBodyIsWhole() {
    const http::Response response = this->Call("/look/1");
    BOOST_TEST(this->rests > 1);
    BOOST_TEST(response.status == 200);
    BOOST_TEST(response.body == kBody);
  }

  inline static const std::string kTag = "ETag: \"one\"\r\n";
  inline static const std::string kRange = "Range: bytes=";

  std::atomic<int> rests{};
  std::unique_ptr<RawTarget> target;
};

}  // namespace

/** MIXED: a client got the beginning of a body, framed as whole, or bytes
 * beyond the body that its head told. */
BOOST_FIXTURE_TEST_SUITE(a_target_that_continues_an_answer, WrongRest)

BOOST_AUTO_TEST_SUITE(that_came_in_chunks)

BOOST_AUTO_TEST_CASE(with_no_bytes_gives_no_success) {
  Use(kByChunks, Bytes(""));
  CheckThatNothingLooksWhole();
}

BOOST_AUTO_TEST_CASE(with_too_few_bytes_gives_no_success) {
  Use(kByChunks, Bytes("few"));
  CheckThatNothingLooksWhole();
}

BOOST_AUTO_TEST_CASE(with_too_many_bytes_gives_no_success) {
  Use(kByChunks, Bytes(kTooMany));
  CheckThatNothingLooksWhole();
}

BOOST_AUTO_TEST_CASE(with_too_many_bytes_in_chunks_gives_no_success) {
  Use(kByChunks, Bytes(kTooMany, true));
  CheckThatNothingLooksWhole();
}

BOOST_AUTO_TEST_CASE(with_too_few_bytes_to_the_close_gives_no_success) {
  Use(kByChunks, BytesToTheClose("few"));
  CheckThatNothingLooksWhole();
}

BOOST_AUTO_TEST_CASE(with_too_many_bytes_to_the_close_gives_no_success) {
  Use(kByChunks, BytesToTheClose(kTooMany));
  CheckThatNothingLooksWhole();
}

/** The bytes of the other answer counted as told, so that the rest was asked
 * for from further on, and the client's body had a gap. */
BOOST_AUTO_TEST_CASE(after_an_answer_to_another_request_leaves_no_gap) {
  Use(kByChunks, ForeignAnswerFirst());
  CheckThatTheBodyIsWhole();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_told_its_length)

BOOST_AUTO_TEST_CASE(with_no_bytes_gives_no_success) {
  Use(kByLength, Bytes(""));
  CheckThatNothingLooksWhole();
}

BOOST_AUTO_TEST_CASE(with_too_many_bytes_gives_no_success) {
  Use(kByLength, Bytes(kTooMany));
  CheckThatNothingLooksWhole();
}

BOOST_AUTO_TEST_CASE(with_too_many_bytes_in_chunks_gives_no_success) {
  Use(kByLength, Bytes(kTooMany, true));
  CheckThatNothingLooksWhole();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::tests
