#ifndef FIRMOOR_HTTP_DETAILS_DEAD_PEER_DETECTION_H_
#define FIRMOOR_HTTP_DETAILS_DEAD_PEER_DETECTION_H_

#include <QtGlobal>

#include "base/time.h"

namespace firmoor::details {

/// Ends a TCP connection once the peer's host has sent no packet, responses to
/// keep-alive probes included, for `host_silent`.
void EnableDeadPeerDetection(qintptr descriptor, Duration host_silent);

}  // namespace firmoor::details

#endif  // FIRMOOR_HTTP_DETAILS_DEAD_PEER_DETECTION_H_
