#include <atomic>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>

#include "platform.h"
#include "raw_target.h"
#include "trefoilbend/wire/headers.h"

namespace trefoilbend::tests {

namespace {

using namespace std::chrono_literals;

/** Time between an answer too many and the answer that is due; shorter than a
 * call waits for the health checks before it. */
constexpr std::chrono::milliseconds kPause{5};
/** Time after which what a health check told is not fresh any more. */
constexpr std::chrono::milliseconds kStale{60};

/** Makes a refusal of a request; of one without an identity if it is empty. */
std::string RefusalOf(const std::string& id,
                      const std::string& status = "503 Busy") {
  const std::string name =
      id.empty() ? "" : "Trefoilbend-Request-Id: " + id + "\r\n";
  return "HTTP/1.1 " + status + "\r\nTrefoilbend-Not-Executed: 1\r\n" + name +
         "Content-Length: 0\r\n\r\n";
}

/** Whether a request names a target that it expects. */
bool Expects(const std::string& head, const std::string& id) {
  return head.find(std::string{wire::kExpectedTargetHeader} + ": " + id +
                   "\r\n") != std::string::npos;
}

/** A daemon whose only target writes refusals twice: the second time where the
 * next answer on their connection is due, before it does what was asked. */
struct Repeating : Platform {
  using Story = void (Repeating::*)(RawConnection&, const std::string&);

  void Use(const Story story) {
    this->WriteDesiredState(1, "/look/", "non_idempotent");
    this->target = std::make_unique<RawTarget>(
        this->RawTargetAddress(),
        [this, story](RawConnection& connection, const std::string& head) {
          const std::lock_guard lock(this->mutex);
          (this->*story)(connection, head);
        });
    this->ListOnlyTheRawTarget();
  }

  /** Writes what is still due of an earlier refusal on the connection. */
  void WriteCopy(RawConnection& connection) {
    const auto copy = this->copies.find(connection.Number());
    if (copy != this->copies.end()) {
      connection.Write(copy->second);
      this->copies.erase(copy);
      std::this_thread::sleep_for(kPause);
    }
  }

  void Refuse(RawConnection& connection, const std::string& refusal) {
    connection.Write(refusal);
    this->copies[connection.Number()] = refusal;
    ++this->refusals;
  }

  void Run(RawConnection& connection, const std::string& head) {
    ++this->runs;
    connection.Write(
        "HTTP/1.1 200 OK\r\nTrefoilbend-Request-Id: " + IdOf(head) +
        "\r\nTrefoilbend-Server-Signature: s\r\nContent-Length: 0\r\n\r\n");
  }

  /** Refuses the first request of each identity. */
  void RefuseOnce(RawConnection& connection, const std::string& head) {
    if (IsHealthCheck(head)) {
      connection.Write(kHealthy);
    } else if (this->seen.insert(IdOf(head)).second) {
      this->Refuse(connection, RefusalOf(IdOf(head)));
    } else {
      this->WriteCopy(connection);
      this->Run(connection, head);
    }
  }

  /** Has started again with a new name and is listed with both. */
  void AnswerToItsNewName(RawConnection& connection, const std::string& head) {
    if (!Expects(head, "raw")) {
      this->Refuse(connection, RefusalOf(IdOf(head), "421 Misdirected"));
    } else {
      this->WriteCopy(connection);
      this->Run(connection, head);
    }
  }

  /** Refuses the first request, and health checks never. */
  void RefuseOneRequest(RawConnection& connection, const std::string& head) {
    if (!IsHealthCheck(head) && this->seen.empty()) {
      this->seen.insert(IdOf(head));
      this->Refuse(connection, RefusalOf(IdOf(head)));
      return;
    }
    this->WriteCopy(connection);
    if (IsHealthCheck(head)) {
      connection.Write(kHealthy);
    } else {
      this->Run(connection, head);
    }
  }

  /** Refuses the first health check, and requests never. */
  void RefuseOneCheck(RawConnection& connection, const std::string& head) {
    if (IsHealthCheck(head) && this->refusals == 0) {
      this->Refuse(connection, RefusalOf(""));
      return;
    }
    this->WriteCopy(connection);
    if (IsHealthCheck(head)) {
      connection.Write(kHealthy);
    } else {
      this->Run(connection, head);
    }
  }

  std::mutex mutex;
  /** Copies that are still due, by their connections. */
  std::map<int, std::string> copies;
  std::set<std::string> seen;
  std::atomic<int> refusals{};
  std::atomic<int> runs{};
  std::unique_ptr<RawTarget> target;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(a_target_that_writes_a_refusal_twice, Repeating)

/** REFUSED: a call that ran was answered 503, since a copy of an earlier
 * refusal bears the id of the request that is under way again. */
BOOST_AUTO_TEST_SUITE(while_the_request_is_under_way_again)

BOOST_AUTO_TEST_CASE(is_not_believed_of_the_callers_repeat_with_its_id) {
  Use(&Repeating::RefuseOnce);
  StartDaemon();
  for (const char* id : {"x", "y", "z"}) {
    BOOST_TEST(CallAs(id, "/look/1", "POST").status == 503);
    BOOST_TEST(CallAs(id, "/look/1", "POST").status == 200);
  }
  BOOST_TEST(runs == 3);
}

BOOST_AUTO_TEST_CASE(is_not_believed_of_a_further_attempt_at_its_new_name) {
  Use(&Repeating::AnswerToItsNewName);
  OnStore([this](stand_ins::Store& store) {
    store.Write("servers/old", EntryOf("old", RawTargetAddress()));
  });
  StartDaemon(
      {{"balancing", "strategy", "round-robin"}, {"balancing", "probes", "0"}});
  for (int call = 1; call <= 2; ++call) {
    BOOST_TEST(Call("/look/1", "POST").status == 200);
    BOOST_TEST(runs == call);
  }
  BOOST_TEST(refusals == 1);
}

BOOST_AUTO_TEST_SUITE_END()

/** Calls that ran were answered 502, since the answer to a health check came
 * where theirs was due. */
BOOST_AUTO_TEST_SUITE(beside_health_checks)

BOOST_AUTO_TEST_CASE(of_a_request_is_not_the_answer_to_a_check) {
  Use(&Repeating::RefuseOneRequest);
  StartDaemon();
  BOOST_TEST(Call("/look/1", "POST").status == 503);
  std::this_thread::sleep_for(kStale);
  for (int call = 1; call <= 3; ++call) {
    BOOST_TEST(Call("/look/1", "POST").status == 200);
  }
  BOOST_TEST(runs == 3);
}

BOOST_AUTO_TEST_CASE(of_a_check_is_not_the_answer_to_a_request) {
  Use(&Repeating::RefuseOneCheck);
  StartDaemon();
  for (int call = 1; call <= 3; ++call) {
    BOOST_TEST(Call("/look/1", "POST").status == 200);
  }
  BOOST_TEST(refusals == 1);
  BOOST_TEST(runs == 3);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::tests
