#ifndef FIRMOOR_ROUTING_UPSTREAM_CATALOG_H_
#define FIRMOOR_ROUTING_UPSTREAM_CATALOG_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "http/message.h"

namespace firmoor {

/// Registration of an upstream in the platform's store.
struct UpstreamEntry {
  std::string id;
  std::int64_t born_ms = 0;  ///< Start of this instance, Unix ms; 0: unknown.
  std::string service;
  /// Of its software; empty if it names none. Only upstreams of the same
  /// version can resume each other's streams.
  std::string software_version;
  std::string availability_zone;
  Endpoint endpoint;
  std::int64_t slots = 1;
  bool leaving = false;
  bool reclaimable = false;

  bool operator==(const UpstreamEntry&) const = default;
};

/// Upstreams that may receive requests.
///
/// Leaving is final for an instance: no later update of any source reverts it,
/// even after the entry was removed and registered again. A restart under the
/// same id is a new instance.
///
/// Entries expire while the store is unavailable although the upstreams are
/// still running. Removals seen during or shortly after an outage are therefore
/// delayed until the upstreams have had time to register again.
///
/// When the store returns from an older copy, its entries may be those of
/// before: lists then neither revert what left since nor replace an instance
/// by an earlier one. Performs no I/O.
class UpstreamCatalog {
 public:
  /// `reregistration_time`: time that upstreams may take to register again
  /// after a store outage. `max_removal_delay`: from a removal, at least the
  /// former; an upstream that left serves no longer than this.
  UpstreamCatalog(Duration reregistration_time, Duration max_removal_delay);

  /// Applies a complete list; entries that are not in it are removed.
  void ApplyAll(const std::vector<UpstreamEntry>& entries, TimePoint now);
  void Apply(const UpstreamEntry& entry);
  void Remove(const std::string& id, TimePoint now);

  /// Records a failed store call. Entries may expire from now on.
  void OnStoreOutage(TimePoint now);

  /// Records that the store has returned from an older copy. Call before
  /// applying anything read since. Removals are delayed as after an outage.
  void OnStoreReturn(TimePoint now);

  /// Whether a listed entry is skipped because it is of an instance that left
  /// or was replaced, as the store showed before it returned.
  [[nodiscard]] bool IsOutdated(const UpstreamEntry& entry,
                                TimePoint now) const;

  /// Marks an upstream as leaving after it, or a response on its behalf,
  /// announced that. Ignored if the current instance does not have `born_ms`.
  /// Returns false if nothing changed.
  bool MarkLeaving(const std::string& id, std::int64_t born_ms, TimePoint now);

  /// Performs delayed removals that are due. Call before reading entries.
  void ApplyDueRemovals(TimePoint now);

  /// Time of the next delayed removal.
  [[nodiscard]] std::optional<TimePoint> NextRemoval() const;

  [[nodiscard]] const UpstreamEntry* Find(const std::string& id) const;
  [[nodiscard]] const std::map<std::string, UpstreamEntry>& all() const {
    return entries_;
  }

 private:
  /// An instance that left.
  struct DepartedInstance {
    std::int64_t born_ms = 0;
    TimePoint at;
    /// Whether it was known to be leaving. Otherwise its entry was removed,
    /// which may also mean that it lapsed.
    bool is_final = false;
  };

  /// A removal that waits in case the upstream registers again.
  struct PendingRemoval {
    TimePoint seen_at;
    TimePoint due;  ///< Extended by outages.
  };

  /// Services with an upstream that is registered and not leaving.
  [[nodiscard]] std::set<std::string> RegisteredServices() const;
  /// When a removal is performed if nothing changes until then.
  [[nodiscard]] TimePoint DueTime(
      const std::string& id, const PendingRemoval& removal,
      const std::set<std::string>& registered_services) const;
  void Erase(const std::string& id, TimePoint now);
  void RecordDeparture(const std::string& id, DepartedInstance departed);

  Duration reregistration_time_;
  Duration max_removal_delay_;
  std::map<std::string, UpstreamEntry> entries_;
  std::map<std::string, DepartedInstance>
      departed_;  ///< By id; outlives the entries.
  std::map<std::string, PendingRemoval> pending_removals_;
  std::optional<TimePoint> last_outage_;  ///< Last failed store call.
  std::optional<TimePoint> last_return_;  ///< Of the store from a copy.
  bool listed_since_return_ = true;
};

}  // namespace firmoor

#endif  // FIRMOOR_ROUTING_UPSTREAM_CATALOG_H_
