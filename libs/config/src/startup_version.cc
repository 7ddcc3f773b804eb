#include "config/startup_version.h"

#include <algorithm>

namespace firmoor {

void StartupVersion::OnStoreResponse() {
  told_ = true;
  Decide();
}

void StartupVersion::OnPeerVersion(std::int64_t version) {
  told_ = told_ || version > 0;
  highest_told_ = std::max(highest_told_, version);
  Decide();
}

void StartupVersion::OnPeersQueried() {
  peers_asked_ = true;
  Decide();
}

void StartupVersion::OnVersion(std::int64_t version) {
  own_ = std::max(own_, version);
  Decide();
}

void StartupVersion::Decide() {
  known_ = known_ || (told_ && peers_asked_ && own_ >= highest_told_);
}

}  // namespace firmoor
