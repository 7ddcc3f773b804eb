#ifndef FIRMOOR_GATEWAY_EVENT_RELAY_H_
#define FIRMOOR_GATEWAY_EVENT_RELAY_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "serving/event_scanner.h"

namespace firmoor {

/// Forwards a stream of server-sent events, unchanged and only in complete
/// events, so that a stream that was interrupted within an event can resume at
/// another upstream after the last forwarded event. Drops events that the
/// caller already has, by their increasing ids. Pure.
class EventRelay {
 public:
  /// `last_event_id`: last event that the caller has; empty for a new stream.
  explicit EventRelay(std::string last_event_id);

  /// Appends bytes of the stream and returns the events and comments that they
  /// complete.
  std::string Feed(std::string_view bytes);

  /// Drops the incomplete event before the stream resumes at another upstream.
  void DiscardPartialEvent();

  /// Whether the bytes so far end within an event.
  [[nodiscard]] bool HasPartialEvent() const { return !partial_.empty(); }
  /// Whether they end within one of which more than a comment has arrived.
  [[nodiscard]] bool HasBegunEvent() const { return scanner_.HasBegunEvent(); }
  /// Whether more of an incomplete event has arrived than any event may have,
  /// which would otherwise be kept without a bound.
  [[nodiscard]] bool IsEventTooLong() const {
    return partial_.size() > kMaxEventBytes;
  }
  /// Whether an event has arrived, also one that the caller has.
  [[nodiscard]] bool has_received_event() const { return has_received_event_; }
  /// Whether an upstream that was asked to resume the stream has sent an event
  /// whose place in it cannot be told. It and what follows are not forwarded.
  [[nodiscard]] bool HasMisplacedEvent() const { return is_misplaced_; }
  /// Id of the last forwarded event, behind which the stream can be resumed;
  /// at first the id given at construction. Empty if the event has none.
  [[nodiscard]] const std::string& last_event_id() const { return last_id_; }
  /// Number of forwarded events, without comments between them.
  [[nodiscard]] std::size_t events() const { return events_; }
  /// See `EventScanner::examined_bytes`.
  [[nodiscard]] std::uint64_t examined_bytes() const {
    return scanner_.examined_bytes();
  }

 private:
  enum class Place { kNew, kForwarded, kUnknown };

  /// Whether the event with this id, empty without one, is the first that the
  /// caller does not have.
  [[nodiscard]] Place PlaceOf(std::string_view id) const;

  // An event holds some tokens and their framing.
  static constexpr std::size_t kMaxEventBytes = 1024 * 1024;

  EventScanner scanner_;
  std::string partial_;
  std::string last_id_;
  std::optional<std::int64_t> last_number_;  ///< `last_id_`, if it is one.
  std::size_t events_ = 0;
  bool is_resumed_ = false;
  bool has_received_event_ = false;
  bool is_misplaced_ = false;
};

/// The number that an event's id is; empty if it is none.
std::optional<std::int64_t> NumberOfEvent(std::string_view id);

}  // namespace firmoor

#endif  // FIRMOOR_GATEWAY_EVENT_RELAY_H_
