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

/// A version as another daemon tells it; earlier builds do not tell the era.
struct RelayVersion {
  std::optional<std::int64_t> era;  ///< Empty: not told.
  std::int64_t revision = 0;

  RelayVersion() = default;
  RelayVersion(std::optional<std::int64_t> told_era, std::int64_t at)
      : era(told_era), revision(at) {}
  // Implicit: every version of the store can be told.
  RelayVersion(StoreVersion version)  // NOLINT(google-explicit-constructor)
      : era(version.era), revision(version.revision) {}

  /// The version of the store, in `era_if_untold` unless another one is told.
  [[nodiscard]] StoreVersion Within(std::int64_t era_if_untold) const {
    return {era.value_or(era_if_untold), revision};
  }

  bool operator==(const RelayVersion&) const = default;
};

/// Long poll of one daemon at another for changes of a kind.
struct RelayRequest {
  std::string kind;
  RelayVersion version;  ///< Changes after it are requested.
  Duration wait{0};      ///< Maximum time to wait for changes.

  [[nodiscard]] QByteArray Encode() const;
  /// Fails with `kBadMessage`.
  static Result<RelayRequest> Decode(const QByteArray& bytes);

  bool operator==(const RelayRequest&) const = default;
};

struct RelayResponse {
  /// Whether the responder holds all changes after the requested version;
  /// otherwise the requester has to read the store.
  bool available = false;
  /// Of the last change; otherwise only the era that the responder knows.
  RelayVersion version;
  /// Time since the last contact with the store, across all daemons in between.
  Duration store_contact_age{0};
  std::vector<EncodedChange> changes;

  [[nodiscard]] QByteArray Encode() const;
  /// Fails with `kBadMessage`.
  static Result<RelayResponse> Decode(const QByteArray& bytes);

  bool operator==(const RelayResponse&) const = default;
};

/// Encodes an object as CBOR, compressed when it is large.
EncodedChange EncodeChange(const KindChange& change);
/// Fails with `kBadMessage`.
Result<KindChange> DecodeChange(const EncodedChange& change);

}  // namespace firmoor

#endif  // FIRMOOR_DISSEMINATION_RELAY_MESSAGES_H_
