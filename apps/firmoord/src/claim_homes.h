#ifndef FIRMOOR_FIRMOORD_CLAIM_HOMES_H_
#define FIRMOOR_FIRMOORD_CLAIM_HOMES_H_

#include <QByteArray>
#include <optional>
#include <string>

#include "config/settings.h"
#include "fleet.h"
#include "serving/claim_store.h"

namespace firmoor {

/// Forwards idempotency claims to the daemon that is responsible for them.
///
/// Each claim slot has a home daemon among the live daemons of the region,
/// chosen by rendezvous hashing, which updates the slot on behalf of the
/// others. Must be used on the event loop thread. `fleet` and `claims` must
/// outlive this.
class ClaimHomes {
 public:
  /// Registers handlers for the "claim" and "record" calls of peers, and makes
  /// `claims` forward its calls to the home daemons.
  ClaimHomes(const Settings& settings, Fleet* fleet, ClaimStore* claims);

 private:
  /// Home daemon of `slot`; empty if this daemon is the home.
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
