#ifndef FIRMOOR_HTTP_DETAILS_SERVER_CONNECTION_H_
#define FIRMOOR_HTTP_DETAILS_SERVER_CONNECTION_H_

#include <QTcpSocket>
#include <QTimer>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "http/http_server.h"

namespace firmoor::details {

/// What connections of one server share.
struct ServerConnectionContext {
  HttpServerLimits limits;
  HttpServer::Handler handler;
  HttpServer::ErrorResponse error_answer;
  bool closing = false;  ///< Connections close with their next answer.
};

/// One accepted connection: reads a request, hands it over, waits for its
/// whole answer and only then reads on.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(QTcpSocket* socket,
                   std::shared_ptr<const ServerConnectionContext> context,
                   std::function<void(ServerConnection*)> on_closed);
  ~ServerConnection();

  void Start();
  void CloseIfIdle();

  void Send(const HttpResponse& answer);
  void StartStream(int status, const HttpHeaders& headers);
  void Write(std::string_view bytes);
  void FinishStream();
  void Abort();
  [[nodiscard]] bool IsAnswering() const {
    return !closed_ && phase_ != Phase::kReading;
  }
  [[nodiscard]] std::size_t UnsentBytes() const;
  void SetCallerDisconnectedHandler(std::function<void()> handler);
  [[nodiscard]] std::string CallerAddress() const;

 private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;
  enum class Phase { kReading, kHandling, kStreaming };

  void ResetParser();
  void ReadMore();
  void ParseBuffered();
  void AnswerExpect();
  void HandOver();
  void RejectInput(int status);
  void WriteHead(int status, const HttpHeaders& headers,
                 std::string_view framing);
  void EndAnswer();
  void OnDisconnected();

  QTcpSocket* socket_;
  std::shared_ptr<const ServerConnectionContext> context_;
  std::function<void(ServerConnection*)> on_closed_;
  std::function<void()> caller_left_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  QTimer timer_;
  Phase phase_ = Phase::kReading;
  bool keep_alive_ = true;
  bool head_request_ = false;
  bool chunked_ = true;
  bool expect_answered_ = false;
  bool closed_ = false;
};

}  // namespace firmoor::details

#endif  // FIRMOOR_HTTP_DETAILS_SERVER_CONNECTION_H_
