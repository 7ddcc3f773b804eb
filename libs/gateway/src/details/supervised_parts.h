#ifndef FIRMOOR_GATEWAY_DETAILS_SUPERVISED_PARTS_H_
#define FIRMOOR_GATEWAY_DETAILS_SUPERVISED_PARTS_H_

#include <string>

#include "base/supervisor.h"
#include "http/http_server.h"
#include "platform/kind_watcher.h"

namespace firmoor::details {

/// Listens with `server`, which must outlive the supervisor; waits while its
/// endpoint is in use.
Supervisor::Part ServerPart(std::string name, HttpServer* server);

/// Follows a kind of the store with `watcher`, which must outlive the
/// supervisor.
Supervisor::Part FollowerPart(std::string name, KindWatcher* watcher);

}  // namespace firmoor::details

#endif  // FIRMOOR_GATEWAY_DETAILS_SUPERVISED_PARTS_H_
