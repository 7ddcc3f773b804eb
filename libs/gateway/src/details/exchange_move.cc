#include <algorithm>
#include <utility>

#include "base/text.h"
#include "details/exchange.h"

namespace firmoor::details {
namespace {

// Time before an engine's shutdown at which its requests are moved: late, so
// that most have finished and little is copied, but early enough to copy the KV
// caches of a full batch one after the other (20 ms per prompt).
constexpr Duration kMoveLeadTime{1'100};
// Time after which a request with two attempts is looked at again.
constexpr Duration kMoveRetryDelay{100};
constexpr HttpCallTimeouts kMoveTimeouts{Duration(300), Duration(1'500),
                                         Duration(1'500)};

}  // namespace

void Exchange::OnUpstreamEnding(const std::string& upstream, TimePoint ends_at,
                                std::int64_t tokens_per_event) {
  if (finished_ || !attempts_.HasAttemptAt(upstream)) return;
  const auto wait =
      std::max(ends_at - MonotonicNow() - kMoveLeadTime, Duration(0));
  ScheduleMove(upstream, wait, ends_at, tokens_per_event);
}

void Exchange::ScheduleMove(const std::string& source, Duration wait,
                            TimePoint ends_at, std::int64_t tokens_per_event) {
  QTimer::singleShot(wait, &timer_, [this, source, ends_at, tokens_per_event] {
    StartMove(source, ends_at, tokens_per_event);
  });
}

bool Exchange::WillFinishBefore(TimePoint ends_at,
                                std::int64_t tokens_per_event) const {
  if (!first_event_) return false;
  const auto now = MonotonicNow();
  const auto remaining = RemainingGenerationTime(
      request_, {events_, tokens_per_event, now - *first_event_});
  return remaining && now + *remaining < ends_at;
}

void Exchange::StartMove(const std::string& source, TimePoint ends_at,
                         std::int64_t tokens_per_event) {
  if (finished_) return;
  if (race_.in_flight() > 1) {
    // One of them is about to take over.
    const bool has_time = MonotonicNow() + kMoveRetryDelay < ends_at;
    if (has_time) {
      ScheduleMove(source, kMoveRetryDelay, ends_at, tokens_per_event);
    }
    return;
  }
  if (attempts_.all().empty()) return;
  const auto attempt = attempts_.all().front();
  const auto& upstream = attempt->upstream();
  const bool is_streaming = upstream.id == source &&
                            attempt->is_event_stream() && answer_started_ &&
                            HasPlace() && !move_;
  if (!is_streaming || WillFinishBefore(ends_at, tokens_per_event)) return;
  auto pick = MakePickRequest();
  pick.exclude = {source};
  const auto target = context_->picker.Pick(pick, MonotonicNow());
  // The order to move is a request to the upstream as well.
  if (!target || !context_->TakePermit(upstream)) return;
  const auto self = shared_from_this();
  move_.emplace();
  move_->attempt = attempt->number();
  ordered_attempt_ = attempt->number();
  HttpFetchOptions options;
  options.end_if_silent = [this] {
    // The engine may still be copying.
    move_->is_silent = true;
    if (move_->end) race_.OnSilent(move_->attempt);
    StartBeside();
    return false;
  };
  move_->call = HttpFetch(
      upstream.endpoint,
      context_->environment.dialect->EncodeMoveRequest(request_.id,
                                                       target->endpoint),
      kMoveTimeouts, &context_->pool,
      [this, target = *target](const HttpFetchResult& result) {
        OnMoveResult(result, target);
      },
      std::move(options));
}

void Exchange::OnMoveResult(const HttpFetchResult& result,
                            const UpstreamEntry& target) {
  if (finished_) return;
  const auto self = shared_from_this();
  const auto move = std::exchange(move_, std::nullopt);
  const auto source = attempts_.Find(move->attempt);
  if (!source) return;
  MoveResult moved;
  if (result.end == HttpCallEnd::kComplete) {
    moved = context_->environment.dialect->DecodeMoveResponse(result.answer);
  }
  context_->environment.log->Write("move",
                                   {{"request", Text(request_.id)},
                                    {"from", Text(source->upstream().id)},
                                    {"to", Text(target.id)},
                                    {"status", result.answer.status},
                                    {"stopped", moved.stopped},
                                    {"copied", moved.copied},
                                    {"events", static_cast<qint64>(events_)}});
  // Any other answer leaves open whether the order stops the stream.
  if (moved.has_ended) ordered_attempt_ = 0;
  if (moved.stopped) {
    const auto* entry = context_->catalog.Find(target.id);
    const bool was_replaced =
        entry != nullptr && entry->born_ms != target.born_ms;
    const bool can_move = moved.copied && !was_replaced;
    return ContinueAt(source, can_move ? target : source->upstream(),
                      moved.handle);
  }
  if (!move->end) return;
  OnEnd(*source, *move->end);
}

void Exchange::ContinueAt(const std::shared_ptr<UpstreamAttempt>& source,
                          const UpstreamEntry& upstream,
                          const std::string& handle) {
  attempts_.Remove(source->number());
  race_.OnCancelled(source->number(), true, false);
  source->Release(UpstreamOutcome::kNeutral, false, MonotonicNow());
  // An attempt beside the source goes on there already.
  if (attempts_.HasAttemptAt(upstream.id)) return;
  TakeRetry();
  Send(upstream, KvCacheCopy{source->upstream().endpoint, handle});
}

}  // namespace firmoor::details
