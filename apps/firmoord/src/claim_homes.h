#ifndef FIRMOOR_FIRMOORD_CLAIM_HOMES_H_
#define FIRMOOR_FIRMOORD_CLAIM_HOMES_H_

#include <QByteArray>
#include <optional>
#include <string>

#include "config/settings.h"
#include "fleet.h"
#include "serving/claim_store.h"

namespace firmoor {

/// Carries claims between the daemons: each slot has a home among the live
/// daemons of the region, chosen by rendezvous hashing, that updates it for
/// the others. Lives in the event loop; outlived by its parts.
class ClaimHomes {
 public:
  /// Serves the peers' "claim" and "record" calls and sets the home calls of
  /// `claims`.
  ClaimHomes(const Settings& settings, Fleet* fleet, ClaimStore* claims);

 private:
  /// The live daemon that a slot belongs to; empty when it is this one.
  [[nodiscard]] std::optional<Member> RemoteHomeOf(
      const std::string& slot) const;
  void ServeClaim(const QByteArray& message, const PeerNode::Reply& reply);
  void ServeRecord(const QByteArray& message, const PeerNode::Reply& reply);
  ClaimStore::HomeCalls MakeCalls();

  Settings settings_;
  Fleet* fleet_;
  ClaimStore* claims_;
};

}  // namespace firmoor

#endif  // FIRMOOR_FIRMOORD_CLAIM_HOMES_H_
