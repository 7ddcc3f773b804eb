#ifndef FIRMOOR_GATEWAY_DETAILS_STREAM_END_ENCODING_H_
#define FIRMOOR_GATEWAY_DETAILS_STREAM_END_ENCODING_H_

#include <QCborArray>
#include <QCborValue>

#include "serving/stream_end_messages.h"

namespace firmoor::details {

/// Items: service, software version, whole, cuts, cut age in ms, age in ms, and
/// the totals of the daemon: whole, cuts, whole since its last cut.
QCborArray EncodeStreamEndReports(const StreamEndReports& reports);
/// Skips malformed entries; empty for messages of earlier builds.
StreamEndReports DecodeStreamEndReports(const QCborValue& value);

/// Like `EncodeStreamEndReports`.
QCborArray EncodeStreamEndReplies(const StreamEndReplies& replies);
/// Like `DecodeStreamEndReports`.
StreamEndReplies DecodeStreamEndReplies(const QCborValue& value);

}  // namespace firmoor::details

#endif  // FIRMOOR_GATEWAY_DETAILS_STREAM_END_ENCODING_H_
