#include "serving/recent_stream_ends.h"

#include <algorithm>

namespace firmoor {

void RecentStreamEnds::Add(bool is_cut, TimePoint now) {
  ends_.push_back({is_cut, now});
  if (ends_.size() > kMaxEnds) ends_.pop_front();
}

bool RecentStreamEnds::AreWhole(std::size_t min_whole, TimePoint now) const {
  std::size_t whole = 0;
  for (const auto& end : ends_) {
    if (now - end.at >= kMemory) continue;
    if (end.is_cut) return false;
    ++whole;
  }
  return whole >= min_whole;
}

bool RecentStreamEnds::IsEmpty(TimePoint now) const {
  return std::all_of(ends_.begin(), ends_.end(),
                     [now](const End& end) { return now - end.at >= kMemory; });
}

}  // namespace firmoor
