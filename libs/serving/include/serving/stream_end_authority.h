#ifndef FIRMOOR_SERVING_STREAM_END_AUTHORITY_H_
#define FIRMOOR_SERVING_STREAM_END_AUTHORITY_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "serving/stream_end_messages.h"

namespace firmoor {

/// Run by the coordinator: adds up what the daemons observe of close-delimited
/// streams, so that a daemon that starts knows what the others have learned,
/// and a cut that one of them sees ends the belief of all. Performs no I/O.
class StreamEndAuthority {
 public:
  /// Records a report of `instance`, a start of a daemon, and makes the reply.
  /// The first report of an instance bears what its earlier coordinator knew.
  StreamEndReplies OnReport(const std::string& instance,
                            const StreamEndReports& reports, TimePoint now);

 private:
  struct State {
    std::uint32_t whole = 0;
    std::uint32_t cuts = 0;
    TimePoint cut_at{};
    std::optional<TimePoint> cut_between_at{};
    TimePoint observed_at{};
  };
  struct Instance {
    std::map<StreamWriterId, StreamEndTotals> counted;
    TimePoint reported_at{};
  };

  /// Takes what a daemon knew before it reported here.
  void Join(const StreamWriterId& writer, const StreamEndState& known,
            TimePoint now);
  /// Adds what a daemon has observed since its last report.
  void Add(const StreamWriterId& writer, const StreamEndReport& report,
           const StreamEndTotals& counted, TimePoint now);
  /// Forgets what is too old, and instances that have ended.
  void Prune(TimePoint now);

  std::map<StreamWriterId, State> writers_;
  std::map<std::string, Instance> instances_;  ///< By instance id.
};

}  // namespace firmoor

#endif  // FIRMOOR_SERVING_STREAM_END_AUTHORITY_H_
