#ifndef FIRMOOR_DISSEMINATION_SOURCE_SELECTOR_H_
#define FIRMOOR_DISSEMINATION_SOURCE_SELECTOR_H_

#include <map>
#include <set>
#include <vector>

#include "base/time.h"
#include "http/message.h"

namespace firmoor {

/// Chooses where a daemon reads changes next: from one of its source daemons,
/// from the store when none of these responds with recent data, and from
/// nowhere while the store is backed off as well. Does no I/O.
class SourceSelector {
 public:
  enum class Target { kDaemon, kStore, kNone };
  struct Choice {
    Target target = Target::kStore;
    Endpoint daemon;  ///< Set for `kDaemon` only.

    bool operator==(const Choice&) const = default;
  };

  /// Sets the daemons to read from, in order of preference; empty: this daemon
  /// reads the store.
  void SetSources(const std::vector<Endpoint>& sources);

  /// `tried`: daemons that have failed the same request.
  [[nodiscard]] Choice Next(TimePoint now,
                            const std::set<Endpoint>& tried = {}) const;

  void OnDaemonResult(const Endpoint& daemon, bool succeeded, TimePoint now);
  void OnStoreResult(bool succeeded, TimePoint now);

 private:
  struct Backoff {
    int failures = 0;  ///< Consecutive.
    TimePoint until;   ///< No calls before.

    void Record(bool succeeded, Duration initial_delay, TimePoint now);
  };

  std::vector<Endpoint> sources_;
  std::map<Endpoint, Backoff> backoffs_;
  Backoff store_;
};

}  // namespace firmoor

#endif  // FIRMOOR_DISSEMINATION_SOURCE_SELECTOR_H_
