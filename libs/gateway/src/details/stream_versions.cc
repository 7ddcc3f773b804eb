#include "details/stream_versions.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <QTimer>
#include <memory>
#include <set>
#include <utility>
#include <variant>

#include "base/text.h"

namespace firmoor::details {
namespace {

constexpr const char* kRecordsKind = "stream-records";
constexpr const char* kQueryKind = "stream-version";
constexpr Duration kRecordTimeout{1'000};
// A link that is lost for a few seconds keeps no record from arriving.
constexpr int kRecordRepeats = 3;
constexpr Duration kRecordRepeatPeriod{500};
// A timer must not run before the time at which something is decided.
constexpr Duration kTimerMargin{2};
// Beyond what two round trips between regions take.
constexpr Duration kSlowPlacement{100};
// Two round trips between regions, for the connection and the call, and the
// time of a busy daemon. The lack of a record is taken from all that reply, so
// that a reply that is late must not be given up for a daemon that is lost.
constexpr Duration kLookupTimeout{400};

std::string_view NameOf(PeerStatus status) {
  switch (status) {
    case PeerStatus::kOk:
      return "ok";
    case PeerStatus::kNotSent:
      return "not-sent";
    case PeerStatus::kNoResponse:
      return "no-response";
  }
  return "";
}

std::string Join(const std::set<std::string>& names) {
  return fmt::format("{}", fmt::join(names, " "));
}

}  // namespace

/// A question to the holders of a record, until enough have replied.
struct StreamVersions::Lookup {
  VersionLookup state;
  Duration stated{0};
  std::size_t pending = 0;
  Done done;  ///< Empty once it has run.
};

/// A record on its way to its holders.
struct StreamVersions::Placement {
  StreamRecord record;
  RecordConfirmation confirmation;
  Recorded done;  ///< Empty once it has run.
  bool has_spares = false;
  bool is_checked_again = false;
};

StreamVersions::StreamVersions(
    std::string daemon, EventLog* log, TimePoint started_at,
    std::function<std::optional<Duration>(TimePoint)> store_contact_age)
    : log_(log),
      store_contact_age_(std::move(store_contact_age)),
      book_(std::move(daemon), started_at) {}

TimePoint StreamVersions::SyncStoreContact() {
  const auto now = MonotonicNow();
  if (const auto age = store_contact_age_(now)) {
    book_.OnStoreContact(now - *age);
  }
  return now;
}

void StreamVersions::OnCatalog(const UpstreamCatalog& catalog, TimePoint now) {
  StreamVersionBook::ListedVersions listed;
  for (const auto& [id, entry] : catalog.all()) {
    listed[entry.service].insert(entry.software_version);
  }
  Send(book_.OnCatalog(listed, now));
}

std::string StreamVersions::Record(const StreamRecord& record, Recorded done) {
  const auto now = MonotonicNow();
  const auto deliveries = book_.Record(record, now);
  std::set<std::string> holders;
  for (const auto& delivery : deliveries) {
    holders.insert(delivery.holder.daemon);
  }
  const auto placement = std::make_shared<Placement>(
      Placement{record,
                {book_.NeedOfRecord(record.service, record.version, now), now},
                std::move(done)});
  Place(placement, deliveries);
  CheckPlacement(placement);
  return Join(holders);
}

std::string StreamVersions::VersionToBegin(const std::string& service) const {
  if (!is_cut_off_) return {};
  return book_.VersionWithoutRecord(service, MonotonicNow());
}

void StreamVersions::Place(const std::shared_ptr<Placement>& placement,
                           const StreamVersionBook::Deliveries& deliveries) {
  if (!call_peer_) return;
  placement->confirmation.OnSent(deliveries.size());
  Send(deliveries, [this, placement](bool is_taken) {
    if (is_taken) {
      placement->confirmation.OnTaken();
    } else {
      placement->confirmation.OnFailed();
    }
    CheckPlacement(placement);
  });
}

void StreamVersions::CheckPlacement(
    const std::shared_ptr<Placement>& placement) {
  using State = RecordConfirmation::State;
  if (!placement->done) return;
  const auto now = MonotonicNow();
  const auto& confirmation = placement->confirmation;
  if (confirmation.NeedsSpares(now) && !placement->has_spares) {
    placement->has_spares = true;
    Place(placement, book_.ToSpares(placement->record));
    if (!placement->done) return;
  }
  const auto state = confirmation.StateAt(now);
  if (state == State::kPending) {
    if (placement->is_checked_again) return;
    placement->is_checked_again = true;
    for (const auto delay :
         {RecordConfirmation::kPatience, RecordConfirmation::kLimit}) {
      QTimer::singleShot(delay + kTimerMargin, Qt::PreciseTimer,
                         &timer_context_,
                         [this, placement] { CheckPlacement(placement); });
    }
    return;
  }
  if (state == State::kLost) {
    ++records_lost_;
    is_cut_off_ = true;
  }
  if (confirmation.AgeAt(now) >= kSlowPlacement) LogPlacement(*placement, now);
  const auto done = std::exchange(placement->done, nullptr);
  done(state);
}

void StreamVersions::LogPlacement(const Placement& placement,
                                  TimePoint now) const {
  const auto& confirmation = placement.confirmation;
  const bool is_lost =
      confirmation.StateAt(now) == RecordConfirmation::State::kLost;
  log_->Write(
      "stream-record-slow",
      {{"key", Text(placement.record.key)},
       {"service", Text(placement.record.service)},
       {"version", Text(placement.record.version)},
       {"sent", static_cast<qint64>(confirmation.sent())},
       {"taken", static_cast<qint64>(confirmation.taken())},
       {"waited_ms", static_cast<qint64>(confirmation.AgeAt(now).count())},
       {"lost", is_lost}});
}

void StreamVersions::Send(const StreamVersionBook::Deliveries& deliveries,
                          const std::function<void(bool is_taken)>& on_result) {
  if (!call_peer_) return;
  for (const auto& delivery : deliveries) {
    records_sent_ += delivery.batch.records.size();
    Send(delivery, kRecordRepeats, on_result);
  }
}

void StreamVersions::Send(const RecordDelivery& delivery, int repeats,
                          const std::function<void(bool is_taken)>& on_result) {
  call_peer_(delivery.holder.endpoint, kRecordsKind, delivery.batch.Encode(),
             kRecordTimeout,
             [this, delivery, repeats, on_result](PeerStatus status,
                                                  const QByteArray&) {
               const bool is_taken = status == PeerStatus::kOk;
               if (is_taken) is_cut_off_ = false;
               if (on_result) on_result(is_taken);
               if (is_taken) return;
               records_undelivered_ += delivery.batch.records.size();
               LogUndelivered(delivery, status);
               const bool is_present =
                   book_.directory().Contains(delivery.holder.daemon);
               if (repeats == 0 || !is_present) return;
               QTimer::singleShot(kRecordRepeatPeriod, &timer_context_,
                                  [this, delivery, repeats] {
                                    Send(delivery, repeats - 1, nullptr);
                                  });
             });
}

void StreamVersions::LogUndelivered(const RecordDelivery& delivery,
                                    PeerStatus status) const {
  const auto& records = delivery.batch.records;
  log_->Write("stream-records-undelivered",
              {{"to", Text(delivery.holder.daemon)},
               {"status", Text(NameOf(status))},
               {"records", static_cast<qint64>(records.size())},
               {"first_key", Text(records.empty() ? "" : records[0].key)}});
}

void StreamVersions::StartHandOver() {
  Send(book_.StartHandOver(MonotonicNow()));
}

void StreamVersions::Resolve(const std::string& key, const std::string& service,
                             Duration stated_time, Done done) {
  const auto lookup = std::make_shared<Lookup>();
  lookup->state = book_.StartLookup(key, service, SyncStoreContact());
  lookup->stated = stated_time;
  lookup->done = std::move(done);
  AskHolders(lookup);
  if (lookup->pending == 0) Finish(lookup);
}

void StreamVersions::AskHolders(const std::shared_ptr<Lookup>& lookup) {
  if (!call_peer_) return;
  const auto message = lookup->state.query.Encode();
  // Replies may arrive within the calls.
  lookup->pending = lookup->state.asked.size() + 1;
  const auto asked = lookup->state.asked;
  for (const auto& holder : asked) {
    call_peer_(holder.endpoint, kQueryKind, message, kLookupTimeout,
               [this, lookup](PeerStatus status, const QByteArray& bytes) {
                 OnReply(lookup, status, bytes);
               });
  }
  --lookup->pending;
}

void StreamVersions::OnReply(const std::shared_ptr<Lookup>& lookup,
                             PeerStatus status, const QByteArray& bytes) {
  --lookup->pending;
  if (!lookup->done) return;
  // Daemons of an earlier build reply with an empty message.
  if (status == PeerStatus::kOk && !bytes.isEmpty()) {
    const auto decoded = Capture([&] { return RecordReply::Decode(bytes); });
    if (const auto* error = std::get_if<Error>(&decoded)) {
      LogBadMessage(*error);
    } else {
      lookup->state.AddReply(std::get<RecordReply>(decoded));
    }
  }
  if (lookup->state.IsKnown() || lookup->pending == 0) Finish(lookup);
}

void StreamVersions::Finish(const std::shared_ptr<Lookup>& lookup) {
  if (!lookup->done) return;
  const auto done = std::exchange(lookup->done, nullptr);
  const auto now = SyncStoreContact();
  const auto& state = lookup->state;
  Resolution resolution;
  resolution.view = book_.ViewOf(state.query.service, state.query.horizon, now);
  resolution.lookup = state.result;
  resolution.decision = book_.Decide(state, now);
  resolution.record_age = state.record_age;
  resolution.duration = now - state.started_at;
  resolution.key = state.query.key;
  resolution.stated = lookup->stated;
  resolution.horizon = state.query.horizon;
  std::set<std::string> holders;
  for (const auto& holder : state.asked) holders.insert(holder.daemon);
  resolution.holders = Join(holders);
  ++resolved_[resolution.decision.source];
  done(resolution);
}

std::optional<QByteArray> StreamVersions::Serve(std::string_view kind,
                                                const QByteArray& message) {
  if (kind == kQueryKind) return ServeQuery(message);
  if (kind != kRecordsKind) return std::nullopt;
  StoreRecords(message);
  return QByteArray();
}

QByteArray StreamVersions::ServeQuery(const QByteArray& message) {
  const auto decoded = Capture([&] { return RecordQuery::Decode(message); });
  if (const auto* error = std::get_if<Error>(&decoded)) {
    LogBadMessage(*error);
    return {};
  }
  return book_.Answer(std::get<RecordQuery>(decoded), SyncStoreContact())
      .Encode();
}

void StreamVersions::StoreRecords(const QByteArray& message) {
  const auto decoded = Capture([&] { return RecordBatch::Decode(message); });
  if (const auto* error = std::get_if<Error>(&decoded)) {
    return LogBadMessage(*error);
  }
  const auto& batch = std::get<RecordBatch>(decoded);
  records_received_ += batch.records.size();
  Send(book_.Store(batch, MonotonicNow()));
}

void StreamVersions::ApplyDirectory(const DirectoryUpdate& update) {
  const bool follows =
      update.is_full || update.position.term == directory_position_.term;
  if (!follows) return;
  const auto now = MonotonicNow();
  auto& directory = book_.directory();
  if (update.is_full) directory.ExpectConfirmation(now);
  for (const auto& peer : update.added) directory.Add(peer);
  directory.RemoveUnconfirmed(now);
  for (const auto& daemon : update.removed) directory.Remove(daemon, now);
  directory_position_ = update.position;
  Send(book_.OnDirectory(now));
}

std::string StreamVersions::Metrics() const {
  std::string text = fmt::format(
      "firmoor_stream_records {}\n"
      "firmoor_stream_records_sent_total {}\n"
      "firmoor_stream_records_undelivered_total {}\n"
      "firmoor_stream_records_received_total {}\n"
      "firmoor_stream_records_dropped_total {}\n"
      "firmoor_stream_records_lost_total {}\n"
      "firmoor_known_daemons {}\n",
      book_.records().size(), records_sent_, records_undelivered_,
      records_received_, book_.records().dropped(), records_lost_,
      book_.directory().size());
  for (const auto& [source, count] : resolved_) {
    text += fmt::format("firmoor_streams_resumed_total{{source=\"{}\"}} {}\n",
                        NameOf(source), count);
  }
  return text;
}

void StreamVersions::LogResolution(const std::string& request,
                                   const std::string& stream,
                                   const std::string& service,
                                   const Resolution& resolution) const {
  const auto& decision = resolution.decision;
  const auto& lookup = resolution.lookup;
  log_->Write(
      "stream-version",
      {{"request", Text(request)},
       {"stream", Text(stream)},
       {"service", Text(service)},
       {"source", Text(NameOf(decision.source))},
       {"version", Text(decision.version)},
       {"record_age_ms", static_cast<qint64>(resolution.record_age.count())},
       {"lookup_ms", static_cast<qint64>(resolution.duration.count())},
       {"asked", static_cast<qint64>(lookup.asked)},
       {"replied", static_cast<qint64>(lookup.replied)},
       {"without_record", static_cast<qint64>(lookup.confident_misses)},
       {"versions", static_cast<qint64>(resolution.view.recent.size())},
       {"key", Text(resolution.key)},
       {"stated_ms", static_cast<qint64>(resolution.stated.count())},
       {"horizon_ms", static_cast<qint64>(resolution.horizon.count())},
       {"holders", Text(resolution.holders)},
       {"recent", Text(Join(resolution.view.recent))},
       {"earlier", Text(Join(resolution.view.earlier))},
       {"complete", resolution.view.is_complete},
       {"in_records", Text(Join(lookup.versions))},
       {"ambiguous", lookup.is_ambiguous},
       {"others_only", Text(Join(lookup.only_versions))},
       {"others_earlier", Text(Join(lookup.earlier_versions))},
       {"others_see_several", lookup.others_see_several},
       {"catalog_age_ms",
        static_cast<qint64>(resolution.view.catalog_age.count())}});
}

void StreamVersions::LogBadMessage(const Error& error) const {
  log_->Write("stream-record-bad", {{"reason", Text(error.message)}});
}

}  // namespace firmoor::details
