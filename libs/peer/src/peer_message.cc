#include "peer/peer_message.h"

#include <QCborValue>

namespace firmoor {

Result<QCborMap> DecodePeerMessage(const QByteArray& bytes) {
  const auto value = QCborValue::fromCbor(bytes);
  if (!value.isMap()) {
    return Fail(ResultCode::kBadMessage, "A daemon's message is no map");
  }
  return value.toMap();
}

}  // namespace firmoor
