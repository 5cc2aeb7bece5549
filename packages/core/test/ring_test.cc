#include "trefoilbend/core/ring.h"

#include <boost/test/unit_test.hpp>
#include <future>
#include <memory>
#include <semaphore>
#include <vector>

#include "trefoilbend/core/duty.h"
#include "trefoilbend/core/invariant.h"

namespace trefoilbend::core {

BOOST_AUTO_TEST_SUITE(a_ring)

BOOST_AUTO_TEST_SUITE(within_one_thread)

BOOST_AUTO_TEST_CASE(keeps_the_order_of_messages) {
  Ring<int> ring{4};
  for (int i = 0; i < 4; ++i) {
    BOOST_TEST(ring.TryPush(int{i}));
  }
  std::vector<int> seen;
  BOOST_TEST(ring.Drain([&](int message) { seen.push_back(message); }) == 4U);
  BOOST_TEST(seen == (std::vector{0, 1, 2, 3}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(refuses_a_message_when_full_and_leaves_it_untouched) {
  Ring<std::unique_ptr<int>> ring{2};
  BOOST_TEST(ring.TryPush(std::make_unique<int>(1)));
  BOOST_TEST(ring.TryPush(std::make_unique<int>(2)));
  auto third = std::make_unique<int>(3);
  BOOST_TEST(!ring.TryPush(std::move(third)));
  BOOST_TEST((third != nullptr));
}

BOOST_AUTO_TEST_CASE(wakes_its_reader_once_for_a_batch) {
  Ring<int> ring{8};
  int wakes = 0;
  ring.SetWake([&] { ++wakes; });
  BOOST_TEST(ring.TryPush(1));
  BOOST_TEST(ring.TryPush(2));
  BOOST_TEST(wakes == 1);
  ring.Drain([](int) {});
  BOOST_TEST(ring.TryPush(3));
  BOOST_TEST(wakes == 2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(between_two_duties)

BOOST_AUTO_TEST_CASE(loses_no_message_and_no_wake_up) {
  constexpr int kMessages = 200'000;
  Ring<int> ring{64};
  Duty reader{"reader"};
  std::promise<void> done;
  std::counting_semaphore<> room{64};
  int expected = 0;
  reader.Read(ring, [&](int message) {
    CheckInvariant(message == expected, "messages arrive in order");
    room.release();
    if (++expected == kMessages) {
      done.set_value();
    }
  });
  reader.Start();
  for (int i = 0; i < kMessages; ++i) {
    room.acquire();
    CheckInvariant(ring.TryPush(int{i}), "the reader has made room");
  }
  done.get_future().wait();
  reader.Stop();
  BOOST_TEST(expected == kMessages);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::core
