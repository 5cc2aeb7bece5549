#include <atomic>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstdlib>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>

#include "platform.h"
#include "raw_caller.h"
#include "raw_target.h"

namespace trefoilbend::tests {

namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

/** Memory of the smallest machine of the users' platform: MemoryMb. */
constexpr std::size_t kMemory = 260U << 20U;
/** Memory of a daemon that has just started, without a sanitizer. */
constexpr std::size_t kAtStart = 16U << 20U;
#ifdef __SANITIZE_ADDRESS__
constexpr bool kIsSanitized = true;
#else
constexpr bool kIsSanitized = false;
#endif
/** Clients whose calls meet the faulty target at the same time. */
constexpr int kClients = 100;
/** Connections that a target of the users' platform takes. */
constexpr int kConnections = 260;
/** Longest body that operators allow here, and the length of those that many
 * clients send at the same time. */
constexpr std::uint64_t kMostBody = 64U << 20U;
constexpr std::size_t kLongBody = 9U << 20U;
constexpr int kUploads = 30;
constexpr std::chrono::seconds kPatience{5};
/** Time for which the bytes come. */
constexpr std::chrono::seconds kFlood{4};
const std::string kPiece(16'384, 'x');

/** How a client says where its body ends. */
struct Framing {
  std::string field;
  /** What stands before and behind each piece of the body, and at its end. */
  std::string before;
  std::string behind;
  std::string end;
};

/** A daemon with the settings of a machine, and a target whose bytes never end
 * and that is the only one of its service. */
struct Flooded : Platform {
  ~Flooded() { this->End(); }

  void Use(RawTarget::Story story, const std::string& kind = "non_idempotent") {
    this->WriteRoute(1, {.kind = kind, .connections = kConnections});
    this->target = std::make_unique<RawTarget>(
        this->RawTargetAddress(),
        [this, story = std::move(story)](RawConnection& connection,
                                         const std::string& head) {
          const bool is_check = IsHealthCheck(head);
          if (is_check && !this->takes_checks) {
            connection.Write(kHealthy);
            return;
          }
          ++this->floods;
          story(connection, head);
        });
    this->ListOnlyTheRawTarget();
    this->StartWithMachineSettings();
  }

  /** Freed memory that the address sanitizer holds back, 256 MB by default, is
   * not the daemon's. */
  void StartWithMachineSettings() {
    setenv("ASAN_OPTIONS",
           "quarantine_size_mb=0:thread_local_quarantine_size_kb=0", 1);
    this->StartDaemon({{"entry", "memory", "260 MiB"},
                       {"callers", "max-calls", "512"},
                       {"callers", "max-connections", "3000"},
                       {"forwarding", "hold", "64 KiB"}});
    unsetenv("ASAN_OPTIONS");
  }

  /** Bodies are to fit beside what the daemon itself takes; a sanitizer takes
   * ten times as much, which is not counted. */
  void LeaveOutTheSanitizer() {
    if (kIsSanitized) {
      this->sanitizers = this->GetDaemon().PeakMemory() - kAtStart;
    }
  }

  /** Has clients call until the flood is over, each on its own connection. */
  void CallFromManyClients(const std::string& method, const bool reads = true) {
    for (int client = 0; client < kClients; ++client) {
      this->clients.emplace_back([this, client, method, reads] {
        const auto until = Clock::now() + kFlood;
        for (int call = 0; Clock::now() < until; ++call) {
          RawCaller caller{this->Front()};
          const std::string id =
              "f-" + std::to_string(client) + '-' + std::to_string(call);
          if (!caller.Send(RequestOf(method, "/look/1", id, 2s))) {
            continue;
          }
          if (reads) {
            (void)caller.Receive();
          } else {
            std::this_thread::sleep_for(500ms);
          }
        }
      });
    }
    this->End();
  }

  /** Has clients send a chunk that begins in a way until the flood is over, and
   * again whenever the daemon closes their connections. */
  void SendWithoutEnd(const http::Address& address, const std::string& line,
                      const std::string& chunk) {
    std::string begun = line;
    begun +=
        " HTTP/1.1\r\nHost: a.example\r\n"
        "Trefoilbend-Request-Id: flood\r\n"
        "Transfer-Encoding: chunked\r\n\r\n";
    begun += chunk;
    for (int client = 0; client < kClients; ++client) {
      this->clients.emplace_back([this, address, begun] {
        const auto until = Clock::now() + kFlood;
        while (Clock::now() < until) {
          RawCaller caller{address};
          bool open = caller.Send(begun);
          this->floods += open ? 1 : 0;
          while (open && Clock::now() < until) {
            open = caller.Send(kPiece);
          }
        }
      });
    }
    this->End();
  }

  /** Has clients send a long body each, at the same time, and counts their
   * answers by status. */
  void SendLongBodies(const Framing& framing) {
    for (int client = 0; client < kUploads; ++client) {
      std::string head = RequestOf("POST", "/look/1",
                                   "long-" + std::to_string(client), kPatience);
      head.insert(head.size() - 2, framing.field);
      this->clients.emplace_back([this, head, framing] {
        RawCaller caller{this->Front()};
        bool open = caller.Send(head);
        for (std::size_t sent = 0; open && sent < kLongBody;
             sent += kPiece.size()) {
          open = caller.Send(framing.before + kPiece + framing.behind);
        }
        (void)caller.Send(framing.end);
        const auto response = caller.Receive();
        const std::lock_guard lock(this->mutex);
        ++this->statuses[response ? response->status : 0];
      });
    }
    this->End();
  }

  /** Checks that each client got an answer, some of them a refusal that lets it
   * come again. */
  void CheckThatEachIsAnswered() {
    BOOST_TEST(this->statuses[200] > 0);
    BOOST_TEST(this->statuses[503] > 0);
    BOOST_TEST(this->statuses[200] + this->statuses[503] == kUploads);
  }

  void End() {
    for (std::thread& client : this->clients) {
      client.join();
    }
    this->clients.clear();
  }

  /** Checks that the daemon lives within its memory, and serves once a good
   * target has taken the place of the faulty one. */
  void CheckThatTheDaemonServes() {
    BOOST_TEST(this->GetDaemon().IsRunning());
    const std::size_t peak = this->GetDaemon().PeakMemory();
    BOOST_TEST_MESSAGE(
        "greatest memory: " << peak << " bytes, floods: " << this->floods);
    BOOST_TEST(peak > 0);
    BOOST_TEST(peak - this->sanitizers < kMemory);
    this->OnStore([this](stand_ins::Store& one) {
      one.Write("servers/raw", std::nullopt);
      one.Write("servers/a", this->Target("a").Entry());
    });
    BOOST_TEST((Await([this] { return this->Call("/look/1").status == 200; })));
  }

  std::atomic<int> floods{};
  bool takes_checks = false;
  std::unique_ptr<RawTarget> target;
  std::list<std::thread> clients;
  /** Memory that the sanitizer has taken before any call. */
  std::size_t sanitizers = 0;
  std::mutex mutex;
  std::map<int, int> statuses;
};

}  // namespace

/** Daemons that ran out of memory, and the calls of their other clients with
 * them, by bytes without end (reports of other operators). */
BOOST_FIXTURE_TEST_SUITE(a_daemon_that_gets_bytes_without_end, Flooded)

BOOST_AUTO_TEST_SUITE(from_a_target)

BOOST_AUTO_TEST_CASE(in_a_head_keeps_within_its_memory) {
  Use([](RawConnection& connection, const std::string&) {
    connection.Write("HTTP/1.1 200 OK\r\nX-Filler: ");
    connection.WriteWithoutEnd(kPiece);
  });
  CallFromManyClients("POST");
  BOOST_TEST(floods > 0);
  CheckThatTheDaemonServes();
}

BOOST_AUTO_TEST_CASE(in_heads_of_interim_answers_keeps_within_its_memory) {
  Use([](RawConnection& connection, const std::string& head) {
    connection.WriteWithoutEnd(
        "HTTP/1.1 103 Early Hints\r\nTrefoilbend-Request-Id: " + IdOf(head) +
        "\r\n\r\n");
  });
  CallFromManyClients("POST");
  BOOST_TEST(floods > 0);
  CheckThatTheDaemonServes();
}

BOOST_AUTO_TEST_CASE(in_a_body_keeps_within_its_memory) {
  Use(
      [](RawConnection& connection, const std::string& head) {
        connection.Write(
            "HTTP/1.1 200 OK\r\nTrefoilbend-Request-Id: " + IdOf(head) +
            "\r\nTrefoilbend-Server-Signature: s\r\n\r\n");
        connection.WriteWithoutEnd(kPiece);
      },
      "download");
  CallFromManyClients("GET");
  BOOST_TEST(floods > 0);
  CheckThatTheDaemonServes();
}

BOOST_AUTO_TEST_CASE(in_a_body_that_clients_do_not_read_keeps_within_it) {
  Use(
      [](RawConnection& connection, const std::string& head) {
        connection.Write(
            "HTTP/1.1 200 OK\r\nTrefoilbend-Request-Id: " + IdOf(head) +
            "\r\nTrefoilbend-Server-Signature: s\r\n"
            "Transfer-Encoding: chunked\r\n\r\n");
        connection.WriteWithoutEnd("4000\r\n" + kPiece + "\r\n");
      },
      "idempotent");
  CallFromManyClients("GET", false);
  BOOST_TEST(floods > 0);
  CheckThatTheDaemonServes();
}

BOOST_AUTO_TEST_CASE(in_the_fields_behind_a_body_keeps_within_its_memory) {
  Use([](RawConnection& connection, const std::string& head) {
    connection.Write(
        "HTTP/1.1 200 OK\r\nTrefoilbend-Request-Id: " + IdOf(head) +
        "\r\nTrefoilbend-Server-Signature: s\r\n"
        "Transfer-Encoding: chunked\r\n\r\n0\r\n");
    connection.WriteWithoutEnd("X-Filler: " + kPiece.substr(0, 1'024) + "\r\n");
  });
  CallFromManyClients("POST");
  BOOST_TEST(floods > 0);
  CheckThatTheDaemonServes();
}

BOOST_AUTO_TEST_CASE(in_answers_to_health_checks_keeps_within_its_memory) {
  takes_checks = true;
  Use([](RawConnection& connection, const std::string&) {
    connection.Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;");
    connection.WriteWithoutEnd(kPiece);
  });
  CallFromManyClients("POST");
  BOOST_TEST(floods > 0);
  CheckThatTheDaemonServes();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(from_clients)

/** The line that begins a chunk was kept whole, whatever its length. */
BOOST_AUTO_TEST_CASE(in_the_line_of_a_chunk_keeps_within_its_memory) {
  WriteDesiredState(1);
  StartWithMachineSettings();
  SendWithoutEnd(Front(), "POST /look/1", "1;");
  BOOST_TEST(floods > 0);
  CheckThatTheDaemonServes();
}

BOOST_AUTO_TEST_CASE(in_a_question_for_the_directory_keeps_within_it) {
  WriteDesiredState(1);
  StartWithMachineSettings();
  SendWithoutEnd(DirectoryAddress(), "POST /resolve", "1;");
  BOOST_TEST(floods > 0);
  CheckThatTheDaemonServes();
}

/** A question has no body, and up to 16 MiB of one was kept. */
BOOST_AUTO_TEST_CASE(in_the_body_of_a_question_keeps_within_it) {
  WriteDesiredState(1);
  StartWithMachineSettings();
  SendWithoutEnd(DirectoryAddress(), "POST /resolve", "ffffff\r\n");
  BOOST_TEST(floods > 0);
  CheckThatTheDaemonServes();
}

BOOST_AUTO_TEST_SUITE(in_long_bodies_of_calls_at_the_same_time)

/** Each body was bounded, and all together were not: the platform ended the
 * process for its memory (case review/5). */
BOOST_AUTO_TEST_CASE(with_lengths_keeps_within_its_memory) {
  WriteRoute(
      1,
      {.kind = "non_idempotent", .timeout = kPatience, .max_body = kMostBody});
  StartWithMachineSettings();
  LeaveOutTheSanitizer();
  SendLongBodies(
      {.field = "Content-Length: " + std::to_string(kLongBody) + "\r\n"});
  CheckThatEachIsAnswered();
  CheckThatTheDaemonServes();
}

BOOST_AUTO_TEST_CASE(in_chunks_keeps_within_its_memory) {
  WriteRoute(
      1,
      {.kind = "non_idempotent", .timeout = kPatience, .max_body = kMostBody});
  StartWithMachineSettings();
  LeaveOutTheSanitizer();
  SendLongBodies({.field = "Transfer-Encoding: chunked\r\n",
                  .before = "4000\r\n",
                  .behind = "\r\n",
                  .end = "0\r\n\r\n"});
  CheckThatEachIsAnswered();
  CheckThatTheDaemonServes();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::tests
