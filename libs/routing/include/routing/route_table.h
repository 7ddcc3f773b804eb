#ifndef FIRMOOR_ROUTING_ROUTE_TABLE_H_
#define FIRMOOR_ROUTING_ROUTE_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace firmoor {

/// Whether a request may be retried after it may have run.
enum class RequestKind {
  kIdempotent,     ///< May run more than once.
  kNonIdempotent,  ///< Runs at most once per caller request.
  kStream,         ///< Event stream; retried only if resumable.
};

/// A service and its weight in a split route.
struct ServiceShare {
  std::string service;
  double weight = 1;

  bool operator==(const ServiceShare&) const = default;
};

/// Target services and request policy of one host and path prefix.
struct Route {
  std::string name;
  std::string host;         ///< Lower case, without a port.
  std::string path_prefix;  ///< Begins and ends with a slash.
  RequestKind kind = RequestKind::kNonIdempotent;
  std::vector<ServiceShare> services;  ///< Never empty.
  Duration timeout{30'000};            ///< Time to the complete answer.
  Duration objective{1'000};  ///< Target time to the answer or first event.
  int priority = 0;           ///< 0 is the highest priority.
  int max_upstreams = 1;      ///< Maximum upstreams tried per request.
  bool is_public = false;     ///< Requires no API key.
  bool is_resumable = false;  ///< Streams can resume at another upstream.

  /// Whether a request may be retried although it may already have run.
  [[nodiscard]] bool MayRepeat() const {
    return kind == RequestKind::kIdempotent ||
           (kind == RequestKind::kStream && is_resumable);
  }

  bool operator==(const Route&) const = default;
};

/// Properties of the model engines of a service.
struct EngineProfile {
  std::int64_t slots = 1;  ///< Maximum batch size.
  std::int64_t tokens_per_event = 1;
  bool can_move_requests =
      false;  ///< Running requests can move to another engine.

  bool operator==(const EngineProfile&) const = default;
};

/// Limits and prices for autoscaling the upstreams of a service.
struct ScalingProfile {
  int min_per_zone = 0;
  int max_per_zone = 0;
  Duration start_time{0};        ///< From the order until the upstream serves.
  double reclaimable_price = 1;  ///< Fraction of the on-demand price.
  std::map<std::string, double> zone_prices;

  bool operator==(const ScalingProfile&) const = default;
};

/// A service: a set of interchangeable upstreams.
struct ServiceProfile {
  std::string name;
  std::optional<EngineProfile> engine;
  std::optional<ScalingProfile> scaling;

  bool operator==(const ServiceProfile&) const = default;
};

/// A workspace with its API keys and quota.
struct WorkspaceProfile {
  std::string name;
  std::vector<std::string> keys;
  std::optional<int> priority;  ///< Overrides the route's priority.
  bool quota_in_tokens = false;
  double plain_tokens = 1;  ///< Charged if a request has no token count.
  double rate_per_s = 0;    ///< Summed over all daemons; 0: no quota.
  double burst = 0;

  bool operator==(const WorkspaceProfile&) const = default;
};

/// Size and time limits for caller requests.
struct CallerLimits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = 8 * 1024 * 1024;
  Duration header_time{10'000};
  Duration idle_timeout{60'000};

  bool operator==(const CallerLimits&) const = default;
};

/// Content of one configuration version.
struct RouteTableContent {
  std::int64_t version = 0;
  std::vector<Route> routes;
  std::vector<ServiceProfile> services;
  std::vector<WorkspaceProfile> workspaces;
  CallerLimits limits;

  bool operator==(const RouteTableContent&) const = default;
};

/// One configuration version, indexed for lookups. Immutable; share it by
/// pointer. A match costs one map lookup per path segment, however many routes
/// there are.
class RouteTable {
 public:
  explicit RouteTable(RouteTableContent content);

  RouteTable(const RouteTable&) = delete;
  RouteTable& operator=(const RouteTable&) = delete;

  [[nodiscard]] std::int64_t version() const { return content_.version; }
  [[nodiscard]] const RouteTableContent& content() const { return content_; }

  /// Returns the route of `host` with the longest matching prefix of `path`, or
  /// null. The case and the port of `host` are ignored.
  [[nodiscard]] const Route* Match(std::string_view host,
                                   std::string_view path) const;

  /// Returns the workspace that owns API key `key`, or null.
  [[nodiscard]] const WorkspaceProfile* FindWorkspaceByKey(
      const std::string& key) const;

  [[nodiscard]] const ServiceProfile* FindService(
      const std::string& name) const;

  /// Whether requests on non-public routes require an API key.
  [[nodiscard]] bool NeedsKeys() const { return !content_.workspaces.empty(); }

 private:
  using ByPrefix = std::map<std::string, const Route*, std::less<>>;

  RouteTableContent content_;
  std::map<std::string, ByPrefix, std::less<>> hosts_;
  std::map<std::string, const WorkspaceProfile*, std::less<>> keys_;
  std::map<std::string, const ServiceProfile*, std::less<>> services_;
};

/// Chooses the service for a request on a split route by a hash of the request
/// id: deterministic per id, and weighted by the shares over many ids.
const std::string& ChooseService(const Route& route,
                                 std::string_view request_id);

}  // namespace firmoor

#endif  // FIRMOOR_ROUTING_ROUTE_TABLE_H_
