#ifndef FIRMOOR_GATEWAY_DETAILS_ROLLOUT_ENCODING_H_
#define FIRMOOR_GATEWAY_DETAILS_ROLLOUT_ENCODING_H_

#include <QCborMap>
#include <QCborValue>

#include "rollout/rollout_messages.h"

namespace firmoor::details {

QCborMap EncodeRolloutReports(const RolloutReports& reports);
/// Skips malformed entries; empty for messages of builds without roll-outs.
RolloutReports DecodeRolloutReports(const QCborValue& value);

QCborMap EncodeRolloutReplies(const RolloutReplies& replies);
/// Like `DecodeRolloutReports`.
RolloutReplies DecodeRolloutReplies(const QCborValue& value);

}  // namespace firmoor::details

#endif  // FIRMOOR_GATEWAY_DETAILS_ROLLOUT_ENCODING_H_
