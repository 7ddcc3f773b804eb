#ifndef FIRMOOR_HTTP_HTTP_FETCH_H_
#define FIRMOOR_HTTP_HTTP_FETCH_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "http/http_call.h"

namespace firmoor {

/// How `HttpFetch` ended; `answer` is complete only with
/// `HttpCallEnd::kComplete`.
struct HttpFetchResult {
  HttpCallEnd end = HttpCallEnd::kNotConnected;
  bool may_have_been_sent = false;
  HttpResponse answer;
  bool was_reset = false;  ///< Before the head, if that is asked for.

  /// Whether the response has a length or chunks. The end of any other one is
  /// an orderly close, as when its sender dies.
  [[nodiscard]] bool IsEndMarked() const {
    return !HeaderValue(answer.headers, "Content-Length").empty() ||
           !HeaderValue(answer.headers, "Transfer-Encoding").empty();
  }
};

/// What a fetch may do beyond its time-outs.
struct HttpFetchOptions {
  /// The fetch ends with `HttpCallEnd::kTooLarge` beyond this many bytes. The
  /// default holds a load report or the result of an order.
  std::uint64_t max_body_bytes = 1024 * 1024;
  /// See `HttpCall::Builder::EndIfSilent`.
  std::function<bool()> end_if_silent = {};
  /// Tell a reset before the head from an orderly close, which takes one more
  /// descriptor.
  bool detects_reset = false;
};

/// Runs a call and collects the complete response, which it passes to `done`.
/// Deleting the returned call cancels it without a callback.
std::unique_ptr<HttpCall> HttpFetch(const Endpoint& endpoint,
                                    HttpRequest request,
                                    HttpCallTimeouts timeouts,
                                    HttpConnectionPool* pool,
                                    std::function<void(HttpFetchResult)> done,
                                    HttpFetchOptions options = {});

}  // namespace firmoor

#endif  // FIRMOOR_HTTP_HTTP_FETCH_H_
