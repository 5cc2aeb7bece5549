#include "trefoilbend/feed/source_plan.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace trefoilbend::feed {

namespace {

using namespace std::chrono_literals;

constexpr core::TimePoint kStart{100s};

/** A fleet whose entries are spread evenly over its data centres. */
std::vector<Candidate> Fleet(const int entries, const int data_centres) {
  std::vector<Candidate> fleet;
  for (int at = 0; at < entries; ++at) {
    const std::string zone = "dc-" + std::to_string(at % data_centres);
    fleet.push_back(
        {.name = core::InstanceName{zone + "-" + std::to_string(at)},
         .data_centre = core::DataCentreName{zone},
         .address = {.host = "10.0.0." + std::to_string(at), .port = 7'661}});
  }
  return fleet;
}

std::vector<Candidate> ReadersOf(const std::vector<Candidate>& fleet) {
  return ChooseReaders(fleet, ReaderCount(fleet.size()));
}

/** The plan of an entry that is no reader, and the fleet around it. */
struct Listener {
  Listener() {
    const std::vector<Candidate> readers = ReadersOf(fleet);
    for (const Candidate& entry : fleet) {
      if (std::find(readers.begin(), readers.end(), entry) == readers.end()) {
        self = entry;
      }
    }
    plan = SourcePlan{self.name, self.data_centre};
    (void)plan.Configure(fleet);
  }

  std::vector<Candidate> fleet = Fleet(14, 3);
  Candidate self;
  SourcePlan plan{core::InstanceName{""}, core::DataCentreName{""}};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(a_fleet_that_shares_what_a_few_read)

BOOST_AUTO_TEST_CASE(has_readers_in_different_data_centres) {
  for (const int entries : {14, 19, 60, 120, 130}) {
    std::set<core::DataCentreName> places;
    const std::vector<Candidate> readers = ReadersOf(Fleet(entries, 5));
    for (const Candidate& reader : readers) {
      places.insert(reader.data_centre);
    }
    BOOST_TEST(readers.size() >= 2);
    BOOST_TEST(readers.size() <= 4);
    BOOST_TEST(places.size() == readers.size());
  }
}

BOOST_AUTO_TEST_CASE(agrees_on_them_whatever_the_order_in_which_it_is_known) {
  std::vector<Candidate> fleet = Fleet(19, 4);
  const std::vector<Candidate> readers = ReadersOf(fleet);
  std::reverse(fleet.begin(), fleet.end());
  BOOST_TEST((ReadersOf(fleet) == readers));
}

BOOST_AUTO_TEST_CASE(prefers_those_with_most_processor_time) {
  std::vector<Candidate> fleet = Fleet(120, 3);
  for (Candidate& entry : fleet) {
    entry.processor_percent = 10;
  }
  for (const std::size_t strong : {30U, 31U, 32U, 60U}) {
    fleet[strong].processor_percent = 50;
  }
  for (const Candidate& reader : ReadersOf(fleet)) {
    BOOST_TEST(reader.processor_percent == 50);
  }
}

BOOST_AUTO_TEST_CASE(divides_the_listeners_among_the_readers) {
  const std::vector<Candidate> fleet = Fleet(120, 3);
  std::map<core::InstanceName, int> listeners;
  for (const Candidate& entry : fleet) {
    SourcePlan plan{entry.name, entry.data_centre};
    (void)plan.Configure(fleet);
    if (const auto chosen = plan.Choose(kStart)) {
      ++listeners[chosen->name];
    }
  }
  BOOST_TEST(listeners.size() == 3);
  for (const auto& [reader, count] : listeners) {
    BOOST_TEST(count <= 60);
  }
}

BOOST_AUTO_TEST_CASE(lets_a_single_entry_read_for_itself) {
  const std::vector<Candidate> alone = Fleet(1, 1);
  SourcePlan plan{alone[0].name, alone[0].data_centre};
  (void)plan.Configure(alone);
  BOOST_TEST(plan.IsReader());
  BOOST_TEST(!plan.HasListeners());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(an_entry_that_listens, Listener)

BOOST_AUTO_TEST_CASE(asks_a_reader_of_its_own_data_centre_if_there_is_one) {
  bool near = false;
  for (const Candidate& reader : ReadersOf(fleet)) {
    near = near || reader.data_centre == self.data_centre;
  }
  BOOST_TEST((plan.Choose(kStart)->data_centre == self.data_centre) == near);
}

BOOST_AUTO_TEST_CASE(trusts_a_word_that_is_fresh_until_it_is_too_old) {
  const Candidate reader = *plan.Choose(kStart);
  BOOST_TEST(plan.NoteAnswer(reader.address, kStart - 200ms, kStart));
  BOOST_TEST((plan.FreshUntil() == kStart - 200ms + kMostAge));
}

BOOST_AUTO_TEST_SUITE(whose_reader)

BOOST_AUTO_TEST_CASE(is_silent_asks_another_and_returns_to_it_later) {
  const Candidate reader = *plan.Choose(kStart);
  BOOST_TEST(!plan.NoteAnswer(reader.address, std::nullopt, kStart));
  BOOST_TEST((plan.Choose(kStart).value() != reader));
  BOOST_TEST((plan.Choose(kStart + kDistrust).value() == reader));
}

BOOST_AUTO_TEST_CASE(is_cut_off_from_the_store_does_not_believe_it) {
  const Candidate reader = *plan.Choose(kStart);
  BOOST_TEST(!plan.NoteAnswer(reader.address, kStart - kMostAge, kStart));
  BOOST_TEST(!plan.FreshUntil().has_value());
}

BOOST_AUTO_TEST_CASE(fails_like_all_others_has_nobody_left_to_ask) {
  while (const auto reader = plan.Choose(kStart)) {
    (void)plan.NoteAnswer(reader->address, std::nullopt, kStart);
  }
  BOOST_TEST(!plan.Choose(kStart + kDistrust / 2).has_value());
  BOOST_TEST(plan.Choose(kStart + kDistrust).has_value());
}

BOOST_AUTO_TEST_CASE(leaves_gets_another_one) {
  const Candidate reader = *plan.Choose(kStart);
  std::erase(fleet, reader);
  BOOST_TEST(plan.Configure(fleet));
  BOOST_TEST((plan.Choose(kStart).value() != reader));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(reads_itself_once_it_is_among_the_first) {
  while (!plan.IsReader()) {
    std::erase(fleet, *plan.Choose(kStart));
    (void)plan.Configure(fleet);
  }
  BOOST_TEST(!plan.Choose(kStart).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::feed
