#ifndef FIRMOOR_DISSEMINATION_RELAY_MESSAGES_H_
#define FIRMOOR_DISSEMINATION_RELAY_MESSAGES_H_

#include <QByteArray>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/time.h"
#include "dissemination/change_log.h"
#include "platform/kind_store.h"

namespace firmoor {

/// What a daemon asks another one.
struct RelayAsk {
  std::string kind;
  std::int64_t revision = 0;  ///< Up to which the asker knows all.
  Duration wait{0};           ///< For changes.

  [[nodiscard]] QByteArray Encode() const;
  /// Fails with `kBadMessage`.
  static Result<RelayAsk> Decode(const QByteArray& bytes);

  bool operator==(const RelayAsk&) const = default;
};

/// What it answers.
struct RelayAnswer {
  /// Whether it could tell; otherwise the asker needs the store.
  bool known = false;
  std::int64_t revision = 0;
  /// How long ago the store was heard of, through whatever daemons.
  Duration heard_ago{0};
  std::vector<EncodedChange> changes;

  [[nodiscard]] QByteArray Encode() const;
  /// Fails with `kBadMessage`.
  static Result<RelayAnswer> Decode(const QByteArray& bytes);

  bool operator==(const RelayAnswer&) const = default;
};

/// Packs an object for its way between daemons; large ones are compressed.
EncodedChange EncodeChange(const KindChange& change);
/// Fails with `kBadMessage`.
Result<KindChange> DecodeChange(const EncodedChange& change);

}  // namespace firmoor

#endif  // FIRMOOR_DISSEMINATION_RELAY_MESSAGES_H_
