#include "details/upstream_probe.h"

#include <QPointer>
#include <memory>
#include <utility>

#include "details/gateway_context.h"
#include "http/connect_probe.h"

namespace firmoor::details {

std::string_view NameOf(UpstreamState state) {
  constexpr std::string_view kNames[] = {"runs", "gone", "unknown"};
  return kNames[static_cast<int>(state)];
}

UpstreamState JudgeReport(const HttpFetchResult& result, const Dialect& dialect,
                          std::int64_t born_ms) {
  // A proxy that cannot reach its upstream answers with one of these.
  constexpr int kFirstServerError = 500;
  switch (result.end) {
    case HttpCallEnd::kNoResponse:
    case HttpCallEnd::kTruncated:
      return UpstreamState::kGone;
    case HttpCallEnd::kComplete:
      break;
    default:
      return UpstreamState::kUnknown;
  }
  const auto& answer = result.answer;
  const auto head = dialect.DecodeResponseHead(answer.status, answer.headers);
  if (head.wrong_upstream) return UpstreamState::kGone;
  if (!result.IsEndMarked() || answer.status >= kFirstServerError) {
    return UpstreamState::kUnknown;
  }
  const auto born = dialect.DecodeReport(answer).born_ms;
  const bool is_other = born && born_ms != 0 && *born != born_ms;
  return is_other ? UpstreamState::kGone : UpstreamState::kRuns;
}

void AskUpstream(GatewayContext* context, const UpstreamEntry& upstream,
                 Duration timeout, std::function<void(UpstreamState)> done) {
  if (!context->TakePermit(upstream)) return done(UpstreamState::kUnknown);
  // The callback owns the call until it ends.
  const auto call = std::make_shared<std::unique_ptr<HttpCall>>();
  *call = HttpFetch(
      upstream.endpoint, context->environment.dialect->EncodeReportRequest(),
      {timeout, timeout, timeout}, nullptr,
      [context, upstream, timeout, call,
       alive = QPointer<QObject>(&context->event_context),
       done = std::move(done)](const HttpFetchResult& result) {
        const auto ended = std::move(*call);
        if (!alive) return;
        if (result.end != HttpCallEnd::kNotConnected) {
          return done(JudgeReport(result, *context->environment.dialect,
                                  upstream.born_ms));
        }
        ProbeConnect(upstream.endpoint, timeout,
                     [alive, done](ConnectResult connected) {
                       if (!alive) return;
                       done(connected == ConnectResult::kRefused
                                ? UpstreamState::kGone
                                : UpstreamState::kUnknown);
                     });
      });
}

}  // namespace firmoor::details
