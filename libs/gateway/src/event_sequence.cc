#include "gateway/event_sequence.h"

#include "gateway/event_relay.h"

namespace firmoor {

bool EventSequence::IsNext(std::size_t count, std::string_view last_id) const {
  const auto number = NumberOfEvent(last_id);
  return number && last_ &&
         *number - *last_ == static_cast<std::int64_t>(count);
}

bool EventSequence::MayFollow(std::size_t count,
                              std::string_view last_id) const {
  const bool can_tell =
      events_ >= kMinEvents && is_consecutive_ && count > 0 && !last_id.empty();
  return !can_tell || IsNext(count, last_id);
}

void EventSequence::Add(std::size_t count, std::string_view last_id) {
  if (count == 0) return;
  // Nothing is known of what precedes the first part, but of its own events.
  const bool is_first = events_ == 0;
  const auto number = NumberOfEvent(last_id);
  const bool begins_at_one =
      number && *number == static_cast<std::int64_t>(count);
  if (is_first ? count > 1 && !begins_at_one : !IsNext(count, last_id)) {
    is_consecutive_ = false;
  }
  events_ += count;
  last_ = number;
}

}  // namespace firmoor
