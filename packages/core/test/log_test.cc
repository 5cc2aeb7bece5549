#include "trefoilbend/core/log.h"

#include <unistd.h>

#include <array>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <thread>

namespace trefoilbend::core {

namespace {

using namespace std::chrono_literals;

/** Standard output whose reader has stopped. */
class StalledReader {
 public:
  StalledReader() : saved(dup(STDOUT_FILENO)) {
    BOOST_REQUIRE(pipe(this->ends.data()) == 0);
    dup2(this->ends[1], STDOUT_FILENO);
  }

  ~StalledReader() {
    dup2(this->saved, STDOUT_FILENO);
    close(this->saved);
    close(this->ends[1]);
    std::array<char, 4'096> scratch;
    while (read(this->ends[0], scratch.data(), scratch.size()) > 0) {
    }
    close(this->ends[0]);
  }

  StalledReader(const StalledReader&) = delete;
  StalledReader& operator=(const StalledReader&) = delete;

 private:
  int saved;
  std::array<int, 2> ends{};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(a_log_whose_reader_has_stopped)

BOOST_AUTO_TEST_CASE(delays_nobody_and_counts_what_it_drops) {
  constexpr int kLines = 20'000;
  const Log log{"test"};
  const std::uint64_t before = DroppedLogLines();
  std::chrono::steady_clock::duration taken{};
  {
    const StalledReader reader;
    const auto begun = std::chrono::steady_clock::now();
    for (int line = 0; line < kLines; ++line) {
      log.Info("A line that nobody reads. number={}", line);
    }
    taken = std::chrono::steady_clock::now() - begun;
  }
  BOOST_TEST((taken < 2s));
  BOOST_TEST(DroppedLogLines() - before > kLines / 2);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::core
