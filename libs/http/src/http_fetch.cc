#include "http/http_fetch.h"

#include <utility>

namespace firmoor {

std::unique_ptr<HttpCall> HttpFetch(const Endpoint& endpoint,
                                    HttpRequest request,
                                    HttpCallTimeouts timeouts,
                                    HttpConnectionPool* pool,
                                    std::function<void(HttpFetchResult)> done,
                                    HttpFetchOptions options) {
  const auto response = std::make_shared<HttpResponse>();
  const auto was_reset = std::make_shared<bool>(false);
  HttpCall::Builder builder(endpoint, std::move(request));
  if (options.detects_reset) {
    builder.OnReset([was_reset] { *was_reset = true; });
  }
  return builder.Timeouts(timeouts)
      .Pool(pool)
      .LimitBody(options.max_body_bytes)
      .EndIfSilent(std::move(options.end_if_silent))
      .OnHead([response](int status, const HttpHeaders& headers) {
        response->status = status;
        response->headers = headers;
      })
      .OnBody([response](std::string_view bytes) { response->body += bytes; })
      .OnEnd([response, was_reset, done = std::move(done)](HttpCallEnd end) {
        done({end, end != HttpCallEnd::kNotConnected, std::move(*response),
              *was_reset});
      })
      .Start();
}

}  // namespace firmoor
