#include "config/startup_version.h"

#include <algorithm>

namespace firmoor {

void StartupVersion::OnStoreResponse() {
  has_version_ = true;
  Update();
}

void StartupVersion::OnPeerVersion(std::int64_t version) {
  has_version_ = has_version_ || version > 0;
  highest_peer_version_ = std::max(highest_peer_version_, version);
  Update();
}

void StartupVersion::OnPeersQueried() {
  peers_queried_ = true;
  Update();
}

void StartupVersion::OnVersion(std::int64_t version) {
  own_version_ = std::max(own_version_, version);
  Update();
}

void StartupVersion::Update() {
  known_ = known_ || (has_version_ && peers_queried_ &&
                      own_version_ >= highest_peer_version_);
}

}  // namespace firmoor
