#ifndef FIRMOOR_SERVING_UPSTREAM_TABLE_H_
#define FIRMOOR_SERVING_UPSTREAM_TABLE_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "platform/vm_list.h"

namespace firmoor {

/// After this time, a leaving upstream must get no new requests.
constexpr Duration kLeavingGrace{3'000};

/// The upstreams known to a daemon. An upstream that is about to shut down is
/// marked as leaving by the VM list, cloud notices, load reports or peers. No
/// source can clear the mark, because the VM list lags. Performs no I/O.
class UpstreamTable {
 public:
  /// Differences between the previous VM list and a new one.
  struct Change {
    std::vector<Vm> added;
    std::vector<std::string> removed;
    std::vector<std::string> now_leaving;

    bool operator==(const Change&) const = default;
  };

  /// Replaces the VM list. An empty list is ignored when upstreams are known:
  /// the last list stays valid until the platform returns another one.
  Change ApplyVmList(const std::vector<Vm>& list, TimePoint now);

  /// Marks an upstream as leaving; true when the mark is new. Unknown ids are
  /// accepted, because the VM list may show them late.
  bool MarkLeaving(const std::string& id, TimePoint now);

  [[nodiscard]] bool IsLeaving(const std::string& id) const;
  [[nodiscard]] const Vm* Find(const std::string& id) const;
  [[nodiscard]] const std::map<std::string, Vm>& all() const { return vms_; }

  /// Ids of all marked upstreams, to be sent to peers.
  [[nodiscard]] std::vector<std::string> Leaving() const;

  /// Checks the invariant that no request is sent to an upstream that has been
  /// leaving for more than `kLeavingGrace`.
  void AssertAcceptsRequests(const std::string& id, TimePoint now) const;

 private:
  std::map<std::string, Vm> vms_;
  std::map<std::string, TimePoint> leaving_since_;
};

}  // namespace firmoor

#endif  // FIRMOOR_SERVING_UPSTREAM_TABLE_H_
