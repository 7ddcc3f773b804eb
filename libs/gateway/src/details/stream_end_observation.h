#ifndef FIRMOOR_GATEWAY_DETAILS_STREAM_END_OBSERVATION_H_
#define FIRMOOR_GATEWAY_DETAILS_STREAM_END_OBSERVATION_H_

#include <string>
#include <string_view>

#include "serving/close_delimited_streams.h"

namespace firmoor::details {

/// What shows whether a stream without a marked end was complete.
enum class StreamEndSign {
  kNothingFollowed,  ///< An upstream that was asked to go on had nothing.
  kMoreFollowed,     ///< It sent what was missing.
  kClosedWithinEvent,
  kReset
};

/// "nothing-followed", "more-followed" and so on, for logs.
constexpr std::string_view NameOf(StreamEndSign sign) {
  constexpr std::string_view kNames[] = {"nothing-followed", "more-followed",
                                         "closed-within-event", "reset"};
  return kNames[static_cast<int>(sign)];
}

/// What became known of one stream whose upstream ran behind its end.
struct StreamEndObservation {
  StreamEndSign sign = StreamEndSign::kReset;
  CloseDelimitedStreams::Writer writer;
  std::string upstream;  ///< That sent the stream.
  std::string request;
  std::string shown_by;  ///< Upstream that was asked to go on; may be empty.

  bool operator==(const StreamEndObservation&) const = default;
};

}  // namespace firmoor::details

#endif  // FIRMOOR_GATEWAY_DETAILS_STREAM_END_OBSERVATION_H_
