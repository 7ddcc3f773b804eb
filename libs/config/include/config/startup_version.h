#ifndef FIRMOOR_CONFIG_STARTUP_VERSION_H_
#define FIRMOOR_CONFIG_STARTUP_VERSION_H_

#include <cstdint>

namespace firmoor {

/// Decides when a daemon that has just started knows which version of the
/// configuration is in force.
///
/// A read of the store may lag behind the last write, so a single read is not
/// sufficient: the daemon may have served a newer version before its restart.
/// It therefore also queries its peers and waits until its own version has
/// reached the highest that any of them reported. Once known, the version stays
/// known.
class StartupVersion {
 public:
  /// The store answered with its head, or that there is none.
  void OnStoreResponse();
  /// A peer reported this version; 0 if it does not know any.
  void OnPeerVersion(std::int64_t version);
  /// Every peer that is queried at startup has answered or timed out.
  void OnPeersQueried();
  /// The daemon itself has reached this version.
  void OnVersion(std::int64_t version);

  [[nodiscard]] bool IsKnown() const { return known_; }

 private:
  void Update();

  std::int64_t own_version_ = 0;
  std::int64_t highest_peer_version_ = 0;
  /// A peer has a version, or the store answered (0 if it has none).
  bool has_version_ = false;
  bool peers_queried_ = false;
  bool known_ = false;
};

}  // namespace firmoor

#endif  // FIRMOOR_CONFIG_STARTUP_VERSION_H_
