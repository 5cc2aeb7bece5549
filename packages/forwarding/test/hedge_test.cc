#include <prometheus/registry.h>

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "trefoilbend/forwarding/duty.h"
#include "trefoilbend/http/server.h"

namespace trefoilbend::forwarding {

using namespace std::chrono_literals;
using core::CallId;
using core::ExchangeId;

namespace {

/** Two targets: one never answers, the other answers at once. */
class Fixture {
 public:
  Fixture() {
    this->silent = Listen([this](const http::Request&, const auto& respond) {
      this->kept.push_back(respond);
    });
    this->quick = Listen([this](const http::Request&, const auto& respond) {
      respond({.status = 200,
               .fields = {},
               .body = std::string(this->length, 'a')});
    });
    this->thread = std::thread{[this] { this->context.run(); }};
    this->duty.Start({&this->to_callers, &this->to_balancing});
  }

  ~Fixture() {
    this->duty.Stop();
    this->context.stop();
    this->thread.join();
  }

  std::shared_ptr<http::Server> Listen(http::Handler handler) {
    auto server = http::Server::Builder{}
                      .On({.host = "127.0.0.1", .port = 0})
                      .WithHandler(std::move(handler))
                      .Build(this->context);
    BOOST_REQUIRE(core::Succeeded(server->Listen()));
    return server;
  }

  void Send(const std::uint64_t exchange, const http::Server& target,
            const std::optional<ExchangeId> beside) {
    auto request = std::make_shared<core::CallRequest>();
    request->method = "GET";
    request->path = "/";
    request->deadline = std::chrono::steady_clock::now() + 10s;
    BOOST_REQUIRE(this->duty.BalancingInlet().TryPush(
        StartExchange{.call = CallId{1},
                      .exchange = ExchangeId{exchange},
                      .target = core::InstanceName{std::to_string(exchange)},
                      .address = {.host = "127.0.0.1", .port = target.Port()},
                      .request = request,
                      .beside = beside}));
  }

  void Drain() {
    this->to_balancing.Drain([this](ToBalancing&& message) {
      if (const auto* end = std::get_if<ExchangeEnded>(&message)) {
        this->ended.push_back(*end);
      }
    });
    this->to_callers.Drain([this](ToCallers&& message) {
      this->answers += std::holds_alternative<AnswerStarted>(message) ? 1 : 0;
    });
  }

  void Await(const std::function<bool()>& condition) {
    const auto limit = std::chrono::steady_clock::now() + 20s;
    for (this->Drain(); !condition(); this->Drain()) {
      BOOST_REQUIRE((std::chrono::steady_clock::now() < limit));
      std::this_thread::sleep_for(2ms);
    }
  }

  void AwaitEnds(const std::size_t count) {
    this->Await([&] { return this->ended.size() >= count; });
    BOOST_REQUIRE(this->ended.size() == count);
  }

  core::Ring<ToCallers> to_callers{16};
  core::Ring<ToBalancing> to_balancing{16};
  prometheus::Registry registry;
  ForwardingDuty duty{{.max_calls = 4}, registry};
  boost::asio::io_context context;
  std::vector<http::Respond> kept;
  std::size_t length = 10;
  std::shared_ptr<http::Server> silent;
  std::shared_ptr<http::Server> quick;
  std::thread thread;
  std::vector<ExchangeEnded> ended;
  int answers = 0;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(a_call_with_a_hedge, Fixture)

BOOST_AUTO_TEST_CASE(is_answered_by_the_first_head_and_the_other_is_cancelled) {
  Send(1, *silent, std::nullopt);
  Send(2, *quick, ExchangeId{1});
  AwaitEnds(2);
  BOOST_TEST(ended[0].exchange == ExchangeId{1});
  BOOST_TEST((ended[0].result == ExchangeResult::kCancelled));
  BOOST_TEST(ended[1].exchange == ExchangeId{2});
  BOOST_TEST((ended[1].result == ExchangeResult::kAnswered));
  BOOST_TEST(answers == 1);
}

BOOST_AUTO_TEST_SUITE(whose_answer_has_come_already)

BOOST_AUTO_TEST_CASE(sends_nothing_when_the_answer_is_whole) {
  Send(1, *quick, std::nullopt);
  AwaitEnds(1);
  Send(2, *quick, ExchangeId{1});
  AwaitEnds(2);
  BOOST_TEST((ended[1].result == ExchangeResult::kCancelled));
  BOOST_TEST(answers == 1);
}

BOOST_AUTO_TEST_CASE(sends_nothing_while_a_long_answer_is_under_way) {
  length = 1'000'000;
  Send(1, *quick, std::nullopt);
  Await([this] { return answers == 1; });
  Send(2, *quick, ExchangeId{1});
  AwaitEnds(1);
  BOOST_TEST(ended[0].exchange == ExchangeId{2});
  BOOST_TEST((ended[0].result == ExchangeResult::kCancelled));
  BOOST_TEST(answers == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::forwarding
