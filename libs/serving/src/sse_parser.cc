#include "serving/sse_parser.h"

#include <fmt/format.h>

namespace firmoor {
namespace {

constexpr std::size_t kMaxEventBytes = 1'024 * 1'024;

std::string JoinDataLines(std::string_view event) {
  std::string data;
  while (!event.empty()) {
    const auto end = event.find('\n');
    auto line = event.substr(0, end);
    event = end == std::string_view::npos ? "" : event.substr(end + 1);
    if (line.ends_with('\r')) line.remove_suffix(1);
    if (!line.starts_with("data:")) continue;
    line.remove_prefix(5);
    if (line.starts_with(' ')) line.remove_prefix(1);
    if (!data.empty()) data += '\n';
    data += line;
  }
  return data;
}

}  // namespace

std::vector<std::string> SseParser::Feed(std::string_view bytes) {
  std::vector<std::string> events;
  buffer_ += bytes;
  const std::string_view buffered = buffer_;
  std::size_t start = 0;
  for (;;) {
    auto end = buffer_.find("\n\n", start);
    const auto crlf = buffer_.find("\n\r\n", start);
    const std::size_t skip = crlf < end ? 3 : 2;
    end = std::min(end, crlf);
    if (end == std::string::npos) break;
    auto data = JoinDataLines(buffered.substr(start, end - start));
    if (!data.empty()) events.push_back(std::move(data));
    start = end + skip;
  }
  buffer_.erase(0, start);
  overflowed_ = overflowed_ || buffer_.size() > kMaxEventBytes;
  return events;
}

std::string FormatSseEvent(std::string_view id, std::string_view data) {
  return id.empty() ? fmt::format("data: {}\n\n", data)
                    : fmt::format("id: {}\ndata: {}\n\n", id, data);
}

}  // namespace firmoor
