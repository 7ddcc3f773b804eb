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

/// What may be repeated of a request.
enum class RequestKind {
  kIdempotent,     ///< May run more than once.
  kNonIdempotent,  ///< Runs at most once for each request of a caller.
  kStream,         ///< Answers with events; repeated only when resumable.
};

/// A service that gets a part of a route's requests.
struct ServiceShare {
  std::string service;
  double weight = 1;

  bool operator==(const ServiceShare&) const = default;
};

/// Where requests of one host and path prefix go, and what holds for them.
struct Route {
  std::string name;
  std::string host;         ///< Lower case, without a port.
  std::string path_prefix;  ///< Begins and ends with a slash.
  RequestKind kind = RequestKind::kNonIdempotent;
  std::vector<ServiceShare> services;  ///< Never empty.
  Duration timeout{30'000};            ///< Longest time to the final answer.
  Duration objective{1'000};           ///< To the answer or the first event.
  int priority = 0;                    ///< 0 is the most urgent.
  int max_upstreams = 1;      ///< Upstreams one request may be sent to.
  bool is_public = false;     ///< Needs no key.
  bool is_resumable = false;  ///< A stream may go on elsewhere.

  /// Whether a request may be sent again although it may have run.
  [[nodiscard]] bool MayRepeat() const {
    return kind == RequestKind::kIdempotent ||
           (kind == RequestKind::kStream && is_resumable);
  }

  bool operator==(const Route&) const = default;
};

/// Model engines of a service.
struct EngineProfile {
  std::int64_t slots = 1;  ///< Requests in one batch.
  std::int64_t tokens_per_event = 1;
  bool can_move_requests = false;  ///< Runs can go on at another engine.

  bool operator==(const EngineProfile&) const = default;
};

/// Bounds and prices of ordering upstreams of a service.
struct ScalingProfile {
  int min_per_zone = 0;
  int max_per_zone = 0;
  Duration start_time{0};        ///< From an order to a serving upstream.
  double reclaimable_price = 1;  ///< Part of the price on demand.
  std::map<std::string, double> zone_prices;

  bool operator==(const ScalingProfile&) const = default;
};

/// A set of equal upstreams.
struct ServiceProfile {
  std::string name;
  std::optional<EngineProfile> engine;
  std::optional<ScalingProfile> scaling;

  bool operator==(const ServiceProfile&) const = default;
};

/// A workspace with the keys of its callers and its quota.
struct WorkspaceProfile {
  std::string name;
  std::vector<std::string> keys;
  std::optional<int> priority;  ///< Replaces the route's.
  bool quota_in_tokens = false;
  double plain_tokens = 1;  ///< Of a request that does not tell its tokens.
  double rate_per_s = 0;    ///< Over all daemons; 0: no quota.
  double burst = 0;

  bool operator==(const WorkspaceProfile&) const = default;
};

/// What callers may send, and how long they may take.
struct CallerLimits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = 8 * 1024 * 1024;
  Duration header_time{10'000};
  Duration idle_time{60'000};

  bool operator==(const CallerLimits&) const = default;
};

/// Content of one version of the configuration.
struct RouteTableContent {
  std::int64_t version = 0;
  std::vector<Route> routes;
  std::vector<ServiceProfile> services;
  std::vector<WorkspaceProfile> workspaces;
  CallerLimits limits;

  bool operator==(const RouteTableContent&) const = default;
};

/// One version of the configuration, indexed for lookups. Immutable; share it
/// by pointer. A lookup costs one search for each segment of the path, however
/// many routes there are.
class RouteTable {
 public:
  explicit RouteTable(RouteTableContent content);

  RouteTable(const RouteTable&) = delete;
  RouteTable& operator=(const RouteTable&) = delete;

  [[nodiscard]] std::int64_t version() const { return content_.version; }
  [[nodiscard]] const RouteTableContent& content() const { return content_; }

  /// The route of `host` (any case, with or without a port) with the longest
  /// prefix of `path`; null when there is none.
  [[nodiscard]] const Route* Match(std::string_view host,
                                   std::string_view path) const;

  /// The workspace that holds `key`; null when none does.
  [[nodiscard]] const WorkspaceProfile* FindWorkspaceByKey(
      const std::string& key) const;

  [[nodiscard]] const ServiceProfile* FindService(
      const std::string& name) const;

  /// Whether requests on routes that are not public need a key.
  [[nodiscard]] bool NeedsKeys() const { return !content_.workspaces.empty(); }

 private:
  using ByPrefix = std::map<std::string, const Route*, std::less<>>;

  RouteTableContent content_;
  std::map<std::string, ByPrefix, std::less<>> hosts_;
  std::map<std::string, const WorkspaceProfile*, std::less<>> keys_;
  std::map<std::string, const ServiceProfile*, std::less<>> services_;
};

/// The service of a split route for a request: the same for the same id, and
/// in the route's proportions over many ids.
const std::string& ChooseService(const Route& route,
                                 std::string_view request_id);

}  // namespace firmoor

#endif  // FIRMOOR_ROUTING_ROUTE_TABLE_H_
