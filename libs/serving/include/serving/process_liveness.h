#ifndef FIRMOOR_SERVING_PROCESS_LIVENESS_H_
#define FIRMOOR_SERVING_PROCESS_LIVENESS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>

#include "base/time.h"

namespace firmoor {

/// Who closed a connection in order: its process while it ran, or the kernel
/// when the process exited.
enum class CloseOrigin {
  kUndecided,    ///< Other connections may still tell.
  kNotAsked,     ///< Only an answer of the process can still tell.
  kProcess,      ///< The process ran on behind the close.
  kBehindEvent,  ///< It followed an event, and the reserve outlived it a
                 ///< little.
  kEitherOne,    ///< It followed an event, and nothing outlived it.
  kUnclear,      ///< Nothing tells, and it did not follow an event.
  kExit,         ///< All ended at the same time, some between two events.
};

/// "undecided", "not-asked" and so on, for logs and metrics.
std::string_view NameOf(CloseOrigin origin);

/// Whether `origin` is a decision.
bool IsDecided(CloseOrigin origin);

/// When the events of a stream arrived.
class EventRhythm {
 public:
  void OnEvent(PreciseTimePoint now);
  /// Reading the stream was paused until `now`, so that what was read since may
  /// have arrived before.
  void OnResumed(PreciseTimePoint now) { resumed_at_ = now; }

  /// Whether a close at `now` followed the last event so closely that an exit
  /// of the process at a random moment would do so in one of twenty cases at
  /// most. False if too few events are known.
  [[nodiscard]] bool IsRightBehindEvent(PreciseTimePoint now) const;
  /// None before the second event.
  [[nodiscard]] std::optional<PreciseDuration> MeanGap() const;
  /// From the last event, or 0 without one.
  [[nodiscard]] PreciseDuration SilenceAt(PreciseTimePoint now) const;

 private:
  std::size_t events_ = 0;
  PreciseTimePoint first_at_{};
  PreciseTimePoint last_at_{};
  std::optional<PreciseTimePoint> resumed_at_;
};

/// Tells whether one upstream process outlived the orderly close of a
/// connection, from the other connections to it.
///
/// A process that exits has all its connections closed at the same time. So it
/// ran on if another connection brings events well behind the close, or if an
/// idle one that was opened before, the reserve, stays open or is answered on.
/// Performs no I/O.
class ProcessLiveness {
 public:
  using ConnectionId = std::uint64_t;

  /// A process that brings an event so long behind a close outlived it, if its
  /// connection stays open for as long again: packets may be late.
  static constexpr Duration kExitSpan{50};
  /// Streams that end within this time may have ended by one exit.
  static constexpr Duration kSameExit{10};
  /// The reserve did not end with a close if it ended so much later. The kernel
  /// takes some 20 us for each connection of a process that exits.
  static constexpr PreciseDuration kReserveLag{500};
  /// Longest wait for other connections. Callers wait for two seconds at least.
  static constexpr Duration kMaxWait{1'000};
  /// How long closes are remembered.
  static constexpr Duration kMemory{5'000};

  /// A connection on which a stream is read. Never returns an id twice.
  ConnectionId Open();
  /// An event arrived on it.
  void OnEvent(ConnectionId connection, PreciseTimePoint now);
  /// What it brings from now on may have arrived before.
  void OnPaused(ConnectionId connection);
  /// Its upstream side ended it. `is_behind_event`: in order, right behind an
  /// event.
  void OnClosed(ConnectionId connection, bool is_behind_event,
                PreciseTimePoint now);
  /// This side ended it, or nobody waits for the decision any longer.
  void Forget(ConnectionId connection);

  /// The process answered a request that was sent at `asked_at`.
  void OnAnswer(PreciseTimePoint asked_at);
  /// It did not, and cannot be asked again.
  void OnNoAnswer(PreciseTimePoint asked_at);
  /// The reserve was closed by the upstream.
  void OnReserveClosed(PreciseTimePoint now);

  /// Who closed the connection, which was passed to `OnClosed`.
  [[nodiscard]] CloseOrigin Judge(ConnectionId connection,
                                  PreciseTimePoint now) const;
  /// Connections that are open.
  [[nodiscard]] std::size_t open() const { return open_.size(); }

 private:
  struct Close {
    PreciseTimePoint at;
    bool is_behind_event = false;
  };

  /// Whether the process ran on for `kExitSpan` at least behind `at`.
  [[nodiscard]] bool RanOn(PreciseTimePoint at, PreciseTimePoint now) const;
  /// Whether other streams ended with `close`, and some of all these between
  /// two events.
  [[nodiscard]] bool EndedWithOthers(const Close& close) const;
  [[nodiscard]] bool EndedWithReserve(const Close& close) const;
  [[nodiscard]] bool IsOutlivedByReserve(const Close& close) const;

  ConnectionId last_id_ = 0;
  /// An event of each open connection. It shows that the process ran then if
  /// the connection stays open for `kExitSpan` longer.
  std::map<ConnectionId, std::optional<PreciseTimePoint>> open_;
  std::map<ConnectionId, Close> closes_;
  std::optional<PreciseTimePoint> ran_at_;
  std::optional<PreciseTimePoint> answered_at_;
  std::optional<PreciseTimePoint> unanswered_at_;
  std::optional<PreciseTimePoint> reserve_closed_at_;
};

}  // namespace firmoor

#endif  // FIRMOOR_SERVING_PROCESS_LIVENESS_H_
