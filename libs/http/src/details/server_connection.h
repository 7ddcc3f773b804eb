#ifndef FIRMOOR_HTTP_DETAILS_SERVER_CONNECTION_H_
#define FIRMOOR_HTTP_DETAILS_SERVER_CONNECTION_H_

#include <QTcpSocket>
#include <QTimer>
#include <array>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "details/growing_string_body.h"
#include "details/head_scanner.h"
#include "details/lingering_close.h"
#include "details/place_claim.h"
#include "http/http_server.h"

namespace firmoor::details {

/// State shared by all connections of a server.
struct ServerConnectionContext {
  HttpServerLimits limits;
  HttpServer::Handler handler;
  HttpServer::ErrorResponse error_response;
  HttpServer::HeadCheck head_check;
  HttpServer::GaveWay on_gave_way;
  std::shared_ptr<BodyBudget> uploads;  ///< May be null: no limit.
  bool closing = false;  ///< Connections close after their next response.
  bool stopped = false;  ///< Connections close as soon as they are idle.
  std::array<std::uint64_t, 9> cuts{};  ///< By `ConnectionCut`.

  void CountCut(ConnectionCut reason) {
    ++cuts.at(static_cast<std::size_t>(reason));
    const bool gave_way =
        reason == ConnectionCut::kUpload || reason == ConnectionCut::kGaveWay;
    if (gave_way && on_gave_way) on_gave_way(reason);
  }
};

/// One accepted connection. Reads a request, dispatches it and reads the next
/// one only after the response is complete.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(QTcpSocket* socket,
                   std::shared_ptr<ServerConnectionContext> context,
                   std::function<void(ServerConnection*)> on_closed);
  ~ServerConnection();

  void Start();
  /// Applies time-outs that grew to what the connection waits for.
  void ExtendTimeout();
  void CloseIfIdle();

  /// Keeps `share` until the caller has taken the response or has left.
  void HoldUntilTaken(std::shared_ptr<BodyBudget::Share> share);
  void Send(const HttpResponse& response);
  void StartStream(int status, const HttpHeaders& headers);
  void StartStreamUntilClose(int status, const HttpHeaders& headers);
  void Write(std::string_view bytes);
  void FinishStream();
  void Abort(ConnectionCut reason);
  [[nodiscard]] bool IsResponding() const {
    return !closed_ && phase_ != Phase::kReading;
  }
  [[nodiscard]] std::size_t UnsentBytes() const;
  void SetCallerDisconnectedHandler(std::function<void()> handler);
  void SetSentHandler(std::function<void()> handler);
  [[nodiscard]] std::string CallerAddress() const;
  /// None if it is not to give way to a new connection, since its request is
  /// handled or answered.
  [[nodiscard]] std::optional<PlaceClaim> Claim() const;
  /// Whether a part of a request has arrived that was not read, as after a
  /// standstill of the process. None if the request waits for memory.
  [[nodiscard]] bool HasUnnoticedInput() const;
  /// Closes the connection for a new one. With `may_answer`, one that waits for
  /// memory is answered first, and stays open until its caller has the answer.
  void LeavePlace(bool may_answer);

 private:
  using Handler = void (ServerConnection::*)();
  using Parser = boost::beast::http::request_parser<GrowingStringBody>;
  enum class Phase { kReading, kHandling, kStreaming };

  /// Runs a handler of an event; an exception that leaves it closes this
  /// connection.
  void Run(Handler handler);
  void ResetParser();
  void StartTimeout(Duration timeout);
  void OnTimeout();
  void OnBytesWritten();
  /// Ends an incomplete request, since memory is short and the caller sends
  /// hardly anything. Returns false if more has arrived meanwhile.
  bool GiveUpUpload();
  /// Whether the memory for `bytes` more of the request is there. Reads on
  /// later if it is not.
  bool TakeMemory(std::size_t bytes);
  /// Whether the memory for the fields of a whole head is there, which take
  /// several times their bytes once parsed. Parses on later if it is not.
  bool TakeFieldMemory();
  /// Memory of the parsed fields beyond those of an ordinary request, in bytes.
  [[nodiscard]] std::size_t FieldBytes() const;
  /// Whether the kernel holds input. Emits no signal.
  [[nodiscard]] bool HasUnread() const;
  /// Gives back what the request does not hold any more.
  void ReturnMemory();
  /// Rejects a request of which the rest has yet to arrive, by its head.
  bool RejectByHead();
  /// Closes the connection, since memory is short and the caller has taken
  /// nothing for a while. Returns false if it has taken bytes meanwhile.
  bool GiveWay();
  /// Releases what is held for the caller once it has taken all.
  void UpdateHeldShare();
  [[nodiscard]] bool IsIdle() const;
  /// Whether the next request waits until the caller has taken most of the last
  /// response.
  [[nodiscard]] bool IsHeldBack() const;
  void ReadMore();
  /// Reads on from the event loop.
  void QueueRead();
  void ParseBuffered();
  /// Whether the parser may have the buffered bytes: they hold a whole head
  /// whose framing is accepted. Rejects the request if it is not.
  bool AcceptHead();
  /// Whether a part of a request has arrived.
  [[nodiscard]] bool HasInput() const {
    return parser_->got_some() || buffer_.size() > 0;
  }
  void HandleExpect();
  void DispatchRequest();
  void RejectInput(int status);
  /// Answers instead of the handler, and closes behind the response.
  void Reject(const HttpResponse& response);
  /// Frees what was read of a request that was rejected.
  void DropInput();
  void WriteHead(int status, const HttpHeaders& headers,
                 std::string_view framing);
  void FinishResponse();
  void OnDisconnected();
  /// Closes the connection of a caller that takes nothing of its response.
  void CutStalled();

  QTcpSocket* socket_;
  std::shared_ptr<ServerConnectionContext> context_;
  std::function<void(ServerConnection*)> on_closed_;
  std::function<void()> on_caller_disconnected_;
  std::function<void()> on_sent_;
  boost::beast::flat_buffer buffer_;
  std::optional<HeadScanner> head_scanner_;
  std::optional<Parser> parser_;
  std::optional<LingeringClose> lingering_close_;
  std::shared_ptr<BodyBudget::Share> held_share_;
  /// Of the request that is read or handled.
  std::shared_ptr<BodyBudget::Share> upload_;
  QTimer memory_timer_;  ///< Runs while the request waits for memory.
  QTimer timer_;
  TimePoint waiting_since_;
  Duration timeout_{0};  ///< From `waiting_since_`.
  Phase phase_ = Phase::kReading;
  std::uint32_t header_bytes_ = 0;  ///< Limit of the request's head.
  bool is_reading_request_ = false;
  bool keep_alive_ = true;
  bool is_head_request_ = false;
  bool is_chunked_ = true;
  bool expect_handled_ = false;
  bool is_head_checked_ = false;
  bool is_head_waiting_ = false;  ///< For memory, before it is parsed.
  bool was_served_ = false;       ///< A whole request has arrived before.
  bool closed_ = false;
};

}  // namespace firmoor::details

#endif  // FIRMOOR_HTTP_DETAILS_SERVER_CONNECTION_H_
