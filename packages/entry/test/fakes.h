#ifndef TREFOILBEND_ENTRY_TEST_FAKES_H_
#define TREFOILBEND_ENTRY_TEST_FAKES_H_

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "trefoilbend/http/server.h"

namespace trefoilbend::entry::fakes {

/** @brief Event loop with a thread of its own that carries the fakes. */
class Loop {
 public:
  Loop() : thread([this] { this->context.run(); }) {}

  ~Loop() { this->Stop(); }

  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  /** @brief Ends the thread, before the fakes that it carries go. */
  void Stop() {
    this->context.stop();
    if (this->thread.joinable()) {
      this->thread.join();
    }
  }

  /** @return Event loop. */
  [[nodiscard]] boost::asio::io_context& Context() noexcept {
    return this->context;
  }

 private:
  boost::asio::io_context context{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work = boost::asio::make_work_guard(this->context);
  std::thread thread;
};

/** @brief Target that answers every request with the request's Call-Id. */
class Target {
 public:
  /**
   * @brief Starts to listen.
   * @param context Event loop that carries the target.
   * @param address Address to listen on.
   */
  Target(boost::asio::io_context& context, http::Address address);

  /**
   * @brief Sets how long a request takes.
   * @param time Time of service.
   */
  void Take(std::chrono::milliseconds time) noexcept { this->time = time; }

  /** @return Number of requests that were run. */
  [[nodiscard]] int Handled() const noexcept { return this->handled; }

  /**
   * @brief Makes the answer to a call.
   * @param call Identity of the call.
   * @param length Length in bytes.
   * @return Body of the answer.
   */
  [[nodiscard]] static std::string Body(const std::string& call,
                                        std::size_t length);

 private:
  void Handle(const http::Request& request, const http::Respond& respond);

  boost::asio::io_context& context;
  std::atomic<std::chrono::milliseconds> time{std::chrono::milliseconds{0}};
  std::atomic<int> handled{0};
  std::shared_ptr<http::Server> server;
};

/** @brief Platform with a table and a list of live instances. */
class Platform {
 public:
  /**
   * @brief Starts to listen.
   * @param context Event loop that carries the platform.
   * @param address Address to listen on.
   * @param live Names of the instances in the list.
   */
  Platform(boost::asio::io_context& context, http::Address address,
           const std::vector<std::string>& live);

  /**
   * @brief Switches the platform off and on.
   * @param down Whether every request fails.
   */
  void SetDown(bool down) noexcept { this->down = down; }

 private:
  struct Row {
    std::string value;
    std::uint64_t version{};
  };

  [[nodiscard]] http::Response Serve(const http::Request& request);
  [[nodiscard]] http::Response Commit(const nlohmann::json& transaction);
  [[nodiscard]] nlohmann::json Rows(const std::string& prefix,
                                    const std::string& after) const;

  std::atomic<bool> down{false};
  nlohmann::json instances = nlohmann::json::array();
  std::map<std::string, Row> rows;
  std::shared_ptr<http::Server> server;
};

}  // namespace trefoilbend::entry::fakes

#endif  // TREFOILBEND_ENTRY_TEST_FAKES_H_
