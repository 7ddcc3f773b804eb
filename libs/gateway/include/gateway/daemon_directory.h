#ifndef FIRMOOR_GATEWAY_DAEMON_DIRECTORY_H_
#define FIRMOOR_GATEWAY_DAEMON_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <string>

#include "dissemination/change_log.h"
#include "dissemination/distribution_tree.h"
#include "gateway/peer_directory_messages.h"

namespace firmoor {

/// The coordinator's list of all daemons, which each of them gets once and then
/// only the changes of. Does no I/O.
class DaemonDirectory {
 public:
  /// `term` identifies this coordinator: daemons discard the list of another
  /// one.
  explicit DaemonDirectory(std::int64_t term);

  void SetDaemons(const std::map<std::string, DaemonLocation>& daemons);
  /// What a daemon at `position` lacks.
  [[nodiscard]] DirectoryUpdate UpdateSince(
      const DirectoryPosition& position) const;

 private:
  std::int64_t term_;
  std::map<std::string, DaemonLocation> daemons_;
  ChangeLog log_;
};

}  // namespace firmoor

#endif  // FIRMOOR_GATEWAY_DAEMON_DIRECTORY_H_
