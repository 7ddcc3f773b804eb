#ifndef FIRMOOR_GATEWAY_DETAILS_DELEGATION_SERVER_H_
#define FIRMOOR_GATEWAY_DETAILS_DELEGATION_SERVER_H_

#include <QByteArray>
#include <memory>
#include <string_view>

#include "details/gateway_context.h"
#include "peer/peer_stream.h"

namespace firmoor::details {

/// Serves a request that another daemon delegates to this one, or refuses it.
void ServeDelegation(GatewayContext* context, std::string_view kind,
                     const QByteArray& message,
                     const std::shared_ptr<PeerStreamResponder>& responder);

}  // namespace firmoor::details

#endif  // FIRMOOR_GATEWAY_DETAILS_DELEGATION_SERVER_H_
