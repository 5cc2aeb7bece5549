#ifndef TREFOILBEND_STAND_INS_TARGET_TARGET_H_
#define TREFOILBEND_STAND_INS_TARGET_TARGET_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <utility>

#include "target/faults.h"
#include "trefoilbend/http/message.h"

namespace trefoilbend::stand_ins {

/** @brief Options of a target. */
struct TargetOptions {
  /** @brief Requests worked on at the same time. */
  std::uint32_t slots = 6;
  /** @brief Requests that wait before the target sheds. */
  std::uint32_t queue = 50;
  /** @brief Median service time. */
  std::chrono::microseconds service_time{5'000};
  /** @brief Spread of the log-normal service time; 0 for a constant one. */
  double sigma = 0.0;
  /** @brief Requests that the target bears while it is cold. */
  std::uint32_t cold_bears = 1;
  /** @brief Whether the target is cold at its start. */
  bool cold = false;
  /** @brief Seed of service times and faults. */
  std::uint64_t seed = 1;
};

/** @brief What becomes of a request. */
struct Reply {
  /** @brief Response to send. */
  http::Response response;
  /** @brief Whether the connection is reset in place of the response. */
  bool reset{};
  /** @brief Whether the response is cut within its body. */
  bool truncate{};
  /** @brief Whether the response is written once more where the next one on the
   * connection is due. */
  bool repeat{};
};

/** @brief Model of a server with slots, a queue, a cold start and faults; it
 * counts every run. */
class Target {
 public:
  /** @brief Takes what becomes of a request. */
  using Done = std::function<void(Reply)>;

  /**
   * @brief Makes a target.
   * @param context Event loop that carries its timers.
   * @param options Options of the target.
   */
  Target(boost::asio::io_context& context, TargetOptions options);

  /**
   * @brief Takes a request.
   * @param request Request of a balancer or of a test.
   * @param done Takes the reply.
   */
  void Handle(http::Request request, Done done);

  /** @brief Begins a planned stop: tells so and refuses new work. */
  void Drain() noexcept { this->faults.drain = 1; }

  /** @return A token that a session holds while a request is in progress. */
  [[nodiscard]] std::shared_ptr<const void> Token() const noexcept {
    return this->token;
  }

  /** @return Whether no request is in progress. */
  [[nodiscard]] bool IsIdle() const noexcept {
    return this->token.use_count() == 1;
  }

  /** @brief Counts a new connection with its first request; those for control
   * do not count. */
  void CountOpened();

  /** @brief Counts a connection that was closed. */
  void CountClosed() { --this->open; }

  /** @return Value of the load report field. */
  [[nodiscard]] std::string LoadReport();

 private:
  struct Waiting {
    http::Request request;
    Done done;
  };

  struct Sample {
    std::chrono::steady_clock::time_point at;
    std::uint32_t running;
    std::size_t queued;
  };

  [[nodiscard]] Reply Control(const http::Request& request);
  void Admit(http::Request request, Done done);
  void CountCold();
  void Run(Waiting work);
  void Finish(const Waiting& work);
  [[nodiscard]] Reply Answer(const http::Request& request);
  [[nodiscard]] bool Strikes(std::int64_t percent,
                             const http::Request& request);
  [[nodiscard]] bool Concerns(const http::Request& request) const;
  [[nodiscard]] std::chrono::microseconds DrawServiceTime(
      const http::Request& request);
  void After(std::chrono::microseconds delay, std::function<void()> action);

  boost::asio::io_context& context;
  TargetOptions options;
  std::mt19937_64 random;
  Faults faults;
  std::shared_ptr<const void> token = std::make_shared<int>();
  std::uint32_t running = 0;
  std::deque<Waiting> waiting;
  std::deque<Sample> samples;
  std::uint64_t handled = 0;
  std::uint64_t probes = 0;
  std::uint64_t shed = 0;
  std::uint64_t ranges = 0;
  std::uint64_t cold_overruns = 0;
  std::uint64_t cold_handled = 0;
  std::size_t most_in_flight_cold = 0;
  std::uint32_t most_running = 0;
  std::uint32_t open = 0;
  std::uint32_t most_open = 0;
  std::uint64_t opened = 0;
  std::deque<std::chrono::steady_clock::time_point> recently_opened;
  std::size_t most_opened_in_a_second = 0;
  std::map<std::string, std::uint64_t> runs_by_key;
  std::map<std::string, std::uint64_t> runs_by_call;
};

}  // namespace trefoilbend::stand_ins

#endif  // TREFOILBEND_STAND_INS_TARGET_TARGET_H_
