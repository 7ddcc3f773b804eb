#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "stream_fleet_model.h"

namespace firmoor {
namespace {

constexpr const char* kService = "s";
constexpr std::int64_t kMinDelayMs = 1;
constexpr std::int64_t kMaxDelayMs = 15;
constexpr Duration kLookupTimeout{200};
constexpr std::int64_t kMinStreamMs = 2'000;
constexpr std::int64_t kMaxStreamMs = 15'000;
// Time for which a record is kept, as for a route of 30 s.
constexpr Duration kRecordLifetime{31'000};
constexpr int kMaxTries = 3;
constexpr int kMaxPicks = 3;
// Callers come back in their own zone, and daemons go on by themselves after a
// crash, with these probabilities.
constexpr double kSameZoneShare = 0.85;
constexpr double kOwnRetryShare = 0.5;
constexpr Duration kMinRest{500};

}  // namespace

void StreamFleetModel::Count(std::size_t bytes) {
  ++traffic_.messages;
  traffic_.bytes += bytes;
}

void StreamFleetModel::Deliver(std::size_t from,
                               const StreamVersionBook::Deliveries& sent) {
  if (!options_.uses_records) return;
  for (const auto& delivery : sent) {
    const auto& batch = delivery.batch;
    Count(static_cast<std::size_t>(batch.Encode().size()));
    const auto to = daemon_index_.at(delivery.holder.daemon);
    After(RandomTime(kMinDelayMs, kMaxDelayMs), [this, from, to, batch] {
      // What a daemon had not yet sent is lost with it.
      const bool arrives = daemons_[from].book != nullptr &&
                           daemons_[to].book != nullptr &&
                           Reaches(daemons_[from].zone, daemons_[to].zone);
      if (arrives) Deliver(to, daemons_[to].book->Store(batch, now_));
    });
  }
}

std::optional<std::size_t> StreamFleetModel::PickDaemon(std::size_t zone) {
  std::vector<std::size_t> near;
  std::vector<std::size_t> far;
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    const auto& daemon = daemons_[i];
    const bool takes = daemon.book != nullptr && !daemon.is_draining &&
                       Reaches(zone, daemon.zone);
    if (takes) (daemon.zone == zone ? near : far).push_back(i);
  }
  const bool stays = !near.empty() && Uniform() < kSameZoneShare;
  const auto& from = stays || far.empty() ? near : far;
  if (from.empty()) return std::nullopt;
  return from[random_() % from.size()];
}

std::optional<std::size_t> StreamFleetModel::PickUpstream(
    std::size_t index, const std::optional<std::string>& version) {
  const auto& daemon = daemons_[index];
  std::vector<std::size_t> candidates;
  for (const auto listed : daemon.listed) {
    if (!version || upstreams_[listed].version == *version) {
      candidates.push_back(listed);
    }
  }
  std::shuffle(candidates.begin(), candidates.end(), random_);
  int picks = 0;
  for (const auto candidate : candidates) {
    if (++picks > kMaxPicks) break;
    const auto& upstream = upstreams_[candidate];
    if (upstream.is_up && Reaches(daemon.zone, upstream.zone)) return candidate;
  }
  return std::nullopt;
}

void StreamFleetModel::BeginStream() {
  const auto stream = std::make_shared<Stream>();
  stream->id = fmt::format("r{}", ++stream_count_);
  stream->key = StreamKey("workspace", stream->id);
  stream->zone = daemons_[random_() % daemons_.size()].zone;
  const auto daemon = PickDaemon(stream->zone);
  if (!daemon) return;
  const auto upstream = PickUpstream(*daemon, std::nullopt);
  if (!IsCut(daemons_[*daemon].zone)) checker_.OnNew(upstream.has_value());
  if (!upstream) return;
  stream->version = upstreams_[*upstream].version;
  stream->ends_at = now_ + RandomTime(kMinStreamMs, kMaxStreamMs);
  Deliver(*daemon,
          daemons_[*daemon].book->Record(
              {stream->key, kService, stream->version, kRecordLifetime}, now_));
  Serve(stream, *daemon, *upstream);
}

void StreamFleetModel::Serve(const StreamPtr& stream, std::size_t daemon,
                             std::size_t upstream) {
  stream->daemon = daemon;
  stream->upstream = upstream;
  stream->is_running = true;
  stream->ends_at = std::max(stream->ends_at, now_ + kMinRest);
  running_[stream->id] = stream;
  checker_.OnEvents(stream->id, kService, upstreams_[upstream].version);
  After(stream->ends_at - now_, [this, stream] {
    if (!stream->is_running || stream->ends_at > now_) return;
    stream->is_running = false;
    running_.erase(stream->id);
  });
}

void StreamFleetModel::Break(const StreamPtr& stream) {
  stream->is_running = false;
  running_.erase(stream->id);
  const bool daemon_goes_on =
      daemons_[stream->daemon].book != nullptr &&
      Reaches(stream->zone, daemons_[stream->daemon].zone) &&
      Uniform() < kOwnRetryShare;
  if (daemon_goes_on) {
    const auto version =
        options_.uses_records ? std::optional(stream->version) : std::nullopt;
    if (const auto next = PickUpstream(stream->daemon, version)) {
      return Serve(stream, stream->daemon, *next);
    }
  }
  stream->tries = 0;
  After(RandomTime(50, 500), [this, stream] { Resume(stream); });
}

bool StreamFleetModel::IsCounted(const Stream& stream,
                                 std::size_t index) const {
  const auto& daemon = daemons_[index];
  if (now_ < daemon.cut_until || IsCut(daemon.zone)) return false;
  const auto serving = std::count_if(
      upstreams_.begin(), upstreams_.end(), [&](const auto& upstream) {
        return upstream.is_up && upstream.is_listed &&
               upstream.version == stream.version &&
               Reaches(daemon.zone, upstream.zone);
      });
  return serving >= 2;
}

void StreamFleetModel::Resume(const StreamPtr& stream) {
  ++stream->tries;
  const auto daemon = PickDaemon(stream->zone);
  if (!daemon) return RetryLater(stream);
  if (IsCounted(*stream, *daemon)) checker_.OnResumed(stream->id);
  if (!options_.uses_records) return GoOn(stream, *daemon, std::nullopt);
  Ask(stream, *daemon);
}

void StreamFleetModel::Ask(const StreamPtr& stream, std::size_t daemon) {
  const auto question = std::make_shared<Question>();
  question->stream = stream;
  question->daemon = daemon;
  question->lookup =
      daemons_[daemon].book->StartLookup(stream->key, kService, now_);
  question->pending = question->lookup.asked.size();
  if (question->pending == 0) return Decide(question);
  for (const auto& asked : question->lookup.asked) {
    Count(static_cast<std::size_t>(question->lookup.query.Encode().size()));
    const auto to = daemon_index_.at(asked.daemon);
    const bool is_reached = daemons_[to].book != nullptr &&
                            Reaches(daemons_[daemon].zone, daemons_[to].zone);
    if (!is_reached) {
      After(kLookupTimeout,
            [this, question] { OnReply(question, std::nullopt); });
      continue;
    }
    After(RandomTime(kMinDelayMs, kMaxDelayMs), [this, question, to] {
      const auto& book = daemons_[to].book;
      if (book == nullptr) {
        return After(kLookupTimeout,
                     [this, question] { OnReply(question, std::nullopt); });
      }
      const auto reply = book->Answer(question->lookup.query, now_);
      Count(static_cast<std::size_t>(reply.Encode().size()));
      After(RandomTime(kMinDelayMs, kMaxDelayMs),
            [this, question, reply] { OnReply(question, reply); });
    });
  }
}

void StreamFleetModel::OnReply(const std::shared_ptr<Question>& question,
                               const std::optional<RecordReply>& reply) {
  --question->pending;
  if (question->is_done) return;
  if (reply) question->lookup.AddReply(*reply);
  if (question->lookup.IsKnown() || question->pending == 0) Decide(question);
}

void StreamFleetModel::Decide(const std::shared_ptr<Question>& question) {
  question->is_done = true;
  const auto& book = daemons_[question->daemon].book;
  if (book == nullptr) return RetryLater(question->stream);
  const auto decision = book->Decide(question->lookup, now_);
  ++decided_[decision.source];
  if (decision.source == VersionSource::kUnknown) {
    return RetryLater(question->stream);
  }
  GoOn(question->stream, question->daemon, decision.version);
}

void StreamFleetModel::GoOn(const StreamPtr& stream, std::size_t daemon,
                            const std::optional<std::string>& version) {
  const auto upstream = PickUpstream(daemon, version);
  if (!upstream) return RetryLater(stream);
  checker_.OnWentOn(stream->id);
  Serve(stream, daemon, *upstream);
}

void StreamFleetModel::RetryLater(const StreamPtr& stream) {
  if (stream->tries >= kMaxTries) return;
  After(RandomTime(300, 1'000), [this, stream] { Resume(stream); });
}

}  // namespace firmoor
