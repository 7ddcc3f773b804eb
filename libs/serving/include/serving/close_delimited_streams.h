#ifndef FIRMOOR_SERVING_CLOSE_DELIMITED_STREAMS_H_
#define FIRMOOR_SERVING_CLOSE_DELIMITED_STREAMS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "serving/process_liveness.h"
#include "serving/recent_stream_ends.h"
#include "serving/recurring_fault.h"
#include "serving/stream_end_messages.h"

namespace firmoor {

/// How far the end of a response shows that the response is complete.
enum class EndCredibility {
  kShown,      ///< By its framing, or by another upstream.
  kTrusted,    ///< Only by its close, but such responses were complete.
  kDue,        ///< As `kTrusted`, but verified if another attempt may start.
  kUnproven,   ///< Only by its close, and little is known of such responses,
               ///< or some were cut a short time ago.
  kSuspicious  ///< Only by its close, and it may well be cut.
};

/// "shown", "trusted" and so on, for logs.
std::string_view NameOf(EndCredibility credibility);

/// Why the end of a response is not believed, the strongest reason.
enum class EndDoubt {
  kNone,         ///< It is believed.
  kNoProcess,    ///< Its upstream is gone, or not known to run.
  kLeaving,      ///< Its upstream runs, but leaves.
  kCuts,         ///< Streams of the software were cut a short time ago.
  kEmpty,        ///< Nothing followed, of software that marks other ends.
  kFewVerified,  ///< Too few such streams were verified as complete.
};

/// "none", "no-process" and so on, for logs and metrics.
std::string_view NameOf(EndDoubt doubt);

/// What is known of event streams whose end is marked by nothing but the close
/// of their connection (close-delimited, RFC 9112 section 6.3), by the software
/// that writes them.
///
/// An orderly close is an upstream's own statement that its response is
/// complete, but also what is seen when a process or a proxy gives up. Software
/// is believed once enough of its streams were verified as complete since the
/// last one that was not, by any daemon.
///
/// Cut streams say nothing of others once the fault that cut them is over.
/// Until then, ends of the software have to be verified. One that cannot be
/// verified counts as cut if others were cut between two events, unless its own
/// upstream is known to end streams whole. Later, ends are believed, but
/// verified wherever that is possible, for longer after each further cut.
///
/// That the software marks the ends of other streams says nothing of these.
/// Performs no I/O.
class CloseDelimitedStreams {
 public:
  using Writer = StreamWriterId;
  /// What was observed of a writer, for decisions and logs.
  struct Evidence {
    std::uint32_t whole = 0;     ///< Verified as complete since the last cut.
    std::uint32_t required = 0;  ///< `whole` from which on it is believed.
    std::uint32_t settled = 0;   ///< And from which on, verified by sample.
    std::uint32_t cuts = 0;      ///< Within `kMemory`.
    /// Whether the fault that has cut streams may go on.
    bool may_cut = false;
    bool marks_ends = false;  ///< Of other streams, recently.
    bool was_reset = false;   ///< One of its streams, recently.
    /// Since the last observation of any kind; 0 without one.
    Duration age{0};

    bool operator==(const Evidence&) const = default;
  };

