#ifndef FIRMOOR_SERVING_ROUTER_H_
#define FIRMOOR_SERVING_ROUTER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "capacity/concurrency_limit.h"
#include "serving/prefix_index.h"

namespace firmoor {

/// The properties of a request that routing depends on.
struct RouteRequest {
  std::vector<std::uint64_t> chunks;  ///< Prompt prefix hashes; empty if plain.
  std::size_t prompt_tokens = 0;
  std::set<std::string> exclude;  ///< Replicas already tried.
  bool may_cross_region = true;

  bool operator==(const RouteRequest&) const = default;
};

/// Load that a replica reported about itself; lags behind the actual load.
struct ReplicaLoad {
  std::int64_t running = 0;
  std::int64_t queued_tokens = 0;  ///< Prompt tokens waiting for prefill.

  bool operator==(const ReplicaLoad&) const = default;
};

/// State of a replica that routing strategies use.
struct ReplicaView {
  std::string_view id;
  std::int64_t in_flight = 0;       ///< Requests sent by this daemon.
  std::int64_t running = 0;         ///< Requests of all daemons, each
                                    ///< counted once.
  double queued_tokens = 0;         ///< Prompt tokens ahead of a new request.
  std::size_t matched_chunks = 0;   ///< Leading chunks probably cached.
  double prefill_tokens_per_s = 0;  ///< Estimated from first tokens.
  std::uint64_t round_robin_position = 0;  ///< Distance from the next in turn.
  std::uint64_t rendezvous_rank = 0;       ///< Rendezvous hash for the prefix.
  bool is_same_zone = true;
};

/// Assigns a cost to replicas; the router picks the lowest. Stateless.
class RoutingStrategy {
 public:
  virtual ~RoutingStrategy() = default;
  /// In seconds, or on a scale of the strategy's own.
  [[nodiscard]] virtual double Cost(const ReplicaView& replica,
                                    const RouteRequest& request) const = 0;
  /// Costs that exceed the lowest by at most this count as equal. Ties go to
  /// the longest cached prefix, then to the highest rendezvous rank. Not
  /// applied to requests without prefix chunks.
  [[nodiscard]] virtual double Tolerance() const { return 0; }

  /// How long a request may wait for a full replica that caches its prefix.
  [[nodiscard]] virtual Duration MaxPrefixWait() const { return Duration(0); }
};

/// "expected-time", "round-robin", "least-in-flight" or "prefix-affinity";
/// null for any other name.
std::unique_ptr<RoutingStrategy> MakeRoutingStrategy(std::string_view name);

/// Bookkeeping of one request at one replica, from dispatch to end.
struct RouteTicket {
  std::string replica;                ///< Empty: not at a replica.
  double uncached_tokens = 0;         ///< Prompt tokens to prefill.
  double prefill_backlog_tokens = 0;  ///< Including those queued before it.
  bool first_token_seen = false;

  bool operator==(const RouteTicket&) const = default;
};

/// Picks a replica of one service for each request. Requests dispatched by
/// this daemon count at once, because load reports lag; the cache contents are
/// only hints. The replicas of the local region form one pool, in which the
/// strategy may prefer the local availability zone. Other regions are used only
/// when the local one has no free replica. Performs no I/O.
class Router {
 public:
  /// Location of a replica relative to this daemon.
  enum class Distance { kZone, kRegion, kRemote };

  struct Choice {
    std::string id;
    Distance distance = Distance::kZone;
    std::size_t matched_chunks = 0;

    bool operator==(const Choice&) const = default;
  };

  explicit Router(std::unique_ptr<RoutingStrategy> strategy);

  void AddReplica(const std::string& id, Distance distance,
                  std::int64_t concurrency);
  void RemoveReplica(const std::string& id);
  void SetConcurrency(std::int64_t concurrency);
  /// A leaving replica gets no new requests; its running ones continue.
  void SetLeaving(const std::string& id);

  /// The replica for `request`; nothing when none is usable and free.
  std::optional<Choice> Pick(const RouteRequest& request, TimePoint now);
  /// Whether `Pick` would return a replica.
  [[nodiscard]] bool CanPick(const RouteRequest& request, TimePoint now) const;

  /// Whether a replica that is full now has enough more of the prefix cached
  /// than `choice` to make waiting for it, up to `MaxPrefixWait`, worthwhile.
  [[nodiscard]] bool IsWorthWaiting(const RouteRequest& request,
                                    const Choice& choice, TimePoint now) const;

  /// The request was sent to the replica. Keep the ticket until `OnEnd`.
  RouteTicket OnDispatch(const std::string& id, const RouteRequest& request,
                         TimePoint now);
  /// The first token, or the headers of a plain answer, arrived.
  void OnFirstToken(RouteTicket* ticket, Duration after, Duration target,
                    TimePoint now);
  /// The request ended at the replica; clears the ticket.
  void OnEnd(RouteTicket* ticket);
  /// A request or a load query failed: ejects the replica for a time that
  /// doubles with each consecutive failure.
  void OnFailure(const std::string& id, TimePoint now);
  void OnSuccess(const std::string& id);

  void OnLoadReport(const std::string& id, const ReplicaLoad& load,
                    TimePoint now);
  void OnCacheStored(const std::string& id,
                     std::span<const std::uint64_t> chunks);
  void OnCacheRemoved(const std::string& id,
                      std::span<const std::uint64_t> chunks);

  [[nodiscard]] Duration MaxPrefixWait() const {
    return strategy_->MaxPrefixWait();
  }

  /// Sum of the concurrency limits of the usable replicas.
  [[nodiscard]] std::int64_t Capacity(TimePoint now) const;
  [[nodiscard]] std::size_t ReplicaCount() const { return replicas_.size(); }
  [[nodiscard]] std::int64_t InFlight(const std::string& id) const;

 private:
  struct Replica {
    Distance distance;
    ConcurrencyLimit limit;
    PrefixIndex index;
    bool leaving = false;
    std::int64_t in_flight = 0;
    double local_queued_tokens = 0;
    ReplicaLoad reported;
    TimePoint reported_at;
    std::int64_t in_flight_at_report = 0;
    double local_queued_at_report = 0;
    double prefill_tokens_per_s;
    int failures = 0;
    TimePoint ejected_until;
  };

  /// Ejected replicas are used when no other one is left, because a false
  /// ejection must not stop the whole service.
  [[nodiscard]] bool IsUsable(const Replica& replica, TimePoint now,
                              bool include_ejected) const;
  [[nodiscard]] bool AllEjected(TimePoint now) const;
  [[nodiscard]] ReplicaView MakeView(const std::string& id,
                                     const Replica& replica,
                                     const RouteRequest& request,
                                     TimePoint now) const;
  [[nodiscard]] std::optional<Choice> FindBest(const RouteRequest& request,
                                               TimePoint now) const;
  [[nodiscard]] std::optional<Choice> PickInPool(bool remote,
                                                 const RouteRequest& request,
                                                 TimePoint now,
                                                 bool include_ejected) const;
  static void RemoveQueuedTokens(Replica* replica, const RouteTicket& ticket);
  static double UncachedTokens(const Replica& replica,
                               const RouteRequest& request);

  std::unique_ptr<RoutingStrategy> strategy_;
  std::map<std::string, Replica> replicas_;
  std::uint64_t pick_count_ = 0;
};

}  // namespace firmoor

#endif  // FIRMOOR_SERVING_ROUTER_H_
