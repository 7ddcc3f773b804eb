#ifndef FIRMOOR_GATEWAY_DETAILS_QUARANTINE_ENCODING_H_
#define FIRMOOR_GATEWAY_DETAILS_QUARANTINE_ENCODING_H_

#include <QCborMap>
#include <QCborValue>

#include "base/error.h"
#include "quarantine/quarantine_messages.h"

namespace firmoor::details {

QCborMap EncodeQuarantineReport(const QuarantineReport& report);
/// Suspects of an unknown kind are left out; lists are cut to their bounds.
/// Fails with `kBadMessage`.
Result<QuarantineReport> DecodeQuarantineReport(const QCborValue& value);

QCborMap EncodeQuarantineReply(const QuarantineReply& reply);
/// Like `DecodeQuarantineReport`.
Result<QuarantineReply> DecodeQuarantineReply(const QCborValue& value);

}  // namespace firmoor::details

#endif  // FIRMOOR_GATEWAY_DETAILS_QUARANTINE_ENCODING_H_