  /// Verified streams that are required of software of which nothing else is
  /// known. An orderly close is its own statement that a stream is complete, so
  /// few are needed; further ones are verified if another attempt may start.
  static constexpr std::uint32_t kMinWhole = 4;
  /// Those after which ends are verified by sample: with none of 32 cut, fewer
  /// than one of ten is, at 95 %. Doubled for each cut.
  static constexpr std::uint32_t kMinWholeAfterCut = 32;
  /// Closes at one place from which on the next one shows the end without other
  /// evidence.
  static constexpr int kMinEarlierCloses = 2;
  /// Bounds of what is counted.
  static constexpr std::uint32_t kMaxCuts = 8;
  static constexpr std::uint32_t kMaxWhole = kMinWholeAfterCut << kMaxCuts;
  /// Observations that are not renewed are forgotten after this time.
  static constexpr Duration kMemory{10 * 60 * 1'000};
  /// One of this many believed ends is due to be verified.
  static constexpr std::uint32_t kDuePeriod = 32;
  /// Writers that are remembered, those observed last.
  static constexpr std::size_t kMaxWriters = 256;

  /// A stream has an end that its framing marks.
  void OnMarked(const Writer& writer, TimePoint now);
  /// Nothing followed a stream of `upstream` that ended with its connection.
  void OnWhole(const Writer& writer, const std::string& upstream,
               TimePoint now);
  /// Events are missing behind a close between two events, although the
  /// upstream runs.
  void OnCut(const Writer& writer, const std::string& upstream, TimePoint now);
  /// A stream was closed in order within an event although the upstream runs.
  /// Its own bytes show that it is cut; it is a sign of a fault that may cut
  /// others between events.
  void OnClosedWithinEvent(const Writer& writer, const std::string& upstream,
                           TimePoint now);
  /// An upstream that leaves closed a stream, as `origin` tells. Whether its
  /// process waits for streams before it exits is known of this daemon only.
  void OnDeparture(const Writer& writer, CloseOrigin origin, TimePoint now);
  /// A stream was reset although the upstream runs, perhaps by the network. A
  /// reset says itself that the stream is incomplete, and nothing of a close.
  void OnReset(const Writer& writer, const std::string& upstream,
               TimePoint now);
  /// Judges a stream whose connection was closed in order between two events.
  [[nodiscard]] EndCredibility Judge(const Writer& writer,
                                     const std::string& upstream,
                                     TimePoint now);
  /// Judges a stream that was closed in order by a process that is gone.
  [[nodiscard]] EndCredibility JudgeUnattended(const Writer& writer,
                                               CloseOrigin origin,
                                               TimePoint now) const;
  /// Judges a stream that should go on behind an event, and was closed in order
  /// before the next one. It shows that the first response was complete, unless
  /// the software marks such ends: a cut before the first event looks alike.
  /// `earlier_closes`: responses in a row that upstreams that run closed in
  /// order at the same place before.
  [[nodiscard]] EndCredibility JudgeEmpty(const Writer& writer,
                                          int earlier_closes,
                                          TimePoint now) const;

  /// Whether the caller of a stream whose end is not known well enough is to
  /// ask again: its return verifies the end. Only as many are sent back as have
  /// to be verified; others can wait for what these show. Counts the caller.
  bool TakeReturn(const Writer& writer, TimePoint now);
  /// Nothing was learned from the callers that were sent back.
  void ForgetReturns(const Writer& writer);

  [[nodiscard]] Evidence EvidenceOf(const Writer& writer, TimePoint now) const;
  /// What `evidence` holds against an end that only a close shows.
  [[nodiscard]] static EndDoubt DoubtOf(const Evidence& evidence);
  [[nodiscard]] std::size_t size() const { return records_.size(); }

  /// What the coordinator is told.
  [[nodiscard]] StreamEndReports Report(TimePoint now) const;
  /// Takes what all daemons know. Returns the writers that are believed since
  /// then and were not before, or the reverse.
  std::vector<Writer> Apply(const StreamEndReplies& replies, TimePoint now);

 private:
  struct Record {
    StreamEndTotals own{};
    TimePoint own_cut_at{};
    RecurringFault fault{};  ///< That cuts streams of the software.
    /// The same where the streams did not show it.
    RecurringFault cuts_between{};
    std::optional<TimePoint> own_cut_between_at{};  ///< Seen by this daemon.
    /// By upstream, seen by this daemon.
    std::map<std::string, RecentStreamEnds> ends_of{};
    /// Contains `counted` of `own`.
    StreamEndState fleet{};
    TimePoint fleet_cut_at{};
    StreamEndTotals counted{};
    std::uint32_t believed = 0;  ///< Ends since the last that was due.
    std::uint32_t returns = 0;   ///< Callers sent back that may return.
    TimePoint marked_at{};
    bool has_marked = false;
    TimePoint reset_at{};
    bool has_reset = false;
    /// Streams that processes closed as they left, since one exited amid them.
    std::uint32_t ended_by_leaving = 0;
    TimePoint ended_by_leaving_at{};
    TimePoint exited_at{};
    bool has_exited = false;
    TimePoint observed_at{};
  };

  [[nodiscard]] static Evidence Assess(const Record& record, TimePoint now);
  /// When the last cut was seen.
  [[nodiscard]] static TimePoint CutAt(const Record& record);
  /// Whether a stream of `upstream` may have been cut by a fault that goes on.
  [[nodiscard]] static bool MayBeCut(const Record& record,
                                     const std::string& upstream,
                                     TimePoint now);
  /// The record of `writer`, without what is too old; makes room for it.
  Record& Find(const Writer& writer, TimePoint now);
  /// The same, renewed.
  Record& Observe(const Writer& writer, TimePoint now);
  /// Records a cut, whether or not the stream itself shows it.
  Record& ObserveCut(const Writer& writer, TimePoint now);
  static void AddEnd(Record* record, const std::string& upstream, bool is_cut,
                     TimePoint now);

  std::map<Writer, Record> records_;
};

}  // namespace firmoor

#endif  // FIRMOOR_SERVING_CLOSE_DELIMITED_STREAMS_H_
