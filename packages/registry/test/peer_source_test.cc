#include "internal/peer_source.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace trefoilbend::registry::internal {

namespace {

using namespace std::chrono_literals;

/** A registry that notes whether it reads the store. */
struct Owner final : PeerSourceOwner {
  [[nodiscard]] std::vector<platform::Position> KnownPositions()
      const override {
    return {platform::Position::WithoutEra(4)};
  }
  [[nodiscard]] bool Hear(const feed::Heard&) override {
    ++this->heard;
    return !this->is_ahead;
  }
  void HearEarlier(const std::optional<feed::EarlierEra>& earlier) override {
    ++this->heard_earlier;
    this->earlier = earlier;
  }
  void ReadStore() override { this->reads = true; }
  void LeaveStoreToPeer() override { this->reads = false; }

  std::optional<bool> reads;
  int heard = 0;
  int heard_earlier = 0;
  std::optional<feed::EarlierEra> earlier;
  /** Whether it knows the store in a later era than the peers. */
  bool is_ahead = false;
};

std::vector<feed::Candidate> Fleet() {
  std::vector<feed::Candidate> fleet;
  for (const char* name : {"a", "b", "c", "d", "e", "f", "g"}) {
    fleet.push_back({.name = core::InstanceName{name},
                     .data_centre = core::DataCentreName{"one"},
                     .address = {.host = name, .port = 7'661}});
  }
  return fleet;
}

/** The first entry of the fleet that is no reader. */
inventory::Instance SomeListener() {
  const std::vector<feed::Candidate> readers =
      feed::ChooseReaders(Fleet(), feed::ReaderCount(Fleet().size()));
  inventory::Instance self;
  for (const feed::Candidate& entry : Fleet()) {
    if (std::find(readers.begin(), readers.end(), entry) == readers.end()) {
      self.name = entry.name;
      self.data_centre = entry.data_centre;
    }
  }
  return self;
}

/** An entry that is no reader, and two readers that are played by hand. */
struct Listener {
  Listener() {
    source.Configure(fleet);
    source.Start(ring);
    Run(600ms);
  }

  void Run(const std::chrono::milliseconds time) {
    context.restart();
    context.run_for(time);
    ring.Drain([this](feed::ToFeed&& message) {
      if (auto* ask = std::get_if<feed::Ask>(&message)) {
        asks.push_back(*ask);
      }
    });
  }

  void AnswerLast(const std::chrono::milliseconds age,
                  const bool store_answers = true) {
    const feed::Ask ask = asks.back();
    source.Take({.id = ask.id,
                 .peer = ask.peer,
                 .result = feed::Heard{
                     .tables = {},
                     .confirmed = std::chrono::steady_clock::now() - age,
                     .store_answers = store_answers}});
    Run(10ms);
  }

  void FailLast() {
    const feed::Ask ask = asks.back();
    source.Take({.id = ask.id, .peer = ask.peer, .result = feed::NotHeard{}});
    Run(10ms);
  }

  core::Ring<feed::ToFeed> ring{16};
  boost::asio::io_context context{1};
  Owner owner;
  std::vector<feed::Candidate> fleet = Fleet();
  std::vector<feed::Ask> asks;
  PeerSource source{owner, context, SomeListener()};
};

}  // namespace

/** Entries of a store that had come back never took a configuration, since an
 * answer that was still awaited was given up for another question. */
BOOST_FIXTURE_TEST_SUITE(an_entry_that_asks_for_the_era_before, Listener)

BOOST_AUTO_TEST_CASE(hears_it_or_that_there_is_none_once) {
  source.AskEarlier(fleet.front());
  Run(10ms);
  BOOST_TEST(source.AsksEarlier());
  BOOST_TEST(asks.back().wants_earlier);
  AnswerLast(100ms);
  BOOST_TEST(!source.AsksEarlier());
  BOOST_TEST(owner.heard_earlier == 1);
  BOOST_TEST(!owner.earlier.has_value());
  BOOST_TEST(!asks.back().wants_earlier);
}

BOOST_AUTO_TEST_CASE(goes_on_when_the_peer_fails) {
  source.AskEarlier(fleet.front());
  Run(10ms);
  FailLast();
  BOOST_TEST(!source.AsksEarlier());
  BOOST_TEST(owner.heard_earlier == 1);
}

BOOST_AUTO_TEST_CASE(goes_on_when_the_peer_that_it_listens_to_is_stale) {
  AnswerLast(100ms);
  source.AskEarlier(fleet.front());
  Run(3s);
  BOOST_TEST(!source.AsksEarlier());
  BOOST_TEST(owner.heard_earlier == 1);
}

BOOST_AUTO_TEST_CASE(goes_on_when_it_becomes_a_reader_meanwhile) {
  source.AskEarlier(fleet.front());
  Run(10ms);
  source.Configure({fleet.back()});
  AnswerLast(100ms);
  BOOST_TEST(!source.AsksEarlier());
  BOOST_TEST(owner.heard_earlier == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(an_entry_that_is_no_reader, Listener)

BOOST_AUTO_TEST_CASE(asks_a_reader_before_it_reads_the_store_itself) {
  BOOST_REQUIRE(asks.size() == 1);
  BOOST_TEST(!owner.reads.has_value());
  BOOST_TEST((asks[0].after.front() == platform::Position::WithoutEra(4)));
}

BOOST_AUTO_TEST_CASE(listens_to_a_fresh_word_and_asks_for_the_next) {
  AnswerLast(200ms);
  BOOST_TEST((owner.reads == false));
  BOOST_TEST(asks.size() == 2);
  BOOST_TEST((asks.back().wait > 0ms));
}

BOOST_AUTO_TEST_SUITE(reads_the_store_and_asks_another_reader)

BOOST_AUTO_TEST_CASE(when_the_first_gives_no_answer) {
  const http::Address first = asks.back().peer;
  FailLast();
  BOOST_TEST((owner.reads == true));
  BOOST_TEST((asks.back().peer != first));
}

BOOST_AUTO_TEST_CASE(when_the_first_is_cut_off_from_the_store) {
  AnswerLast(feed::kMostAge);
  BOOST_TEST((owner.reads == true));
  BOOST_TEST(owner.heard == 1);
}

BOOST_AUTO_TEST_CASE(when_the_store_turns_the_first_away) {
  AnswerLast(200ms);
  const http::Address first = asks.back().peer;
  AnswerLast(300ms, false);
  BOOST_TEST((owner.reads == true));
  BOOST_TEST((asks.back().peer != first));
}

/** CONFIG: a listener believed a reader that still knew the store's tables of
 * the era before, and took what it told for fresh. */
BOOST_AUTO_TEST_CASE(when_the_first_knows_an_earlier_era_of_the_store) {
  AnswerLast(200ms);
  const http::Address first = asks.back().peer;
  owner.is_ahead = true;
  AnswerLast(200ms);
  BOOST_TEST((owner.reads == true));
  BOOST_TEST((asks.back().peer != first));
}

BOOST_AUTO_TEST_CASE(when_the_first_falls_silent_before_its_word_is_too_old) {
  AnswerLast(200ms);
  Run(feed::kMostAge - 400ms);
  BOOST_TEST((owner.reads == false));
  Run(400ms);
  BOOST_TEST((owner.reads == true));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(listens_again_once_a_reader_is_fresh_again) {
  FailLast();
  FailLast();
  BOOST_TEST(asks.size() == 2);
  Run(feed::kDistrust + 100ms);
  BOOST_REQUIRE(asks.size() == 3);
  AnswerLast(200ms);
  BOOST_TEST((owner.reads == false));
}

BOOST_AUTO_TEST_CASE(passes_over_an_answer_that_comes_after_its_time) {
  const feed::Ask late = asks.back();
  FailLast();
  source.Take(
      {.id = late.id,
       .peer = late.peer,
       .result = feed::Heard{.tables = {},
                             .confirmed = std::chrono::steady_clock::now(),
                             .store_answers = true}});
  BOOST_TEST((owner.reads == true));
  BOOST_TEST(owner.heard == 0);
}

BOOST_AUTO_TEST_CASE(reads_for_others_once_it_is_chosen) {
  AnswerLast(200ms);
  const inventory::Instance self = SomeListener();
  source.Configure({{.name = self.name,
                     .data_centre = self.data_centre,
                     .address = fleet.front().address}});
  BOOST_TEST((owner.reads == true));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::registry::internal
