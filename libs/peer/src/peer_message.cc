#include "peer/peer_message.h"

#include <QCborValue>

namespace firmoor {

Result<QCborMap> DecodePeerMessage(const QByteArray& bytes) {
  // A map that breaks off is a map without its last value, which Qt does not
  // bear to be searched.
  QCborParserError error;
  const auto value = QCborValue::fromCbor(bytes, &error);
  if (error.error != QCborError::NoError || !value.isMap()) {
    return Fail(ResultCode::kBadMessage, "A daemon's message is no map");
  }
  return value.toMap();
}

}  // namespace firmoor
