#include "details/upstream_probe.h"

#include <QPointer>
#include <QTimer>
#include <algorithm>
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

/// Asks an upstream for its report, again if it has no room for connections.
/// Kept by its calls and timers.
class UpstreamQuestion : public std::enable_shared_from_this<UpstreamQuestion> {
 public:
  UpstreamQuestion(GatewayContext* context, UpstreamEntry upstream,
                   ServingInstance instance, TimePoint ends_at,
                   std::function<void(UpstreamState)> done)
      : context_(context),
        alive_(&context->event_context),
        upstream_(std::move(upstream)),
        instance_(instance),
        ends_at_(ends_at),
        done_(std::move(done)) {}

  void Ask() {
    if (!context_->TakePermit(upstream_)) return done_(UpstreamState::kUnknown);
    const auto left = TimeLeft();
    call_ = HttpFetch(upstream_.endpoint,
                      context_->environment.dialect->EncodeReportRequest(),
                      {left, left, left}, nullptr,
                      [self = shared_from_this()](const auto& result) {
                        const auto ended = std::move(self->call_);
                        if (self->alive_) self->OnResult(result);
                      },
                      {.detects_reset = true});
  }

 private:
  [[nodiscard]] Duration TimeLeft() const {
    return std::max(ends_at_ - MonotonicNow(), Duration(1));
  }

  void OnResult(const HttpFetchResult& result) {
    if (result.end == HttpCallEnd::kNotConnected) {
      return ProbeListener(context_, upstream_, TimeLeft(), done_);
    }
    if (result.was_reset) return AskAgain();
    done_(JudgeReport(result, *context_->environment.dialect, instance_));
  }

  void AskAgain() {
    const auto pause = std::exchange(pause_, pause_ * 2);
    if (pause >= TimeLeft()) return done_(UpstreamState::kUnknown);
    QTimer::singleShot(pause, alive_.data(),
                       [self = shared_from_this()] { self->Ask(); });
  }

  GatewayContext* context_;
  QPointer<QObject> alive_;  ///< Null once `context_` has ended.
  UpstreamEntry upstream_;
  ServingInstance instance_;
  TimePoint ends_at_;
  std::function<void(UpstreamState)> done_;
  std::unique_ptr<HttpCall> call_;
  Duration pause_{50};
};

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
  const ServingInstance instance{upstream.born_ms,
                                 context->environment.true_time->At(sent_at)};
  std::make_shared<UpstreamQuestion>(context, upstream, instance,
                                     MonotonicNow() + timeout, std::move(done))
      ->Ask();
}

}  // namespace firmoor::details
