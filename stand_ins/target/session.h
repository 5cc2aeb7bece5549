#ifndef TREFOILBEND_STAND_INS_TARGET_SESSION_H_
#define TREFOILBEND_STAND_INS_TARGET_SESSION_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <utility>

#include "target/target.h"

namespace trefoilbend::stand_ins {

/** @brief One connection to a target. */
class Session : public std::enable_shared_from_this<Session> {
 public:
  /**
   * @brief Makes a session.
   * @param socket Connection.
   * @param target Model that answers; outlives the session.
   */
  Session(boost::asio::ip::tcp::socket socket, Target& target);

  ~Session();

  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  /** @brief Reads the next request. */
  void Read();

 private:
  void OnRead(boost::system::error_code error);
  void Handle();
  void Write(Reply reply);
  void WriteCut();

  boost::beast::tcp_stream stream;
  Target& target;
  boost::beast::flat_buffer buffer;
  boost::beast::http::request<boost::beast::http::string_body> in;
  boost::beast::http::response<boost::beast::http::string_body> out;
  std::string cut;
  /** Answer that is written once more before the next one. */
  std::string copy;
  std::shared_ptr<const void> in_progress;
  bool counted{};
};

}  // namespace trefoilbend::stand_ins

#endif  // TREFOILBEND_STAND_INS_TARGET_SESSION_H_
