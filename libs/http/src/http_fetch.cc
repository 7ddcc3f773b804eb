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
  return HttpCall::Builder(endpoint, std::move(request))
      .Timeouts(timeouts)
      .Pool(pool)
      .LimitBody(options.max_body_bytes)
      .EndIfSilent(std::move(options.end_if_silent))
      .OnHead([response](int status, const HttpHeaders& headers) {
        response->status = status;
        response->headers = headers;
      })
      .OnBody([response](std::string_view bytes) { response->body += bytes; })
      .OnEnd([response, done = std::move(done)](HttpCallEnd end) {
        done({end, end != HttpCallEnd::kNotConnected, std::move(*response)});
      })
      .Start();
}

}  // namespace firmoor
