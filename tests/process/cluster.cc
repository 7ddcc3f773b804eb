#include "cluster.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <signal.h>

#include <QJsonArray>
#include <QJsonDocument>
#include <algorithm>
#include <cstdlib>
#include <fstream>

#include "config/config_log.h"
#include "config/configuration.h"
#include "support/child_process.h"
#include "support/reserved_port.h"

namespace firmoor {
namespace {

constexpr const char* kBinaries = FIRMOOR_BINARIES;
constexpr int kReadyTimeoutMs = 20'000;

QJsonObject DefaultConfiguration() {
  const QJsonObject assist{{"kind", "model"},
                           {"deadline_ms", 20'000},
                           {"stall_ms", 1'500},
                           {"upstream_concurrency", 16},
                           {"queue_limit", 64}};
  const QJsonObject desk{
      {"kind", "plain"},
      {"deadline_ms", 6'000},
      {"stall_ms", 1'000},
      {"upstream_concurrency", 32},
      {"operations", QJsonArray{QJsonObject{{"method", "POST"},
                                            {"path", "/search"},
                                            {"idempotent", true},
                                            {"priority", 10}}}}};
  const QJsonObject workspace{
      {"token_sha256", QString::fromStdString(Sha256Hex(kTestToken))},
      {"max_in_flight", 2'000}};
  return {{"services", QJsonObject{{"assist", assist}, {"desk", desk}}},
          {"workspaces", QJsonObject{{"salon", workspace}}}};
}

std::string Json(const QJsonObject& object) {
  return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

QJsonObject ParseJson(const std::string& text) {
  return QJsonDocument::fromJson(QByteArray::fromStdString(text)).object();
}

}  // namespace

Exchange::Exchange(const Endpoint& to, HttpRequest request, int timeout_ms) {
  const Duration time(timeout_ms);
  call_ = HttpCall::Builder(to, std::move(request))
              .Timeouts({Duration(1'000), time, time})
              .OnHead([this](int status, const HttpHeaders& headers) {
                answer_.status = status;
                answer_.headers = headers;
              })
              .OnBody([this](std::string_view bytes) { body_ += bytes; })
              .OnEnd([this](HttpCallEnd end) {
                answer_.body = body_;
                result_ = {end, end != HttpCallEnd::kNotConnected, answer_};
              })
              .Start();
}

bool Exchange::Wait(int timeout_ms) {
  return WaitUntil([this] { return done(); }, timeout_ms);
}

Cluster::Cluster(ClusterShape shape) : shape_(std::move(shape)) {
  std::vector<std::unique_ptr<Node>> single;
  platform_.reset();
  AddNode(&single, "platform", "", "", "tests/platform_standin");
  platform_ = std::move(single.front());
  Start(platform_.get());
  // Tests may control it before they wait for the rest.
  REQUIRE(WaitUntil(
      [this] { return !GetJson(platform_->endpoint, "/stats").isEmpty(); }));
  for (std::size_t z = 0; z < shape_.zones.size(); ++z) {
    const auto& zone = shape_.zones[z];
    for (int i = 0; i < zone.engines; ++i) {
      auto* node = AddNode(&engines_, fmt::format("engine-{}-{}", zone.name, i),
                           zone.name, zone.region, "tests/engine_standin");
      for (const auto& option : shape_.engine_options) {
        node->arguments << QString::fromStdString(option);
      }
      Start(node);
    }
    for (int i = 0; i < zone.plains; ++i) {
      auto* node = AddNode(&plains_, fmt::format("plain-{}-{}", zone.name, i),
                           zone.name, zone.region, "tests/plain_standin");
      node->arguments << "--journal" << directory_.filePath("journal");
      Start(node);
    }
    for (int i = 0; i < zone.daemons; ++i) AddDaemon(zone, z, i);
  }
  if (shape_.relay) StartRelay();
  for (const auto& node : daemons_) {
    WriteSettings(*node);
    Start(node.get());
  }
}

Cluster::~Cluster() {
  const auto end = [this](Node* node) {
    if (node == nullptr || !node->process) return;
    Thaw(node);
    Kill(node);
  };
  for (const auto& node : daemons_) end(node.get());
  for (const auto& node : engines_) end(node.get());
  for (const auto& node : plains_) end(node.get());
  end(relay_.get());
  end(platform_.get());
}

Cluster::Node* Cluster::AddNode(std::vector<std::unique_ptr<Node>>* list,
                                std::string name, std::string zone,
                                std::string region, std::string program) {
  auto node = std::make_unique<Node>();
  node->name = std::move(name);
  node->zone = std::move(zone);
  node->region = std::move(region);
  node->program = std::move(program);
  node->endpoint = {"127.0.0.1", ReservePort()};
  node->arguments << "--listen"
                  << QString::fromStdString(node->endpoint.ToString());
  list->push_back(std::move(node));
  return list->back().get();
}

void Cluster::AddDaemon(const TestZone& zone, std::size_t zone_index,
                        int index) {
  auto* node = AddNode(&daemons_, fmt::format("{}-{}", zone.name, index + 1),
                       zone.name, zone.region, "apps/firmoord/firmoord");
  // One loopback address for each daemon tells the relay who speaks.
  const auto address = fmt::format("127.0.{}.{}", zone_index + 1, index + 1);
  node->endpoint = {address, ReservePort(address)};
  node->operators = {address, ReservePort(address)};
  node->observe = {address, ReservePort(address)};
  node->peers = {address, ReservePort(address)};
  node->peers_advertised = node->peers;
  if (shape_.relay) {
    node->peers_advertised = {"127.0.0.1", ReservePort()};
  }
  const auto file =
      directory_.filePath(QString::fromStdString(node->name + ".toml"));
  node->arguments = QStringList{"--settings", file, "--fatal-invariants"};
}

Endpoint Cluster::PlatformFor(const std::string& zone) const {
  const auto found = platform_routes_.find(zone);
  return found == platform_routes_.end() ? platform_->endpoint : found->second;
}

void Cluster::StartRelay() {
  std::vector<std::unique_ptr<Node>> single;
  auto* node = AddNode(&single, "relay", "", "", "tests/relay_standin");
  relay_ = std::move(single.front());
  node->arguments = QStringList{
      "--control", QString::fromStdString(node->endpoint.ToString())};
  const auto add = [&](const std::string& name, const Endpoint& listen,
                       const Endpoint& target) {
    node->arguments << "--route"
                    << QString::fromStdString(fmt::format("{},{},{}", name,
                                                          listen.ToString(),
                                                          target.ToString()));
  };
  for (const auto& daemon : daemons_) {
    add(daemon->name, daemon->peers_advertised, daemon->peers);
  }
  for (const auto& zone : shape_.zones) {
    const Endpoint listen{"127.0.0.1", ReservePort()};
    platform_routes_[zone.name] = listen;
    add("platform-" + zone.name, listen, platform_->endpoint);
  }
  Start(node);
}

void Cluster::WriteSettings(const Node& node) {
  std::map<std::string, std::map<std::string, std::string>> sections;
  for (const auto& [key, value] : shape_.settings) {
    const auto dot = key.find('.');
    sections[key.substr(0, dot)][key.substr(dot + 1)] = value;
  }
  const auto quoted = [](const Endpoint& endpoint) {
    return "\"" + endpoint.ToString() + "\"";
  };
  std::string seeds;
  for (const auto& other : daemons_) {
    if (other.get() == &node) continue;
    seeds += (seeds.empty() ? "" : ", ") + quoted(other->peers_advertised);
  }
  sections["listen"] = {{"callers", quoted(node.endpoint)},
                        {"operators", quoted(node.operators)},
                        {"observe", quoted(node.observe)},
                        {"peers", quoted(node.peers)},
                        {"peers_advertised", quoted(node.peers_advertised)}};
  sections["platform"] = {{"object_api", quoted(PlatformFor(node.zone))},
                          {"vm_list", quoted(PlatformFor(node.zone))},
                          {"seeds", "[" + seeds + "]"},
                          {"cloud_api", quoted(platform_->endpoint)}};
  // Unique, since another test's daemon may take the port of one that ended.
  sections["security"] = {
      {"allow_anonymous", "true"},
      {"peer_token", "\"" + directory_.path().toStdString() + "\""}};
  auto& times = sections["times"];
  times.try_emplace("drain_ms", "6000");
  times.try_emplace("balancer_wait_ms", "100");
  times.try_emplace("vm_list_period_ms", "200");
  times.try_emplace("probe_period_ms", "300");
  times.try_emplace("load_period_ms", "200");
  if (shape_.traces) {
    sections["serving"]["trace_file"] = "\"" + TraceFileOf(node) + "\"";
  }
  std::ofstream file(node.arguments.at(1).toStdString());
  file << fmt::format(
      "daemon = \"{}\"\navailability_zone = \"{}\"\nregion = \"{}\"\n",
      node.name, node.zone, node.region);
  for (const auto& [section, keys] : sections) {
    file << "[" << section << "]\n";
    for (const auto& [key, value] : keys) file << key << " = " << value << "\n";
  }
}

std::string Cluster::TraceFileOf(const Node& node) const {
  return directory_.filePath(QString::fromStdString(node.name + ".jsonl"))
      .toStdString();
}

std::string Cluster::TraceFile(std::size_t daemon) const {
  return TraceFileOf(*daemons_.at(daemon));
}

void Cluster::Start(Node* node) {
  node->process = std::make_unique<QProcess>();
  if (std::getenv("FIRMOOR_TEST_LOGS") != nullptr) {
    node->process->setProcessChannelMode(QProcess::ForwardedChannels);
  } else {
    node->process->setStandardErrorFile(
        directory_.filePath(QString::fromStdString(node->name + ".log")),
        QIODevice::Append);
  }
  EndWithThisProcess(node->process.get());
  node->process->start(kBinaries + QString::fromStdString("/" + node->program),
                       node->arguments);
  REQUIRE(node->process->waitForStarted());
}

void Cluster::Kill(Node* node) {
  if (node->process->state() == QProcess::NotRunning) return;
  node->process->kill();
  node->process->waitForFinished(5'000);
}

void Cluster::Terminate(Node* node) { node->process->terminate(); }

void Cluster::Freeze(Node* node) {
  ::kill(static_cast<pid_t>(node->process->processId()), SIGSTOP);
}

void Cluster::Thaw(Node* node) {
  if (node->process->state() == QProcess::NotRunning) return;
  ::kill(static_cast<pid_t>(node->process->processId()), SIGCONT);
}

bool Cluster::WaitEnded(Node* node, int timeout_ms) {
  return WaitUntil(
      [&] { return node->process->state() == QProcess::NotRunning; },
      timeout_ms);
}

void Cluster::Control(const Endpoint& standin, const QJsonObject& what) {
  Exchange exchange(standin, {"POST", "/control", {}, Json(what)});
  REQUIRE(exchange.Wait());
  REQUIRE(exchange.result().answer.status == 200);
}

void Cluster::ControlPlatform(const QJsonObject& what) {
  Control(platform_->endpoint, what);
}

QJsonObject Cluster::GetJson(const Endpoint& from, const std::string& path) {
  Exchange exchange(from, {"GET", path, {}, {}}, 2'000);
  exchange.Wait();
  return exchange.done() ? ParseJson(exchange.result().answer.body)
                         : QJsonObject();
}

QJsonObject Cluster::Status(std::size_t daemon) {
  return GetJson(daemons_.at(daemon)->operators, "/status");
}

void Cluster::CutZones(const std::string& a, const std::string& b) {
  for (const auto& from : daemons_) {
    for (const auto& to : daemons_) {
      const bool crosses = (from->zone == a && to->zone == b) ||
                           (from->zone == b && to->zone == a);
      if (!crosses) continue;
      cuts_.push_back({{"source", QString::fromStdString(from->peers.address)},
                       {"route", QString::fromStdString(to->name)}});
    }
  }
  SendCuts();
}

void Cluster::CutPlatform(const std::string& zone) {
  cuts_.push_back(
      {{"source", ""}, {"route", QString::fromStdString("platform-" + zone)}});
  SendCuts();
}

void Cluster::Heal() {
  cuts_.clear();
  SendCuts();
}

void Cluster::SendCuts() {
  QJsonArray list;
  for (const auto& cut : cuts_) list.append(cut);
  Control(relay_->endpoint, {{"cut", list}});
}

void Cluster::PublishVms(const std::set<std::string>& gone,
                         const std::set<std::string>& leaving) {
  QJsonArray vms;
  const auto add = [&](const Node& node, const char* service) {
    if (gone.contains(node.name)) return;
    vms.append(QJsonObject{
        {"id", QString::fromStdString(node.name)},
        {"service", service},
        {"availability_zone", QString::fromStdString(node.zone)},
        {"region", QString::fromStdString(node.region)},
        {"endpoint", QString::fromStdString(node.endpoint.ToString())},
        {"reclaimable", true},
        {"leaving", leaving.contains(node.name)}});
  };
  for (const auto& node : engines_) add(*node, "assist");
  for (const auto& node : plains_) add(*node, "desk");
  ControlPlatform({{"vms", vms}});
}

bool Cluster::WaitUpstreams() {
  for (const auto* list : {&engines_, &plains_}) {
    for (const auto& node : *list) {
      const bool node_up =
          WaitUntil([&] { return !GetJson(node->endpoint, "/load").isEmpty(); },
                    kReadyTimeoutMs);
      if (!node_up) return false;
    }
  }
  return true;
}

bool Cluster::PatchFirst() {
  const auto merge = MergePatch(DefaultConfiguration(), shape_.configuration);
  return Patch(0, 0, merge, "first").status == 200;
}

bool Cluster::WaitReady() {
  const bool platform_up = WaitUntil(
      [this] { return !GetJson(platform_->endpoint, "/stats").isEmpty(); });
  if (!platform_up || !WaitUpstreams()) return false;
  PublishVms();
  const auto up = [this](std::size_t i) { return !Status(i).isEmpty(); };
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    if (!WaitUntil([&] { return up(i); }, kReadyTimeoutMs)) return false;
  }
  if (!PatchFirst()) return false;
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    const bool ready = WaitUntil(
        [&] {
          const auto status = Status(i);
          return status.value("ready").toBool() &&
                 status.value("version").toInteger() >= 1 &&
                 status.value("members").toArray().size() + 1 ==
                     static_cast<qsizetype>(daemons_.size());
        },
        kReadyTimeoutMs);
    if (!ready) return false;
  }
  return true;
}

std::vector<std::unique_ptr<Exchange>> Cluster::Send(
    std::size_t daemon, int count, const HttpRequest& request) {
  std::vector<std::unique_ptr<Exchange>> exchanges;
  exchanges.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    exchanges.push_back(
        std::make_unique<Exchange>(daemons_.at(daemon)->endpoint, request));
  }
  return exchanges;
}

HttpFetchResult Cluster::Ask(std::size_t daemon, const HttpRequest& request) {
  Exchange exchange(daemons_.at(daemon)->endpoint, request);
  exchange.Wait();
  return exchange.done() ? exchange.result() : HttpFetchResult();
}

HttpResponse Cluster::Patch(std::size_t daemon, std::int64_t base,
                            const QJsonObject& merge, const std::string& id) {
  Exchange exchange(daemons_.at(daemon)->operators,
                    {"POST",
                     "/config/patch",
                     {},
                     Json({{"id", QString::fromStdString(id)},
                           {"base_version", static_cast<qint64>(base)},
                           {"merge", merge}})});
  exchange.Wait();
  return exchange.done() ? exchange.result().answer : HttpResponse();
}

std::int64_t Cluster::VersionAt(std::size_t daemon) {
  return Status(daemon).value("version").toInteger(-1);
}

int Cluster::RunsOf(const std::string& work) {
  int runs = 0;
  for (const auto& node : plains_) {
    runs += GetJson(node->endpoint, "/runs")
                .value(QString::fromStdString(work))
                .toInt();
  }
  return runs;
}

const std::map<std::string, int>& Cluster::JournalledRuns() {
  std::ifstream file(directory_.filePath("journal").toStdString());
  file.seekg(journal_read_);
  std::string line;
  // A last line without its end is still being written.
  while (std::getline(file, line) && !file.eof()) {
    ++journal_[line];
    journal_read_ = file.tellg();
  }
  return journal_;
}

bool Cluster::HasRun(const std::string& work) {
  return JournalledRuns().contains(work);
}

int Cluster::MostRuns() {
  std::map<QString, int> totals;
  int most = 0;
  for (const auto& node : plains_) {
    const auto counts = GetJson(node->endpoint, "/runs");
    for (auto it = counts.begin(); it != counts.end(); ++it) {
      if (it.key().isEmpty()) continue;  // Lookups.
      most = std::max(most, totals[it.key()] += it.value().toInt());
    }
  }
  return most;
}

std::int64_t Cluster::EngineTotal(const char* counter) {
  std::int64_t total = 0;
  for (const auto& node : engines_) {
    total += GetJson(node->endpoint, "/stats")
                 .value(QLatin1String(counter))
                 .toInteger();
  }
  return total;
}

std::int64_t Cluster::BrokenInvariants() {
  std::int64_t total = 0;
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    total += Status(i).value("broken_invariants").toInteger();
  }
  return total;
}

}  // namespace firmoor
