#ifndef FIRMOOR_SERVING_CALLER_FLOW_H_
#define FIRMOOR_SERVING_CALLER_FLOW_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "base/time.h"

namespace firmoor {

/// Streams whose callers take them more slowly than they arrive.
struct CallerFlowTotals {
  std::size_t held_bytes = 0;  ///< That callers have not taken.
  std::size_t paused = 0;      ///< Streams that are not read.
  std::uint64_t pauses = 0;    ///< Since the start.
  std::uint64_t stalled = 0;   ///< Callers that were cut off, since the start.

  /// In the Prometheus text format.
  [[nodiscard]] std::string Metrics() const;
};

/// Decides when a stream is not read since its caller has not taken what
/// arrived before, and when the caller takes nothing any more. Pure.
class CallerFlow {
 public:
  enum class Step { kNone, kPause, kResume };

  // A pause costs two system calls, so it begins well above one read, and ends
  // before the caller has taken all.
  static constexpr std::size_t kPauseBytes = 128 * 1024;
  static constexpr std::size_t kResumeBytes = 32 * 1024;
  /// Bytes held for all callers above which a stream pauses at `kResumeBytes`.
  static constexpr std::size_t kMaxHeldBytes = 24 * 1024 * 1024;
  /// Time without a byte taken. A caller on a link of 64 kbit/s takes bytes
  /// each 8 s, as it opens its window in steps of up to 64 KB.
  static constexpr Duration kMaxStall{30'000};

  /// `totals` must outlive the flow.
  explicit CallerFlow(CallerFlowTotals* totals) : totals_(totals) {}
  ~CallerFlow() { End(); }
  CallerFlow(const CallerFlow&) = delete;
  CallerFlow& operator=(const CallerFlow&) = delete;

  /// `unsent`: bytes that the caller has not taken now.
  Step Update(std::size_t unsent, TimePoint now);
  /// The stream is over: nothing is held for it any more.
  void End();

  [[nodiscard]] bool is_paused() const { return is_paused_; }
  [[nodiscard]] std::size_t unsent_bytes() const { return unsent_; }
  /// Since the caller last took bytes or the pause began; 0 without a pause.
  [[nodiscard]] Duration StalledFor(TimePoint now) const;

 private:
  [[nodiscard]] std::size_t PauseLimit() const;

  CallerFlowTotals* totals_;
  std::size_t unsent_ = 0;
  bool is_paused_ = false;
  TimePoint taken_at_;
};

}  // namespace firmoor

#endif  // FIRMOOR_SERVING_CALLER_FLOW_H_
