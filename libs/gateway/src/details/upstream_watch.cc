#include "details/upstream_watch.h"

#include <utility>

#include "base/text.h"
#include "details/gateway_context.h"
#include "details/upstream_probe.h"

namespace firmoor::details {
namespace {

constexpr Duration kUpdatePeriod{10};
constexpr Duration kAnswerTimeout{1'000};
// A reserve that was refused, or closed as idle, is opened again after this.
constexpr Duration kReservePeriod{1'000};

}  // namespace

UpstreamWatch::Stream::Stream(std::shared_ptr<UpstreamWatch> watch)
    : watch_(std::move(watch)), connection_(watch_->liveness_.Open()) {}

UpstreamWatch::Stream::~Stream() {
  watch_->liveness_.Forget(connection_);
  watch_->undecided_.erase(connection_);
}

void UpstreamWatch::Stream::OnEvent(PreciseTimePoint now) {
  watch_->liveness_.OnEvent(connection_, now);
}

void UpstreamWatch::Stream::OnPaused() {
  watch_->liveness_.OnPaused(connection_);
}

void UpstreamWatch::Stream::OnClosed(bool is_behind_event,
                                     PreciseTimePoint now) {
  watch_->liveness_.OnClosed(connection_, is_behind_event, now);
}

void UpstreamWatch::Stream::OnAnswer(PreciseTimePoint asked_at) {
  watch_->liveness_.OnAnswer(asked_at);
}

void UpstreamWatch::Stream::Decide(std::function<void(CloseOrigin)> done) {
  watch_->undecided_[connection_] = std::move(done);
  watch_->timer_.start(Duration(0));
}

UpstreamWatch::UpstreamWatch(GatewayContext* context, UpstreamEntry upstream,
                             TimePoint sent_at)
    : context_(context), upstream_(std::move(upstream)), sent_at_(sent_at) {
  QObject::connect(&timer_, &QTimer::timeout, &timer_, [this] { Update(); });
}

void UpstreamWatch::Reserve(TimePoint now) {
  const bool is_due = !reserved_at_ || now - *reserved_at_ >= kReservePeriod;
  if (!is_due || is_asking_ || (reserve_ && reserve_->IsOpen())) return;
  reserved_at_ = now;
  reserve_ = std::make_unique<ReservedConnection>(upstream_.endpoint, [this] {
    liveness_.OnReserveClosed(PreciseNow());
    LogReserve("closed");
  });
  LogReserve("opened");
}

void UpstreamWatch::LogReserve(std::string_view change) const {
  context_->environment.log->Write(
      "upstream-reserve",
      {{"upstream", Text(upstream_.id)},
       {"born_ms", static_cast<qint64>(upstream_.born_ms)},
       {"change", Text(change)},
       {"open_streams", static_cast<qint64>(liveness_.open())},
       {"undecided", static_cast<qint64>(undecided_.size())}});
}

void UpstreamWatch::Update() {
  const auto self = shared_from_this();
  timer_.start(kUpdatePeriod);
  const auto now = PreciseNow();
  std::vector<std::pair<std::function<void(CloseOrigin)>, CloseOrigin>> decided;
  bool is_answer_needed = false;
  for (auto item = undecided_.begin(); item != undecided_.end();) {
    const auto origin = liveness_.Judge(item->first, now);
    is_answer_needed = is_answer_needed || origin == CloseOrigin::kNotAsked;
    if (IsDecided(origin)) {
      decided.emplace_back(std::move(item->second), origin);
      item = undecided_.erase(item);
    } else {
      ++item;
    }
  }
  if (undecided_.empty()) timer_.stop();
  if (is_answer_needed && !is_asking_) AskOnReserve();
  if (decided.empty()) return;
  // May delete all streams, and with them this object, whose timer or call is
  // on the stack.
  for (const auto& [done, origin] : decided) done(origin);
  QMetaObject::invokeMethod(
      &context_->event_context, [self] {}, Qt::QueuedConnection);
}

void UpstreamWatch::AskOnReserve() {
  const auto now = PreciseNow();
  // The pool may still hold it from the last time.
  if (reserve_) reserve_->MoveTo(&pool_);
  reserve_.reset();
  if (!context_->TakePermit(upstream_)) return liveness_.OnNoAnswer(now);
  // The call may end before it is returned.
  is_asking_ = true;
  call_ = HttpFetch(
      upstream_.endpoint, context_->environment.dialect->EncodeReportRequest(),
      {kAnswerTimeout, kAnswerTimeout, kAnswerTimeout}, &pool_,
      [this, now](const HttpFetchResult& result) {
        const auto kept = shared_from_this();
        const auto ended = std::move(call_);
        is_asking_ = false;
        OnAnswerOnReserve(result, now, ended && ended->IsOnReusedConnection());
        Update();
      });
}

void UpstreamWatch::OnAnswerOnReserve(const HttpFetchResult& result,
                                      PreciseTimePoint asked_at,
                                      bool is_reserve) {
  const auto& environment = context_->environment;
  const auto state =
      JudgeReport(result, *environment.dialect,
                  {upstream_.born_ms, environment.true_time->At(sent_at_)});
  const bool is_answered = state == UpstreamState::kRuns;
  if (is_reserve) LogReserve(is_answered ? "answered" : "unanswered");
  if (is_answered) return liveness_.OnAnswer(asked_at);
  if (is_reserve && state == UpstreamState::kGone) {
    liveness_.OnReserveClosed(PreciseNow());
  }
  liveness_.OnNoAnswer(asked_at);
}

std::unique_ptr<UpstreamWatch::Stream> UpstreamWatches::Add(
    GatewayContext* context, const UpstreamEntry& upstream, TimePoint sent_at) {
  std::erase_if(watches_,
                [](const auto& item) { return item.second.expired(); });
  auto& known = watches_[{upstream.id, upstream.born_ms}];
  auto watch = known.lock();
  if (!watch) {
    watch = std::make_shared<UpstreamWatch>(context, upstream, sent_at);
    known = watch;
  }
  return std::make_unique<UpstreamWatch::Stream>(std::move(watch));
}

}  // namespace firmoor::details
