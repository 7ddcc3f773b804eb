#ifndef FIRMOOR_SERVING_SSE_PARSER_H_
#define FIRMOOR_SERVING_SSE_PARSER_H_

#include <string>
#include <string_view>
#include <vector>

namespace firmoor {

/// Splits a server-sent event stream into the data of its events, whatever
/// the boundaries of the parts it arrives in. Pure.
class SseParser {
 public:
  /// Data of the events that `bytes` completes.
  std::vector<std::string> Feed(std::string_view bytes);

  /// Whether an event grew past the limit; the stream is then of no use.
  [[nodiscard]] bool overflowed() const { return overflowed_; }

 private:
  std::string buffer_;
  bool overflowed_ = false;
};

/// Data of the event that ends a stream of tokens.
constexpr std::string_view kStreamEnd = "[DONE]";

/// One event with `id` and `data` lines.
std::string FormatSseEvent(std::string_view id, std::string_view data);

}  // namespace firmoor

#endif  // FIRMOOR_SERVING_SSE_PARSER_H_
