#ifndef TREFOILBEND_FORWARDING_INTERNAL_EXCHANGE_H_
#define TREFOILBEND_FORWARDING_INTERNAL_EXCHANGE_H_

#include <array>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <utility>

#include "internal/connection_pool.h"
#include "internal/request_encoding.h"
#include "trefoilbend/forwarding/duty.h"
#include "trefoilbend/forwarding/messages.h"

namespace trefoilbend::forwarding::internal {

/** @brief What an exchange needs of the duty that carries it. */
class ExchangeOwner {
 public:
  virtual ~ExchangeOwner() = default;

  /** @return Connections to targets. */
  [[nodiscard]] virtual ConnectionPool& Pool() noexcept = 0;

  /** @return Options of the duty. */
  [[nodiscard]] virtual const Options& GetOptions() const noexcept = 0;

  /** @return Event loop of the duty. */
  [[nodiscard]] virtual boost::asio::io_context& Context() noexcept = 0;

  /**
   * @brief Takes note that an exchange has an answer, before the answer is
   * passed on; the call's other exchanges are given up.
   * @param began The exchange.
   * @param complete Whether the answer is whole.
   */
  virtual void Begin(ExchangeBegan began, bool complete) = 0;

  /**
   * @brief Passes a part of an answer on.
   * @param message Part of the answer.
   */
  virtual void Answer(ToCallers message) = 0;

  /** @brief Takes note that an answer to another request was passed over. */
  virtual void CountSkippedAnswer() = 0;

  /**
   * @brief Ends an exchange.
   * @param ended Report of the exchange.
   */
  virtual void End(ExchangeEnded ended) = 0;

  /**
   * @brief Ends a probe.
   * @param ended Report of the probe.
   */
  virtual void EndProbe(ProbeEnded ended) = 0;
};

/** @brief One request to one target and its answer. */
class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  /**
   * @brief Makes an exchange.
   * @param owner Duty that carries the exchange and outlives it.
   * @param order What is sent where.
   */
  Exchange(ExchangeOwner& owner, StartExchange order);

  /** @brief Asks for a connection and sends the request on it. */
  void Start();

  /** @brief Reads the next part of the answer. */
  void Continue();

  /** @brief Reads the rest of the answer without passing it on. */
  void Abandon();

  /** @brief Gives the exchange up and closes its connection. */
  void Cancel();

  /** @brief Gives the exchange up unless its request is sent. */
  void Withdraw();

  /** @return Target that gets the request. */
  [[nodiscard]] const core::InstanceName& Target() const noexcept {
    return this->order.target;
  }

  /** @return Call that is sent. */
  [[nodiscard]] core::CallId Call() const noexcept { return this->order.call; }

  /** @return Whether the answer has begun. */
  [[nodiscard]] bool HasBegun() const noexcept { return this->head_passed; }

 private:
  static constexpr std::size_t kPartSize = 16U << 10U;
  /** Bytes that wait to be parsed: a head, or the line of a chunk. */
  static constexpr std::size_t kMostBuffered = 40U << 10U;

  void TakeConnection(Grant grant, Connection granted);
  void Connect();
  void Write();
  void ReadHead();
  void OnHead(boost::system::error_code error);
  void TakeHead(AnswerKind kind, const core::AnswerHead& head);
  void Hold(std::string body, bool complete);
  void SkipAnswer();
  void SkipInterim();
  /** Counts bytes that nobody gets; returns false if they are too many. */
  [[nodiscard]] bool MayDiscard(std::size_t bytes);
  void ReadPart();
  void OnPart(boost::system::error_code error);
  void Deliver(std::string body, bool complete);
  void Fail(boost::system::error_code error);
  void Finish(ExchangeResult result);
  [[nodiscard]] core::AnswerHead MakeHead() const;
  /** Whether callers are told by such an answer that the request has not run.
   */
  [[nodiscard]] bool ProvesNotRun(AnswerKind kind) const noexcept;
  [[nodiscard]] bool MayHold(const core::AnswerHead& head) const noexcept;
  /** Whether a part of a continued answer leaves it as long as it says, or, if
   * more follows, not longer. */
  [[nodiscard]] bool FitsWholeBody(std::size_t length, bool complete) const;
  void PassOn(std::string body, bool complete);
  void GiveBackConnection(ExchangeResult result, bool answered);
  void CloseAfterCancel();
  /** Time at which the exchange is given up. */
  [[nodiscard]] core::TimePoint Expiry() const noexcept;
  [[nodiscard]] core::Duration Elapsed() const noexcept;

  ExchangeOwner& owner;
  StartExchange order;
  core::TimePoint started;
  core::Duration latency{};
  Connection connection;
  boost::beast::flat_buffer buffer{kMostBuffered};
  EncodedRequest out;
  std::optional<
      boost::beast::http::response_parser<boost::beast::http::buffer_body>>
      parser;
  std::array<char, kPartSize> part;
  std::optional<LoadReport> load;
  std::optional<ResumePoint> resume;
  /** Time from the start to the sending of the request. */
  std::optional<core::Duration> waited;
  std::optional<ConnectionUse> use;
  bool head_passed{};
  bool abandoned{};
  /** What is reported of an answer that is not passed on. */
  std::optional<ExchangeResult> withheld;
  std::string held;
  bool holding{};
  bool foreign{};
  std::size_t discarded{};
  bool reading{};
  bool awaits_head{};
  bool ended{};
};

}  // namespace trefoilbend::forwarding::internal

#endif  // TREFOILBEND_FORWARDING_INTERNAL_EXCHANGE_H_
