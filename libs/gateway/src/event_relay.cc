#include "gateway/event_relay.h"

#include <charconv>
#include <utility>

namespace firmoor {

std::optional<std::int64_t> NumberOfEvent(std::string_view id) {
  std::int64_t value = 0;
  const auto* end = id.data() + id.size();
  const auto parsed = std::from_chars(id.data(), end, value);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return value;
}

EventRelay::EventRelay(std::string last_event_id)
    : last_id_(std::move(last_event_id)),
      last_number_(NumberOfEvent(last_id_)),
      is_resumed_(!last_id_.empty()) {}

EventRelay::Place EventRelay::PlaceOf(std::string_view id) const {
  const auto number = NumberOfEvent(id);
  if (number && last_number_) {
    return *number > *last_number_ ? Place::kNew : Place::kForwarded;
  }
  if (!is_resumed_ || events_ > 0) return Place::kNew;
  // Ids that are no numbers have no order.
  const bool is_comparable = !id.empty() && !number && !last_number_;
  if (!is_comparable) return Place::kUnknown;
  return id == last_id_ ? Place::kForwarded : Place::kNew;
}

std::string EventRelay::Feed(std::string_view bytes) {
  partial_ += bytes;
  std::string_view rest = partial_;
  std::string forwarded;
  while (const auto event = scanner_.Next(rest)) {
    const auto place = event->is_comment ? Place::kNew : PlaceOf(event->id);
    has_received_event_ = has_received_event_ || !event->is_comment;
    is_misplaced_ = is_misplaced_ || place == Place::kUnknown;
    if (place == Place::kNew && !is_misplaced_) {
      forwarded += rest.substr(0, event->size);
      if (!event->is_comment) {
        ++events_;
        last_id_ = std::string(event->id);
        const auto number = NumberOfEvent(event->id);
        if (number) last_number_ = number;
      }
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
