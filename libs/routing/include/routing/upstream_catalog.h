#ifndef FIRMOOR_ROUTING_UPSTREAM_CATALOG_H_
#define FIRMOOR_ROUTING_UPSTREAM_CATALOG_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "http/message.h"

namespace firmoor {

/// What an upstream says of itself in the platform's store.
struct UpstreamEntry {
  std::string id;
  std::int64_t born_ms = 0;  ///< Start of this life, Unix ms; 0: not told.
  std::string service;
  std::string availability_zone;
  Endpoint endpoint;
  std::int64_t slots = 1;
  bool leaving = false;
  bool reclaimable = false;

  bool operator==(const UpstreamEntry&) const = default;
};

/// Upstreams that may get work. An upstream that leaves never comes back in
/// the same life, whatever a source says later, also when its entry was gone
/// for a while. While the store is away its
/// entries lapse although the upstreams live, so removals seen soon after an
/// outage wait until the entries had time to return. Pure.
class UpstreamCatalog {
 public:
  /// `reregistration_time`: how long lapsed entries may take to return after an
  /// outage of the store.
  explicit UpstreamCatalog(Duration reregistration_time);

  /// Takes a whole list; entries that are missing are removed.
  void ApplyAll(const std::vector<UpstreamEntry>& entries, TimePoint now);
  void Apply(const UpstreamEntry& entry);
  void Remove(const std::string& id, TimePoint now);

  /// The store failed a call now, so entries may be lapsing.
  void OnStoreOutage(TimePoint now);

  /// The upstream itself, or an answer in its place, said that it leaves.
  /// `born_ms`: the life that was asked; another one is not touched. False
  /// when it was known, or is gone.
  bool MarkLeaving(const std::string& id, std::int64_t born_ms, TimePoint now);

  /// Carries out removals that are due. Call before reading.
  void ApplyDueRemovals(TimePoint now);

  /// When `ApplyDueRemovals` has work next.
  [[nodiscard]] std::optional<TimePoint> NextRemoval() const;

  [[nodiscard]] const UpstreamEntry* Find(const std::string& id) const;
  [[nodiscard]] const std::map<std::string, UpstreamEntry>& all() const {
    return entries_;
  }

 private:
  /// A life that said that it leaves.
  struct DepartedInstance {
    std::int64_t born_ms = 0;
    TimePoint at;
  };

  Duration reregistration_time_;
  std::map<std::string, UpstreamEntry> entries_;
  std::map<std::string, DepartedInstance>
      departed_;  ///< By id; also of entries that are gone.
  std::map<std::string, TimePoint> pending_removals_;
  std::optional<TimePoint> last_outage_;
};

}  // namespace firmoor

#endif  // FIRMOOR_ROUTING_UPSTREAM_CATALOG_H_
