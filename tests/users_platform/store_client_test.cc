#include "trefoilbend/wire/store_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "store/store.h"
#include "support/loopback_network.h"
#include "trefoilbend/http/server.h"

namespace trefoilbend::tests {

namespace {

using namespace std::chrono_literals;
using platform::Era;
using platform::Position;

constexpr const char* kRow = "lease/rollout";

/** A store and a client of it, on one event loop. */
struct Clients {
  Clients() {
    BOOST_REQUIRE(core::Succeeded(this->store.GetServer().Listen()));
  }

  /** Runs until a call has its result. */
  template <typename Result, typename Call>
  Result Await(Call call) {
    std::optional<Result> result;
    call([&](Result outcome) { result = std::move(outcome); });
    this->context.restart();
    while (!result && this->context.run_one() > 0) {
    }
    BOOST_REQUIRE(result.has_value());
    return *std::move(result);
  }

  platform::TransactOutcome Write(const Position& condition) {
    return this->Await<platform::TransactOutcome>([&](auto done) {
      this->client.Transact(
          {.conditions = {{.key = kRow, .position = condition}},
           .writes = {{.key = kRow, .value = "x"}}},
          done);
    });
  }

  platform::FoundRow Read() {
    return std::get<platform::FoundRow>(this->Await<platform::ReadOutcome>(
        [&](auto done) { this->client.Read(kRow, done); }));
  }

  /** The store comes back from its copy without anything else written. */
  void ComeBack() {
    const std::uint64_t era = this->store.Era();
    this->store.ComeBackFromCopy(
        {.away = 0ms, .rewritten_within = std::nullopt});
    BOOST_REQUIRE(this->store.Era() == era + 1);
  }

  LoopbackNetwork network;
  boost::asio::io_context context{1};
  http::Address address = this->network.At(1, 8'142);
  stand_ins::Store store{this->context, this->address};
  wire::StoreClient client{http::Client::Create(this->context), this->address,
                           500ms};
};

/** A store whose answers a story writes itself. */
struct OddStore {
  OddStore() {
    this->server = http::Server::Builder{}
                       .On(this->address)
                       .WithHandler([this](const http::Request&,
                                           const http::Respond& respond) {
                         respond(this->answers.at(this->asked++));
                       })
                       .Build(this->context);
    BOOST_REQUIRE(core::Succeeded(this->server->Listen()));
  }

  static http::Response PageOf(const std::string& era, const bool has_more) {
    const std::string more = has_more ? "true" : "false";
    return {
        .status = 200,
        .fields = {{"Store-Era", era}},
        .body = R"({"Rows":[{"TableName":"op","Key":"a","Value":"","Ver":1}],)"
                R"("Ver":7,"HasMore":)" +
                more + "}"};
  }

  platform::TableOutcome Read() {
    std::optional<platform::TableOutcome> result;
    this->client.ReadTable("op", [&](platform::TableOutcome outcome) {
      result = std::move(outcome);
    });
    this->context.restart();
    while (!result && this->context.run_one() > 0) {
    }
    BOOST_REQUIRE(result.has_value());
    return *std::move(result);
  }

  LoopbackNetwork network;
  boost::asio::io_context context{1};
  http::Address address = this->network.At(2, 8'142);
  std::vector<http::Response> answers;
  std::size_t asked = 0;
  std::shared_ptr<http::Server> server;
  wire::StoreClient client{http::Client::Create(this->context), this->address,
                           500ms};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(a_client_of_the_users_store, Clients)

BOOST_AUTO_TEST_CASE(tells_in_which_era_it_has_read) {
  BOOST_TEST(Read().era == Era{1});
  ComeBack();
  BOOST_TEST(Read().era == Era{2});
}

/** A fenced write of the era before took effect by the number of a version that
 * the store had given out again. */
BOOST_AUTO_TEST_CASE(sends_no_write_whose_condition_is_of_an_era_before) {
  store.TakeCopy();
  const auto first = std::get<platform::Committed>(Write(platform::kAbsent));
  ComeBack();
  store.Write(kRow, "of another holder");
  BOOST_REQUIRE((Read().row->position.Version() == first.position->Version()));
  const auto outcome = Write(*first.position);
  BOOST_REQUIRE(std::holds_alternative<platform::Conflict>(outcome));
  BOOST_TEST(std::get<platform::Conflict>(outcome).rows.empty());
  BOOST_TEST(*store.Read(kRow) == "of another holder");
}

BOOST_AUTO_TEST_CASE(sends_a_write_whose_condition_is_of_the_present_era) {
  store.TakeCopy();
  ComeBack();
  (void)Read();
  const auto first = std::get<platform::Committed>(Write(platform::kAbsent));
  BOOST_TEST((first.position->Era() == Era{2}));
  BOOST_TEST(
      std::holds_alternative<platform::Committed>(Write(*first.position)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(a_client_of_a_store_with_odd_answers, OddStore)

BOOST_AUTO_TEST_CASE(takes_no_table_whose_pages_are_of_two_eras) {
  answers = {PageOf("4", true), PageOf("5", false)};
  BOOST_TEST(std::holds_alternative<platform::Unavailable>(Read()));
}

BOOST_AUTO_TEST_CASE(takes_no_answer_whose_era_is_no_number) {
  for (const char* era : {"", "-1", "4 5", "four", "99999999999999999999"}) {
    asked = 0;
    answers = {PageOf(era, false)};
    BOOST_TEST(std::holds_alternative<platform::Unavailable>(Read()));
  }
}

BOOST_AUTO_TEST_CASE(takes_a_store_without_eras_as_it_is) {
  answers = {PageOf("", false)};
  answers.front().fields.clear();
  const auto read = Read();
  BOOST_REQUIRE(std::holds_alternative<platform::TableState>(read));
  BOOST_TEST((std::get<platform::TableState>(read).position ==
              Position::WithoutEra(7)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::tests
