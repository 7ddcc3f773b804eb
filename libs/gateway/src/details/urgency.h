#ifndef FIRMOOR_GATEWAY_DETAILS_URGENCY_H_
#define FIRMOOR_GATEWAY_DETAILS_URGENCY_H_

#include <QCborMap>
#include <QCborValue>
#include <string>

#include "admission/shortage_gate.h"
#include "routing/route_table.h"

namespace firmoor::details {

/// The priorities of the requests for each service with engines. A workspace's
/// own priority may occur at every service.
KindsByService KindsOf(const RouteTableContent& content);

/// Weighs workspaces by their quotas; 0: none.
WorkspaceWeight WeightsOf(const RouteTableContent& content);

/// Decisions and admission levels, in the Prometheus text format.
std::string ShortageMetrics(const ShortageGate& gate, TimePoint now);

/// Malformed entries are skipped; messages of earlier builds hold none.
QCborMap EncodeShortageReport(const ShortageReport& report);
ShortageReport DecodeShortageReport(const QCborValue& value);
QCborMap EncodeShortageReply(const ShortageReply& reply);
ShortageReply DecodeShortageReply(const QCborValue& value);

}  // namespace firmoor::details

#endif  // FIRMOOR_GATEWAY_DETAILS_URGENCY_H_
