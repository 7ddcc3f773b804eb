#ifndef FIRMOOR_RESUMPTION_RECORD_CONFIRMATION_H_
#define FIRMOOR_RESUMPTION_RECORD_CONFIRMATION_H_

#include <cstddef>

#include "base/time.h"

namespace firmoor {

/// Whether the record of a stream that begins has reached enough daemons for
/// the first event to be forwarded. A record that arrived nowhere would later
/// pass for one that was never made. Does no I/O.
class RecordConfirmation {
 public:
  enum class State {
    kPending,
    kMade,  ///< The stream may begin.
    kLost   ///< Nobody has the record, so the stream must not begin.
  };
  /// What other daemons would conclude from the lack of the record.
  enum class Need {
    kNone,     ///< Nothing wrong: they infer its version or refuse.
    kBrief,    ///< Perhaps another version; this daemon knows of none.
    kRequired  ///< Another version.
  };
  /// After this, the record counts as made once one daemon has taken it.
  static constexpr Duration kPatience{200};
  /// After this, a record that nobody has taken is lost.
  static constexpr Duration kLimit{1'000};

  RecordConfirmation(Need need, TimePoint sent_at)
      : need_(need), sent_at_(sent_at) {}

  /// The record goes to `count` daemons more.
  void OnSent(std::size_t count) { sent_ += count; }
  void OnTaken() { ++taken_; }
  /// A daemon has not taken it in time.
  void OnFailed() { ++failed_; }

  [[nodiscard]] State StateAt(TimePoint now) const;
  /// Whether other daemons are to get the record, as nobody has taken it.
  [[nodiscard]] bool NeedsSpares(TimePoint now) const;

  [[nodiscard]] std::size_t sent() const { return sent_; }
  [[nodiscard]] std::size_t taken() const { return taken_; }
  [[nodiscard]] Duration AgeAt(TimePoint now) const { return now - sent_at_; }

  bool operator==(const RecordConfirmation&) const = default;

 private:
  /// Daemons that have to take it, for it to be made at once.
  [[nodiscard]] std::size_t Enough() const;
  [[nodiscard]] bool IsOverdue(TimePoint now) const;

  Need need_;
  TimePoint sent_at_;
  std::size_t sent_ = 0;
  std::size_t taken_ = 0;
  std::size_t failed_ = 0;
};

}  // namespace firmoor

#endif  // FIRMOOR_RESUMPTION_RECORD_CONFIRMATION_H_
