#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>

#include "support/loopback_network.h"
#include "trefoilbend/core/duty.h"
#include "trefoilbend/core/outcome.h"
#include "trefoilbend/relay/duty.h"

namespace trefoilbend::relay {

namespace {

using namespace std::chrono_literals;

const tests::LoopbackNetwork kNetwork;
const http::Address kHome = kNetwork.At(201, 7'300);

core::CallRequest MakeRequest(const core::Duration timeout) {
  core::CallRequest request;
  request.service = core::ServiceName{"stock"};
  request.method = "POST";
  request.path = "/reserve";
  request.fields = {{"Call-Id", "7"}};
  request.body = std::string("glass\0mirror", 12);
  request.urgency = core::Urgency::kUrgent;
  request.deadline = std::chrono::steady_clock::now() + timeout;
  return request;
}

/** One entry's relay with a stand-in for its callers' duty. */
struct End {
  using OnReceived = std::function<void(End&, CallReceived&)>;

  explicit End(const OnReceived& on_received = {}) {
    this->callers.Read(this->inlet, [this, on_received](ToCallers&& message) {
      if (auto* received = std::get_if<CallReceived>(&message)) {
        on_received(*this, *received);
      } else if (auto* returned = std::get_if<CallReturned>(&message)) {
        this->result.set_value(std::move(returned->result));
      }
    });
    this->callers.Start();
    this->relay.Start(this->inlet);
  }

  ~End() {
    this->relay.Stop();
    this->callers.Stop();
  }

  void Send(FromCallers message) {
    const bool pushed = this->relay.CallersInlet().TryPush(std::move(message));
    BOOST_REQUIRE(pushed);
  }

  [[nodiscard]] idempotency::Result Pass(const core::Duration timeout) {
    this->result = {};
    this->Send(PassCall{.call = core::CallId{1},
                        .key = {.home = {.entry = core::InstanceName{"entry-1"},
                                         .incarnation = core::Incarnation{4},
                                         .issued = idempotency::IssueTime{8s}},
                                .service = core::ServiceName{"stock"},
                                .text = "a"},
                        .address = kHome,
                        .request = std::make_shared<const core::CallRequest>(
                            MakeRequest(timeout))});
    return this->result.get_future().get();
  }

  core::Ring<ToCallers> inlet{16};
  core::Duty callers{"callers"};
  RelayDuty relay{4};
  std::promise<idempotency::Result> result;
};

core::Refusal RefusalOf(const idempotency::Result& result) {
  BOOST_REQUIRE(std::holds_alternative<core::Refusal>(result));
  return std::get<core::Refusal>(result);
}

void AwaitListening() {
  const boost::asio::ip::tcp::endpoint home{
      boost::asio::ip::make_address(kHome.host), kHome.port};
  boost::system::error_code error = boost::asio::error::not_connected;
  for (int attempt = 0; attempt < 1'000 && error; ++attempt) {
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket{context};
    socket.connect(home, error);
    std::this_thread::sleep_for(10ms);
  }
  BOOST_REQUIRE(!error);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(a_call_passed_on_to_its_home)

BOOST_AUTO_TEST_CASE(arrives_whole_and_brings_the_answer_back) {
  CallReceived seen;
  End home{[&](End& self, CallReceived& call) {
    seen = call;
    self.Send(ReplyCall{call.received,
                        std::make_shared<const core::AnswerHead>(
                            core::AnswerHead{.status = 201,
                                             .fields = {{"Place", "x"}},
                                             .body = "granted",
                                             .complete = true})});
  }};
  home.Send(Listen{kHome});
  AwaitListening();
  End other;
  const auto result = other.Pass(5s);
  BOOST_REQUIRE(std::holds_alternative<idempotency::KeptAnswer>(result));
  const core::AnswerHead& answer = *std::get<idempotency::KeptAnswer>(result);
  BOOST_TEST(answer.status == 201);
  BOOST_TEST(answer.body == "granted");
  BOOST_TEST(answer.complete);
  BOOST_TEST(answer.fields.front().second == "x");
  BOOST_TEST(seen.key.text == "a");
  BOOST_TEST(seen.key.home.incarnation == core::Incarnation{4});
  BOOST_TEST((seen.key.home.issued == idempotency::IssueTime{8s}));
  BOOST_TEST(seen.request->body.size() == 12U);
  BOOST_TEST(seen.request->path == "/reserve");
  BOOST_TEST((seen.request->urgency == core::Urgency::kUrgent));
  BOOST_TEST(!seen.request->idempotent);
}

BOOST_AUTO_TEST_CASE(brings_a_refusal_back) {
  End home{[&](End& self, const CallReceived& call) {
    self.Send(ReplyCall{call.received,
                        core::Refusal{.run = core::RunState::kNotRun,
                                      .reason = core::RefusalReason::kNoTarget,
                                      .retry_after = 3s}});
  }};
  home.Send(Listen{kHome});
  AwaitListening();
  End other;
  const core::Refusal refusal = RefusalOf(other.Pass(5s));
  BOOST_TEST((refusal.run == core::RunState::kNotRun));
  BOOST_TEST((refusal.reason == core::RefusalReason::kNoTarget));
  BOOST_TEST((refusal.retry_after == 3s));
}

BOOST_AUTO_TEST_CASE(reaches_a_home_that_was_replaced_by_the_second_attempt) {
  const auto refuse = [](End& self, const CallReceived& call) {
    self.Send(
        ReplyCall{call.received,
                  core::Refusal{.run = core::RunState::kUnknown,
                                .reason = core::RefusalReason::kKeyExpired}});
  };
  End other;
  for (int replacement = 0; replacement < 3; ++replacement) {
    End home{refuse};
    home.Send(Listen{kHome});
    AwaitListening();
    core::Refusal refusal = RefusalOf(other.Pass(5s));
    BOOST_TEST((refusal.run == core::RunState::kUnknown));
    if (refusal.reason == core::RefusalReason::kHomeUnreachable) {
      refusal = RefusalOf(other.Pass(5s));
    }
    BOOST_TEST((refusal.reason == core::RefusalReason::kKeyExpired));
  }
}

BOOST_AUTO_TEST_SUITE(has_an_unknown_outcome)

BOOST_AUTO_TEST_CASE(when_nothing_listens_at_the_home) {
  End other;
  const core::Refusal refusal = RefusalOf(other.Pass(5s));
  BOOST_TEST((refusal.run == core::RunState::kUnknown));
  BOOST_TEST((refusal.reason == core::RefusalReason::kHomeUnreachable));
}

BOOST_AUTO_TEST_CASE(when_the_home_does_not_answer_in_time) {
  End home{[](End&, const CallReceived&) {}};
  home.Send(Listen{kHome});
  AwaitListening();
  End other;
  const core::Refusal refusal = RefusalOf(other.Pass(100ms));
  BOOST_TEST((refusal.run == core::RunState::kUnknown));
  BOOST_TEST((refusal.reason == core::RefusalReason::kDeadline));
}

BOOST_AUTO_TEST_CASE(when_the_home_ends_during_the_run) {
  std::promise<void> arrived;
  auto home = std::make_unique<End>(
      [&](End&, const CallReceived&) { arrived.set_value(); });
  home->Send(Listen{kHome});
  AwaitListening();
  End other;
  auto passing = std::async(std::launch::async, [&] { return other.Pass(5s); });
  arrived.get_future().wait();
  home.reset();
  const core::Refusal refusal = RefusalOf(passing.get());
  BOOST_TEST((refusal.run == core::RunState::kUnknown));
  BOOST_TEST((refusal.reason == core::RefusalReason::kHomeUnreachable));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::relay
