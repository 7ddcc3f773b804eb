#ifndef FIRMOOR_GATEWAY_DETAILS_STREAM_ENDS_H_
#define FIRMOOR_GATEWAY_DETAILS_STREAM_ENDS_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "serving/close_delimited_streams.h"
#include "serving/process_liveness.h"

namespace firmoor::details {

/// How a stream ended towards its caller.
enum class StreamEndForm {
  kMarked,  ///< Its framing says that it is complete.
  kReset,   ///< It was broken off.
};

/// By what the gateway knows that a stream is complete.
enum class StreamEndBasis {
  kNothing,
  kFraming,         ///< The upstream's framing marks the end.
  kOtherUpstream,   ///< Another upstream had nothing that follows.
  kEarlierStreams,  ///< Streams that ended alike were complete.
  kClose,           ///< The upstream, which runs, closed its connection.
  kOtherDaemon,     ///< The daemon that it was delegated to says so.
};

/// "marked" or "reset", for logs and metrics.
std::string_view NameOf(StreamEndForm form);
/// "nothing", "framing" and so on, for logs and metrics.
std::string_view NameOf(StreamEndBasis basis);

/// Counts the ends of streams towards callers since the start.
class StreamEndCounters {
 public:
  void Count(StreamEndForm form, StreamEndBasis basis);
  /// Counts a stream that was broken off since its end was not believed.
  void CountDoubt(EndDoubt doubt);
  /// Counts a close by an upstream that leaves and could not be asked.
  void CountClose(CloseOrigin origin);
  /// Counts a stream whose end waits for what others show.
  void CountAwaited() { ++awaited_; }
  /// Prometheus text.
  [[nodiscard]] std::string Metrics() const;

 private:
  static constexpr std::size_t kForms = 2;
  static constexpr std::size_t kBases = 6;

  static constexpr std::size_t kDoubts = 6;

  std::array<std::array<std::uint64_t, kBases>, kForms> counts_{};
  std::array<std::uint64_t, kDoubts> doubts_{};
  static constexpr std::size_t kOrigins = 7;
  std::array<std::uint64_t, kOrigins> closes_{};
  std::uint64_t awaited_ = 0;
};

}  // namespace firmoor::details

#endif  // FIRMOOR_GATEWAY_DETAILS_STREAM_ENDS_H_
