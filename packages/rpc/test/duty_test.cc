#include "trefoilbend/rpc/duty.h"

#include <boost/test/unit_test.hpp>
#include <future>
#include <semaphore>

#include "trefoilbend/core/invariant.h"

namespace trefoilbend::rpc {

BOOST_AUTO_TEST_SUITE(a_duty_on_the_loop_of_capn_proto)

BOOST_AUTO_TEST_CASE(reads_every_message_of_its_ring) {
  constexpr int kMessages = 50'000;
  core::Ring<int> ring{64};
  std::counting_semaphore<> room{64};
  std::promise<void> done;
  int seen = 0;
  Duty duty{"rpc"};
  duty.Read(ring, [&](int message) {
    core::CheckInvariant(message == seen, "messages arrive in order");
    room.release();
    if (++seen == kMessages) {
      done.set_value();
    }
  });
  duty.Start([](kj::AsyncIoContext&) { return kj::Own<void>(); });
  for (int i = 0; i < kMessages; ++i) {
    room.acquire();
    core::CheckInvariant(ring.TryPush(int{i}), "the reader has made room");
  }
  done.get_future().wait();
  duty.Stop();
  BOOST_TEST(seen == kMessages);
}

BOOST_AUTO_TEST_CASE(destroys_its_state_on_its_own_thread) {
  std::promise<std::thread::id> made;
  std::promise<std::thread::id> destroyed;
  struct State {
    std::promise<std::thread::id>& destroyed;
    explicit State(std::promise<std::thread::id>& destroyed)
        : destroyed(destroyed) {}
    ~State() { this->destroyed.set_value(std::this_thread::get_id()); }
  };
  Duty duty{"rpc"};
  duty.Start([&](kj::AsyncIoContext&) -> kj::Own<void> {
    made.set_value(std::this_thread::get_id());
    return kj::heap<State>(destroyed);
  });
  duty.Stop();
  BOOST_TEST((made.get_future().get() == destroyed.get_future().get()));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::rpc
