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
#include "serving/concurrency_limit.h"
#include "serving/prefix_index.h"

namespace firmoor {

/// What the router must know of a request.
struct RouteRequest {
  std::vector<std::uint64_t> chunks;  ///< Of the prompt; empty when plain.
  std::size_t prompt_tokens = 0;
  std::set<std::string> exclude;  ///< Replicas that were tried before.
  bool may_cross_region = true;

  bool operator==(const RouteRequest&) const = default;
};

/// Load that a replica reported of itself, with a lag.
struct ReplicaLoad {
  std::int64_t running = 0;
  std::int64_t queued_tokens = 0;  ///< Prompt tokens waiting for prefill.

  bool operator==(const ReplicaLoad&) const = default;
};

/// A replica as strategies see it.
struct ReplicaView {
  std::string_view id;
  std::int64_t in_flight = 0;       ///< Sent by this daemon, not ended.
  std::int64_t running = 0;         ///< Own and reported, without counting
                                    ///< the same request twice.
  double queued_tokens = 0;         ///< Prompt tokens ahead of a new request.
  std::size_t matched_chunks = 0;   ///< Of the request, probably cached.
  double prefill_tokens_per_s = 0;  ///< Learned from first tokens.
  std::uint64_t round_robin_position = 0;  ///< Rises with each choice.
  std::uint64_t rendezvous_rank = 0;       ///< Rendezvous rank for the prefix.
  bool is_same_zone = true;
};

/// Orders replicas: the lowest cost is chosen.
/// Strategies have no state.
class RoutingStrategy {
 public:
  virtual ~RoutingStrategy() = default;
  /// Seconds, or any scale of its own.
  [[nodiscard]] virtual double Cost(const ReplicaView& replica,
                                    const RouteRequest& request) const = 0;
  /// Costs this close to the lowest count as equal: the replica with the
  /// longest cached prefix is then taken, and the first in rendezvous order.
  /// A request without a prefix goes to the lowest cost.
  [[nodiscard]] virtual double Tolerance() const { return 0; }

  /// Longest time that a request waits for a full replica with its prefix.
  [[nodiscard]] virtual Duration MaxPrefixWait() const { return Duration(0); }
};

/// "expected-time", "round-robin", "least-in-flight" or "prefix-affinity";
/// null for another name.
std::unique_ptr<RoutingStrategy> MakeRoutingStrategy(std::string_view name);

/// One request at one replica, from its dispatch to its end.
struct RouteTicket {
  std::string replica;         ///< Empty when the request is nowhere.
  double uncached_tokens = 0;  ///< Prompt tokens that it adds to the queue.
  double prefill_backlog_tokens = 0;  ///< With those that were ahead of it.
  bool first_token_seen = false;

  bool operator==(const RouteTicket&) const = default;
};

/// Chooses the replica of one service for each request. Own dispatches count
/// at once, since load reports lag; cache contents are hints. The replicas of
/// the own region are one pool, in which those of the own zone win ties; other
/// regions are used only when the own one is full. Pure.
class Router {
 public:
  /// How far away a replica is.
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
  /// A leaving replica gets no new requests; those it has go on.
  void SetLeaving(const std::string& id);

  /// The replica for `request`, or nothing when all are full or away.
  std::optional<Choice> Pick(const RouteRequest& request, TimePoint now);

  /// Whether a replica that is full now has so much more of the prefix than
  /// `choice` that the request had better wait for it, up to `MaxPrefixWait`.
  [[nodiscard]] bool IsWorthWaiting(const RouteRequest& request,
                                    const Choice& choice, TimePoint now) const;

  /// The request was sent to the replica. Keep the ticket until its end.
  RouteTicket OnDispatch(const std::string& id, const RouteRequest& request,
                         TimePoint now);
  /// The first token, or the head of a plain answer, arrived.
  void OnFirstToken(RouteTicket* ticket, Duration after, Duration target,
                    TimePoint now);
  /// The request left the replica; the ticket is empty then.
  void OnEnd(RouteTicket* ticket);
  /// The replica failed a request or a load read: it is left alone for a
  /// time that doubles with each failure in a row.
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

  /// Requests that the usable replicas can take in all.
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

  /// Replicas that are ejected are used when no other one is left, since a
  /// wrong guess about them must not stop the whole service.
  [[nodiscard]] bool IsUsable(const Replica& replica, TimePoint now,
                              bool include_ejected) const;
  [[nodiscard]] bool AllEjected(TimePoint now) const;
  [[nodiscard]] ReplicaView MakeView(const std::string& id,
                                     const Replica& replica,
                                     const RouteRequest& request,
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
