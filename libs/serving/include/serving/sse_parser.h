#ifndef FIRMOOR_SERVING_SSE_PARSER_H_
#define FIRMOOR_SERVING_SSE_PARSER_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "serving/event_scanner.h"

namespace firmoor {

/// Incremental parser that extracts the data of events from a server-sent
/// event stream. Chunk boundaries may fall anywhere. Performs no I/O.
class SseParser {
 public:
  /// Returns the data of the events that `bytes` completes.
  std::vector<std::string> Feed(std::string_view bytes);

  /// Whether an event exceeded the size limit; the stream is then unusable.
  [[nodiscard]] bool overflowed() const { return overflowed_; }
  /// See `EventScanner::examined_bytes`.
  [[nodiscard]] std::uint64_t examined_bytes() const {
    return scanner_.examined_bytes();
  }

 private:
  EventScanner scanner_;
  std::string buffer_;
  bool overflowed_ = false;
};

/// Data of the event that terminates a stream of tokens.
constexpr std::string_view kStreamEnd = "[DONE]";

/// Formats an event with a `data` line and, unless `id` is empty, an `id` line.
std::string FormatSseEvent(std::string_view id, std::string_view data);

}  // namespace firmoor

#endif  // FIRMOOR_SERVING_SSE_PARSER_H_
