#ifndef TREFOILBEND_TESTS_USERS_PLATFORM_PLATFORM_H_
#define TREFOILBEND_TESTS_USERS_PLATFORM_PLATFORM_H_

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <chrono>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "daemon.h"
#include "store/store.h"
#include "support/loopback_network.h"
#include "trefoilbend/entry/entry.h"
#include "trefoilbend/http/client.h"
#include "trefoilbend/http/server.h"

namespace trefoilbend::tests {

/** @brief What a target of the users' platform does with its requests. */
enum class Conduct : std::uint8_t {
  /** @brief Answers with a signature. */
  kAnswers,
  /** @brief Says that it has not run them. */
  kSheds,
  /** @brief Answers 200 without a signature. */
  kForgetsSignature,
  /** @brief Answers 500. */
  kFails,
  /** @brief Runs them and answers 503. */
  kPromises,
  /** @brief Is another target than the entry expects. */
  kIsAnother,
};

/**
 * @brief Makes what a target writes to the store of itself.
 * @param id Identity of the target.
 * @param address Address on which it listens.
 * @param state ready or draining.
 * @param version Version of its software.
 * @return The row's value.
 */
[[nodiscard]] std::string EntryOf(const std::string& id,
                                  const http::Address& address,
                                  const std::string& state = "ready",
                                  const std::string& version = "v1");

/** @brief Target that speaks as the users' targets do. */
class Endpoint {
 public:
  /**
   * @brief Starts to listen.
   * @param context Event loop that carries the target.
   * @param id Identity of the target.
   * @param address Address to listen on.
   */
  Endpoint(boost::asio::io_context& context, std::string id,
           http::Address address);

  /** @brief Sets what it does with its requests. */
  void Behave(Conduct now) noexcept { this->conduct = now; }

  /** @brief Sets what it tells of how slow work is, in percent of the usual. */
  void TellSlowness(int percent) noexcept { this->slowdowns = percent; }

  /** @return Requests that it has run. */
  [[nodiscard]] int Runs() const noexcept { return this->runs; }

  /** @return Requests that arrived, but for health checks. */
  [[nodiscard]] int Arrivals() const noexcept { return this->arrivals; }

  /** @return Value of a header field of the last request; empty without one. */
  [[nodiscard]] std::string LastField(const std::string& name) const;

  /** @return What the target writes to the store of itself. */
  [[nodiscard]] std::string Entry(const std::string& state = "ready",
                                  const std::string& version = "v1") const;

 private:
  [[nodiscard]] http::Response Serve(const http::Request& request);
  [[nodiscard]] http::Response Answer(const http::Request& request);

  std::string id;
  http::Address address;
  std::atomic<Conduct> conduct{Conduct::kAnswers};
  std::atomic<int> slowdowns{100};
  std::atomic<int> runs{0};
  std::atomic<int> arrivals{0};
  mutable std::mutex mutex;
  http::Fields last;
  std::shared_ptr<http::Server> server;
};

/** @brief A setting that a story chooses. */
struct Setting {
  /** @brief Section of the key. */
  std::string section;
  /** @brief Key of the setting. */
  std::string key;
  /** @brief Value of the setting. */
  std::string value;
};

/** @brief What operators want of the only route. */
struct RouteWish {
  /** @brief Beginning of its paths. */
  std::string prefix = "/look/";
  /** @brief Kind of its requests. */
  std::string kind = "idempotent";
  /** @brief Longest time that a client is kept waiting. */
  std::chrono::milliseconds timeout{2'000};
  /** @brief Connections that a target of the service takes. */
  int connections = 100;
  /** @brief Longest body of a request in bytes. */
  std::uint64_t max_body = 1'000'000;
};

/** @brief Entries in this process between a store and three targets: a and b in
 * the data centre near, c in far. Stories of one entry use the first. */
class Platform {
 public:
  Platform();
  ~Platform();

  Platform(const Platform&) = delete;
  Platform& operator=(const Platform&) = delete;

  /**
   * @brief Starts an entry.
   * @param number Number of the entry, from 1.
   * @param clock_back Time by which its clock is behind.
   * @param settings Settings that take the place of the usual ones.
   */
  void StartEntry(int number = 1, std::chrono::microseconds clock_back = {},
                  const std::vector<Setting>& settings = {});

  /**
   * @brief Makes the setting by which an entry asks another one for a copy of
   * what it knows.
   * @param number Number of the other entry.
   * @return The setting.
   */
  [[nodiscard]] Setting SeedOf(int number) const;

  /**
   * @brief Starts the first entry as a process of its own, after killing one
   * that was started so before, and waits until it is ready.
   * @param settings Settings that take the place of the usual ones.
   */
  void StartDaemon(const std::vector<Setting>& settings = {});

