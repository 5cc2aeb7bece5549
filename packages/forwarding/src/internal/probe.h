#ifndef TREFOILBEND_FORWARDING_INTERNAL_PROBE_H_
#define TREFOILBEND_FORWARDING_INTERNAL_PROBE_H_

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <memory>
#include <optional>

#include "internal/exchange.h"

namespace trefoilbend::forwarding::internal {

/** @brief One health check of a target. */
class Probe : public std::enable_shared_from_this<Probe> {
 public:
  /**
   * @brief Makes a probe.
   * @param owner Duty that carries the probe and outlives it.
   * @param order Which target is asked.
   */
  Probe(ExchangeOwner& owner, StartProbe order)
      : owner(owner), order(std::move(order)) {}

  /** @brief Asks for a connection and sends the request on it. */
  void Start();

 private:
  /** Bytes that wait to be parsed: a head, or the line of a chunk. */
  static constexpr std::size_t kMostBuffered = 64U << 10U;

  void TakeConnection(Grant grant, Connection granted);
  void Connect();
  void Write();
  void Read();
  void OnRead(boost::system::error_code error);
  /** Reads on after an answer to a request. */
  void SkipAnswer();
  void Finish(HealthReport report);
  void GiveUp();

  ExchangeOwner& owner;
  StartProbe order;
  Connection connection;
  boost::beast::flat_buffer buffer{kMostBuffered};
  boost::beast::http::request<boost::beast::http::empty_body> out;
  std::optional<
      boost::beast::http::response_parser<boost::beast::http::string_body>>
      parser;
  std::uint32_t skipped{};
};

}  // namespace trefoilbend::forwarding::internal

#endif  // TREFOILBEND_FORWARDING_INTERNAL_PROBE_H_
