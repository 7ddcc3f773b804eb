#ifndef FIRMOOR_PEER_PEER_MESSAGE_H_
#define FIRMOOR_PEER_PEER_MESSAGE_H_

#include <QByteArray>
#include <QCborMap>

#include "base/error.h"

namespace firmoor {

/// Decodes a message between daemons, which is a CBOR map. Fails with
/// `kBadMessage`.
Result<QCborMap> DecodePeerMessage(const QByteArray& bytes);

}  // namespace firmoor

#endif  // FIRMOOR_PEER_PEER_MESSAGE_H_
