#ifndef FIRMOOR_RESUMPTION_RECORD_MESSAGES_H_
#define FIRMOOR_RESUMPTION_RECORD_MESSAGES_H_

#include <QByteArray>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/time.h"
#include "resumption/stream_records.h"

namespace firmoor {

/// Records that one daemon gives another to hold.
struct RecordBatch {
  std::vector<StreamRecord> records;

  [[nodiscard]] QByteArray Encode() const;
  /// Fails with `kBadMessage`.
  static Result<RecordBatch> Decode(const QByteArray& bytes);

  bool operator==(const RecordBatch&) const = default;
};

/// Question for the record of one stream.
struct RecordQuery {
  std::string key;
  std::string service;
  Duration horizon{0};  ///< The stream began no earlier than this long ago.

  [[nodiscard]] QByteArray Encode() const;
  /// Fails with `kBadMessage`.
  static Result<RecordQuery> Decode(const QByteArray& bytes);

  bool operator==(const RecordQuery&) const = default;
};

struct RecordReply {
  bool is_found = false;
  bool is_ambiguous = false;
  std::string service;  ///< Of the record.
  std::string version;  ///< Of the record.
  Duration age{0};      ///< Of the record.
  /// The daemon has run and held the record's place for longer than the
  /// horizon, so it would have received the record.
  bool is_confident = false;
  /// The daemon has seen several versions of the service within the horizon.
  bool sees_several = false;
  std::string only_version;     ///< `OnlyVersion` of the daemon; may be empty.
  std::string earlier_version;  ///< `EarlierVersion`; may be empty.

  [[nodiscard]] QByteArray Encode() const;
  /// Fails with `kBadMessage`.
  static Result<RecordReply> Decode(const QByteArray& bytes);

  bool operator==(const RecordReply&) const = default;
};

}  // namespace firmoor

#endif  // FIRMOOR_RESUMPTION_RECORD_MESSAGES_H_
