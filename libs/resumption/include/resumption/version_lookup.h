#ifndef FIRMOOR_RESUMPTION_VERSION_LOOKUP_H_
#define FIRMOOR_RESUMPTION_VERSION_LOOKUP_H_

#include <string>
#include <vector>

#include "base/time.h"
#include "resumption/peer_directory.h"
#include "resumption/record_messages.h"
#include "resumption/version_decision.h"

namespace firmoor {

/// Question for the record of a stream, and what has come in reply.
struct VersionLookup {
  RecordQuery query;
  /// The caller named its stream; otherwise others are only asked which
  /// versions they see.
  bool is_named = true;
  TimePoint started_at;
  std::vector<PeerAddress> asked;  ///< Whom the question goes to.
  LookupResult result;
  Duration record_age{0};

  /// Adds what this daemon knows itself.
  void Add(const RecordReply& reply);
  /// Adds the reply of one that was asked.
  void AddReply(const RecordReply& reply);
  /// No further reply changes the decision.
  [[nodiscard]] bool IsKnown() const {
    return result.is_ambiguous || !result.versions.empty();
  }

  bool operator==(const VersionLookup&) const = default;
};

}  // namespace firmoor

#endif  // FIRMOOR_RESUMPTION_VERSION_LOOKUP_H_
