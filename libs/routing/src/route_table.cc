#include "routing/route_table.h"

#include <algorithm>
#include <cctype>
#include <utility>

#include "base/hash.h"
#include "base/invariant.h"

namespace firmoor {
namespace {

/// Returns the host in lower case without the port, as in `Route::host`.
std::string NormalizeHost(std::string_view host) {
  std::string normalized(host.substr(0, host.find(':')));
  std::transform(normalized.begin(), normalized.end(), normalized.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return normalized;
}

}  // namespace

RouteTable::RouteTable(RouteTableContent content)
    : content_(std::move(content)) {
  for (const auto& route : content_.routes) {
    hosts_[NormalizeHost(route.host)].emplace(route.path_prefix, &route);
  }
  for (const auto& workspace : content_.workspaces) {
    for (const auto& key : workspace.keys) keys_.emplace(key, &workspace);
  }
  for (const auto& service : content_.services) {
    services_.emplace(service.name, &service);
  }
}

const Route* RouteTable::Match(std::string_view host,
                               std::string_view path) const {
  const auto routes = hosts_.find(NormalizeHost(host));
  if (routes == hosts_.end()) return nullptr;
  // Route prefixes end with a slash, so only prefixes of the path that end at a
  // slash can match.
  for (auto cut = path.rfind('/'); cut != std::string_view::npos;
       cut = cut == 0 ? std::string_view::npos : path.rfind('/', cut - 1)) {
    const auto route = routes->second.find(path.substr(0, cut + 1));
    if (route != routes->second.end()) return route->second;
  }
  return nullptr;
}

const WorkspaceProfile* RouteTable::FindWorkspaceByKey(
    const std::string& key) const {
  const auto found = keys_.find(key);
  return found == keys_.end() ? nullptr : found->second;
}

const ServiceProfile* RouteTable::FindService(const std::string& name) const {
  const auto found = services_.find(name);
  return found == services_.end() ? nullptr : found->second;
}

const std::string& ChooseService(const Route& route,
                                 std::string_view request_id) {
  FIRMOOR_PRECONDITION(!route.services.empty(), "a route has a service");
  double total = 0;
  for (const auto& share : route.services) total += share.weight;
  double point = HashFraction(request_id) * total;
  for (const auto& share : route.services) {
    if (share.weight > 0 && point < share.weight) return share.service;
    point -= share.weight;
  }
  return route.services.back().service;
}

}  // namespace firmoor
