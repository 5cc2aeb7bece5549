#ifndef TREFOILBEND_CALLERS_INTERNAL_QUESTION_SERVER_H_
#define TREFOILBEND_CALLERS_INTERNAL_QUESTION_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "internal/session.h"
#include "trefoilbend/callers/duty.h"
#include "trefoilbend/core/outcome.h"
#include "trefoilbend/http/server.h"

namespace trefoilbend::callers::internal {

/** @brief Tells on addresses of their own which entries to use and whether this
 * entry is ready. */
class QuestionServer {
 public:
  /**
   * @brief Makes a server that does not listen yet.
   * @param owner Duty that answers; outlives the server.
   * @param is_ready Tells whether this entry takes calls.
   */
  QuestionServer(SessionOwner& owner, std::function<bool()> is_ready);

  /**
   * @brief Listens on the addresses that the options name.
   * @param context Event loop of the duty.
   * @param options Options of the duty.
   * @return Nothing, or the reason why an address cannot be used.
   */
  [[nodiscard]] core::Outcome<std::monostate, std::string> Open(
      boost::asio::io_context& context, const Options& options);

 private:
  void AnswerQuestion(const http::Request& request,
                      const http::Respond& respond);

  SessionOwner& owner;
  std::function<bool()> is_ready;
  std::shared_ptr<http::Server> directory;
  std::shared_ptr<http::Server> readiness;
};

}  // namespace trefoilbend::callers::internal

#endif  // TREFOILBEND_CALLERS_INTERNAL_QUESTION_SERVER_H_
