#ifndef FIRMOOR_CONFIG_STARTUP_VERSION_H_
#define FIRMOOR_CONFIG_STARTUP_VERSION_H_

#include <cstdint>

namespace firmoor {

/// Decides when a daemon that has just started knows which version of the
/// configuration is in force.
///
/// A read of the store may lag behind the last write, so one read is no
/// proof: an earlier life of the daemon may have served a newer version. The
/// daemon waits until its peers were asked as well and its own version has
/// reached the highest that any of them told. Once known, it stays known.
class StartupVersion {
 public:
  /// The store answered: with its head, or that there is none.
  void OnStoreResponse();
  /// A peer has this version; 0 when it knows none itself.
  void OnPeerVersion(std::int64_t version);
  /// Every peer that is asked at the start has answered or timed out.
  void OnPeersQueried();
  /// The daemon itself is at this version.
  void OnVersion(std::int64_t version);

  [[nodiscard]] bool IsKnown() const { return known_; }

 private:
  void Update();

  std::int64_t own_version_ = 0;
  std::int64_t highest_peer_version_ = 0;
  bool has_version_ = false;  ///< The store answered, or a peer had a version.
  bool peers_queried_ = false;
  bool known_ = false;
};

}  // namespace firmoor

#endif  // FIRMOOR_CONFIG_STARTUP_VERSION_H_
