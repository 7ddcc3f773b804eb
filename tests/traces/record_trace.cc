// Records a trace of a deployment at today's size: see README.md.

#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>
#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <QCoreApplication>
#include <QFile>
#include <cmath>
#include <random>
#include <set>
#include <string>

#include "cluster.h"

namespace firmoor {
namespace {

constexpr int kSeconds = 24;
constexpr double kPeakPerS = 30;
constexpr double kPi = 3.14159265358979;

ClusterShape ShapeOf(const std::string& deployment) {
  ClusterShape shape;
  if (deployment == "tsagaan-sam") {
    shape.zones = {{"ub-east", "ulaanbaatar", 3, 3, 1},
                   {"ub-west", "ulaanbaatar", 2, 3, 1},
                   {"dk-central", "darkhan", 2, 3, 1}};
  } else {
    shape.zones = {{"milano-a", "lombardia", 3, 6, 1},
                   {"milano-b", "lombardia", 3, 6, 1},
                   {"padova-a", "veneto", 2, 6, 1}};
  }
  return shape;
}

class Recorder {
 public:
  Recorder(Cluster* cluster, std::uint64_t seed)
      : cluster_(cluster), random_(seed) {}

  void Run() {
    const auto start = MonotonicNow();
    bool reclaimed = false;
    bool outage = false;
    for (;;) {
      const double at =
          static_cast<double>((MonotonicNow() - start).count()) / 1'000;
      if (at > kSeconds) break;
      if (!reclaimed && at > kSeconds * 0.5) {
        reclaimed = true;
        ReclaimZone();
      }
      if (!outage && at > kSeconds * 0.7) {
        outage = true;
        cluster_->ControlPlatform({{"outage_ms", 3'000}});
      }
      // A working day: quiet, busy at noon, quiet.
      const double rate = kPeakPerS * std::sin(kPi * at / kSeconds) + 2;
      Send(at > kSeconds * 0.3 && at < kSeconds * 0.4);
      RunFor(static_cast<int>(1'000 / rate));
    }
    WaitUntil(
        [this] {
          for (const auto& exchange : running_) {
            if (!exchange->done()) return false;
          }
          return true;
        },
        30'000);
  }

 private:
  int Pick(int low, int high) {
    return std::uniform_int_distribution<int>(low, high)(random_);
  }

  void ReclaimZone() {
    const auto zone = cluster_->engine(0).zone;
    std::set<std::string> leaving;
    for (std::size_t i = 0; i < cluster_->engine_count(); ++i) {
      if (cluster_->engine(i).zone == zone) {
        leaving.insert(cluster_->engine(i).name);
      }
    }
    cluster_->PublishVms({}, leaving);
    RunFor(1'000);
    for (std::size_t i = 0; i < cluster_->engine_count(); ++i) {
      if (cluster_->engine(i).zone == zone) {
        cluster_->Kill(&cluster_->engine(i));
      }
    }
    cluster_->PublishVms(leaving);
  }

  void Send(bool hot) {
    const int count = hot ? 3 : 1;
    for (int i = 0; i < count; ++i) {
      const auto id = fmt::format("r{}", next_++);
      const int what = Pick(0, 9);
      const auto& to = cluster_->daemon(static_cast<std::size_t>(
          Pick(0, static_cast<int>(cluster_->daemon_count()) - 1)));
      const std::string document(static_cast<std::size_t>(512),
                                 static_cast<char>('a' + Pick(0, 20)));
      HttpRequest request =
          what < 5   ? cluster_->Completion(document + id, 25, true)
          : what < 7 ? cluster_->Booking("key-" + id, id, "late:30")
          : what < 8 ? cluster_->Booking("", id, Pick(0, 9) == 0 ? "die" : "")
                     : cluster_->Lookup("late:10");
      running_.push_back(
          std::make_unique<Exchange>(to.endpoint, std::move(request)));
    }
  }

  Cluster* cluster_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<Exchange>> running_;
  int next_ = 0;
};

int Record(const std::string& deployment, const std::string& output,
           std::uint64_t seed) {
  auto shape = ShapeOf(deployment);
  shape.traces = true;
  Cluster cluster(shape);
  if (!cluster.WaitReady()) return 2;
  Recorder(&cluster, seed).Run();
  QFile file(QString::fromStdString(output));
  if (!file.open(QIODevice::WriteOnly | QIODevice::Truncate)) return 2;
  for (std::size_t i = 0; i < cluster.daemon_count(); ++i) {
    cluster.Terminate(&cluster.daemon(i));
    cluster.WaitEnded(&cluster.daemon(i));
    QFile trace(QString::fromStdString(cluster.TraceFile(i)));
    if (trace.open(QIODevice::ReadOnly)) file.write(trace.readAll());
  }
  return 0;
}

}  // namespace
}  // namespace firmoor

/// Entry point of the recorder.
int main(int argc, char** argv) {
  CLI::App app("records a trace", "record_trace");
  std::string deployment;
  std::string output;
  std::uint64_t seed = 1;
  app.add_option("deployment", deployment)->required();
  app.add_option("output", output)->required();
  app.add_option("--seed", seed);
  CLI11_PARSE(app, argc, argv);
  const QCoreApplication application(argc, argv);
  doctest::Context context;
  context.setAsDefaultForAssertsOutOfTestCases();
  return firmoor::Record(deployment, output, seed);
}
