#include <algorithm>
#include <utility>

#include "details/exchange.h"
#include "gateway/refusal.h"

namespace firmoor::details {
namespace {

// Another daemon may reach one that holds the record.
constexpr Duration kOtherDaemonRetryDelay{20};

}  // namespace

void Exchange::ResolveVersion() {
  context_->stream_versions.Resolve(
      request_.resumed_id.empty() ? "" : KeyOfStream(), service_,
      request_.caller_timeout.value_or(Duration(0)),
      [weak = weak_from_this()](const StreamVersions::Resolution& resolution) {
        if (const auto self = weak.lock()) self->OnVersionResolved(resolution);
      });
}

void Exchange::OnVersionResolved(const StreamVersions::Resolution& resolution) {
  if (finished_) return;
  const auto& decision = resolution.decision;
  context_->stream_versions.LogResolution(request_.id, request_.resumed_id,
                                          service_, resolution);
  if (decision.source == VersionSource::kUnknown) {
    const bool others_may_know =
        resolution.lookup.replied < resolution.lookup.asked;
    return Refuse(
        ResultCode::kStreamVersionUnknown, "", RequestOutcome::kNotRun,
        others_may_know ? std::optional(kOtherDaemonRetryDelay) : std::nullopt);
  }
  version_ = decision.version;
  // Also renews the record, as the caller's time may begin anew.
  RecordVersion();
  if (!context_->picker.HasVersion(service_, *version_)) {
    return RefuseWithoutUpstream(false);
  }
  ChargeQuota(true);
}

std::string Exchange::KeyOfStream() const {
  return StreamKey(
      admission_.workspace == nullptr ? "" : admission_.workspace->name,
      request_.StreamId());
}

void Exchange::BindVersion() {
  version_ = writer_->upstream.software_version;
  if (!admission_.route->is_resumable) return;
  responder_->Hold();
  RecordVersion([weak = weak_from_this(), responder = responder_,
                 id = request_.id](RecordConfirmation::State state) {
    if (state == RecordConfirmation::State::kMade) return responder->Release();
    if (const auto self = weak.lock()) self->OnRecordLost();
    responder->Replace(
        MakeGatewayRefusal({{ResultCode::kUpstreamOutcomeUnknown,
                             "No other daemon could be told of the stream"},
                            RequestOutcome::kUnknown,
                            std::nullopt},
                           id));
  });
  RecordDoubt();
}

void Exchange::OnRecordLost() {
  if (finished_) return;
  const auto self = shared_from_this();
  LogCut("daemon", "stream-record-lost");
  Finish(ResultCode::kUpstreamOutcomeUnknown, NameOf(RequestOutcome::kUnknown));
}

void Exchange::RecordVersion(StreamVersions::Recorded done) {
  const auto time = std::max(request_.caller_timeout.value_or(Duration(0)),
                             admission_.route->timeout);
  auto& versions = context_->stream_versions;
  record_holders_ = versions.Record(
      {KeyOfStream(), service_, *version_,
       versions.RecordLifetime(time, MonotonicNow() - started_at_)},
      std::move(done));
}

void Exchange::OnUpstreamReplaced(const std::string& upstream) {
  if (finished_ || !version_) return;
  const auto self = shared_from_this();
  if (writer_ && writer_->upstream.id == upstream) RecordDoubt();
  const bool is_doubtful = IsVersionDoubtful();
  const auto attempts = attempts_.all();
  for (const auto& attempt : attempts) {
    const bool wrote = writer_ && writer_->upstream == attempt->upstream() &&
                       writer_->sent_at == attempt->sent_at();
    if (!wrote && (is_doubtful || attempt->MayHaveReachedOtherVersion())) {
      attempt->End(HttpCallEnd::kCancelled);
    }
  }
  // Other daemons were asked for the version that is in doubt now.
  if (finished_ || !is_doubtful || !attempts_.AnyDelegated()) return;
  EndDelegations();
  GoOn();
}

void Exchange::RecordDoubt() {
  if (!admission_.route->is_resumable || !IsVersionDoubtful()) return;
  // Records that contradict each other forbid to resume the stream.
  const auto bound = std::exchange(
      version_, context_->catalog.Find(writer_->upstream.id)->software_version);
  RecordVersion();
  version_ = bound;
}

bool Exchange::IsVersionDoubtful() const {
  return writer_ && MayHaveReachedOtherVersion(*context_, writer_->upstream,
                                               writer_->sent_at);
}

int Exchange::PriorityOfAttempt() const {
  // A caller that has a part of a stream has waited already.
  const bool goes_on = request_.IsResumed() || answer_started_;
  const int priority = shortage_priority_.value_or(admission_.Priority());
  return std::max(0, priority - (goes_on ? 1 : 0));
}

}  // namespace firmoor::details
