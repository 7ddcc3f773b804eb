#ifndef FIRMOOR_PEER_PEER_MESSAGE_H_
#define FIRMOOR_PEER_PEER_MESSAGE_H_

#include <QByteArray>
#include <QCborMap>

#include "base/error.h"

namespace firmoor {

/// The CBOR map that each message between daemons is. Fails with `kBadMessage`.
Result<QCborMap> DecodePeerMessage(const QByteArray& bytes);

}  // namespace firmoor

#endif  // FIRMOOR_PEER_PEER_MESSAGE_H_