  /** @return The process that StartDaemon has started. */
  [[nodiscard]] Daemon& GetDaemon() { return *this->daemon; }

  /** @return Address on which the first entry serves clients. */
  [[nodiscard]] http::Address Front() const;

  /** @return Address on which the first entry answers which entries to use. */
  [[nodiscard]] http::Address DirectoryAddress() const;

  /**
   * @brief Ends an entry without any notice.
   * @param number Number of the entry.
   */
  void EndEntry(int number) { this->running.erase(number); }

  /**
   * @brief Writes what operators want: routes to the service stock.
   * @param version Number of the desired state.
   * @param prefix Beginning of the paths of its only route.
   * @param kind Kind of the route's requests.
   */
  void WriteDesiredState(int version, const std::string& prefix = "/look/",
                         const std::string& kind = "idempotent");

  /**
   * @brief Writes what operators want: one route to the service stock.
   * @param version Number of the desired state.
   * @param wish The route.
   */
  void WriteRoute(int version, const RouteWish& wish);

  /**
   * @brief Has the raw target alone serve the service stock.
   */
  void ListOnlyTheRawTarget();

  /**
   * @brief Does something on the store's thread.
   * @param action What is done.
   */
  void OnStore(const std::function<void(stand_ins::Store&)>& action);

  /**
   * @brief Has the store turn an entry away, or serve it again; it serves the
   * others meanwhile.
   * @param number Number of the entry.
   * @param away Whether it is turned away.
   */
  void TurnAway(int number, bool away = true);

  /** @return A target by its identity. */
  [[nodiscard]] Endpoint& Target(const std::string& id) {
    return *this->targets.at(id);
  }

  /** @return Address that no target has yet. */
  [[nodiscard]] http::Address RawTargetAddress() const;

  /** @return Requests that all targets have run. */
  [[nodiscard]] int Runs() const;

  /**
   * @brief Sends a client's request to the entry.
   * @param path Path of the request.
   * @param method Method of the request.
   * @param number Number of the entry.
   * @return The response.
   */
  [[nodiscard]] http::Response Call(const std::string& path,
                                    const std::string& method = "GET",
                                    int number = 1);

  /**
   * @brief Sends a client's request to the first entry.
   * @param id Identity that the client gives its request.
   * @param path Path of the request.
   * @param method Method of the request.
   * @return The response.
   */
  [[nodiscard]] http::Response CallAs(const std::string& id,
                                      const std::string& path,
                                      const std::string& method = "GET");

  /**
   * @brief Asks an entry whether it is ready.
   * @param number Number of the entry.
   * @return Status of the answer.
   */
  [[nodiscard]] int Readiness(int number = 1) const;

  /**
   * @brief Reads an entry's metrics.
   * @param number Number of the entry.
   * @return The metrics as text.
   */
  [[nodiscard]] std::string Metrics(int number = 1) const;

  /** @return Answer of the entry's directory. */
  [[nodiscard]] http::Response Directory() const;

  /** @return The first entry, which runs after StartEntry. */
  [[nodiscard]] entry::Entry& GetEntry() { return *this->running.at(1); }

  /**
   * @brief Waits for a condition.
   * @param condition Condition that is polled.
   * @param limit Longest wait.
   * @return Whether the condition came true.
   */
  [[nodiscard]] static bool Await(
      const std::function<bool()>& condition,
      std::chrono::milliseconds limit = std::chrono::seconds{10});

 private:
  [[nodiscard]] settings::Document SettingsOf(
      int number, const std::vector<Setting>& settings);
  [[nodiscard]] http::Address At(int host, std::uint16_t port) const;
  /** Sends a request to an entry. */
  [[nodiscard]] http::Response Send(int number, const std::string& id,
                                    const std::string& path,
                                    const std::string& method) const;
  /** Address under which an entry knows the store. */
  [[nodiscard]] http::Address StoreOf(int number) const;
  [[nodiscard]] static http::Response Get(const http::Address& address,
                                          const std::string& target);

  LoopbackNetwork network;
  boost::asio::io_context context{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work = boost::asio::make_work_guard(this->context);
  std::unique_ptr<stand_ins::Store> store;
  std::map<std::string, std::unique_ptr<Endpoint>> targets;
  std::thread thread;
  std::map<int, std::unique_ptr<entry::Entry>> running;
  std::unique_ptr<Daemon> daemon;
  int calls = 0;
};

}  // namespace trefoilbend::tests

#endif  // TREFOILBEND_TESTS_USERS_PLATFORM_PLATFORM_H_
