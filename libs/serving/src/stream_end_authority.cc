#include "serving/stream_end_authority.h"

#include <algorithm>

#include "serving/close_delimited_streams.h"

namespace firmoor {
namespace {

// A daemon that has not reported for this time has ended.
constexpr Duration kRetention{60'000};

std::optional<Duration> AgeOf(std::optional<TimePoint> at, TimePoint now) {
  if (!at) return std::nullopt;
  return now - *at;
}

}  // namespace

void StreamEndAuthority::Join(const StreamWriterId& writer,
                              const StreamEndState& known, TimePoint now) {
  auto& state = writers_[writer];
  const bool is_later_cut =
      known.cuts > 0 && now - known.cut_age > state.cut_at;
  if (known.cuts > state.cuts || (known.cuts == state.cuts && is_later_cut)) {
    state.whole = known.whole;
  } else if (known.cuts == state.cuts) {
    state.whole = std::max(state.whole, known.whole);
  }
  if (known.cuts > 0) {
    state.cut_at = state.cuts > 0 ? std::max(state.cut_at, now - known.cut_age)
                                  : now - known.cut_age;
  }
  state.cuts = std::max(state.cuts, known.cuts);
}

void StreamEndAuthority::Add(const StreamWriterId& writer,
                             const StreamEndReport& report,
                             const StreamEndTotals& counted, TimePoint now) {
  auto& state = writers_[writer];
  const auto& own = report.own;
  if (own.cuts > counted.cuts) {
    const auto added = std::min<std::uint64_t>(own.cuts - counted.cuts,
                                               CloseDelimitedStreams::kMaxCuts);
    state.cuts = std::min(state.cuts + static_cast<std::uint32_t>(added),
                          CloseDelimitedStreams::kMaxCuts);
    state.whole = own.whole_since_cut;
    state.cut_at = std::max(state.cut_at, now - report.known.cut_age);
  } else if (own.whole > counted.whole) {
    const auto added = std::min<std::uint64_t>(
        own.whole - counted.whole, CloseDelimitedStreams::kMaxWhole);
    state.whole = std::min(state.whole + static_cast<std::uint32_t>(added),
                           CloseDelimitedStreams::kMaxWhole);
  }
}

void StreamEndAuthority::Prune(TimePoint now) {
  static constexpr auto kMemory = CloseDelimitedStreams::kMemory;
  for (auto& [writer, state] : writers_) {
    if (state.cuts > 0 && now - state.cut_at >= kMemory) state.cuts = 0;
  }
  std::erase_if(writers_, [now](const auto& entry) {
    return now - entry.second.observed_at >= kMemory;
  });
  std::erase_if(instances_, [now](const auto& entry) {
    return now - entry.second.reported_at >= kRetention;
  });
  while (writers_.size() > CloseDelimitedStreams::kMaxWriters) {
    writers_.erase(std::min_element(
        writers_.begin(), writers_.end(), [](const auto& a, const auto& b) {
          return a.second.observed_at < b.second.observed_at;
        }));
  }
}

StreamEndReplies StreamEndAuthority::OnReport(const std::string& instance,
                                              const StreamEndReports& reports,
                                              TimePoint now) {
  StreamEndReplies replies;
  const auto [found, is_new] = instances_.try_emplace(instance);
  auto& known = found->second;
  known.reported_at = now;
  for (const auto& [writer, report] : reports) {
    auto& counted = known.counted[writer];
    // Without a state, it was forgotten here sooner than there.
    if (is_new || !writers_.contains(writer)) {
      Join(writer, report.known, now);
    } else {
      Add(writer, report, counted, now);
    }
    counted = report.own;
    auto& state = writers_[writer];
    state.observed_at = std::max(state.observed_at, now - report.known.age);
    if (const auto cut_age = report.known.cut_between_age) {
      state.cut_between_at =
          std::max(state.cut_between_at.value_or(TimePoint{}), now - *cut_age);
    }
  }
  std::erase_if(known.counted, [&](const auto& entry) {
    return !reports.contains(entry.first);
  });
  Prune(now);
  for (const auto& [writer, state] : writers_) {
    const auto counted = known.counted.find(writer);
    replies[writer] = {
        {state.whole, state.cuts,
         state.cuts > 0 ? now - state.cut_at : Duration(0),
         now - state.observed_at, AgeOf(state.cut_between_at, now)},
        counted == known.counted.end() ? StreamEndTotals{} : counted->second};
  }
  return replies;
}

}  // namespace firmoor
