#ifndef FIRMOOR_GATEWAY_TESTS_COORDINATOR_FIXTURE_H_
#define FIRMOOR_GATEWAY_TESTS_COORDINATOR_FIXTURE_H_

#include <doctest/doctest.h>

#include <QTimer>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "gateway/coordinator_service.h"
#include "support/raw_socket.h"
#include "support/reserved_port.h"
#include "support/restorable_store.h"

namespace firmoor {

/// An in-memory store that answers from the event loop.
class MemoryStore : public ObjectStore {
 public:
  void Read(const std::string& name, ReadDone done) override {
    Post([this, name, done = std::move(done)] {
      const auto answer = content.Read(name);
      done(answer.status, answer.object);
    });
  }
  void Write(const std::string& name, StoreVersion expected,
             const QByteArray& value, WriteDone done) override {
    Post([this, name, expected, value, done = std::move(done)] {
      const auto answer = content.Write(name, expected, value);
      done(answer.status, answer.object.version);
    });
  }
  void Watch(const std::string&, StoreVersion, ReadDone done) override {
    done(StoreStatus::kUnavailable, {});
  }

  RestorableStore content;

 private:
  void Post(std::function<void()> work) {
    QTimer::singleShot(1, &context_, [work = std::move(work)] { work(); });
  }

  QObject context_;
};

/// One daemon's connection to the store, which can be disconnected and tells
/// the era of each answer.
class DisconnectableStore : public ObjectStore {
 public:
  DisconnectableStore(ObjectStore* store, StoreEra* era)
      : store_(store), era_(era) {}
  void Disconnect() { disconnected_ = true; }

  void Read(const std::string& name, ReadDone done) override {
    if (disconnected_) {
      return Fail([done] { done(StoreStatus::kUnavailable, {}); });
    }
    store_->Read(name, [this, done = std::move(done)](
                           StoreStatus status, const StoredObject& object) {
      era_->Observe(object.version.era);
      done(status, object);
    });
  }
  void Write(const std::string& name, StoreVersion expected,
             const QByteArray& value, WriteDone done) override {
    if (disconnected_) {
      return Fail([done] { done(StoreStatus::kUnavailable, {}); });
    }
    store_->Write(name, expected, value,
                  [this, done = std::move(done)](StoreStatus status,
                                                 StoreVersion version) {
                    era_->Observe(version.era);
                    done(status, version);
                  });
  }
  void Watch(const std::string& name, StoreVersion after,
             ReadDone done) override {
    store_->Watch(name, after, std::move(done));
  }

 private:
  void Fail(const std::function<void()>& done) {
    QTimer::singleShot(1, &context_, done);
  }

  QObject context_;
  ObjectStore* store_;
  StoreEra* era_;
  bool disconnected_ = false;
};

/// A cloud API that records its calls and callers.
class RecordingCloudApi : public CloudApi {
 public:
  void ReportUsage(const LeaseHolder& holder, const UsageReport& report,
                   MaySend may_send, Done done) override {
    if (!may_send()) return done(CloudStatus::kUnavailable);
    holders.push_back(holder);
    const auto known = reports.try_emplace(report.window, report.counts).first;
    has_contradiction |= known->second != report.counts;
    QTimer::singleShot(1, &context_, [done] { done(CloudStatus::kOk); });
  }
  void OrderUpstreams(const LeaseHolder& holder, const UpstreamOrder& order,
                      MaySend may_send, Done done) override {
    if (!may_send()) return done(CloudStatus::kUnavailable);
    holders.push_back(holder);
    orders.push_back(order);
    QTimer::singleShot(1, &context_, [done] { done(CloudStatus::kOk); });
  }

  std::vector<LeaseHolder> holders;
  std::map<std::int64_t, UsageCounts> reports;
  /// Whether two reports of one window differed.
  bool has_contradiction = false;
  std::vector<UpstreamOrder> orders;

 private:
  QObject context_;
};

inline RouteTableContent CoordinatedConfiguration() {
  RouteTableContent content;
  content.version = 1;
  ServiceProfile service;
  service.name = "engine";
  service.engine = EngineProfile{};
  ScalingProfile scaling;
  scaling.min_per_zone = 1;
  scaling.max_per_zone = 4;
  scaling.zone_prices = {{"a", 1}, {"b", 1}};
  service.scaling = scaling;
  content.services = {service};
  return content;
}

/// One daemon's coordinator service, with short times.
struct CoordinatorDaemon {
  StoreEra store_era;
  DisconnectableStore own_store;
  TrueTime true_time{WallClockMs(), MonotonicNow()};
  EventLog log{-1};
  ServiceMetrics metrics;
  Gateway gateway;
  CoordinatorService coordination;

  CoordinatorDaemon(const std::string& name, std::uint16_t port,
                    ObjectStore* store, CloudApi* cloud,
                    const Dialect* dialect = nullptr)
      : own_store(store, &store_era),
        gateway(GatewaySettings{}, {dialect, &log, &metrics, &true_time}),
        coordination({name,
                      name + "/1",
                      "east-1",
                      "east",
                      {"127.0.0.1", port},
                      Duration(1'800),
                      Duration(8'000),
                      500,
                      1,
                      true,
                      true,
                      true,
                      {}},
                     {&gateway,
                      &own_store,
                      &store_era,
                      cloud,
                      &true_time,
                      &log,
                      {},
                      {},
                      {}}) {
    store_era.AddHandler([this](std::int64_t, std::int64_t era) {
      coordination.OnStoreReturned(era);
    });
    gateway.SetRoutes(
        std::make_shared<const RouteTable>(CoordinatedConfiguration()));
  }
};

/// Two daemons of one store and one cloud, which elect a coordinator.
struct DaemonPair {
  MemoryStore store;
  RecordingCloudApi cloud;
  CoordinatorDaemon first{"first", ReservePort(), &store, &cloud};
  CoordinatorDaemon second{"second", ReservePort(), &store, &cloud};

  DaemonPair() {
    REQUIRE(first.coordination.Start());
    REQUIRE(second.coordination.Start());
  }
  [[nodiscard]] bool WaitHolder() {
    return WaitUntil([this] {
      return first.coordination.IsHolder() || second.coordination.IsHolder();
    });
  }
  /// The one that is the coordinator now.
  [[nodiscard]] CoordinatorDaemon& Holder() {
    return first.coordination.IsHolder() ? first : second;
  }
  /// The one that is not the coordinator now.
  [[nodiscard]] CoordinatorDaemon& Standby() {
    return first.coordination.IsHolder() ? second : first;
  }
};

}  // namespace firmoor

#endif  // FIRMOOR_GATEWAY_TESTS_COORDINATOR_FIXTURE_H_
