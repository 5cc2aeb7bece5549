#include "trefoilbend/admission/queue.h"

#include <boost/test/unit_test.hpp>
#include <chrono>

namespace trefoilbend::admission {

using namespace std::chrono_literals;
using core::CallId;
using core::TimePoint;
using core::Urgency;

BOOST_AUTO_TEST_SUITE(a_queue_of_calls)

BOOST_AUTO_TEST_CASE(returns_urgent_calls_before_ordinary_ones) {
  Queue queue{{.length = 4}};
  BOOST_TEST(queue.TryPush({CallId{1}, Urgency::kOrdinary, TimePoint{1s}}));
  BOOST_TEST(queue.TryPush({CallId{2}, Urgency::kUrgent, TimePoint{1s}}));
  BOOST_TEST((queue.Front() == CallId{2}));
  queue.Remove(CallId{2});
  BOOST_TEST((queue.Front() == CallId{1}));
}

BOOST_AUTO_TEST_CASE(rejects_a_call_when_its_priority_class_is_full) {
  Queue queue{{.length = 1}};
  BOOST_TEST(queue.TryPush({CallId{1}, Urgency::kOrdinary, TimePoint{1s}}));
  BOOST_TEST(!queue.TryPush({CallId{2}, Urgency::kOrdinary, TimePoint{1s}}));
  BOOST_TEST(queue.TryPush({CallId{3}, Urgency::kUrgent, TimePoint{1s}}));
}

BOOST_AUTO_TEST_CASE(removes_calls_past_their_deadline) {
  Queue queue{{.length = 4}};
  BOOST_TEST(queue.TryPush({CallId{1}, Urgency::kOrdinary, TimePoint{1s}}));
  BOOST_TEST(queue.TryPush({CallId{2}, Urgency::kOrdinary, TimePoint{3s}}));
  const auto expired = queue.Expire(TimePoint{2s});
  BOOST_REQUIRE(expired.size() == 1);
  BOOST_TEST(expired.front() == CallId{1});
  BOOST_TEST(queue.Size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::admission
