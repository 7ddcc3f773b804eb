#ifndef FIRMOOR_SERVING_STREAM_END_MESSAGES_H_
#define FIRMOOR_SERVING_STREAM_END_MESSAGES_H_

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/time.h"

namespace firmoor {

/// Software that writes streams.
struct StreamWriterId {
  std::string service;
  std::string software_version;  ///< Empty: none is announced.

  auto operator<=>(const StreamWriterId&) const = default;
};

/// What all daemons together know of the close-delimited streams of a writer.
struct StreamEndState {
  std::uint32_t whole = 0;  ///< Verified as complete since the last cut.
  std::uint32_t cuts = 0;   ///< Recently, by an upstream that ran.
  Duration cut_age{0};      ///< Of the last cut; 0 without one.
  Duration age{0};          ///< Of the last observation.
  /// Of the last cut between two events. In reports, those of the daemon
  /// itself.
  std::optional<Duration> cut_between_age{};

  bool operator==(const StreamEndState&) const = default;
};

/// What one daemon has observed since it started.
struct StreamEndTotals {
  std::uint64_t whole = 0;  ///< Verified as complete.
  std::uint64_t cuts = 0;
  std::uint32_t whole_since_cut = 0;

  bool operator==(const StreamEndTotals&) const = default;
};

/// Sent by each daemon to the coordinator, by writer.
struct StreamEndReport {
  StreamEndState known;  ///< By its own observations and earlier replies.
  StreamEndTotals own;

  bool operator==(const StreamEndReport&) const = default;
};
using StreamEndReports = std::map<StreamWriterId, StreamEndReport>;

/// The coordinator's reply, by writer.
struct StreamEndReply {
  StreamEndState fleet;
  StreamEndTotals counted;  ///< Of this daemon, contained in `fleet`.

  bool operator==(const StreamEndReply&) const = default;
};
using StreamEndReplies = std::map<StreamWriterId, StreamEndReply>;

}  // namespace firmoor

#endif  // FIRMOOR_SERVING_STREAM_END_MESSAGES_H_
