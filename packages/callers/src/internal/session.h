#ifndef TREFOILBEND_CALLERS_INTERNAL_SESSION_H_
#define TREFOILBEND_CALLERS_INTERNAL_SESSION_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "trefoilbend/callers/body_budget.h"
#include "trefoilbend/callers/caller_protocol.h"
#include "trefoilbend/callers/classify.h"
#include "trefoilbend/callers/duty.h"
#include "trefoilbend/core/call.h"
#include "trefoilbend/discovery/directory.h"
#include "trefoilbend/http/message.h"

namespace trefoilbend::callers::internal {

class Session;

/** @brief What a session needs of the duty that carries it. */
class SessionOwner {
 public:
  virtual ~SessionOwner() = default;

  /** @return Bounds of what callers may send. */
  [[nodiscard]] virtual const Limits& GetLimits() const noexcept = 0;

  /** @return Lease for the body of a request that begins. */
  [[nodiscard]] virtual std::shared_ptr<BodyLease> LeaseBody() = 0;

  /**
   * @brief Refuses a request whose body finds no room.
   * @param head The request without its body.
   * @return The refusal.
   */
  [[nodiscard]] virtual core::Refusal RefuseForRoom(
      const core::CallRequest& head) = 0;

  /** @return What callers and entries say to each other. */
  [[nodiscard]] virtual const CallerProtocol& Protocol() const noexcept = 0;

  /**
   * @brief Reads a question which entries to use.
   * @param target Path and query of the request.
   * @return The question, or nothing if the request is a call.
   */
  [[nodiscard]] virtual std::optional<discovery::DirectoryQuery> ReadQuestion(
      std::string_view target) const = 0;

  /** @return Whether connections close after the answer that is under way. */
  [[nodiscard]] virtual bool IsDraining() const noexcept = 0;

  /**
   * @brief Answers a caller's question which entries to use.
   * @param question Question of the caller.
   * @return The answer.
   */
  [[nodiscard]] virtual discovery::DirectoryAnswer Ask(
      const discovery::DirectoryQuery& question) = 0;

  /**
   * @brief Takes a call.
   * @param session Session that gets the answer.
   * @param request What the caller asks for.
   * @param wishes What the caller asks for beyond its method and path.
   * @return The call, or a refusal.
   */
  [[nodiscard]] virtual core::Outcome<core::CallId, core::Refusal> Submit(
      const std::shared_ptr<Session>& session, core::CallRequest request,
      const Wishes& wishes) = 0;

  /**
   * @brief Asks for the next part of an answer.
   * @param call Call that is answered.
   */
  virtual void Continue(core::CallId call) = 0;

  /**
   * @brief Forgets a call whose answer is whole or broken.
   * @param call Call that is over.
   */
  virtual void Close(core::CallId call) = 0;

  /**
   * @brief Gives up a call whose caller has gone.
   * @param call Call that nobody waits for.
   */
  virtual void Abandon(core::CallId call) = 0;
};

/** @brief One connection of a caller. */
class Session : public std::enable_shared_from_this<Session> {
 public:
  /**
   * @brief Makes a session.
   * @param owner Duty that carries the session and outlives it.
   * @param socket Connection of the caller.
   * @param token Shared by all open sessions, which counts them.
   */
  Session(SessionOwner& owner, boost::asio::ip::tcp::socket socket,
          std::shared_ptr<const void> token);

  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  /** @brief Reads the next request. */
  void Read();

  /**
   * @brief Sends the first part of an answer.
   * @param head First part.
   */
  void Answer(core::AnswerHead head);

  /**
   * @brief Sends a further part of an answer.
   * @param part Further part.
   */
  void Answer(core::AnswerPart part);

  /**
   * @brief Sends a refusal.
   * @param refusal Refusal of the call.
   */
  void Refuse(const core::Refusal& refusal);

  /** @brief Closes the connection so that the answer cannot look whole. */
  void Break();

  /**
   * @brief Ends the call at once: refuses it if its answer has not begun,
   * breaks off one that comes in parts, and leaves one that is being written.
   * @param refusal Refusal of the call.
   */
  void GiveUp(const core::Refusal& refusal);

  /**
   * @brief Goes on with another identity of the call.
   * @param other Identity under which the rest of the answer comes.
   */
  void Continue(core::CallId other) noexcept { this->call = other; }

  /**
   * @brief Closes the connection if it waits for a request of which nothing has
   * arrived. No byte is read while it waits, so that none is lost.
   * @param least Time for which it has waited at least.
   */
  void CloseIfIdle(core::Duration least);

 private:
  /** Bytes that wait to be parsed behind a head: the line of a chunk. */
  static constexpr std::size_t kMostBuffered = 16U << 10U;
  /** Bytes of the next request that are read before the answer is sent. */
  static constexpr std::size_t kMostEarly = 16U << 10U;

  template <typename Body>
  using Response = boost::beast::http::response<Body>;
  using StringResponse = Response<boost::beast::http::string_body>;
  using StreamResponse = Response<boost::beast::http::buffer_body>;
  using StreamSerializer =
      boost::beast::http::response_serializer<boost::beast::http::buffer_body>;

  void ReadRequest();
  void OnHead(boost::system::error_code error);
  void ReadBody();
  /** Sees that the body, as far as it is known, has room. */
  [[nodiscard]] bool HoldBody();
  void RefuseBody();
  void OnRead();
  void RefuseRequest(boost::system::error_code error);
  /** Answers a malformed request, which is not run. */
  void RefuseAsBad(std::string why);
  void Serve();
  void ServeCall();
  /** The request that is read, without its body. */
  [[nodiscard]] core::CallRequest MakeRequest() const;
  [[nodiscard]] std::string CallerAddress();
  void WatchCaller();
  void ReadEarly();
  void Send(http::Response response);
  template <typename Message>
  void BeginMessage(Message& message, const core::AnswerHead& head);
  void SendWhole(core::AnswerHead head);
  void BeginStream(core::AnswerHead head);
  void WritePart(std::string body, bool complete);
  void OnPartWritten(boost::system::error_code error);
  void FinishAnswer();
  void Linger();
  void AbandonCall();

  SessionOwner& owner;
  std::shared_ptr<const void> token;
  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer;
  std::optional<
      boost::beast::http::request_parser<boost::beast::http::string_body>>
      parser;
  std::shared_ptr<BodyLease> body_lease;
  StringResponse whole;
  StreamResponse streamed;
  std::optional<StreamSerializer> serializer;
  std::string part;
  bool part_is_last{};
  /** Whether a whole answer is being written. */
  bool writes_whole{};
  std::optional<core::CallId> call;
  bool keep_alive{};
  bool is_head{};
  /** Whether the request was read to its end. */
  bool has_read{};
  /** Since when it waits for a request. */
  std::optional<core::TimePoint> idle_since;
};

}  // namespace trefoilbend::callers::internal

#endif  // TREFOILBEND_CALLERS_INTERNAL_SESSION_H_
