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
// Daemons that read the lease, whatever the size of the fleet.
constexpr std::size_t kCandidates = 3;
constexpr Duration kPlanPeriod{2'000};
constexpr Duration kDemandTimeout{1'000};
constexpr HttpCallTimeouts kTimes{Duration(500), Duration(2'000),
                                  Duration(2'000)};
// Requests in work that a replica should have, of those it may have.
constexpr double kBusyShare = 0.5;
// Starts under way at once, for the weight store's rate.
constexpr int kStartsAtOnce = 4;
constexpr int kOk = 200;
constexpr int kConflict = 409;

const char* NameOf(Market market) {
  return market == Market::kOnDemand ? "on-demand" : "reclaimable";
}

Market MarketOf(const QString& name) {
  return name == "on-demand" ? Market::kOnDemand : Market::kReclaimable;
}

PlacementTarget SlotOf(const QJsonObject& object) {
  return {object.value("availability_zone").toString().toStdString(),
          MarketOf(object.value("market").toString())};
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
                       reply(EncodeDemand(hooks_.own_demand()));
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
  KeepLease();
  const auto now = MonotonicNow();
  if (now < next_plan_) return;
  next_plan_ = now + kPlanPeriod;
  if (!lease_.IsHolder()) return;
  ReadOffers();
  GatherDemand();
  PlanAll();
}

bool PlacementService::IsCandidate() const {
  std::vector<std::string> names = {settings_.daemon};
  for (const auto& member : fleet_->membership().Live()) {
    names.push_back(member.name);
  }
  auto order = RendezvousOrder("placement", std::move(names));
  if (order.size() > kCandidates) order.resize(kCandidates);
  return std::find(order.begin(), order.end(), settings_.daemon) != order.end();
}

void PlacementService::KeepLease() {
  if (!lease_.IsHolder() && !IsCandidate()) return;
  const auto call = lease_.NextCall(MonotonicNow());
  if (!call) return;
  const bool held = lease_.IsHolder();
  if (!call->is_write) {
    return store_->Read(
        kLeaseObject,
        [this, guard = alive_](StoreStatus status, const StoredObject& read) {
          if (*guard) lease_.OnRead(status, read, MonotonicNow());
        });
  }
  store_->Write(
      kLeaseObject, call->expected, call->value,
      [this, held, guard = alive_](StoreStatus status, std::int64_t version) {
        if (!*guard) return;
        lease_.OnWrite(status, version, MonotonicNow());
        if (!held && lease_.IsHolder()) {
          kLog.Info("This daemon holds the lease with number {}.",
                    lease_.fencing());
        }
      });
}

void PlacementService::ReadOffers() {
  if (offers_call_) return;
  offers_call_ = HttpFetch(
      settings_.cloud_api, {"GET", "/cloud/offers", {}, {}}, kTimes, nullptr,
      [this](const HttpFetchResult& result) {
        const auto done = std::move(offers_call_);
        if (result.end != HttpCallEnd::kComplete) return;
        const auto list = QJsonDocument::fromJson(
                              QByteArray::fromStdString(result.answer.body))
                              .array();
        std::vector<MarketOffer> offers;
        for (const auto& value : list) {
          const auto object = value.toObject();
          const auto slot = SlotOf(object);
          offers.push_back({slot.availability_zone, slot.market,
                            object.value("price_per_hour").toDouble(),
                            object.value("reclaims_per_hour").toDouble()});
        }
        if (!offers.empty()) offers_ = std::move(offers);
      });
}

void PlacementService::GatherDemand() {
  std::map<std::string, ServiceDemand> live;
  live[settings_.daemon] = hooks_.own_demand();
  for (const auto& member : fleet_->membership().Live()) {
    // What a member said last counts until it answers again.
    live[member.name] = demand_[member.name];
    fleet_->Call(member, "demand", {}, kDemandTimeout,
                 [this, guard = alive_, name = member.name](
                     PeerStatus status, const QByteArray& body) {
                   if (*guard && status == PeerStatus::kOk) {
                     demand_[name] = DecodeDemand(body);
                   }
                 });
  }
  demand_ = std::move(live);
}

void PlacementService::PlanAll() {
  if (offers_.empty()) return;
  const auto now = MonotonicNow();
  for (const auto& [name, service] : hooks_.configuration().services()) {
    auto& planner = planners_.try_emplace(name, offers_).first->second;
    planner.SetOffers(offers_);
    PlacementRequirements need;
    for (const auto& [daemon, demand] : demand_) {
      const auto found = demand.find(name);
      if (found != demand.end()) need.demand += found->second;
    }
    need.requests_per_replica =
        static_cast<double>(service.upstream_concurrency) * kBusyShare;
    need.min_replicas = service.min_replicas;
    need.max_replicas = std::max(service.min_replicas, service.max_replicas);
    const auto wanted = planner.Plan(need, now);
    const auto next =
        PlacementPlanner::Step(ordered_[name], wanted, kStartsAtOnce);
    SendOrder(service, next);
  }
}

void PlacementService::SendOrder(const Service& service,
                                 const PlacementCounts& counts) {
  if (calls_.contains(service.name)) return;
  QJsonArray list;
  for (const auto& [slot, count] : counts) {
    list.append(QJsonObject{
        {"availability_zone", QString::fromStdString(slot.availability_zone)},
        {"market", NameOf(slot.market)},
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
  ordered_[service.name] = counts;
  calls_[service.name] = HttpFetch(
      settings_.cloud_api,
      {"POST",
       "/cloud/desired",
       {},
       QJsonDocument(order).toJson(QJsonDocument::Compact).toStdString()},
      kTimes, nullptr, [this, name = service.name](const auto& result) {
        TakeOrderAnswer(name, result);
      });
}

void PlacementService::TakeOrderAnswer(const std::string& service,
                                       const HttpFetchResult& result) {
  const auto done = std::move(calls_[service]);
  calls_.erase(service);
  if (result.end != HttpCallEnd::kComplete) return;
  const auto object =
      QJsonDocument::fromJson(QByteArray::fromStdString(result.answer.body))
          .object();
  if (result.answer.status == kConflict) {
    kLog.Warn("An order with number {} was refused as old.", lease_.fencing());
    return;
  }
  if (result.answer.status != kOk) return;
  for (const auto& value : object.value("refused").toArray()) {
    const auto slot = SlotOf(value.toObject());
    kLog.Warn("Starts are refused in {}.", slot.availability_zone);
    planners_.at(service).OnRefused(slot, MonotonicNow());
  }
}

QJsonObject PlacementService::Status() const {
  return {{"holder", lease_.IsHolder()},
          {"fencing", static_cast<qint64>(lease_.fencing())},
          {"orders_sent", static_cast<qint64>(orders_sent_)},
          {"orders_withheld", static_cast<qint64>(orders_withheld_)}};
}

}  // namespace firmoor
