#ifndef FIRMOOR_GATEWAY_DETAILS_CONNECTION_METRICS_H_
#define FIRMOOR_GATEWAY_DETAILS_CONNECTION_METRICS_H_

#include <string>

#include "http/http_server.h"

namespace firmoor::details {

/// Connections that `server` closed without a response, by reason, and those
/// that it could not accept, in the Prometheus text format.
std::string ConnectionCutMetrics(const HttpServer& server);

}  // namespace firmoor::details

#endif  // FIRMOOR_GATEWAY_DETAILS_CONNECTION_METRICS_H_
