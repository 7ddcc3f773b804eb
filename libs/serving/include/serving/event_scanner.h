#ifndef FIRMOOR_SERVING_EVENT_SCANNER_H_
#define FIRMOOR_SERVING_EVENT_SCANNER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace firmoor {

/// Finds the events of a server-sent event stream whose bytes arrive in pieces.
/// Looks at each byte once, so that its work is linear in the bytes however
/// they are cut. Lines end in LF or CRLF. Pure.
class EventScanner {
 public:
  struct Event {
    std::size_t size = 0;     ///< Bytes, with the empty line that ends it.
    bool is_comment = false;  ///< It has comments and empty lines only.
    std::string_view id;      ///< Of the first `id` field; empty without one.

    bool operator==(const Event&) const = default;
  };

  /// Returns the next event, a view into `bytes`, if they complete it. `bytes`
  /// begin after the last event that was returned: those that an earlier call
  /// saw, and what follows.
  std::optional<Event> Next(std::string_view bytes);

  /// Drops the incomplete event: the next bytes begin another one.
  void Reset();

  /// Whether more than comments of the incomplete event has been seen.
  [[nodiscard]] bool HasBegunEvent() const {
    return has_field_ || has_partial_field_;
  }
  /// Bytes that were looked at, since the construction.
  [[nodiscard]] std::uint64_t examined_bytes() const { return examined_; }

 private:
  /// Takes a complete line; `end`: offset of its line feed.
  void AddLine(std::string_view line, std::size_t end);

  // Offsets from the start of the incomplete event.
  std::size_t position_ = 0;    ///< Of the first byte not yet seen.
  std::size_t line_start_ = 0;  ///< Of the unfinished line.
  std::size_t id_start_ = 0;
  std::optional<std::size_t> id_end_;  ///< Unset until there is an id.
  bool has_field_ = false;             ///< In a complete line.
  bool has_partial_field_ = false;     ///< In the unfinished line.
  std::uint64_t examined_ = 0;
};

}  // namespace firmoor

#endif  // FIRMOOR_SERVING_EVENT_SCANNER_H_
