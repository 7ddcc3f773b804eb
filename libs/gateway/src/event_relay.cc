#include "gateway/event_relay.h"

#include <charconv>
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

}  // namespace

EventRelay::EventRelay(std::string last_event_id)
    : last_id_(std::move(last_event_id)), last_number_(ParseNumber(last_id_)) {}

bool EventRelay::IsNew(std::string_view id) {
  const auto number = ParseNumber(id);
  if (number && last_number_ && *number <= *last_number_) return false;
  if (id.empty()) return true;
  last_id_ = std::string(id);
  last_number_ = number;
  return true;
}

std::string EventRelay::Feed(std::string_view bytes) {
  partial_ += bytes;
  std::string_view rest = partial_;
  std::string forwarded;
  while (const auto event = scanner_.Next(rest)) {
    if (IsNew(event->id)) {
      forwarded += rest.substr(0, event->size);
      if (!event->is_comment) ++events_;
    }
    rest.remove_prefix(event->size);
  }
  partial_.erase(0, partial_.size() - rest.size());
  return forwarded;
}

void EventRelay::DiscardPartialEvent() {
  partial_.clear();
  scanner_.Reset();
}

}  // namespace firmoor
