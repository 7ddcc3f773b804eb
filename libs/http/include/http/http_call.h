#ifndef FIRMOOR_HTTP_HTTP_CALL_H_
#define FIRMOOR_HTTP_HTTP_CALL_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "http/message.h"

namespace firmoor {

/// How an exchange with an upstream ended.
enum class HttpCallEnd {
  kComplete,      ///< The complete response arrived.
  kNotConnected,  ///< Not connected; no byte of the request was sent.
  kNoResponse,    ///< The connection closed before the response head.
  kTruncated,     ///< The connection closed within the response, or was
                  ///< reset in a response delimited by its close.
  kMalformed,     ///< The response is not valid HTTP.
  kTimedOut,      ///< A time-out of `HttpCallTimeouts` expired.
  kCancelled,     ///< `HttpCall::Cancel` was called.
  kTooLarge,      ///< The body is longer than `HttpCall::LimitBody` allows.
};

/// "complete", "not-connected" and so on, for logs.
std::string_view NameOf(HttpCallEnd end);

/// Limits after which a call fails.
struct HttpCallTimeouts {
  Duration connect{1'000};
  Duration first_byte{30'000};  ///< From sending the request to the head.
  Duration idle{10'000};        ///< Between two reads of the response.
  /// From sending the request to the end of the response; unset: unlimited
  /// while data keeps arriving.
  std::optional<Duration> total = std::nullopt;
  /// Without a packet from the upstream's host, responses to keep-alive probes
  /// included; a multiple of 1 s. The default outlasts a host that does not
  /// respond for up to two seconds.
  Duration host_silent{4'000};

  bool operator==(const HttpCallTimeouts&) const = default;
};

/// Pool of persistent connections for idempotent calls. Non-idempotent calls
/// must not use it, because the server may have closed an idle connection
/// without the client noticing. A connection is discarded after its idle
/// time-out, when the server announces its close, or when unsolicited bytes
/// arrive on it.
class HttpConnectionPool {
 public:
  HttpConnectionPool();
  ~HttpConnectionPool();

  /// Closes the idle connections to `endpoint`, for instance after a call to it
  /// timed out.
  void Forget(const Endpoint& endpoint);

  struct Impl;

 private:
  friend class HttpCall;
  friend class ReservedConnection;
  std::unique_ptr<Impl> impl_;
};

/// One request to one upstream, sent at most once: it never resends,
/// follows redirects or retries. The response is delivered as it arrives.
/// Deleting the call cancels it without further callbacks. Not thread-safe.
///
///     call_ = HttpCall::Builder(endpoint, request)
///         .OnHead([](int status, const HttpHeaders&) { ... })
///         .OnBody([](std::string_view bytes) { ... })
///         .OnEnd([](HttpCallEnd end) { ... })
///         .Start();
class HttpCall {
 public:
  /// Configures a call.
  class Builder {
   public:
    Builder(Endpoint endpoint, HttpRequest request);
    ~Builder();
    Builder& Timeouts(HttpCallTimeouts times);
    /// Value of the Host header; the endpoint unless set.
    Builder& Host(std::string host);
    /// Evaluated right before the request is written; if it returns false, the
    /// call ends with `kNotConnected`.
    Builder& SendIf(std::function<bool()> condition);
    /// Evaluated when `HttpCallTimeouts::first_byte` or `idle` has expired; if
    /// it returns false, the time-out starts anew. Without a condition the call
    /// ends. The total time-out applies regardless.
    Builder& EndIfSilent(std::function<bool()> condition);
    /// Reuses an idle connection of `pool` if there is one and returns it
    /// afterwards. Without a pool the call opens a connection and closes it.
    Builder& Pool(HttpConnectionPool* pool);
    /// See `HttpCall::LimitBody`.
    Builder& LimitBody(std::uint64_t max_bytes);
    Builder& OnHead(std::function<void(int, const HttpHeaders&)> handler);
    Builder& OnBody(std::function<void(std::string_view)> handler);
    /// Called before `OnEnd` if the connection was reset before the head of a
    /// response; an upstream without room may do so.
    Builder& OnReset(std::function<void()> handler);
    /// Called exactly once, after all other handlers. The handler may delete
    /// the call.
    Builder& OnEnd(std::function<void(HttpCallEnd)> handler);
    std::unique_ptr<HttpCall> Start();

   private:
    friend class HttpCall;
    struct Impl;
    std::shared_ptr<Impl> impl_;
  };

  ~HttpCall();

  /// Closes the connection; `OnEnd` gets `kCancelled`.
  void Cancel();

  /// Ends the call with `kTooLarge` when the body is, or is announced to be,
  /// longer than `max_bytes`. Without a limit the body may be endless, since
  /// it is passed on and not kept. May be called in `OnHead` and `OnBody`, and
  /// applies after the handler has returned.
  void LimitBody(std::uint64_t max_bytes);

  /// Closes the connection at the end of the call instead of pooling it, for
  /// instance because a response to another request arrived on it.
  void DisableReuse();

  /// Pauses or resumes reading, to apply backpressure for slow callers.
  void SetPaused(bool paused);

  /// Whether the response has neither a length nor chunks, so that its end
  /// cannot be told from a closed connection.
  [[nodiscard]] bool IsDelimitedByClose() const;

  /// Whether the request was sent on a connection that the pool had kept.
  [[nodiscard]] bool IsOnReusedConnection() const;

  /// Whether any byte of the request may have been sent.
  [[nodiscard]] bool MayHaveBeenSent() const;

 private:
  explicit HttpCall(std::shared_ptr<Builder::Impl> impl);

  std::shared_ptr<Builder::Impl> impl_;
};

}  // namespace firmoor

#endif  // FIRMOOR_HTTP_HTTP_CALL_H_
