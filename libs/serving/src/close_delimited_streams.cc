#include "serving/close_delimited_streams.h"

#include <algorithm>

namespace firmoor {
namespace {

// Doublings of the streams that are required of software.
constexpr std::uint32_t kMaxDoublings = 8;

}  // namespace

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
  return evidence.cuts > 0 ? EndDoubt::kCuts : EndDoubt::kFewVerified;
}

CloseDelimitedStreams::Evidence CloseDelimitedStreams::Assess(
    const Record& record, TimePoint now) {
  Evidence evidence;
  evidence.marks_ends = record.has_marked && now - record.marked_at < kMemory;
  const bool was_cut = record.cuts > 0 && now - record.cut_at < kMemory;
  evidence.cuts = was_cut ? record.cuts : 0;
  const bool is_known = now - record.observed_at < kMemory;
  evidence.whole = is_known ? record.whole : 0;
  evidence.was_reset = record.has_reset && now - record.reset_at < kMemory;
  evidence.required = kMinWhole << std::min(evidence.cuts, kMaxDoublings);
  evidence.age = now - record.observed_at;
  return evidence;
}

CloseDelimitedStreams::Evidence CloseDelimitedStreams::EvidenceOf(
    const Writer& writer, TimePoint now) const {
  const auto found = records_.find(writer);
  return Assess(
      found == records_.end() ? Record{.observed_at = now} : found->second,
      now);
}

CloseDelimitedStreams::Record& CloseDelimitedStreams::Observe(
    const Writer& writer, TimePoint now) {
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
  record.whole = evidence.whole;
  record.cuts = evidence.cuts;
  record.has_marked = evidence.marks_ends;
  record.has_reset = evidence.was_reset;
  record.observed_at = now;
  return record;
}

void CloseDelimitedStreams::OnMarked(const Writer& writer, TimePoint now) {
  auto& record = Observe(writer, now);
  record.has_marked = true;
  record.marked_at = now;
}

void CloseDelimitedStreams::OnWhole(const Writer& writer, TimePoint now) {
  auto& record = Observe(writer, now);
  record.whole = std::min(record.whole + 1, kMinWhole << kMaxDoublings);
}

void CloseDelimitedStreams::OnCut(const Writer& writer, TimePoint now) {
  auto& record = Observe(writer, now);
  record.whole = 0;
  record.cuts = std::min(record.cuts + 1, kMaxDoublings);
  record.cut_at = now;
}

void CloseDelimitedStreams::OnReset(const Writer& writer, TimePoint now) {
  auto& record = Observe(writer, now);
  record.has_reset = true;
  record.reset_at = now;
}

EndCredibility CloseDelimitedStreams::Judge(const Writer& writer,
                                            TimePoint now) {
  const auto evidence = EvidenceOf(writer, now);
  if (evidence.whole >= evidence.required) {
    auto& record = Observe(writer, now);
    if (++record.believed < kDuePeriod) return EndCredibility::kTrusted;
    record.believed = 0;
    return EndCredibility::kDue;
  }
  return evidence.cuts > 0 ? EndCredibility::kSuspicious
                           : EndCredibility::kUnproven;
}

EndCredibility CloseDelimitedStreams::JudgeEmpty(const Writer& writer,
                                                 TimePoint now) const {
  const auto evidence = EvidenceOf(writer, now);
  const bool may_be_cut =
      evidence.marks_ends && evidence.whole < evidence.required;
  return may_be_cut ? EndCredibility::kSuspicious : EndCredibility::kShown;
}

}  // namespace firmoor
