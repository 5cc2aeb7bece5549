#ifndef TREFOILBEND_PLATFORM_HTTP_ANSWERS_H_
#define TREFOILBEND_PLATFORM_HTTP_ANSWERS_H_

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "trefoilbend/core/outcome.h"
#include "trefoilbend/http/client.h"
#include "trefoilbend/platform/messages.h"

namespace trefoilbend::platform {

/**
 * @brief Tells what follows from a request that got no answer.
 * @param error Failure of the request.
 * @return The problem; a request that was sent may have had its effect.
 */
[[nodiscard]] inline Unavailable NoAnswer(const http::RequestError& error) {
  return {.effect_unknown = error.stage == http::RequestStage::kSent,
          .message = error.message};
}

/**
 * @brief Makes a request of a path.
 * @param target Path and query.
 * @return The request.
 */
[[nodiscard]] inline http::Request GetRequest(std::string target) {
  return {
      .method = "GET", .target = std::move(target), .fields = {}, .body = {}};
}

/**
 * @brief Decodes the JSON of an answer.
 * @tparam Result Variant that may be Unavailable.
 * @param response Answer of the store.
 * @param decode Function from JSON to the result; may throw JSON's exceptions.
 * @return The result, or Unavailable if the answer is malformed.
 */
template <typename Result, typename Decode>
[[nodiscard]] Result DecodeOr(const http::Response& response, Decode decode) {
  try {
    return decode(nlohmann::json::parse(response.body));
  } catch (const nlohmann::json::exception&) {
    return Unavailable{.effect_unknown = true,
                       .message = "the store's answer is malformed"};
  }
}

/**
 * @brief Joins the decoding of an answer with what takes its result.
 * @tparam Result Variant that may be Unavailable.
 * @param done Takes the result.
 * @param decode Function from the answer to the result.
 * @return Function that takes the outcome of the request.
 */
template <typename Result, typename Decode>
[[nodiscard]] http::OnResponse Expect(std::function<void(Result)> done,
                                      Decode decode) {
  return
      [done = std::move(done), decode](const http::ResponseOutcome& outcome) {
        if (!core::Succeeded(outcome)) {
          done(NoAnswer(core::ProblemOf(outcome)));
          return;
        }
        done(decode(core::ValueOf(outcome)));
      };
}

}  // namespace trefoilbend::platform

#endif  // TREFOILBEND_PLATFORM_HTTP_ANSWERS_H_
