#ifndef FIRMOOR_HTTP_HTTP_SERVER_H_
#define FIRMOOR_HTTP_HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/time.h"
#include "http/message.h"

namespace firmoor {

namespace details {
class ServerConnection;
}

/// Answers one request. Shared by the server and the handler; every call is
/// safe after the caller left, when it does nothing.
class HttpResponder {
 public:
  explicit HttpResponder(std::weak_ptr<details::ServerConnection> connection);

  /// Sends a whole answer. The connection then takes its next request.
  void Send(const HttpResponse& answer);

  /// Starts an answer of unknown length, sent in chunks.
  void StartStream(int status, const HttpHeaders& headers);

  /// Sends one chunk of a started answer.
  void Write(std::string_view bytes);

  /// Ends a started answer in good order.
  void FinishStream();

  /// Drops the connection, so that the caller sees an incomplete answer.
  void Abort();

  /// Whether the caller is still connected and the answer is not complete.
  [[nodiscard]] bool IsOpen() const;

  /// Bytes written and not yet taken by the network, to bound slow readers.
  [[nodiscard]] std::size_t UnsentBytes() const;

  /// Called once when the caller leaves before its answer is complete.
  void OnCallerDisconnected(std::function<void()> handler);

  /// The caller's "address:port", for logs.
  [[nodiscard]] std::string CallerAddress() const;

 private:
  std::weak_ptr<details::ServerConnection> connection_;
};

/// Bounds on what a caller may send.
struct HttpServerLimits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = 8 * 1024 * 1024;
  std::size_t connections = 12'000;
  Duration request_timeout{10'000};  ///< From the first byte to the last.
  Duration idle_timeout{60'000};     ///< Between requests of one connection.

  bool operator==(const HttpServerLimits&) const = default;
};

/// HTTP/1.1 server on a Qt event loop. Framing is checked by Boost.Beast;
/// one request at a time is handed over from each connection, so pipelined
/// requests are answered in turn. Not thread-safe.
///
///     auto server = HttpServer::Builder()
///         .Listen({"127.0.0.1", 8080})
///         .Handler([](HttpRequest request, auto responder) {
///           responder->Send({200, {}, "hello"});
///         })
///         .Build();
///     if (!server->Start()) ...
class HttpServer {
 public:
  using Handler =
      std::function<void(HttpRequest request, std::shared_ptr<HttpResponder>)>;
  /// Makes the answer to input that is no valid request: 400, 408, 413.
  using ErrorResponse = std::function<HttpResponse(int status)>;

  /// Collects the properties of a server.
  class Builder {
   public:
    Builder();
    ~Builder();
    /// Port 0 takes a free port; see `HttpServer::Port`.
    Builder& Listen(Endpoint endpoint);
    Builder& Limits(HttpServerLimits limits);
    Builder& Handler(HttpServer::Handler handler);
    Builder& ErrorResponse(HttpServer::ErrorResponse make);
    std::unique_ptr<HttpServer> Build();

   private:
    friend class HttpServer;
    struct Impl;
    std::unique_ptr<Impl> impl_;
  };

  ~HttpServer();

  /// Starts to listen; false when the endpoint cannot be had.
  bool Start();

  /// Replaces the limits. Open connections keep their idle time until their
  /// next answer.
  void SetLimits(HttpServerLimits limits);

  /// Connections close with their next answer from now on, so that callers
  /// move elsewhere; new ones are still accepted.
  void CloseAfterResponses();

  /// Closes the listener and idle connections. Requests in work go on, and
  /// their connections close with the answer.
  void StopListening();

  /// Connections that are open.
  [[nodiscard]] std::size_t ConnectionCount() const;

  /// The port in use.
  [[nodiscard]] std::uint16_t Port() const;

 private:
  explicit HttpServer(std::unique_ptr<Builder::Impl> impl);

  std::unique_ptr<Builder::Impl> impl_;
};

}  // namespace firmoor

#endif  // FIRMOOR_HTTP_HTTP_SERVER_H_
