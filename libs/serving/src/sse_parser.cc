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
  std::string_view rest = buffer_;
  while (const auto event = scanner_.Next(rest)) {
    auto data = JoinDataLines(rest.substr(0, event->size));
    if (!data.empty()) events.push_back(std::move(data));
    rest.remove_prefix(event->size);
  }
  buffer_.erase(0, buffer_.size() - rest.size());
  overflowed_ = overflowed_ || buffer_.size() > kMaxEventBytes;
  return events;
}

std::string FormatSseEvent(std::string_view id, std::string_view data) {
  return id.empty() ? fmt::format("data: {}\n\n", data)
                    : fmt::format("id: {}\ndata: {}\n\n", id, data);
}

}  // namespace firmoor
