#ifndef FIRMOOR_CAPACITY_UPSTREAM_CAPACITY_H_
#define FIRMOOR_CAPACITY_UPSTREAM_CAPACITY_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "capacity/concurrency_limit.h"
#include "capacity/relative_speed.h"
#include "capacity/time_model.h"

namespace firmoor {

/// What a daemon believes of an upstream.
enum class UpstreamCondition {
  kEven,      ///< Like the others of its service.
  kFast,      ///< Faster for good.
  kSlow,      ///< Slower for good.
  kSlowNow,   ///< Its latest answers were slow.
  kSlowFull,  ///< Slows down well before it is full.
};

/// "even", "fast" and so on, for logs.
std::string_view NameOf(UpstreamCondition condition);

/// The work of a request, by which the time that it may take is judged.
struct CapacityWork {
  std::string service;
  std::string kind;   ///< Requests of one kind are of similar size.
  double tokens = 0;  ///< Prompt tokens that are read; 0 for plain requests.
  /// Further ones, which are read unless requests of other daemons left them in
  /// the cache.
  double uncertain_tokens = 0;

  bool operator==(const CapacityWork&) const = default;
};

/// A request that an upstream answered, or was given up at.
struct CapacitySample {
  std::string id;  ///< Of the upstream.
  CapacityWork work;
  bool is_remote = false;      ///< In another region.
  Duration time{0};            ///< To the first event, or to the answer.
  double queue_s = 0;          ///< Part of it that the load explains.
  std::int64_t in_flight = 1;  ///< Of this daemon there, this one included.
  std::int64_t ceiling = 1;    ///< Limit of these without evidence.
  double load = 0;             ///< Other requests there, by its slots.
  /// The request was given up, so the upstream would have taken longer.
  bool is_lower_bound = false;

  bool operator==(const CapacitySample&) const = default;
};

/// A change of what a daemon believes of an upstream.
struct CapacityChange {
  std::string id;
  std::string service;
  UpstreamCondition condition = UpstreamCondition::kEven;
  double slowness = 1;
  std::int64_t limit = 0;
  std::int64_t samples = 0;

  bool operator==(const CapacityChange&) const = default;
};

/// Learns from a daemon's own requests how much each upstream takes well.
///
/// The times of requests are compared to those that the service needs for such
/// requests. Upstreams that are slow while they have little to do have a lower
/// speed; those that are slow only beside other requests get a lower limit.
/// Differences that chance explains count as none, so that even upstreams are
/// chosen as without evidence. Cost and state are proportional to the upstreams
/// that this daemon uses. Performs no I/O.
class UpstreamCapacity {
 public:
  /// Returns observed by expected time; empty while too little is known.
  std::optional<double> OnSample(const CapacitySample& sample, TimePoint now);
  void Remove(const std::string& service, const std::string& id);

  /// Expected time at the upstream by that at a usual one; 1 without evidence.
  [[nodiscard]] double Slowness(const std::string& service,
                                const std::string& id, TimePoint now) const;
  /// By how much one more request, beside `in_flight` ones of this daemon,
  /// exceeds what the upstream takes well, as a share of that; 0 if it does
  /// not, or without evidence.
  [[nodiscard]] double Overload(const std::string& service,
                                const std::string& id,
                                std::int64_t in_flight) const;
  /// Seconds that a request takes at a usual upstream without load and without
  /// uncached tokens; empty while too little is known.
  [[nodiscard]] std::optional<double> BaseTime(const std::string& service,
                                               const std::string& kind) const;
  /// Prompt tokens that an engine of the service reads per second.
  [[nodiscard]] double TokensPerS(const std::string& service) const;

  /// Changes since the last call; only the latest if there were many.
  [[nodiscard]] std::vector<CapacityChange> TakeChanges();

 private:
  struct Upstream {
    RelativeSpeed speed;
    std::optional<ConcurrencyLimit> limit;
    double loaded = 0;  ///< Mean log ratio beside other requests.
    UpstreamCondition condition = UpstreamCondition::kEven;
    TimePoint changed_at;
  };
  /// What is usual for upstreams, as log ratios.
  struct Center {
    double mean = 0;
    double peak = 0;
    TimePoint at;
  };
  struct Service {
    std::map<std::string, TimeModel> models;  ///< By kind.
    double remote_s = 0;  ///< Additional time to other regions.
    double remote_samples = 0;
    std::map<std::string, Upstream> upstreams;  ///< By id.
    mutable Center center;
  };

  [[nodiscard]] static const Center& CenterOf(const Service& service,
                                              TimePoint now);
  /// Log of the slowness.
  [[nodiscard]] static double MeanOf(const Service& service,
                                     const Upstream& upstream, TimePoint now);
  [[nodiscard]] static double PeakOf(const Service& service,
                                     const Upstream& upstream, TimePoint now);
  /// Learns what the service needs for such a request, by one that met no load.
  static void LearnUsualTime(const CapacitySample& sample, double time_s,
                             Service* service, TimeModel* model);
  /// `time_s` and `expected_s`: without queues, at a usual upstream.
  static void OnLoadedSample(Upstream* upstream, const CapacitySample& sample,
                             double time_s, double expected_s, TimePoint now);
  static UpstreamCondition ConditionOf(const Service& service,
                                       const Upstream& upstream, TimePoint now);
  void RecordChange(const Service& service, Upstream* upstream,
                    const CapacitySample& sample, TimePoint now);
  [[nodiscard]] const Upstream* Find(const std::string& service,
                                     const std::string& id) const;

  std::map<std::string, Service> services_;
  std::deque<CapacityChange> changes_;
};

}  // namespace firmoor

#endif  // FIRMOOR_CAPACITY_UPSTREAM_CAPACITY_H_
