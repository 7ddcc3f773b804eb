#include "placement_service.h"

#include <QCborMap>
#include <QCborValue>
#include <QJsonArray>
#include <QJsonDocument>
#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "base/log.h"

namespace firmoor {
namespace {

constexpr Logger kLog("placement");
constexpr const char* kLeaseObject = "placement-lease";
constexpr int kTickMs = 100;
// Number of daemons that compete for the lease. Bounds the load on the store
// whatever the size of the fleet.
constexpr std::size_t kLeaseCandidates = 3;
constexpr Duration kPlanPeriod{2'000};
constexpr Duration kDemandTimeout{1'000};
constexpr HttpCallTimeouts kCloudApiTimeouts{Duration(500), Duration(2'000),
                                             Duration(2'000)};
// Fraction of a replica's concurrency limit that should be in use.
constexpr double kTargetUtilization = 0.5;
// Replicas that start at the same time: bounded by the rate at which the weight
// store delivers model weights.
constexpr int kMaxConcurrentStarts = 4;
constexpr int kOk = 200;
constexpr int kConflict = 409;

const char* MarketName(Market market) {
  return market == Market::kOnDemand ? "on-demand" : "reclaimable";
}

Market ParseMarket(const QString& name) {
  return name == "on-demand" ? Market::kOnDemand : Market::kReclaimable;
}

PlacementTarget ParseTarget(const QJsonObject& object) {
  return {object.value("availability_zone").toString().toStdString(),
          ParseMarket(object.value("market").toString())};
}

QByteArray EncodeDemand(const ServiceDemand& demand) {
  QCborMap map;
  for (const auto& [service, count] : demand) {
    map[QString::fromStdString(service)] = count;
  }
  return QCborValue(map).toCbor();
}

ServiceDemand DecodeDemand(const QByteArray& bytes) {
  ServiceDemand demand;
  const auto map = QCborValue::fromCbor(bytes).toMap();
  for (const auto& entry : map) {
    demand[entry.first.toString().toStdString()] = entry.second.toDouble();
  }
  return demand;
}

}  // namespace

PlacementService::PlacementService(const Settings& settings, ObjectStore* store,
                                   Fleet* fleet, Hooks hooks)
    : settings_(settings),
      store_(store),
      fleet_(fleet),
      hooks_(std::move(hooks)),
      lease_(settings.daemon, LeaseTiming()) {
  fleet_->SetHandler("demand",
                     [this](const QByteArray&, const PeerNode::Reply& reply) {
                       reply(EncodeDemand(hooks_.local_demand()));
                     });
  QObject::connect(&timer_, &QTimer::timeout, &timer_, [this] { Tick(); });
}

void PlacementService::Start() {
  if (settings_.cloud_api.port == 0) return;
  *alive_ = true;
  timer_.start(kTickMs);
}

void PlacementService::Stop() {
  timer_.stop();
  *alive_ = false;
  alive_ = std::make_shared<bool>(true);
  calls_.clear();
  offers_call_.reset();
}

void PlacementService::Tick() {
  MaintainLease();
  const auto now = MonotonicNow();
  if (now < next_plan_) return;
  next_plan_ = now + kPlanPeriod;
  if (!lease_.IsHolder()) return;
  FetchOffers();
  CollectDemand();
  PlanServices();
}

bool PlacementService::IsLeaseCandidate() const {
  std::vector<std::string> names = {settings_.daemon};
  for (const auto& member : fleet_->membership().Live()) {
    names.push_back(member.name);
  }
  auto order = RendezvousOrder("placement", std::move(names));
  if (order.size() > kLeaseCandidates) order.resize(kLeaseCandidates);
  return std::find(order.begin(), order.end(), settings_.daemon) != order.end();
}

void PlacementService::MaintainLease() {
  if (!lease_.IsHolder() && !IsLeaseCandidate()) return;
  const auto call = lease_.NextCall(MonotonicNow());
  if (!call) return;
  const bool was_holder = lease_.IsHolder();
  if (!call->is_write) {
    return store_->Read(
        kLeaseObject,
        [this, guard = alive_](StoreStatus status, const StoredObject& read) {
          if (*guard) lease_.OnRead(status, read, MonotonicNow());
        });
  }
  store_->Write(kLeaseObject, call->expected, call->value,
                [this, was_holder, guard = alive_](StoreStatus status,
                                                   StoreVersion version) {
                  if (!*guard) return;
                  lease_.OnWrite(status, version, MonotonicNow());
                  if (!was_holder && lease_.IsHolder()) {
                    kLog.Info(
                        "Acquired the placement lease with fencing token {}.",
                        lease_.fencing());
                  }
                });
}

void PlacementService::FetchOffers() {
  if (offers_call_) return;
  offers_call_ = HttpFetch(
      settings_.cloud_api, {"GET", "/cloud/offers", {}, {}}, kCloudApiTimeouts,
      nullptr, [this](const HttpFetchResult& result) {
        const auto done = std::move(offers_call_);
        if (result.end != HttpCallEnd::kComplete) return;
        const auto list = QJsonDocument::fromJson(
                              QByteArray::fromStdString(result.answer.body))
                              .array();
        std::vector<MarketOffer> offers;
        for (const auto& value : list) {
          const auto object = value.toObject();
          const auto target = ParseTarget(object);
          offers.push_back({target.availability_zone, target.market,
                            object.value("price_per_hour").toDouble(),
                            object.value("reclaims_per_hour").toDouble()});
        }
        if (!offers.empty()) offers_ = std::move(offers);
      });
}

void PlacementService::CollectDemand() {
  std::map<std::string, ServiceDemand> demand_by_daemon;
  demand_by_daemon[settings_.daemon] = hooks_.local_demand();
  for (const auto& member : fleet_->membership().Live()) {
    // Keep the last reported demand until the member answers again.
    demand_by_daemon[member.name] = demand_[member.name];
    fleet_->Call(member, "demand", {}, kDemandTimeout,
                 [this, guard = alive_, name = member.name](
                     PeerStatus status, const QByteArray& body) {
                   if (*guard && status == PeerStatus::kOk) {
                     demand_[name] = DecodeDemand(body);
                   }
                 });
  }
  demand_ = std::move(demand_by_daemon);
}

void PlacementService::PlanServices() {
  if (offers_.empty()) return;
  const auto now = MonotonicNow();
  for (const auto& [name, service] : hooks_.configuration().services()) {
    auto& planner = planners_.try_emplace(name, offers_).first->second;
    planner.SetOffers(offers_);
    PlacementRequirements requirements;
    for (const auto& [daemon, demand] : demand_) {
      const auto found = demand.find(name);
      if (found != demand.end()) requirements.demand += found->second;
    }
    requirements.requests_per_replica =
        static_cast<double>(service.upstream_concurrency) * kTargetUtilization;
    requirements.min_replicas = service.min_replicas;
    requirements.max_replicas =
        std::max(service.min_replicas, service.max_replicas);
    const auto planned = planner.Plan(requirements, now);
    const auto next = PlacementPlanner::Step(last_ordered_[name], planned,
                                             kMaxConcurrentStarts);
    SendOrder(service, next);
  }
}

void PlacementService::SendOrder(const Service& service,
                                 const PlacementCounts& counts) {
  if (calls_.contains(service.name)) return;
  QJsonArray list;
  for (const auto& [target, count] : counts) {
    list.append(QJsonObject{
        {"availability_zone", QString::fromStdString(target.availability_zone)},
        {"market", MarketName(target.market)},
        {"count", count}});
  }
  const QJsonObject order{{"fencing", static_cast<qint64>(lease_.fencing())},
                          {"service", QString::fromStdString(service.name)},
                          {"counts", list}};
  const auto now = MonotonicNow();
  const bool allowed = service.fenced_orders ? lease_.MayOrderFenced(now)
                                             : lease_.MayOrderUnfenced(now);
  if (!allowed) {
    ++orders_withheld_;
    return;
  }
  ++orders_sent_;
  last_ordered_[service.name] = counts;
  calls_[service.name] = HttpFetch(
      settings_.cloud_api,
      {"POST",
       "/cloud/desired",
       {},
       QJsonDocument(order).toJson(QJsonDocument::Compact).toStdString()},
      kCloudApiTimeouts, nullptr,
      [this, name = service.name](const auto& result) {
        OnOrderResponse(name, result);
      });
}

void PlacementService::OnOrderResponse(const std::string& service,
                                       const HttpFetchResult& result) {
  const auto done = std::move(calls_[service]);
  calls_.erase(service);
  if (result.end != HttpCallEnd::kComplete) return;
  const auto object =
      QJsonDocument::fromJson(QByteArray::fromStdString(result.answer.body))
          .object();
  if (result.answer.status == kConflict) {
    kLog.Warn("Cloud API rejected an order: fencing token {} is stale.",
              lease_.fencing());
    return;
  }
  if (result.answer.status != kOk) return;
  for (const auto& value : object.value("refused").toArray()) {
    const auto target = ParseTarget(value.toObject());
    kLog.Warn("Cloud API refused to start VMs in zone {}.",
              target.availability_zone);
    planners_.at(service).OnRefused(target, MonotonicNow());
  }
}

QJsonObject PlacementService::Status() const {
  return {{"holder", lease_.IsHolder()},
          {"fencing", static_cast<qint64>(lease_.fencing())},
          {"orders_sent", static_cast<qint64>(orders_sent_)},
          {"orders_withheld", static_cast<qint64>(orders_withheld_)}};
}

}  // namespace firmoor
