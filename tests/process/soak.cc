// Long randomised run of separate processes under load and random faults.
// Ends non-zero when a promise was broken. See scripts/soak.sh.

#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>
#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <QCoreApplication>
#include <map>
#include <random>
#include <string>

#include "cluster.h"
#include "soak_faults.h"
#include "soak_load.h"

namespace firmoor {

void Complain(int* count, const std::string& what) {
  constexpr int kPrinted = 10;
  if (++*count <= kPrinted) fmt::print("BROKEN {}\n", what);
}

int PickNumber(std::mt19937_64* random, int low, int high) {
  return std::uniform_int_distribution<int>(low, high)(*random);
}

namespace {

constexpr Duration kLoadPeriod{25};
constexpr Duration kReportPeriod{60'000};

SoakCounts Soak(Cluster* cluster, std::uint64_t seed, Duration length) {
  std::mt19937_64 random(seed);
  SoakCounts counts;
  SoakFaults* faults_in_use = nullptr;
  SoakLoad load(cluster, &random, &counts,
                [&faults_in_use] { return faults_in_use->kills(); });
  SoakFaults faults(cluster, &random, &counts, [&] { load.RaceOperators(); });
  faults_in_use = &faults;
  const auto end = MonotonicNow() + length;
  auto next_load = MonotonicNow();
  auto next_fault = MonotonicNow() + Duration(1'000);
  auto next_report = MonotonicNow() + kReportPeriod;
  while (MonotonicNow() < end || !faults.IsIdle()) {
    const auto now = MonotonicNow();
    if (now < end && now >= next_load) {
      next_load += kLoadPeriod;
      load.StartRequest();
    }
    if (now < end && now >= next_fault) {
      next_fault = now + Duration(PickNumber(&random, 300, 2'500));
      faults.StartOne();
    }
    if (now >= next_report) {
      next_report += kReportPeriod;
      fmt::print("{} works, {} faults\n", load.works(), faults.started());
      std::fflush(stdout);
    }
    faults.Undo(now);
    load.Reap();
    faults.FindCrashes();
    RunFor(2);
  }
  cluster->Heal();
  load.Settle();
  load.Verify();
  counts.broken_invariants = cluster->BrokenInvariants();
  return counts;
}

void Print(const char* title, const std::map<std::string, int>& counts) {
  fmt::print("{}:\n", title);
  for (const auto& [name, count] : counts) {
    fmt::print("  {:<36} {}\n", name, count);
  }
}

int RunSoak(std::uint64_t seed, double minutes) {
  ClusterShape shape;
  shape.zones = {{"east", "home", 2, 2, 2}, {"west", "home", 2, 2, 1}};
  shape.relay = true;
  Cluster cluster(shape);
  if (!cluster.WaitReady()) {
    fmt::print("the cluster did not become ready\n");
    return 2;
  }
  const auto counts = Soak(
      &cluster, seed, Duration(static_cast<std::int64_t>(minutes * 60'000)));
  Print("requests", counts.requests);
  Print("answers", counts.outcomes);
  Print("faults", counts.faults);
  fmt::print(
      "seed {}, {} minutes: runs of a key above one: {}, false not-run: {}, "
      "wrong answers: {}, lost accepted: {} (excused by a kill without "
      "notice: {}), crashed daemons: {}, broken invariants: {}\n",
      seed, minutes, counts.keys_above_one, counts.false_not_run,
      counts.wrong_answers, counts.lost_accepted, counts.excused_accepted,
      counts.crashed_daemons, counts.broken_invariants);
  const bool good = counts.keys_above_one == 0 && counts.false_not_run == 0 &&
                    counts.wrong_answers == 0 && counts.lost_accepted == 0 &&
                    counts.crashed_daemons == 0 &&
                    counts.broken_invariants == 0;
  return good ? 0 : 1;
}

}  // namespace
}  // namespace firmoor

/// Entry point of the soak.
int main(int argc, char** argv) {
  CLI::App app("soak of firmoor");
  std::uint64_t seed = 1;
  double minutes = 1;
  app.add_option("--seed", seed);
  app.add_option("--minutes", minutes);
  CLI11_PARSE(app, argc, argv);
  const QCoreApplication application(argc, argv);
  // The cluster asserts with doctest, which needs a context.
  doctest::Context context;
  context.setAsDefaultForAssertsOutOfTestCases();
  return firmoor::RunSoak(seed, minutes);
}
