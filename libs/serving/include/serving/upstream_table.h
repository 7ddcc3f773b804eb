#ifndef FIRMOOR_SERVING_UPSTREAM_TABLE_H_
#define FIRMOOR_SERVING_UPSTREAM_TABLE_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "platform/vm_list.h"

namespace firmoor {

/// Longest time after which a leaving upstream must get no new work.
constexpr Duration kLeavingGrace{3'000};

/// Upstreams known to a daemon. Leaving is a one-way mark that is merged from
/// the VM list, cloud notices, load reports and peers: once set, no source
/// takes it back, since the VM list lags. Pure.
class UpstreamTable {
 public:
  /// What a new list changed.
  struct Change {
    std::vector<Vm> added;
    std::vector<std::string> removed;
    std::vector<std::string> now_leaving;

    bool operator==(const Change&) const = default;
  };

  /// Takes the VM list. An empty list is ignored when upstreams are known:
  /// the last list stands until the platform shows another one.
  Change ApplyVmList(const std::vector<Vm>& list, TimePoint now);

  /// Sets the mark; true when it is new. Ids that are not known yet are
  /// remembered, since the list may show them late.
  bool MarkLeaving(const std::string& id, TimePoint now);

  [[nodiscard]] bool IsLeaving(const std::string& id) const;
  [[nodiscard]] const Vm* Find(const std::string& id) const;
  [[nodiscard]] const std::map<std::string, Vm>& all() const { return vms_; }

  /// Ids that leave, for peers.
  [[nodiscard]] std::vector<std::string> Leaving() const;

  /// Asserts, when new work is sent, that the upstream may get it.
  void AssertAcceptsRequests(const std::string& id, TimePoint now) const;

 private:
  std::map<std::string, Vm> vms_;
  std::map<std::string, TimePoint> leaving_since_;
};

}  // namespace firmoor

#endif  // FIRMOOR_SERVING_UPSTREAM_TABLE_H_
