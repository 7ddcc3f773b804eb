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
struct RelayRequest {
  std::string kind;
  std::int64_t revision = 0;  ///< Up to which the asker knows all.
  Duration wait{0};           ///< For changes.

  [[nodiscard]] QByteArray Encode() const;
  /// Fails with `kBadMessage`.
  static Result<RelayRequest> Decode(const QByteArray& bytes);

  bool operator==(const RelayRequest&) const = default;
};

/// What it answers.
struct RelayResponse {
  /// Whether it could tell; otherwise the asker needs the store.
  bool available = false;
  std::int64_t revision = 0;
  /// How long ago the store was heard of, through whatever daemons.
  Duration store_contact_age{0};
  std::vector<EncodedChange> changes;

  [[nodiscard]] QByteArray Encode() const;
  /// Fails with `kBadMessage`.
  static Result<RelayResponse> Decode(const QByteArray& bytes);

  bool operator==(const RelayResponse&) const = default;
};

/// Packs an object for its way between daemons; large ones are compressed.
EncodedChange EncodeChange(const KindChange& change);
/// Fails with `kBadMessage`.
Result<KindChange> DecodeChange(const EncodedChange& change);

}  // namespace firmoor

#endif  // FIRMOOR_DISSEMINATION_RELAY_MESSAGES_H_
