#ifndef FIRMOOR_HTTP_HTTP_CALL_H_
#define FIRMOOR_HTTP_HTTP_CALL_H_

#include <cstddef>
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
  kComplete,      ///< The whole answer arrived.
  kNotConnected,  ///< No connection; no byte of the request left.
  kNoResponse,    ///< The connection closed before the answer's head.
  kTruncated,     ///< The connection closed inside the answer, or was reset
                  ///< in one whose end is that of the connection.
  kMalformed,     ///< The answer is not valid HTTP.
  kTimedOut,      ///< No byte arrived for the idle time.
  kCancelled,     ///< `HttpCall::Cancel` was called.
};

/// "complete", "not-connected" and so on, for logs.
std::string_view NameOf(HttpCallEnd end);

/// Timeouts after which a call is given up.
struct HttpCallTimeouts {
  Duration connect{1'000};
  Duration first_byte{30'000};  ///< From the sent request to the head.
  Duration idle{10'000};        ///< Between two parts of the answer.
  /// From the sent request to the end of the answer; none: as long as it makes
  /// progress.
  std::optional<Duration> whole = std::nullopt;

  bool operator==(const HttpCallTimeouts&) const = default;
};

/// Connections kept open between idempotent calls. Non-idempotent calls
/// never use it, since an idle connection may have been dropped unseen. A
/// connection is given up when it was idle for long, when the server says that
/// it closes it, or when bytes arrived on it that nobody asked for.
class HttpConnectionPool {
 public:
  HttpConnectionPool();
  ~HttpConnectionPool();

  /// Closes the idle connections to `endpoint`, for instance after a silent
  /// one was found.
  void Forget(const Endpoint& endpoint);

  struct Impl;

 private:
  friend class HttpCall;
  std::unique_ptr<Impl> impl_;
};

/// One request to one upstream, sent at most once: there is no resend, no
/// redirect and no retry inside. The answer is handed over as it arrives.
/// Deleting the call cancels it without further callbacks. Not thread-safe.
///
///     call_ = HttpCall::Builder(endpoint, request)
///         .OnHead([](int status, const HttpHeaders&) { ... })
///         .OnBody([](std::string_view bytes) { ... })
///         .OnEnd([](HttpCallEnd end) { ... })
///         .Start();
class HttpCall {
 public:
  /// Collects the properties of a call.
  class Builder {
   public:
    Builder(Endpoint endpoint, HttpRequest request);
    ~Builder();
    Builder& Timeouts(HttpCallTimeouts times);
    /// Value of the Host header; the endpoint unless set.
    Builder& Host(std::string host);
    /// Asked right before the request is written; when it says no, the call
    /// ends with `kNotConnected`.
    Builder& SendIf(std::function<bool()> condition);
    /// Takes a kept connection when there is one and keeps it afterwards.
    /// Without a pool the connection is a fresh one and closes at the end.
    Builder& Pool(HttpConnectionPool* pool);
    Builder& OnHead(std::function<void(int, const HttpHeaders&)> handler);
    Builder& OnBody(std::function<void(std::string_view)> handler);
    /// Called once, last. The call may be deleted inside the handler.
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

  /// The connection is closed at the end of the call, for instance since an
  /// answer that belongs to another request arrived on it.
  void DisableReuse();

  /// Stops or resumes reading, for a caller that reads slowly.
  void SetPaused(bool paused);

  /// Whether a byte of the request may have left this process.
  [[nodiscard]] bool MayHaveBeenSent() const;

 private:
  explicit HttpCall(std::shared_ptr<Builder::Impl> impl);

  std::shared_ptr<Builder::Impl> impl_;
};

/// Runs a call and gathers the whole answer.
///
/// `done` gets the end of the call, whether the request may have left, and
/// the answer, which is whole only with `HttpCallEnd::kComplete`. The result
/// owns the call: deleting it cancels without callback.
struct HttpFetchResult {
  HttpCallEnd end = HttpCallEnd::kNotConnected;
  bool may_have_been_sent = false;
  HttpResponse answer;
};

std::unique_ptr<HttpCall> HttpFetch(const Endpoint& endpoint,
                                    HttpRequest request, HttpCallTimeouts times,
                                    HttpConnectionPool* pool,
                                    std::function<void(HttpFetchResult)> done);

}  // namespace firmoor

#endif  // FIRMOOR_HTTP_HTTP_CALL_H_
