#ifndef FIRMOOR_SERVING_TRIED_UPSTREAMS_H_
#define FIRMOOR_SERVING_TRIED_UPSTREAMS_H_

#include <optional>
#include <set>
#include <string>
#include <utility>

#include "base/time.h"

namespace firmoor {

/// The upstreams that one request has been tried at, and which of them may be
/// tried again. Performs no I/O.
class TriedUpstreams {
 public:
  /// `earlier`: tried by the daemon that delegated the request.
  explicit TriedUpstreams(std::set<std::string> earlier = {})
      : excluded_(std::move(earlier)) {}

  /// An attempt at the upstream starts.
  void Add(const std::string& upstream);
  /// The attempt found no connection: the upstream has nothing of the request.
  void OnUnreached(const std::string& upstream);
  /// The link of this daemon to the upstream may be lost.
  void OnLinkLost(const std::string& upstream);
  /// The attempt was overtaken. `was_silent`: for the upstream's time-out, so
  /// that others are tried before it.
  void OnOvertaken(const std::string& upstream, bool was_silent);

  /// The upstream may have run the request, and has ended its response.
  void OnRan(const std::string& upstream) { ran_at_.insert(upstream); }
  /// Upstreams other than `upstream` that may have run the request. What
  /// follows the response of that one can be asked of them without the request
  /// being sent to one upstream more.
  [[nodiscard]] std::set<std::string> RanBefore(
      const std::string& upstream) const;

  /// Not to be tried now.
  [[nodiscard]] const std::set<std::string>& excluded() const {
    return excluded_;
  }
  /// Not to be tried by another daemon, which may have connections to the
  /// upstreams to which this one has none.
  [[nodiscard]] std::set<std::string> ExcludedForPeers() const;
  /// Upstreams to which the last attempt found no connection.
  [[nodiscard]] const std::set<std::string>& unreached() const {
    return unreached_;
  }

  /// Upstreams that were overtaken while silent may be tried again, since no
  /// other one is left. Returns whether there are any.
  bool ReadmitOvertaken();
  /// Upstreams that were not reached may be tried again.
  void ReadmitUnreached();
  /// Time until they are to be tried again when no other upstream is left,
  /// longer each time; they are readmitted. Empty if there are none, or if too
  /// little of `time_left` would remain for an attempt.
  std::optional<Duration> WaitForUnreached(Duration time_left);

 private:
  std::set<std::string> excluded_;
  std::set<std::string> unreached_;
  std::set<std::string> ran_at_;
  std::set<std::string> lost_;       ///< By `OnLinkLost`.
  std::set<std::string> overtaken_;  ///< While silent.
  int waits_ = 0;
};

}  // namespace firmoor

#endif  // FIRMOOR_SERVING_TRIED_UPSTREAMS_H_
