#ifndef FIRMOOR_GATEWAY_DETAILS_HOLDER_NAME_H_
#define FIRMOOR_GATEWAY_DETAILS_HOLDER_NAME_H_

#include <string>

#include "http/message.h"

namespace firmoor::details {

/// Name under which a daemon holds the coordinator's lease: "DAEMON@ENDPOINT",
/// so that the others know where to report.
std::string HolderName(const std::string& daemon, const Endpoint& peers);

/// Where the holder listens for other daemons; port 0 if `holder` names none.
Endpoint HolderEndpoint(const std::string& holder);

}  // namespace firmoor::details

#endif  // FIRMOOR_GATEWAY_DETAILS_HOLDER_NAME_H_
