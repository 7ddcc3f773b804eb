#ifndef FIRMOOR_GATEWAY_EVENT_RELAY_H_
#define FIRMOOR_GATEWAY_EVENT_RELAY_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace firmoor {

/// Passes a stream of server-sent events on, unchanged and only in whole
/// events, so that a stream that broke off in the middle of one can go on at
/// another upstream after the last event passed. Events that the caller has
/// already are left out. Pure.
class EventRelay {
 public:
  /// `last_event_id`: event that the caller has; empty for a new stream.
  explicit EventRelay(std::string last_event_id);

  /// Takes bytes of the stream and gives out the events that they complete.
  std::string Feed(std::string_view bytes);

  /// Drops the begun event, since the stream goes on at another upstream.
  void DiscardPartialEvent();

  /// Whether the stream ended inside an event.
  [[nodiscard]] bool HasPartialEvent() const { return !rest_.empty(); }
  /// Id of the last event passed on, or the one that the caller began with.
  [[nodiscard]] const std::string& last_event_id() const { return last_id_; }
  [[nodiscard]] std::size_t events() const { return events_; }

 private:
  [[nodiscard]] bool IsNew(std::string_view event);

  std::string rest_;
  std::string last_id_;
  std::size_t events_ = 0;
};

}  // namespace firmoor

#endif  // FIRMOOR_GATEWAY_EVENT_RELAY_H_
