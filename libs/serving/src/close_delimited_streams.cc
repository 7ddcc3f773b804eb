#include "serving/close_delimited_streams.h"

#include <algorithm>
#include <tuple>

namespace firmoor {

std::string_view NameOf(EndCredibility credibility) {
  constexpr std::string_view kNames[] = {"shown", "trusted", "due", "unproven",
                                         "suspicious"};
  return kNames[static_cast<int>(credibility)];
}

std::string_view NameOf(EndDoubt doubt) {
  constexpr std::string_view kNames[] = {"none", "no-process", "leaving",
                                         "cuts", "empty",      "few-verified"};
  return kNames[static_cast<int>(doubt)];
}

EndDoubt CloseDelimitedStreams::DoubtOf(const Evidence& evidence) {
  if (evidence.whole >= evidence.required) return EndDoubt::kNone;
  return evidence.may_cut ? EndDoubt::kCuts : EndDoubt::kFewVerified;
}

TimePoint CloseDelimitedStreams::CutAt(const Record& record) {
  const bool is_own = record.own.cuts > record.counted.cuts;
  return is_own ? std::max(record.own_cut_at, record.fleet_cut_at)
                : record.fleet_cut_at;
}

CloseDelimitedStreams::Evidence CloseDelimitedStreams::Assess(
    const Record& record, TimePoint now) {
  Evidence evidence;
  evidence.marks_ends = record.has_marked && now - record.marked_at < kMemory;
  evidence.was_reset = record.has_reset && now - record.reset_at < kMemory;
  evidence.age = now - record.observed_at;
  const auto& [own, counted] = std::tie(record.own, record.counted);
  const auto own_cuts = own.cuts - std::min(own.cuts, counted.cuts);
  const auto own_whole = own.whole - std::min(own.whole, counted.whole);
  const auto cuts = record.fleet.cuts + own_cuts;
  const auto whole = own_cuts > 0 ? std::uint64_t{own.whole_since_cut}
                                  : record.fleet.whole + own_whole;
  if (now - CutAt(record) < kMemory) {
    evidence.cuts =
        static_cast<std::uint32_t>(std::min<std::uint64_t>(cuts, kMaxCuts));
  }
  if (evidence.age < kMemory) {
    evidence.whole =
        static_cast<std::uint32_t>(std::min<std::uint64_t>(whole, kMaxWhole));
  }
  evidence.settled = kMinWholeAfterCut << evidence.cuts;
  evidence.may_cut = record.fault.MayGoOn(now);
  evidence.required = evidence.may_cut ? evidence.settled : kMinWhole;
  return evidence;
}

CloseDelimitedStreams::Evidence CloseDelimitedStreams::EvidenceOf(
    const Writer& writer, TimePoint now) const {
  const auto found = records_.find(writer);
  return Assess(
      found == records_.end() ? Record{.observed_at = now} : found->second,
      now);
}

CloseDelimitedStreams::Record& CloseDelimitedStreams::Find(const Writer& writer,
                                                           TimePoint now) {
  const auto found = records_.find(writer);
  if (found == records_.end()) {
    if (records_.size() >= kMaxWriters) {
      records_.erase(std::min_element(
          records_.begin(), records_.end(), [](const auto& a, const auto& b) {
            return a.second.observed_at < b.second.observed_at;
          }));
    }
    return records_[writer] = Record{.observed_at = now};
  }
  auto& record = found->second;
  const auto evidence = Assess(record, now);
  record.has_marked = evidence.marks_ends;
  record.has_reset = evidence.was_reset;
  if (evidence.age >= kMemory) {
    record.own = {};
    record.counted = {};
    record.fleet = {};
  }
  return record;
}

CloseDelimitedStreams::Record& CloseDelimitedStreams::Observe(
    const Writer& writer, TimePoint now) {
  auto& record = Find(writer, now);
  record.observed_at = now;
  return record;
}

void CloseDelimitedStreams::OnMarked(const Writer& writer, TimePoint now) {
  auto& record = Observe(writer, now);
  record.has_marked = true;
  record.marked_at = now;
}

void CloseDelimitedStreams::AddEnd(Record* record, const std::string& upstream,
                                   bool is_cut, TimePoint now) {
  std::erase_if(record->ends_of,
                [now](const auto& entry) { return entry.second.IsEmpty(now); });
  if (!upstream.empty()) record->ends_of[upstream].Add(is_cut, now);
}

bool CloseDelimitedStreams::MayBeCut(const Record& record,
                                     const std::string& upstream,
                                     TimePoint now) {
  if (!record.cuts_between.MayGoOn(now)) return false;
  const auto own = record.ends_of.find(upstream);
  return own == record.ends_of.end() || !own->second.AreWhole(kMinWhole, now);
}

void CloseDelimitedStreams::OnWhole(const Writer& writer,
                                    const std::string& upstream,
                                    TimePoint now) {
  auto& record = Observe(writer, now);
  AddEnd(&record, upstream, false, now);
  record.returns -= std::min(record.returns, 1U);
  auto& own = record.own;
  ++own.whole;
  own.whole_since_cut = std::min(own.whole_since_cut + 1, kMaxWhole);
}

CloseDelimitedStreams::Record& CloseDelimitedStreams::ObserveCut(
    const Writer& writer, TimePoint now) {
  auto& record = Observe(writer, now);
  ++record.own.cuts;
  record.own.whole_since_cut = 0;
  record.own_cut_at = now;
  record.fault.OnSeen(now);
  return record;
}

void CloseDelimitedStreams::OnCut(const Writer& writer,
                                  const std::string& upstream, TimePoint now) {
  auto& record = ObserveCut(writer, now);
  record.cuts_between.OnSeen(now);
  record.own_cut_between_at = now;
  AddEnd(&record, upstream, true, now);
}

void CloseDelimitedStreams::OnClosedWithinEvent(const Writer& writer,
                                                const std::string& /*upstream*/,
                                                TimePoint now) {
  ObserveCut(writer, now);
}

void CloseDelimitedStreams::OnReset(const Writer& writer,
                                    const std::string& /*upstream*/,
                                    TimePoint now) {
  auto& record = Observe(writer, now);
  record.has_reset = true;
  record.reset_at = now;
}

void CloseDelimitedStreams::OnDeparture(const Writer& writer,
                                        CloseOrigin origin, TimePoint now) {
  // Says nothing of streams of upstreams that stay, and renews nothing of them.
  auto& record = Find(writer, now);
  if (origin == CloseOrigin::kExit) {
    record.has_exited = true;
    record.exited_at = now;
    record.ended_by_leaving = 0;
  } else if (origin == CloseOrigin::kProcess ||
             origin == CloseOrigin::kBehindEvent) {
    record.ended_by_leaving = std::min(record.ended_by_leaving + 1, kMinWhole);
    record.ended_by_leaving_at = now;
  }
}

bool CloseDelimitedStreams::TakeReturn(const Writer& writer, TimePoint now) {
  auto& record = Find(writer, now);
  const auto evidence = Assess(record, now);
  if (evidence.whole + record.returns >= evidence.required) return false;
  ++record.returns;
  return true;
}

void CloseDelimitedStreams::ForgetReturns(const Writer& writer) {
  const auto found = records_.find(writer);
  if (found != records_.end()) found->second.returns = 0;
}

StreamEndReports CloseDelimitedStreams::Report(TimePoint now) const {
  StreamEndReports reports;
  for (const auto& [writer, record] : records_) {
    const auto evidence = Assess(record, now);
    const bool is_known = evidence.whole > 0 || evidence.cuts > 0;
    if (!is_known || evidence.age >= kMemory) continue;
    const auto cut_age = evidence.cuts > 0 ? now - CutAt(record) : Duration(0);
    StreamEndState known{evidence.whole, evidence.cuts, cut_age, evidence.age};
    if (record.own_cut_between_at) {
      known.cut_between_age = now - *record.own_cut_between_at;
    }
    reports[writer] = {known, record.own};
  }
  return reports;
}

std::vector<CloseDelimitedStreams::Writer> CloseDelimitedStreams::Apply(
    const StreamEndReplies& replies, TimePoint now) {
  std::vector<Writer> changed;
  for (const auto& [writer, reply] : replies) {
    const auto before = DoubtOf(EvidenceOf(writer, now));
    auto& record = Find(writer, now);
    record.fleet = reply.fleet;
    record.fleet_cut_at =
        reply.fleet.cuts > 0 ? now - reply.fleet.cut_age : TimePoint{};
    if (reply.fleet.cuts > 0) record.fault.OnSeen(record.fleet_cut_at);
    if (const auto cut_age = reply.fleet.cut_between_age) {
      record.cuts_between.OnSeen(now - *cut_age);
    }
    record.counted = reply.counted;
    record.observed_at = std::max(record.observed_at, now - reply.fleet.age);
    if (DoubtOf(Assess(record, now)) != before) changed.push_back(writer);
  }
  return changed;
}

EndCredibility CloseDelimitedStreams::Judge(const Writer& writer,
                                            const std::string& upstream,
                                            TimePoint now) {
  const auto evidence = EvidenceOf(writer, now);
  if (evidence.whole >= evidence.required) {
    auto& record = Observe(writer, now);
    const bool is_sampled = evidence.whole >= evidence.settled;
    if (is_sampled && ++record.believed < kDuePeriod) {
      return EndCredibility::kTrusted;
    }
    record.believed = 0;
    return EndCredibility::kDue;
  }
  const auto found = records_.find(writer);
  const bool may_be_cut =
      found != records_.end() && MayBeCut(found->second, upstream, now);
  return may_be_cut ? EndCredibility::kSuspicious : EndCredibility::kUnproven;
}

EndCredibility CloseDelimitedStreams::JudgeUnattended(const Writer& writer,
                                                      CloseOrigin origin,
                                                      TimePoint now) const {
  const auto found = records_.find(writer);
  const auto record = found == records_.end() ? Record{} : found->second;
  const bool has_exited = record.has_exited && now - record.exited_at < kMemory;
  const bool may_cut = record.fault.MayGoOn(now);
  const bool ends_streams = record.ended_by_leaving >= kMinWhole &&
                            now - record.ended_by_leaving_at < kMemory;
  const bool is_likely =
      origin == CloseOrigin::kBehindEvent ||
      (origin == CloseOrigin::kEitherOne && ends_streams && !has_exited);
  return is_likely && !may_cut ? EndCredibility::kUnproven
                               : EndCredibility::kSuspicious;
}

EndCredibility CloseDelimitedStreams::JudgeEmpty(const Writer& writer,
                                                 int earlier_closes,
                                                 TimePoint now) const {
  const auto evidence = EvidenceOf(writer, now);
  const bool is_believed =
      (earlier_closes > 0 && DoubtOf(evidence) == EndDoubt::kNone) ||
      (earlier_closes >= kMinEarlierCloses && !evidence.may_cut);
  return evidence.marks_ends && !is_believed ? EndCredibility::kSuspicious
                                             : EndCredibility::kShown;
}

}  // namespace firmoor
