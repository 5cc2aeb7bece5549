#include "internal/table_follower.h"

#include <prometheus/registry.h>

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace trefoilbend::registry::internal {

namespace {

using namespace std::chrono_literals;

/** A store that answers reads, and watches only when it is told to. */
class QuietStore final : public platform::WatchedStore {
 public:
  void Transact(const platform::Transaction& /*transaction*/,
                std::function<void(platform::TransactOutcome)>) override {}
  void Read(const std::string& /*key*/,
            std::function<void(platform::ReadOutcome)>) override {}
  void ReadTable(const std::string& /*table*/,
                 std::function<void(platform::TableOutcome)> done) override {
    done(platform::TableState{.rows = {},
                              .position = platform::Position::WithoutEra(7)});
  }
  void Watch(const std::string& /*table*/, platform::Position /*after*/,
             std::chrono::milliseconds wait,
             std::function<void(platform::ChangesOutcome)> done) override {
    waits.push_back(wait);
    answer = std::move(done);
  }

  std::vector<std::chrono::milliseconds> waits;
  std::function<void(platform::ChangesOutcome)> answer;
};

class NoRows final : public RowCodec {
 public:
  [[nodiscard]] std::string OrdersTable() const override { return "orders"; }
  [[nodiscard]] std::string TargetsTable() const override { return "targets"; }
  [[nodiscard]] Order DecodeOrder(const platform::Row&) const override {
    return UnknownOrder{};
  }
  [[nodiscard]] std::optional<TargetRecord> DecodeTarget(
      const platform::Row&) const override {
    return std::nullopt;
  }
  [[nodiscard]] std::string ReleaseOrderKey(
      const core::ServiceName& service) const override {
    return service.Text();
  }
  [[nodiscard]] platform::Write EncodeStatus(
      const inventory::Release&) const override {
    return {};
  }
};

class Owner final : public FollowerOwner {
 public:
  [[nodiscard]] platform::WatchedStore& GetStore() noexcept override {
    return store;
  }
  [[nodiscard]] Catalogue& GetCatalogue() noexcept override {
    return catalogue;
  }
  [[nodiscard]] Metrics& GetMetrics() noexcept override { return metrics; }
  void NoteAnswers() override {}
  void NoteRead() override {}
  void NoteLearnt(Table, feed::TableNews news) override {
    learnt = std::move(news);
  }
  [[nodiscard]] bool IsBacklogged() const noexcept override {
    return backlogged;
  }
  void NoteChange() override {}
  void NoteWatched(core::TimePoint) override {}

  QuietStore store;
  NoRows codec;
  Catalogue catalogue{codec};
  prometheus::Registry registry;
  Metrics metrics{registry};
  feed::TableNews learnt;
  bool backlogged = false;
};

/** A table of an entry that has just started, which knows nothing. */
struct Unread {
  void Hear(const std::uint64_t version) {
    follower.Hear(
        platform::TableChanges{
            .changes =
                {{.row = {.key = "a",
                          .value = "",
                          .position = platform::Position::WithoutEra(version)},
                  .deleted = false},
                 {.row = {.key = "b",
                          .value = "",
                          .position = platform::Position::WithoutEra(version)},
                  .deleted = true}},
            .position = platform::Position::WithoutEra(version)},
        std::nullopt);
  }

  boost::asio::io_context context{1};
  Owner owner;
  TableFollower follower{owner, context, Table::kOrders, "orders",
                         WatchPace{.wait = 200ms}};
};

struct Following {
  Following() {
    follower.Read();
    follower.Activate();
  }

  void Run(const std::chrono::milliseconds time) {
    context.restart();
    context.run_for(time);
  }

  boost::asio::io_context context{1};
  Owner owner;
  TableFollower follower{owner, context, Table::kOrders, "orders",
                         WatchPace{.wait = 200ms}};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(a_table_that_a_peer_tells, Unread)

/** DRAIN: a copy that began with a peer's changes passed for one that knows
 * every deletion, though the peer had not told those from before its start. */
BOOST_AUTO_TEST_CASE(is_passed_on_whole_if_nothing_of_it_was_known) {
  Hear(5);
  const auto& state = std::get<platform::TableState>(owner.learnt);
  BOOST_TEST(state.rows.size() == 1);
  BOOST_TEST((state.position == platform::Position::WithoutEra(5)));
}

BOOST_AUTO_TEST_CASE(is_passed_on_as_changes_once_it_is_known) {
  Hear(5);
  Hear(6);
  BOOST_TEST(std::get<platform::TableChanges>(owner.learnt).changes.size() ==
             2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(a_table_that_is_watched, Following)

BOOST_AUTO_TEST_SUITE(on_a_connection_that_went_silent)

BOOST_AUTO_TEST_CASE(is_watched_anew_soon_after_an_answer_was_due) {
  Run(500ms);
  BOOST_TEST(owner.store.waits.size() == 1);
  BOOST_TEST(follower.Answers());
  Run(400ms);
  BOOST_TEST(owner.store.waits.size() == 2);
  BOOST_TEST(!follower.Answers());
}

BOOST_AUTO_TEST_CASE(hears_no_answer_that_comes_after_that) {
  const auto late = owner.store.answer;
  Run(900ms);
  late(platform::TableChanges{.changes = {},
                              .position = platform::Position::WithoutEra(9)});
  BOOST_TEST((owner.catalogue.PositionOf(Table::kOrders) ==
              platform::Position::WithoutEra(7)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(is_watched_at_once_by_a_shorter_pace) {
  follower.SetPace({.wait = 100ms});
  BOOST_TEST((owner.store.waits ==
              std::vector<std::chrono::milliseconds>{200ms, 100ms}));
  follower.SetPace({.wait = 300ms});
  BOOST_TEST(owner.store.waits.size() == 2);
}

BOOST_AUTO_TEST_CASE(is_not_watched_while_a_peer_tells_its_news) {
  follower.Rest();
  Run(900ms);
  BOOST_TEST(owner.store.waits.size() == 1);
  follower.Activate();
  BOOST_TEST(owner.store.waits.size() == 2);
}

BOOST_AUTO_TEST_CASE(waits_until_peers_news_were_passed_on) {
  owner.backlogged = true;
  owner.store.answer(platform::TableChanges{
      .changes = {}, .position = platform::Position::WithoutEra(8)});
  Run(60ms);
  BOOST_TEST(owner.store.waits.size() == 1);
  owner.backlogged = false;
  Run(100ms);
  BOOST_TEST(owner.store.waits.size() == 2);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::registry::internal
