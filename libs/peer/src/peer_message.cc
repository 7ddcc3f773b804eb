#include "peer/peer_message.h"

#include <QCborValue>

namespace firmoor {

Result<QCborMap> DecodePeerMessage(const QByteArray& bytes) {
  // Checks the parser error too: from a truncated map Qt returns a map without
  // its last value, and lookups in it are unsafe.
  QCborParserError error;
  const auto value = QCborValue::fromCbor(bytes, &error);
  if (error.error != QCborError::NoError || !value.isMap()) {
    return Fail(ResultCode::kBadMessage,
                "peer message is not a valid CBOR map");
  }
  return value.toMap();
}

}  // namespace firmoor
