#include "resumption/stream_version_book.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace firmoor {
namespace {

// Daemons that hold a record besides the one that began the stream: when a
// third of all daemons is lost at once, 99 % of the records survive.
constexpr std::size_t kHolders = 4;
// Daemons that are asked for a record: a daemon that has left the directory
// since the record was sent moves others up by one.
constexpr std::size_t kAskedHolders = kHolders + 2;
// At the streams per second of a busy daemon and a lifetime of 15 s, ten times
// what the holders of a fleet get.
constexpr std::size_t kMaxRecords = 20'000;
// Longest time of a stream until a configuration tells.
constexpr Duration kDefaultMaxStreamTime{30'000};
// Bounds what callers can claim: a long time keeps records of others out, and
// daemons from being sure that there is none.
constexpr Duration kMaxStreamTime{60'000};
constexpr Duration kMaxReturnBound{61'000};
// Callers that are told to come back later do so within this part of the time
// that they still have, and a little later if they lose connections.
constexpr int kPartToReturn = 3;
constexpr Duration kReturnMargin{1'000};

/// From the begin of a request that lasts for `time` at most, until its caller
/// has come back.
Duration ReturnBound(Duration time) {
  return std::min(time + time / kPartToReturn + kReturnMargin, kMaxReturnBound);
}

/// Collects the records of each daemon in one batch.
class DeliveryBuilder {
 public:
  void Add(const PeerAddress& holder, const StreamRecord& record) {
    auto& delivery = by_daemon_[holder.daemon];
    delivery.holder = holder;
    delivery.batch.records.push_back(record);
  }
  [[nodiscard]] StreamVersionBook::Deliveries Build() && {
    StreamVersionBook::Deliveries deliveries;
    deliveries.reserve(by_daemon_.size());
    for (auto& [daemon, delivery] : by_daemon_) {
      deliveries.push_back(std::move(delivery));
    }
    return deliveries;
  }

 private:
  std::map<std::string, RecordDelivery> by_daemon_;
};

StreamRecord Bounded(StreamRecord record) {
  record.lifetime = std::min(record.lifetime, kMaxReturnBound);
  return record;
}

bool Includes(const std::vector<PeerAddress>& peers,
              const std::string& daemon) {
  return std::any_of(peers.begin(), peers.end(),
                     [&](const auto& peer) { return peer.daemon == daemon; });
}

}  // namespace

StreamVersionBook::StreamVersionBook(std::string daemon, TimePoint started_at)
    : daemon_(std::move(daemon)),
      started_at_(started_at),
      catalog_confirmed_at_(started_at),
      records_(kMaxRecords) {}

void StreamVersionBook::ExtendMaxStreamTime(Duration time) {
  max_stream_time_ = std::max(max_stream_time_, std::min(time, kMaxStreamTime));
}

Duration StreamVersionBook::Horizon() const {
  const bool is_known = max_stream_time_ > Duration(0);
  return ReturnBound(is_known ? max_stream_time_ : kDefaultMaxStreamTime);
}

Duration StreamVersionBook::RecordLifetime(Duration time,
                                           Duration elapsed) const {
  // While daemons draw conclusions from its absence, it must not be dropped.
  return std::max(ReturnBound(time) - elapsed, Horizon());
}

std::set<std::string> StreamVersionBook::SettledVersions(
    const std::string& service, TimePoint now) const {
  const auto found = histories_.find(service);
  const bool is_known =
      found != histories_.end() && IsUpToDate(now - catalog_confirmed_at_);
  if (!is_known) return {};
  return found->second.ListedThroughout(now - Horizon());
}

RecordConfirmation::Need StreamVersionBook::NeedOfRecord(
    const std::string& service, const std::string& version,
    TimePoint now) const {
  using Need = RecordConfirmation::Need;
  // It is among those that other daemons see at the begin of their horizon.
  if (SettledVersions(service, now).contains(version)) return Need::kNone;
  const auto view = ViewOf(service, Horizon(), now);
  return view.recent.size() > 1 ? Need::kRequired : Need::kBrief;
}

std::string StreamVersionBook::VersionWithoutRecord(const std::string& service,
                                                    TimePoint now) const {
  const auto settled = SettledVersions(service, now);
  return settled.size() == 1 ? *settled.begin() : std::string();
}

void StreamVersionBook::OnCatalogConfirmed(TimePoint now) {
  catalog_confirmed_at_ = now;
  catalog_has_failed_ = false;
}

void StreamVersionBook::OnStoreContact(TimePoint at) {
  if (catalog_has_failed_) return;
  catalog_confirmed_at_ = std::max(catalog_confirmed_at_, at);
}

StreamVersionBook::Deliveries StreamVersionBook::OnCatalog(
    const ListedVersions& listed, TimePoint now) {
  auto all = listed;
  for (const auto& [service, history] : histories_) all[service];
  for (const auto& [service, versions] : all) {
    histories_[service].Update(versions, now);
  }
  return SendUnsent(now);
}

StreamVersionBook::Deliveries StreamVersionBook::SendUnsent(TimePoint now) {
  if (directory_.size() == 0) return {};
  std::vector<StreamRecord> unsent;
  for (const auto& [service, history] : histories_) {
    if (!IsRecordNeeded(service, now)) continue;
    const auto records = records_.TakeUnsent(service, now);
    unsent.insert(unsent.end(), records.begin(), records.end());
  }
  return ToHolders(unsent);
}

VersionView StreamVersionBook::ViewOf(const std::string& service,
                                      Duration horizon, TimePoint now) const {
  const auto found = histories_.find(service);
  if (found == histories_.end()) return {};
  return MakeVersionView(found->second, horizon, now - catalog_confirmed_at_,
                         now);
}

bool StreamVersionBook::IsRecordNeeded(const std::string& service,
                                       TimePoint now) const {
  // A daemon that has just started may have missed another version, and nobody
  // could tell it later which version there was.
  const auto view = ViewOf(service, Horizon(), now);
  return hands_over_ || view.recent.size() > 1 || !view.is_complete;
}

StreamVersionBook::Deliveries StreamVersionBook::Record(
    const StreamRecord& record, TimePoint now) {
  if (!IsRecordNeeded(record.service, now) || directory_.size() == 0) {
    records_.PutUnsent(Bounded(record), now);
    return {};
  }
  records_.Put(Bounded(record), now);
  return ToHolders({record});
}

StreamVersionBook::Deliveries StreamVersionBook::Store(const RecordBatch& batch,
                                                       TimePoint now) {
  std::vector<StreamRecord> passed_on;
  for (const auto& record : batch.records) {
    // Daemons that stop at the same time would pass known ones back and forth.
    const bool is_new = !records_.Find(record.key, now);
    if (is_new && hands_over_) passed_on.push_back(record);
    records_.Put(Bounded(record), now);
  }
  return PassOn(passed_on);
}

StreamVersionBook::Deliveries StreamVersionBook::StartHandOver(TimePoint now) {
  hands_over_ = true;
  auto deliveries = ToHolders(records_.TakeUnsent("", now));
  auto passed_on = PassOn(records_.Remaining(now));
  std::move(passed_on.begin(), passed_on.end(), std::back_inserter(deliveries));
  return deliveries;
}

StreamVersionBook::Deliveries StreamVersionBook::ToHolders(
    const std::vector<StreamRecord>& records) const {
  DeliveryBuilder builder;
  for (const auto& record : records) {
    // A daemon that stops can't hold it.
    const auto holders =
        directory_.HoldersOf(record.key, kHolders, hands_over_ ? daemon_ : "");
    for (const auto& holder : holders) {
      if (holder.daemon != daemon_) builder.Add(holder, record);
    }
  }
  return std::move(builder).Build();
}

StreamVersionBook::Deliveries StreamVersionBook::ToSpares(
    const StreamRecord& record) const {
  DeliveryBuilder builder;
  // Only those that are asked: others could not keep a lookup from being wrong.
  const auto asked = directory_.HoldersOf(record.key, kAskedHolders,
                                          hands_over_ ? daemon_ : "");
  for (std::size_t i = kHolders; i < asked.size(); ++i) {
    if (asked[i].daemon != daemon_) builder.Add(asked[i], record);
  }
  return std::move(builder).Build();
}

StreamVersionBook::Deliveries StreamVersionBook::PassOn(
    const std::vector<StreamRecord>& records) const {
  DeliveryBuilder builder;
  for (const auto& record : records) {
    const auto before = directory_.HoldersOf(record.key, kHolders);
    // Once the others have heard of the stop, this daemon is not among them.
    const bool is_listed = directory_.Contains(daemon_);
    if (is_listed && !Includes(before, daemon_)) continue;
    for (const auto& heir :
         directory_.HoldersOf(record.key, kHolders, daemon_)) {
      if (!is_listed || !Includes(before, heir.daemon)) {
        builder.Add(heir, record);
      }
    }
  }
  return std::move(builder).Build();
}

RecordReply StreamVersionBook::Answer(const RecordQuery& query,
                                      TimePoint now) const {
  const auto view = ViewOf(query.service, query.horizon, now);
  RecordReply reply;
  reply.is_confident =
      now - started_at_ >= query.horizon &&
      records_.KeptAllSince(now - query.horizon) &&
      directory_.HeldBySince(query.key, kHolders, daemon_, now - query.horizon);
  reply.sees_several = view.recent.size() > 1;
  reply.only_version = OnlyVersion(view);
  reply.earlier_version = EarlierVersion(view);
  if (const auto own = records_.Find(query.key, now)) {
    reply.is_found = true;
    reply.is_ambiguous = own->is_ambiguous;
    reply.service = own->service;
    reply.version = own->version;
    reply.age = own->age;
  }
  return reply;
}

VersionLookup StreamVersionBook::StartLookup(const std::string& key,
                                             const std::string& service,
                                             TimePoint now) const {
  VersionLookup lookup;
  lookup.is_named = !key.empty();
  // Without the stream's id, the lack of a record says nothing. Others may have
  // heard of a version of which this daemon's list has no news yet.
  const auto place = lookup.is_named ? key : StreamKey("", service);
  lookup.query = {place, service, Horizon()};
  lookup.started_at = now;
  if (lookup.is_named) lookup.Add(Answer(lookup.query, now));
  if (lookup.IsKnown()) return lookup;
  const auto count = lookup.is_named ? kAskedHolders : kHolders;
  const auto asked = directory_.HoldersOf(place, count);
  for (const auto& holder : asked) {
    if (holder.daemon != daemon_) lookup.asked.push_back(holder);
  }
  lookup.result.asked = lookup.asked.size();
  return lookup;
}

VersionDecision StreamVersionBook::Decide(const VersionLookup& lookup,
                                          TimePoint now) const {
  return DecideStreamVersion(
      ViewOf(lookup.query.service, lookup.query.horizon, now), lookup.result);
}

}  // namespace firmoor
