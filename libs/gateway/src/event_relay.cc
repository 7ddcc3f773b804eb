#include "gateway/event_relay.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace firmoor {
namespace {

std::optional<std::int64_t> ParseNumber(std::string_view text) {
  std::int64_t value = 0;
  const auto* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return value;
}

/// Value of the event's `id` field; empty when it has none.
std::string_view EventIdOf(std::string_view event) {
  constexpr std::string_view kField = "id:";
  while (!event.empty()) {
    const auto end = event.find('\n');
    auto line = event.substr(0, end);
    event = end == std::string_view::npos ? "" : event.substr(end + 1);
    if (!line.starts_with(kField)) continue;
    line.remove_prefix(kField.size());
    if (line.starts_with(' ')) line.remove_prefix(1);
    if (line.ends_with('\r')) line.remove_suffix(1);
    return line;
  }
  return {};
}

/// Whether `bytes` are comments and empty lines only.
bool IsComment(std::string_view bytes) {
  while (!bytes.empty()) {
    const auto end = bytes.find('\n');
    const auto line = bytes.substr(0, end);
    bytes = end == std::string_view::npos ? "" : bytes.substr(end + 1);
    const bool is_empty = line.empty() || line == "\r";
    if (!is_empty && !line.starts_with(':')) return false;
  }
  return true;
}

/// Position after the empty line that ends the event starting at `from`.
std::size_t FindEventEnd(std::string_view bytes, std::size_t from) {
  const auto plain = bytes.find("\n\n", from);
  const auto crlf = bytes.find("\n\r\n", from);
  if (plain == crlf) return std::string_view::npos;
  return plain < crlf ? plain + 2 : crlf + 3;
}

}  // namespace

EventRelay::EventRelay(std::string last_event_id)
    : last_id_(std::move(last_event_id)) {}

bool EventRelay::IsNew(std::string_view event) {
  const auto id = EventIdOf(event);
  const auto number = ParseNumber(id);
  const auto last = ParseNumber(last_id_);
  if (number && last && *number <= *last) return false;
  if (!id.empty()) last_id_ = std::string(id);
  return true;
}

std::string EventRelay::Feed(std::string_view bytes) {
  partial_ += bytes;
  const std::string_view whole = partial_;
  std::string forwarded;
  std::size_t start = 0;
  for (;;) {
    const auto end = FindEventEnd(partial_, start);
    if (end == std::string::npos) break;
    const auto event = whole.substr(start, end - start);
    if (IsNew(event)) {
      forwarded += event;
      if (!IsComment(event)) ++events_;
    }
    start = end;
  }
  partial_.erase(0, start);
  return forwarded;
}

bool EventRelay::HasBegunEvent() const { return !IsComment(partial_); }

void EventRelay::DiscardPartialEvent() { partial_.clear(); }

}  // namespace firmoor
