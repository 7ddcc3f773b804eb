#ifndef FIRMOOR_SERVING_RECENT_STREAM_ENDS_H_
#define FIRMOOR_SERVING_RECENT_STREAM_ENDS_H_

#include <cstddef>
#include <deque>

#include "base/time.h"

namespace firmoor {

/// The last streams that were closed in order between two events, and of which
/// it became known whether they were whole. Performs no I/O.
class RecentStreamEnds {
 public:
  static constexpr std::size_t kMaxEnds = 8;
  /// Older ones say nothing of a stream that ends now.
  static constexpr Duration kMemory{4'000};

  void Add(bool is_cut, TimePoint now);
  /// Whether `min_whole` at least were whole, and none was cut.
  [[nodiscard]] bool AreWhole(std::size_t min_whole, TimePoint now) const;
  /// Whether nothing is known.
  [[nodiscard]] bool IsEmpty(TimePoint now) const;

 private:
  struct End {
    bool is_cut = false;
    TimePoint at;
  };

  std::deque<End> ends_;
};

}  // namespace firmoor

#endif  // FIRMOOR_SERVING_RECENT_STREAM_ENDS_H_
