// Measures what docs/CAPACITY.md rests on, each with one command:
//   measure overhead        added latency and CPU against a direct call
//   measure streams N...    CPU and memory with N open streams
//   measure daemons N...    control cost of N idle daemons
//   measure upstreams N...  watching cost of N upstreams
//   measure documents KB... configuration of that size, patched
//   measure claims          claim store against one object a key

#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>
#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <QCoreApplication>
#include <QJsonArray>
#include <QTimer>
#include <algorithm>
#include <cstdio>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/hash.h"
#include "cluster.h"
#include "platform/http_object_store.h"
#include "process_usage.h"
#include "serving/claim_store.h"

namespace firmoor {
namespace {

constexpr int kSettleMs = 3'000;
constexpr double kMsPerSecond = 1'000;

double Percentile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(
      share * static_cast<double>(values.size() - 1))];
}

double NowMs() {
  return std::chrono::duration<double, std::milli>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

ProcessUsage Usage(const Cluster::Node& node) {
  return UsageOf(node.process->processId());
}

/// Sends requests one behind the other and returns their times in ms.
std::vector<double> TimeRequests(const Endpoint& to, const HttpRequest& request,
                                 int count) {
  HttpConnectionPool pool;
  std::vector<double> times;
  for (int i = 0; i < count; ++i) {
    const double started = NowMs();
    bool done = false;
    const auto call = HttpFetch(to, request, {}, &pool,
                                [&](const HttpFetchResult&) { done = true; });
    while (!done) {
      QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
    }
    times.push_back(NowMs() - started);
  }
  return times;
}

int MeasureOverhead() {
  ClusterShape shape;
  shape.zones = {{"east", "home", 1, 0, 1}};
  Cluster cluster(shape);
  if (!cluster.WaitReady()) return 2;
  constexpr int kCount = 3'000;
  HttpRequest direct = cluster.Lookup();
  direct.target = "/schedule";
  TimeRequests(cluster.daemon(0).endpoint, cluster.Lookup(), 200);
  const auto before = Usage(cluster.daemon(0));
  const auto through =
      TimeRequests(cluster.daemon(0).endpoint, cluster.Lookup(), kCount);
  const auto after = Usage(cluster.daemon(0));
  const auto straight = TimeRequests(cluster.plain(0).endpoint, direct, kCount);
  const auto unkeyed =
      TimeRequests(cluster.daemon(0).endpoint, cluster.Booking("", "w"), 1'000);
  fmt::print("{:<28} {:>8} {:>8}\n", "lookup, one at a time", "p50 ms",
             "p99 ms");
  const auto row = [](const char* name, const std::vector<double>& times) {
    fmt::print("{:<28} {:>8.3f} {:>8.3f}\n", name, Percentile(times, 0.5),
               Percentile(times, 0.99));
  };
  row("direct", straight);
  row("through firmoord", through);
  row("unkeyed booking through", unkeyed);
  fmt::print("added: p50 {:.3f} ms, p99 {:.3f} ms; CPU {:.3f} ms a request\n",
             Percentile(through, 0.5) - Percentile(straight, 0.5),
             Percentile(through, 0.99) - Percentile(straight, 0.99),
             (after.cpu_s - before.cpu_s) * kMsPerSecond / kCount);
  return 0;
}

int MeasureStreams(const std::vector<int>& counts) {
  fmt::print("{:>8} {:>10} {:>10} {:>12} {:>14} {:>8}\n", "streams", "RSS MB",
             "CPU %", "tokens/s", "us CPU/token", "threads");
  for (const int count : counts) {
    ClusterShape shape;
    shape.zones = {{"east", "home", 1, 4, 1}};
    shape.engine_options = {"--batch", "1000", "--step-ms", "40"};
    shape.configuration = {
        {"services",
         QJsonObject{{"assist", QJsonObject{{"upstream_concurrency", 1'000},
                                            {"queue_limit", 4'000},
                                            {"deadline_ms", 120'000}}}}}};
    Cluster cluster(shape);
    if (!cluster.WaitReady()) return 2;
    std::vector<std::unique_ptr<Exchange>> streams;
    for (int i = 0; i < count; ++i) {
      streams.push_back(std::make_unique<Exchange>(
          cluster.daemon(0).endpoint,
          cluster.Completion("s" + std::to_string(i), 2'000, true), 120'000));
      if (i % 50 == 0) RunFor(20);
    }
    RunFor(kSettleMs);
    const auto tokens_before = cluster.EngineTotal("generated");
    const auto before = Usage(cluster.daemon(0));
    const double started = NowMs();
    RunFor(8'000);
    const double seconds = (NowMs() - started) / kMsPerSecond;
    const auto after = Usage(cluster.daemon(0));
    const auto tokens =
        static_cast<double>(cluster.EngineTotal("generated") - tokens_before);
    const double cpu = after.cpu_s - before.cpu_s;
    fmt::print("{:>8} {:>10.1f} {:>10.1f} {:>12.0f} {:>14.1f} {:>8}\n", count,
               after.rss_mb, cpu / seconds * 100, tokens / seconds,
               tokens > 0 ? cpu * 1e6 / tokens : 0, after.threads);
    std::fflush(stdout);
  }
  return 0;
}

struct ControlSample {
  double cpu_percent = 0;
  double rss_mb = 0;
  double sent_per_s = 0;
  double received_per_s = 0;
};

/// Mean control cost of the daemons of a cluster over `seconds`.
ControlSample SampleControl(Cluster* cluster, int seconds) {
  const auto count = cluster->daemon_count();
  std::vector<ProcessUsage> before;
  std::vector<QJsonObject> status;
  for (std::size_t i = 0; i < count; ++i) {
    before.push_back(Usage(cluster->daemon(i)));
    status.push_back(cluster->Status(i));
  }
  RunFor(seconds * 1'000);
  ControlSample sample;
  for (std::size_t i = 0; i < count; ++i) {
    const auto after = Usage(cluster->daemon(i));
    const auto now = cluster->Status(i);
    const auto rate = [&](const char* key) {
      const auto name = QLatin1String(key);
      return double(now.value(name).toInteger() -
                    status[i].value(name).toInteger()) /
             seconds / static_cast<double>(count);
    };
    sample.cpu_percent += (after.cpu_s - before[i].cpu_s) / seconds * 100 /
                          static_cast<double>(count);
    sample.rss_mb += after.rss_mb / static_cast<double>(count);
    sample.sent_per_s += rate("peer_bytes_sent");
    sample.received_per_s += rate("peer_bytes_received");
  }
  return sample;
}

void PrintControl(int count, const ControlSample& sample,
                  const std::string& more) {
  fmt::print("{:>8} {:>8.2f} {:>8.1f} {:>12.0f} {:>12.0f} {}\n", count,
             sample.cpu_percent, sample.rss_mb, sample.sent_per_s,
             sample.received_per_s, more);
  std::fflush(stdout);
}

void PrintControlHead(const char* what, const char* more) {
  fmt::print("{:>8} {:>8} {:>8} {:>12} {:>12} {}\n", what, "CPU %", "RSS MB",
             "peer B/s out", "peer B/s in", more);
}

/// Default periods of a daemon, as they run in production.
std::map<std::string, std::string> ProductionPeriods() {
  return {{"times.vm_list_period_ms", "1000"},
          {"times.probe_period_ms", "1000"},
          {"times.load_period_ms", "500"}};
}

int MeasureDaemons(const std::vector<int>& counts, int settle_s) {
  PrintControlHead("daemons", "store calls/s");
  for (const int count : counts) {
    ClusterShape shape;
    shape.zones = {{"east", "home", (count + 1) / 2, 0, 1},
                   {"west", "home", count / 2, 0, 1}};
    shape.settings = ProductionPeriods();
    Cluster cluster(shape);
    if (!cluster.WaitReady()) return 2;
    // The news of the joins must have run out.
    RunFor(settle_s * 1'000);
    const auto calls = [&] {
      const auto stats = cluster.GetJson(cluster.platform(), "/stats");
      return double(stats.value("reads").toInteger() +
                    stats.value("writes").toInteger());
    };
    const double before = calls();
    const auto sample = SampleControl(&cluster, 10);
    PrintControl(count, sample, fmt::format("{:.1f}", (calls() - before) / 10));
  }
  return 0;
}

int MeasureUpstreams(const std::vector<int>& counts) {
  PrintControlHead("upstreams", "(one daemon, 24 a service watched, then all)");
  for (const int count : counts) {
    for (const char* watched : {"24", "4096"}) {
      ClusterShape shape;
      shape.zones = {{"east", "home", 1, 1, 1}};
      shape.settings = ProductionPeriods();
      shape.settings["limits.upstreams_per_service"] = watched;
      Cluster cluster(shape);
      if (!cluster.WaitReady()) return 2;
      // One engine answers for all of them: the daemon's cost is the same.
      QJsonArray vms;
      for (int i = 0; i < count; ++i) {
        vms.append(QJsonObject{
            {"id", QString("vm-%1").arg(i)},
            {"service", "assist"},
            {"availability_zone", "east"},
            {"region", "home"},
            {"endpoint",
             QString::fromStdString(cluster.engine(0).endpoint.ToString())},
            {"reclaimable", true}});
      }
      cluster.ControlPlatform({{"vms", vms}});
      RunFor(kSettleMs);
      PrintControl(count, SampleControl(&cluster, 10),
                   fmt::format("watched at most {}", watched));
    }
  }
  return 0;
}

int MeasureDocuments(const std::vector<int>& sizes_kb) {
  PrintControlHead("KB", "in force ms: p50, highest (4 daemons, patches)");
  for (const int kb : sizes_kb) {
    ClusterShape shape;
    shape.zones = {{"east", "home", 2, 0, 1}, {"west", "home", 2, 0, 1}};
    shape.settings = ProductionPeriods();
    Cluster cluster(shape);
    if (!cluster.WaitReady()) return 2;
    QJsonObject workspaces;
    constexpr int kBytesPerWorkspace = 120;
    for (int i = 0; i < kb * 1'024 / kBytesPerWorkspace; ++i) {
      workspaces[QString("workspace-%1").arg(i)] = QJsonObject{
          {"token_sha256", QString("%1").arg(i, 64, 16, QChar('0'))}};
    }
    const QJsonObject big{{"workspaces", workspaces}};
    if (cluster.Patch(0, 1, big, "big").status != 200) return 2;
    RunFor(kSettleMs);
    std::vector<double> times;
    std::int64_t version = 2;
    QTimer timer;
    QObject::connect(&timer, &QTimer::timeout, &timer, [&] {});
    std::vector<QJsonObject> status;
    const auto patch_and_wait = [&] {
      const double started = NowMs();
      const QJsonObject merge{
          {"services",
           QJsonObject{{"desk", QJsonObject{{"queue_limit",
                                             static_cast<int>(version)}}}}}};
      if (cluster.Patch(0, version, merge, std::to_string(version)).status !=
          200) {
        return;
      }
      ++version;
      for (std::size_t i = 0; i < cluster.daemon_count(); ++i) {
        WaitUntil([&] { return cluster.VersionAt(i) >= version; }, 10'000);
      }
      times.push_back(NowMs() - started);
    };
    std::vector<ProcessUsage> before;
    std::vector<QJsonObject> status_before;
    for (std::size_t i = 0; i < cluster.daemon_count(); ++i) {
      before.push_back(Usage(cluster.daemon(i)));
      status_before.push_back(cluster.Status(i));
    }
    const double started = NowMs();
    for (int i = 0; i < 10; ++i) patch_and_wait();
    const double seconds = (NowMs() - started) / kMsPerSecond;
    ControlSample sample;
    for (std::size_t i = 0; i < cluster.daemon_count(); ++i) {
      const auto count = static_cast<double>(cluster.daemon_count());
      const auto now = Usage(cluster.daemon(i));
      const auto status_now = cluster.Status(i);
      sample.cpu_percent +=
          (now.cpu_s - before[i].cpu_s) / seconds * 100 / count;
      sample.rss_mb += now.rss_mb / count;
      sample.sent_per_s +=
          double(status_now.value("peer_bytes_sent").toInteger() -
                 status_before[i].value("peer_bytes_sent").toInteger()) /
          seconds / count;
      sample.received_per_s +=
          double(status_now.value("peer_bytes_received").toInteger() -
                 status_before[i].value("peer_bytes_received").toInteger()) /
          seconds / count;
    }
    PrintControl(kb, sample,
                 fmt::format("{:.0f}, {:.0f}; {:.1f} patches/s, {:.0f} ms CPU "
                             "a patch",
                             Percentile(times, 0.5), Percentile(times, 1.0),
                             static_cast<double>(times.size()) / seconds,
                             sample.cpu_percent / 100 * seconds * kMsPerSecond /
                                 static_cast<double>(times.size())));
  }
  return 0;
}

/// Claims a key and records its outcome, by one of the mechanisms compared.
class ClaimMechanism {
 public:
  virtual ~ClaimMechanism() = default;
  virtual void Claim(const std::string& key,
                     std::function<void(bool)> done) = 0;
};

class SlotMechanism : public ClaimMechanism {
 public:
  /// With `homes` each slot is used by one daemon, as in a fleet at rest.
  SlotMechanism(const Endpoint& platform, std::size_t daemons, bool homes)
      : homes_(homes) {
    for (std::size_t i = 0; i < daemons; ++i) {
      stores_.push_back(std::make_unique<HttpObjectStore>(platform));
      claims_.push_back(std::make_unique<ClaimStore>(stores_.back().get(), 32,
                                                     Duration(5'000)));
    }
  }
  void Claim(const std::string& key, std::function<void(bool)> done) override {
    const auto slot = claims_.front()->SlotOf(key);
    const auto turn = homes_ ? Hash64(slot) : next_++;
    auto* claims = claims_[turn % claims_.size()].get();
    firmoor::Claim wanted;
    wanted.key = key;
    wanted.body = "body";
    wanted.attempt = key;
    wanted.changed_ms = WallClockMs();
    claims->Claim(wanted, [claims, wanted, done = std::move(done)](
                              const ClaimBatcher::Decision& decided) {
      const bool granted = decided.result == ClaimResult::kGranted;
      if (granted) {
        auto ended = wanted;
        ended.state = ClaimState::kDone;
        ended.answer = "an answer of a booking desk";
        ended.answer_kept = true;
        claims->Record(ended);
      }
      done(granted);
    });
  }

 private:
  std::vector<std::unique_ptr<HttpObjectStore>> stores_;
  std::vector<std::unique_ptr<ClaimStore>> claims_;
  bool homes_;
  std::uint64_t next_ = 0;
};

class ObjectPerKeyMechanism : public ClaimMechanism {
 public:
  explicit ObjectPerKeyMechanism(const Endpoint& platform) : store_(platform) {}
  void Claim(const std::string& key, std::function<void(bool)> done) override {
    store_.Write("key-" + key, {}, "claimed",
                 [this, key, done = std::move(done)](StoreStatus status,
                                                     StoreVersion version) {
                   const bool granted = status == StoreStatus::kOk;
                   if (granted) {
                     store_.Write("key-" + key, version,
                                  "an answer of a booking desk",
                                  [](StoreStatus, StoreVersion) {});
                   }
                   done(granted);
                 });
  }

 private:
  HttpObjectStore store_;
};

void MeasureClaimRate(Cluster* cluster, const char* name,
                      ClaimMechanism* mechanism, int rate) {
  constexpr double kSeconds = 5;
  const auto stat = [&](const char* key) {
    return double(cluster->GetJson(cluster->platform(), "/stats")
                      .value(QLatin1String(key))
                      .toInteger());
  };
  const double writes = stat("writes");
  const double reads = stat("reads");
  const double conflicts = stat("conflicts");
  std::vector<double> times;
  int sent = 0;
  int failed = 0;
  const int total = static_cast<int>(rate * kSeconds);
  const double started = NowMs();
  while (static_cast<int>(times.size()) + failed < total &&
         NowMs() - started < kSeconds * 4 * kMsPerSecond) {
    const int due = std::min(
        total, static_cast<int>((NowMs() - started) * rate / kMsPerSecond) + 1);
    for (; sent < due; ++sent) {
      const auto key = fmt::format("{}-{}-{}", name, rate, sent);
      mechanism->Claim(key, [&, asked = NowMs()](bool granted) {
        if (granted) {
          times.push_back(NowMs() - asked);
        } else {
          ++failed;
        }
      });
    }
    QCoreApplication::processEvents(QEventLoop::AllEvents, 1);
  }
  RunFor(500);
  fmt::print(
      "{:<26} {:>6} {:>10.1f} {:>10.1f} {:>10.1f} {:>9.2f} {:>9.2f} {:>7}\n",
      name, rate, (stat("writes") - writes) / kSeconds,
      (stat("reads") - reads) / kSeconds,
      (stat("conflicts") - conflicts) / kSeconds, Percentile(times, 0.5),
      Percentile(times, 0.99), failed);
  std::fflush(stdout);
}

int MeasureClaims(int slow_ms) {
  ClusterShape shape;
  shape.zones = {{"east", "home", 1, 0, 1}};
  Cluster cluster(shape);
  if (!cluster.WaitReady()) return 2;
  cluster.Kill(&cluster.daemon(0));
  cluster.ControlPlatform({{"slow_ms", slow_ms}});
  fmt::print("store answers {} ms late\n", slow_ms);
  fmt::print("{:<26} {:>6} {:>10} {:>10} {:>10} {:>9} {:>9} {:>7}\n",
             "mechanism", "req/s", "writes/s", "reads/s", "conflict/s",
             "p50 ms", "p99 ms", "failed");
  for (const int rate : {1, 10, 100, 1'000}) {
    SlotMechanism homes(cluster.platform(), 7, true);
    MeasureClaimRate(&cluster, "slots, 7 daemons, homes", &homes, rate);
    SlotMechanism seven(cluster.platform(), 7, false);
    MeasureClaimRate(&cluster, "slots, 7 daemons, no home", &seven, rate);
    ObjectPerKeyMechanism single(cluster.platform());
    MeasureClaimRate(&cluster, "one object a key", &single, rate);
  }
  return 0;
}

int Main(int argc, char** argv) {
  CLI::App app("Measures for docs/CAPACITY.md", "measure");
  app.require_subcommand(1);
  std::vector<int> counts;
  int slow_ms = 5;
  int settle_s = 25;
  int code = 0;
  app.add_subcommand("overhead")->callback([&] { code = MeasureOverhead(); });
  auto* streams = app.add_subcommand("streams");
  streams->add_option("counts", counts)->required();
  streams->callback([&] { code = MeasureStreams(counts); });
  auto* daemons = app.add_subcommand("daemons");
  daemons->add_option("counts", counts)->required();
  daemons->add_option("--settle-s", settle_s, "Rest before the sample");
  daemons->callback([&] { code = MeasureDaemons(counts, settle_s); });
  auto* upstreams = app.add_subcommand("upstreams");
  upstreams->add_option("counts", counts)->required();
  upstreams->callback([&] { code = MeasureUpstreams(counts); });
  auto* documents = app.add_subcommand("documents");
  documents->add_option("sizes", counts)->required();
  documents->callback([&] { code = MeasureDocuments(counts); });
  auto* claims = app.add_subcommand("claims");
  claims->add_option("--slow-ms", slow_ms, "Delay of the store");
  claims->callback([&] { code = MeasureClaims(slow_ms); });
  CLI11_PARSE(app, argc, argv);
  return code;
}

}  // namespace
}  // namespace firmoor

/// Entry point of the measurements.
int main(int argc, char** argv) {
  const QCoreApplication application(argc, argv);
  // The cluster asserts with doctest, which needs a context.
  doctest::Context context;
  context.setAsDefaultForAssertsOutOfTestCases();
  return firmoor::Main(argc, argv);
}
