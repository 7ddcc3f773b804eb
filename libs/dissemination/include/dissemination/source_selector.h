#ifndef FIRMOOR_DISSEMINATION_SOURCE_SELECTOR_H_
#define FIRMOOR_DISSEMINATION_SOURCE_SELECTOR_H_

#include <map>
#include <optional>
#include <vector>

#include "base/time.h"
#include "http/message.h"

namespace firmoor {

/// Chooses where a daemon asks next for changes: at the daemons that it reads
/// from, at the store itself when none of them answers or knows anything
/// recent, and nowhere for a moment when the store fails as well. Pure.
class SourceSelector {
 public:
  enum class Target { kDaemon, kStore, kNone };
  struct Choice {
    Target target = Target::kStore;
    Endpoint daemon;  ///< Of `kDaemon`.

    bool operator==(const Choice&) const = default;
  };

  /// Takes the daemons to read from, the preferred one first; empty: this
  /// daemon reads the store.
  void SetSources(const std::vector<Endpoint>& sources);

  [[nodiscard]] Choice Next(TimePoint now) const;

  void OnDaemonResult(const Endpoint& daemon, bool good, TimePoint now);
  void OnStoreResult(bool good, TimePoint now);

 private:
  /// Failures in a row, and until when it is not asked again.
  struct Backoff {
    int failures = 0;
    TimePoint until;

    void Record(bool good, Duration initial, TimePoint now);
  };

  std::vector<Endpoint> sources_;
  std::map<Endpoint, Backoff> backoffs_;
  Backoff store_;
};

}  // namespace firmoor

#endif  // FIRMOOR_DISSEMINATION_SOURCE_SELECTOR_H_
