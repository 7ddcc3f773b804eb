#ifndef FIRMOOR_RESUMPTION_STREAM_RECORDS_H_
#define FIRMOOR_RESUMPTION_STREAM_RECORDS_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace firmoor {

/// Software version that wrote the first event of a stream, and with which
/// alone the stream may be resumed.
struct StreamRecord {
  std::string key;  ///< See `StreamKey`.
  std::string service;
  std::string version;
  Duration lifetime{0};  ///< Time for which the caller may still resume.

  bool operator==(const StreamRecord&) const = default;
};

/// Identifies a stream by the caller's workspace and the id of the request that
/// brought its first event. Contains the workspace, so that an id tells other
/// workspaces nothing.
std::string StreamKey(std::string_view workspace, std::string_view request_id);

/// Versions of recent streams, bounded in number; the records that expire first
/// are dropped when there are too many. Does no I/O.
class StreamRecords {
 public:
  explicit StreamRecords(std::size_t capacity) : capacity_(capacity) {}

  /// What is known of a stream.
  struct Found {
    std::string service;
    std::string version;
    /// Records of the stream contradict each other: it must not be resumed.
    bool is_ambiguous = false;
    Duration age{0};  ///< Since the record arrived here.

    bool operator==(const Found&) const = default;
  };

  /// Adds a record. A second one with another service or version makes the
  /// stream ambiguous; a longer lifetime extends the record.
  void Put(const StreamRecord& record, TimePoint now);
  /// Like `Put`, for a stream that began here and that no other daemon has been
  /// told of yet.
  void PutUnsent(const StreamRecord& record, TimePoint now);
  /// Records added by `PutUnsent`, with the rest of their lifetimes; from now
  /// on they count as sent. All services if `service` is empty.
  std::vector<StreamRecord> TakeUnsent(const std::string& service,
                                       TimePoint now);
  [[nodiscard]] std::optional<Found> Find(const std::string& key,
                                          TimePoint now) const;
  /// Records that have not expired, with the rest of their lifetimes, for
  /// another daemon. Ambiguous ones are left out.
  [[nodiscard]] std::vector<StreamRecord> Remaining(TimePoint now) const;

  [[nodiscard]] std::size_t size() const { return records_.size(); }
  /// Whether no record was dropped before it expired, since `since`.
  [[nodiscard]] bool KeptAllSince(TimePoint since) const {
    return !dropped_at_ || *dropped_at_ < since;
  }
  /// Records dropped before they expired, since the start.
  [[nodiscard]] std::size_t dropped() const { return dropped_; }

 private:
  struct Entry {
    std::string service;
    std::string version;
    bool is_ambiguous = false;
    TimePoint stored_at;
    TimePoint expires_at;
  };

  void DropExpired(TimePoint now);
  /// Drops the record that expires first.
  void DropFirst();

  std::size_t capacity_;
  std::map<std::string, Entry> records_;
  std::multimap<TimePoint, std::string> by_expiry_;
  std::set<std::string> unsent_;  ///< Keys of records.
  std::size_t dropped_ = 0;
  std::optional<TimePoint> dropped_at_;  ///< The last of them.
};

}  // namespace firmoor

#endif  // FIRMOOR_RESUMPTION_STREAM_RECORDS_H_
