#include "details/upstream_probe.h"

#include <QPointer>
#include <memory>
#include <utility>

#include "details/gateway_context.h"
#include "http/connect_probe.h"

namespace firmoor::details {
namespace {

/// Whether the reporting instance may have been born after the request was sent
/// to the one that served it.
bool IsBornLater(const EngineReport& report, const ServingInstance& instance) {
  if (!report.born_ms || *report.born_ms == instance.born_ms) return false;
  // A registration may be older than the instance that served.
  return instance.born_ms == 0
             ? *report.born_ms > instance.sent_ms + kClockToleranceMs
             : *report.born_ms > instance.sent_ms - kClockToleranceMs;
}

}  // namespace

std::string_view NameOf(UpstreamState state) {
  constexpr std::string_view kNames[] = {"runs", "gone", "unknown"};
  return kNames[static_cast<int>(state)];
}

UpstreamState JudgeReport(const HttpFetchResult& result, const Dialect& dialect,
                          const ServingInstance& instance) {
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
  const auto report = dialect.DecodeReport(answer);
  const bool is_whole =
      result.IsEndMarked() || report.born_ms || report.load.has_value();
  if (!is_whole || answer.status >= kFirstServerError) {
    return UpstreamState::kUnknown;
  }
  return IsBornLater(report, instance) ? UpstreamState::kGone
                                       : UpstreamState::kRuns;
}

void ProbeListener(GatewayContext* context, const UpstreamEntry& upstream,
                   Duration timeout, std::function<void(UpstreamState)> done) {
  ProbeConnect(upstream.endpoint, timeout,
               [alive = QPointer<QObject>(&context->event_context),
                done = std::move(done)](ConnectResult result) {
                 if (!alive) return;
                 done(result == ConnectResult::kRefused
                          ? UpstreamState::kGone
                          : UpstreamState::kUnknown);
               });
}

void AskUpstream(GatewayContext* context, const UpstreamEntry& upstream,
                 TimePoint sent_at, Duration timeout,
                 std::function<void(UpstreamState)> done) {
  if (!context->TakePermit(upstream)) return done(UpstreamState::kUnknown);
  const ServingInstance instance{upstream.born_ms,
                                 context->environment.true_time->At(sent_at)};
  // The callback owns the call until it ends.
  const auto call = std::make_shared<std::unique_ptr<HttpCall>>();
  *call = HttpFetch(
      upstream.endpoint, context->environment.dialect->EncodeReportRequest(),
      {timeout, timeout, timeout}, nullptr,
      [context, upstream, instance, timeout, call,
       alive = QPointer<QObject>(&context->event_context),
       done = std::move(done)](const HttpFetchResult& result) {
        const auto ended = std::move(*call);
        if (!alive) return;
        if (result.end == HttpCallEnd::kNotConnected) {
          return ProbeListener(context, upstream, timeout, done);
        }
        done(JudgeReport(result, *context->environment.dialect, instance));
      });
}

}  // namespace firmoor::details
