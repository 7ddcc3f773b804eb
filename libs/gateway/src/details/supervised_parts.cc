#include "details/supervised_parts.h"

#include <utility>

namespace firmoor::details {

Supervisor::Part ServerPart(std::string name, HttpServer* server) {
  return {std::move(name), [server] { return server->Start(); },
          [server] { server->StopListening(); },
          [server] { return server->IsAddressInUse(); }};
}

Supervisor::Part FollowerPart(std::string name, KindWatcher* watcher) {
  return {std::move(name),
          [watcher] {
            watcher->Start();
            return true;
          },
          [watcher] { watcher->Stop(); }};
}

}  // namespace firmoor::details
