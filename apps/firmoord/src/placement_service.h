#ifndef FIRMOOR_FIRMOORD_PLACEMENT_SERVICE_H_
#define FIRMOOR_FIRMOORD_PLACEMENT_SERVICE_H_

#include <QJsonObject>
#include <QTimer>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "config/configuration.h"
#include "config/settings.h"
#include "fleet.h"
#include "http/http_fetch.h"
#include "placement/lease_elector.h"
#include "placement/planner.h"
#include "platform/object_store.h"

namespace firmoor {

/// Number of active requests per service at one daemon.
using ServiceDemand = std::map<std::string, double>;

/// Requests VM counts from the cloud API while this daemon holds the lease.
///
/// Orders are level-triggered: each contains the desired counts, so that a lost
/// or repeated order does no harm. Each order carries the fencing token, and
/// the lease is checked immediately before it is sent. One race remains: if the
/// holder stalls between the check and the send, a cloud API that ignores the
/// token accepts the outdated order. The next order of the new holder corrects
/// it.
class PlacementService {
 public:
  struct Hooks {
    std::function<const Configuration&()> configuration;
    std::function<ServiceDemand()> local_demand;
  };

  PlacementService(const Settings& settings, ObjectStore* store, Fleet* fleet,
                   Hooks hooks);

  void Start();
  void Stop();

  /// Lease state, fencing token and order counters, for the operators' status.
  [[nodiscard]] QJsonObject Status() const;

 private:
  void Tick();
  void MaintainLease();
  /// Whether this daemon is one of those that compete for the lease.
  [[nodiscard]] bool IsLeaseCandidate() const;
  void FetchOffers();
  void CollectDemand();
  void PlanServices();
  void SendOrder(const Service& service, const PlacementCounts& counts);
  void OnOrderResponse(const std::string& service,
                       const HttpFetchResult& result);

  Settings settings_;
  ObjectStore* store_;
  Fleet* fleet_;
  Hooks hooks_;
  LeaseElector lease_;
  QTimer timer_;
  std::vector<MarketOffer> offers_;
  std::map<std::string, PlacementPlanner> planners_;
  std::map<std::string, PlacementCounts> last_ordered_;
  std::map<std::string, ServiceDemand> demand_;  ///< By daemon.
  std::map<std::string, std::unique_ptr<HttpCall>> calls_;
  std::unique_ptr<HttpCall> offers_call_;
  TimePoint next_plan_;
  std::uint64_t orders_sent_ = 0;
  std::uint64_t orders_withheld_ = 0;
  /// Set to false by `Stop`, so that pending store and peer callbacks are
  /// ignored.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace firmoor

#endif  // FIRMOOR_FIRMOORD_PLACEMENT_SERVICE_H_
