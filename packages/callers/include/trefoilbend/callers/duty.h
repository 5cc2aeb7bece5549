#ifndef TREFOILBEND_CALLERS_DUTY_H_
#define TREFOILBEND_CALLERS_DUTY_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "trefoilbend/balancing/messages.h"
#include "trefoilbend/callers/caller_protocol.h"
#include "trefoilbend/configuration/messages.h"
#include "trefoilbend/core/name.h"
#include "trefoilbend/core/number.h"
#include "trefoilbend/core/outcome.h"
#include "trefoilbend/core/ring.h"
#include "trefoilbend/forwarding/messages.h"
#include "trefoilbend/http/address.h"
#include "trefoilbend/idempotency/key_table.h"
#include "trefoilbend/membership/messages.h"
#include "trefoilbend/relay/messages.h"

namespace prometheus {
class Registry;
}  // namespace prometheus

namespace trefoilbend::callers {

/** @brief Bounds of what callers may send. */
struct Limits {
  /** @brief Greatest number of calls in progress. */
  std::size_t calls = 4'096;
  /** @brief Greatest number of open connections. */
  std::size_t connections = 8'192;
  /** @brief Longest request header in bytes. */
  std::uint32_t header = 16U << 10U;
  /** @brief Longest request body in bytes. */
  std::uint64_t body = 256U << 10U;
  /** @brief Memory of all request bodies together in bytes. */
  std::uint64_t bodies = 256U << 20U;
  /** @brief Longest time for a request to arrive once it has begun. */
  std::chrono::milliseconds receive{10'000};
  /** @brief Longest time for the caller to take a part of an answer. */
  std::chrono::milliseconds send{30'000};
  /** @brief Longest time for which a connection may be idle. */
  std::chrono::milliseconds idle{60'000};
};

/** @brief Bounds of calls with a key. */
struct KeyLimits {
  /** @brief Time after a key's issue for which it may be used. */
  std::chrono::milliseconds retention{std::chrono::minutes{10}};
  /** @brief Greatest number of keys that are remembered. */
  std::size_t keys = 65'536;
  /** @brief Greatest length of all kept answers together in bytes. */
  std::size_t answers = 16U << 20U;
  /** @brief Longest answer that is kept for repeats in bytes. */
  std::size_t answer = 256U << 10U;
  /** @brief Time after a call's deadline up to which its answer is awaited and
   * kept for a repeat. */
  std::chrono::milliseconds late_answer{10'000};
  /** @brief Time after which the claim of a caller's own key is deleted from
   * the platform's table; a key counts as new from then on. */
  std::chrono::milliseconds claim_retention{std::chrono::hours{24}};
  /** @brief Time between two looks of this entry for claims to delete. */
  std::chrono::milliseconds claim_sweep{30'000};
};

/** @brief Options of the callers' duty. */
struct Options {
  /** @brief Name of this entry. */
  core::InstanceName self;
  /** @brief Run of this entry's process. */
  core::Incarnation incarnation;
  /** @brief Address that serves callers. */
  http::Address address;
  /** @brief Longest time for which callers keep an answer that names entries.
   */
  std::chrono::milliseconds keep{2'000};
  /** @brief Time that peers may need to learn that this entry leaves. */
  std::chrono::milliseconds leave_notice{1'500};
  /** @brief Time after the beginning of a stop at which the process is killed;
   * nothing if it never is. */
  std::optional<std::chrono::milliseconds> grace;
  /** @brief Address that answers which entries to use; if there is none, the
   * callers' address does. */
  std::optional<http::Address> directory;
  /** @brief Address that answers whether this entry is ready; nothing for
   * none. */
  std::optional<http::Address> readiness;
  /** @brief What callers and entries say to each other. */
  std::shared_ptr<const CallerProtocol> protocol =
      std::make_shared<OwnCallerProtocol>();
  /** @brief Whether calls with a key of their callers run once at most. */
  bool takes_keys = true;
  /** @brief Whether this entry serves by what it knows when it cannot tell
   * whether that is current. */
  bool serves_isolated = false;
  /** @brief Whether callers are sent to the entries of their data centre only,
   * as long as there are some. */
  bool nearest_only = false;
  /** @brief Address of the platform, whose table records callers' own keys. */
  http::Address platform;
  /** @brief Longest wait for an answer of the platform. */
  std::chrono::milliseconds platform_timeout{1'000};
  /** @brief Bounds of calls with a key. */
  KeyLimits keys;
  /** @brief Seed of the random numbers. */
  std::uint64_t seed = 1;
  /** @brief Bounds of what callers may send. */
  Limits limits;
};

/** @brief Rings that the callers' duty writes to. */
struct Outlets {
  /** @brief Calls for the duty that chooses targets. */
  core::Ring<balancing::FromCallers>* balancing{};
  /** @brief Messages for the duty that carries exchanges. */
  core::Ring<forwarding::FromCallers>* forwarding{};
  /** @brief Messages for the duty that passes calls on to peers. */
  core::Ring<relay::FromCallers>* relay{};
};

/** @brief Duty that talks to callers. */
class CallersDuty {
 public:
  /**
   * @brief Makes the duty; it runs after Start.
   * @param options Options of the duty.
   * @param registry Takes the duty's metrics.
   */
  CallersDuty(Options options, prometheus::Registry& registry);
  ~CallersDuty();

  CallersDuty(const CallersDuty&) = delete;
  CallersDuty& operator=(const CallersDuty&) = delete;

  /** @return Ring for refusals. */
  [[nodiscard]] core::Ring<balancing::ToCallers>& BalancingInlet() noexcept;

  /** @return Ring for answers. */
  [[nodiscard]] core::Ring<forwarding::ToCallers>& ForwardingInlet() noexcept;

  /** @return Ring for configurations. */
  [[nodiscard]] core::Ring<configuration::Update>&
  ConfigurationInlet() noexcept;

  /** @return Ring for what this entry knows of its peers. */
  [[nodiscard]] core::Ring<membership::View>& MembershipInlet() noexcept;

  /** @return Ring for calls of peers and results of calls passed on. */
  [[nodiscard]] core::Ring<relay::ToCallers>& RelayInlet() noexcept;

  /**
   * @brief Starts the duty.
   * @param outlets Rings to write to.
   * @return Nothing, or the reason why the address cannot be used.
   */
  [[nodiscard]] core::Outcome<std::monostate, std::string> Start(
      Outlets outlets);

  /**
   * @brief Begins a graceful stop: serves until peers know of it, answers that
   * name this entry have expired and every call has ended. Calls that are still
   * open shortly before the end of the grace get a refusal or are broken off.
   * @param done Called once, from the duty's thread.
   */
  void Drain(std::function<void()> done);

  /** @brief Stops the duty at once. */
  void Stop();

 private:
  class Loop;

  std::unique_ptr<Loop> loop;
};

}  // namespace trefoilbend::callers

#endif  // TREFOILBEND_CALLERS_DUTY_H_
