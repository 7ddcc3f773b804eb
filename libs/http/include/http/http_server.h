#ifndef FIRMOOR_HTTP_HTTP_SERVER_H_
#define FIRMOOR_HTTP_HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "http/message.h"
#include "http/response_writer.h"

namespace firmoor {

namespace details {
class ServerConnection;
}

/// Sends the response to one request of a caller. Shared by the server and the
/// handler.
class HttpResponder final : public ResponseWriter {
 public:
  /// Keeps `request`, what the request takes of the memory, as long as the
  /// handler may hold it; may be null.
  HttpResponder(std::weak_ptr<details::ServerConnection> connection,
                std::shared_ptr<BodyBudget::Share> request);

  void HoldUntilTaken(std::shared_ptr<BodyBudget::Share> share) override;
  /// The connection then reads its next request.
  void Send(const HttpResponse& response) override;
  /// Starts a response that is sent in chunks, or to a caller of HTTP/1.0 as
  /// `StartStreamUntilClose` does.
  void StartStream(int status, const HttpHeaders& headers) override;
  /// Starts a response that ends with the connection, so that its end does not
  /// say whether it is complete.
  void StartStreamUntilClose(int status, const HttpHeaders& headers);
  void Write(std::string_view bytes) override;
  void FinishStream() override;
  /// Closes the connection, by a reset if its orderly close would end the
  /// response.
  void Abort() override;
  [[nodiscard]] bool IsOpen() const override;
  void Discard() override;
  [[nodiscard]] std::size_t UnsentBytes() const override;
  void OnSent(std::function<void()> handler) override;
  void OnCallerDisconnected(std::function<void()> handler) override;

  /// The caller's "address:port", for logs.
  [[nodiscard]] std::string CallerAddress() const;

 private:
  std::weak_ptr<details::ServerConnection> connection_;
  std::shared_ptr<BodyBudget::Share> request_;
};

/// Why a server closed a connection without a response to a request that the
/// caller may have sent on it.
enum class ConnectionCut {
  kIdle,         ///< No request within the idle time-out.
  kConnections,  ///< More connections than `HttpServerLimits` allows.
  kStop,         ///< Idle when the server stopped to listen.
  kAborted,      ///< `HttpResponder::Abort`.
  kPipelined,    ///< Bytes followed the last request of the connection.
  kFailed,       ///< An exception left a handler of the connection.
  kStalled,      ///< The caller took no bytes of a response.
  kUpload,       ///< Its request hardly arrived while memory was short.
  kGaveWay,      ///< No request in work, and a new one needed its place.
};

/// "idle", "connections" and so on, for logs and metrics.
std::string_view NameOf(ConnectionCut reason);

/// Limits on connections and requests of callers.
struct HttpServerLimits {
  std::uint32_t header_bytes = 16 * 1024;
  std::size_t header_fields = 512;
  std::uint64_t body_bytes = 8 * 1024 * 1024;
  std::size_t connections = 12'000;
  Duration request_timeout{10'000};  ///< From the first byte to the last.
  Duration idle_timeout{60'000};     ///< From the last byte sent.

  bool operator==(const HttpServerLimits&) const = default;
};

/// HTTP/1.1 server on a Qt event loop. Boost.Beast validates the framing. Each
/// connection dispatches one request at a time, so pipelined requests are
/// processed sequentially, and only once the caller has taken most of the last
/// response. Behind its last response, a connection discards
/// input until the caller closes, for one second at most, since a reset would
/// destroy what the caller has not read. Not thread-safe.
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
  /// Makes the response to invalid input, for status 400, 408 or 413, and to a
  /// request that got no memory, for status 503.
  using ErrorResponse = std::function<HttpResponse(int status)>;
  /// The response to a request that is rejected by its head, before its body
  /// has arrived; none to read on. The body of `head` is empty.
  using HeadCheck =
      std::function<std::optional<HttpResponse>(const HttpRequest& head)>;

  /// Called for each caller that had to give way to others, with the reason.
  using GaveWay = std::function<void(ConnectionCut reason)>;

  /// Configures a server.
  class Builder {
   public:
    Builder();
    Builder(Builder&&) noexcept;
    ~Builder();
    /// Port 0 selects a free port; see `HttpServer::Port`.
    Builder& Listen(Endpoint endpoint);
    Builder& Limits(HttpServerLimits limits);
    Builder& Handler(HttpServer::Handler handler);
    Builder& ErrorResponse(HttpServer::ErrorResponse make);
    /// Without one, requests are read to their end.
    Builder& HeadCheck(HttpServer::HeadCheck check);
    /// What requests take of the memory, until their responses are sent.
    /// Several servers may share it. Without one there is no limit.
    Builder& Uploads(std::shared_ptr<BodyBudget> budget);
    Builder& OnGaveWay(HttpServer::GaveWay handler);
    std::unique_ptr<HttpServer> Build();

   private:
    friend class HttpServer;
    struct Impl;
    std::unique_ptr<Impl> impl_;
  };

  ~HttpServer();

  /// Starts to listen. Returns false if the endpoint cannot be bound.
  bool Start();

  /// Whether the last `Start` failed because the endpoint is in use, by a
  /// listener or as the local end of a connection of any process.
  [[nodiscard]] bool IsAddressInUse() const;

  /// Replaces the limits. A connection that is idle, or a request that is being
  /// read, gets time-outs that grow, from when it became idle or began to
  /// arrive. It keeps time-outs that shrink, since its caller may rely on them;
  /// the connection has the shorter ones from its next response on. Sizes apply
  /// to requests that begin to arrive later.
  void SetLimits(HttpServerLimits limits);

  /// Closes each connection after its next response, so that callers reconnect
  /// elsewhere. New connections are still accepted.
  void CloseAfterResponses();

  /// Closes the listener after accepting the connections that wait for it. Open
  /// connections close after their next response.
  void StopAccepting();

  /// Closes the listener and idle connections. Active requests continue, and
  /// their connections close after the response. A connection on which a
  /// response is still being sent counts as idle only behind it.
  void StopListening();

  /// Connections closed for `reason` since the start.
  [[nodiscard]] std::uint64_t CutCount(ConnectionCut reason) const;

  /// Failed calls of accept(2) since the start, e.g. for want of a descriptor.
  /// Connections then wait until one succeeds.
  [[nodiscard]] std::uint64_t AcceptFailures() const;

  /// Number of open connections, including those that are about to close behind
  /// their last response.
  [[nodiscard]] std::size_t ConnectionCount() const;

  /// The port that the server listens on.
  [[nodiscard]] std::uint16_t Port() const;

 private:
  explicit HttpServer(std::unique_ptr<Builder::Impl> impl);

  std::unique_ptr<Builder::Impl> impl_;
};

}  // namespace firmoor

#endif  // FIRMOOR_HTTP_HTTP_SERVER_H_
