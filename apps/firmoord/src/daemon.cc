#include "daemon.h"

#include <fmt/format.h>

#include <QCborArray>
#include <QCborValue>
#include <QJsonArray>
#include <QJsonDocument>
#include <limits>
#include <utility>

#include "base/hash.h"
#include "base/invariant.h"
#include "base/log.h"
#include "base/random_id.h"
#include "serving/error_answer.h"

namespace firmoor {
namespace {

constexpr Logger kLog("daemon");
// Of requests at all listeners, each beyond its free part.
constexpr BodyBudget::Limits kUploads{std::numeric_limits<std::size_t>::max(),
                                      20 * 1024 * 1024, 8 * 1024};

Supervisor::Part MakePart(std::string name, std::function<bool()> start,
                          std::function<void()> stop) {
  return {std::move(name), std::move(start), std::move(stop)};
}

}  // namespace

Daemon::Daemon(const Settings& settings, std::function<void()> on_stopped)
    : settings_(settings),
      instance_id_(settings.daemon + "/" + NewRandomId()),
      on_stopped_(std::move(on_stopped)),
      store_(settings.object_api) {
  BuildParts();
  BuildSupervisors();
}

Daemon::~Daemon() = default;

DispatcherEnvironment Daemon::MakeEnvironment() {
  DispatcherEnvironment environment;
  environment.daemon = settings_.daemon;
  environment.incarnation = instance_id_;
  environment.availability_zone = settings_.availability_zone;
  environment.region = settings_.region;
  environment.routing_strategy = settings_.routing_strategy;
  environment.upstreams_per_service =
      static_cast<std::size_t>(settings_.upstreams_per_service);
  environment.region_link_bytes_per_s = settings_.region_link_bytes_per_s;
  environment.load_period = settings_.load_period;
  environment.claims = claims_.get();
  environment.metrics = &metrics_;
  environment.is_live = [this](const std::string& instance_id) {
    return fleet_->IsLive(instance_id);
  };
  environment.find_remote_request = [this](const std::string& id,
                                           std::size_t from, const auto& done) {
    peer_requests_->Find(id, from, done);
  };
  if (trace_) {
    environment.trace = [this](const QJsonObject& decision) {
      QJsonObject line = decision;
      line["daemon"] = QString::fromStdString(settings_.daemon);
      line["ms"] =
          static_cast<qint64>(MonotonicNow().time_since_epoch().count());
      trace_->write(QJsonDocument(line).toJson(QJsonDocument::Compact) + "\n");
    };
  }
  return environment;
}

void Daemon::OpenTrace() {
  if (settings_.trace_file.empty()) return;
  trace_ =
      std::make_unique<QFile>(QString::fromStdString(settings_.trace_file));
  if (trace_->open(QIODevice::WriteOnly | QIODevice::Truncate)) return;
  kLog.Warn("Cannot open the trace file {}; tracing is disabled.",
            settings_.trace_file);
  trace_.reset();
}

void Daemon::BuildParts() {
  OpenTrace();
  claims_ = std::make_unique<ClaimStore>(&store_, settings_.claim_slots,
                                         settings_.claim_wait);
  dispatcher_ = std::make_unique<Dispatcher>(MakeEnvironment());
  config_ = std::make_unique<ConfigService>(
      settings_, &store_, [this](const Configuration& configuration) {
        dispatcher_->SetConfiguration(configuration);
      });
  BuildFleet();
  vm_list_ = std::make_unique<VmListPoller>(
      settings_.vm_list, settings_.vm_list_period,
      [this](const std::vector<Vm>& vms) {
        has_seen_vms_ = has_seen_vms_ || !vms.empty();
        dispatcher_->ApplyVmList(vms);
      });
  placement_ = std::make_unique<PlacementService>(
      settings_, &store_, fleet_.get(),
      PlacementService::Hooks{
          [this]() -> const Configuration& { return config_->current(); },
          [this] { return dispatcher_->Demand(); }});
  BuildEndpoints();
}

void Daemon::BuildFleet() {
  Fleet::Hooks fleet_hooks;
  fleet_hooks.config_version = [this] { return config_->current().version(); };
  fleet_hooks.on_version_seen = [this](const Member& peer,
                                       std::int64_t version) {
    config_->OnVersionSeen(peer, version);
  };
  fleet_hooks.leaving = [this] { return dispatcher_->Leaving(); };
  fleet_hooks.on_leaving = [this](const std::vector<std::string>& ids) {
    dispatcher_->MarkLeaving(ids);
  };
  fleet_ =
      std::make_unique<Fleet>(settings_, instance_id_, std::move(fleet_hooks));
  peer_requests_ = std::make_unique<PeerRequests>(settings_, fleet_.get(),
                                                  dispatcher_.get());
  claim_homes_ =
      std::make_unique<ClaimHomes>(settings_, fleet_.get(), claims_.get());
  config_->SetFleet(fleet_.get());
}

void Daemon::BuildEndpoints() {
  const auto uploads = std::make_shared<BodyBudget>(kUploads);
  callers_ =
      HttpServer::Builder()
          .Listen(settings_.callers)
          .Uploads(uploads)
          .ErrorResponse(MakeInputErrorResponse)
          .Handler([this](const HttpRequest& request, const auto& responder) {
            dispatcher_->Handle(request, responder);
          })
          .Build();
  drain_ =
      std::make_unique<Drain>(settings_,
                              Drain::Parts{callers_.get(), dispatcher_.get(),
                                           claims_.get(), fleet_.get()},
                              [this] {
                                root_->Stop();
                                on_stopped_();
                              });
  operators_ = std::make_unique<OperatorEndpoint>(
      settings_, uploads,
      OperatorEndpoint::Hooks{config_.get(), [this] { return Status(); },
                              [this] { return Report(); },
                              [this] { RequestStop(); }});
  observe_ = std::make_unique<ObserveEndpoint>(
      settings_.observe,
      ObserveEndpoint::Hooks{[this] { return IsReady(); },
                             [this] { return MetricsText(); }});
}

void Daemon::BuildSupervisors() {
  platform_tree_ = Supervisor::Builder("platform")
                       .Part(MakePart(
                           "configuration",
                           [this] {
                             config_->Start();
                             return true;
                           },
                           [this] { config_->Stop(); }))
                       .Part(MakePart(
                           "vm-list",
                           [this] {
                             vm_list_->Start();
                             return true;
                           },
                           [this] { vm_list_->Stop(); }))
                       .Part(MakePart(
                           "placement",
                           [this] {
                             placement_->Start();
                             return true;
                           },
                           [this] { placement_->Stop(); }))
                       .Build();
  serving_tree_ = Supervisor::Builder("serving")
                      .Part(MakePart(
                          "callers", [this] { return callers_->Start(); },
                          [this] { callers_->StopListening(); }))
                      .Part(MakePart(
                          "operators", [this] { return operators_->Start(); },
                          [this] { operators_->Stop(); }))
                      .Part(MakePart(
                          "observe", [this] { return observe_->Start(); },
                          [this] { observe_->Stop(); }))
                      .Build();
  root_ = Supervisor::Builder("root")
              .Part(MakePart(
                  "fleet", [this] { return fleet_->Start(); },
                  [this] { fleet_->Stop(); }))
              .Part(MakePart(
                  "platform", [this] { return platform_tree_->Start(); },
                  [this] { platform_tree_->Stop(); }))
              .Part(MakePart(
                  "serving", [this] { return serving_tree_->Start(); },
                  [this] { serving_tree_->Stop(); }))
              .Build();
}

bool Daemon::Start() {
  started_at_ = MonotonicNow();
  if (!root_->Start()) return false;
  kLog.Info("Daemon {} serves {} in zone {}.", settings_.daemon,
            settings_.callers.ToString(), settings_.availability_zone);
  return true;
}

void Daemon::RequestStop() { drain_->Start(); }

bool Daemon::IsReady() const {
  return config_->IsKnown() && has_seen_vms_ && !drain_->IsDraining();
}

QJsonObject Daemon::Status() const {
  QJsonArray members;
  for (const auto& member : fleet_->membership().Live()) {
    members.append(QJsonObject{
        {"name", QString::fromStdString(member.name)},
        {"availability_zone", QString::fromStdString(member.availability_zone)},
        {"state", member.state == MemberState::kAlive ? "alive" : "suspect"}});
  }
  const auto traffic = fleet_->traffic();
  auto status = dispatcher_->Status();
  status["daemon"] = QString::fromStdString(settings_.daemon);
  status["availability_zone"] =
      QString::fromStdString(settings_.availability_zone);
  status["version"] = static_cast<qint64>(config_->current().version());
  status["ready"] = IsReady();
  status["members"] = members;
  status["placement"] = placement_->Status();
  status["unrecorded_outcomes"] =
      static_cast<qint64>(claims_->UnrecordedOutcomes());
  status["broken_invariants"] =
      static_cast<qint64>(InvariantMonitor::ViolationCount());
  status["peer_bytes_sent"] = static_cast<qint64>(traffic.sent);
  status["peer_bytes_received"] = static_cast<qint64>(traffic.received);
  return status;
}

QJsonObject Daemon::Report() const {
  const auto& current = config_->current();
  auto report = metrics_.ToJson(
      [&current](const std::string& name) {
        const auto* service = current.FindService(name);
        return service == nullptr ? Service().availability_objective
                                  : service->availability_objective;
      },
      MonotonicNow());
  report["uptime_s"] =
      static_cast<double>((MonotonicNow() - started_at_).count()) / 1'000.0;
  return report;
}

std::string Daemon::MetricsText() const {
  const auto traffic = fleet_->traffic();
  return metrics_.PrometheusText() + dispatcher_->CallerFlowMetrics() +
         fmt::format(
             "firmoor_config_version {}\nfirmoor_members {}\n"
             "firmoor_requests_in_work {}\nfirmoor_broken_invariants_total {}\n"
             "firmoor_peer_sent_bytes_total {}\n"
             "firmoor_peer_received_bytes_total {}\n",
             config_->current().version(), fleet_->membership().Live().size(),
             dispatcher_->ActiveRequestCount(),
             InvariantMonitor::ViolationCount(), traffic.sent,
             traffic.received);
}

}  // namespace firmoor
