// Compares the routing strategies side by side in one run: the daemon's own
// routers and admission in front of engine models, in virtual time.

#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <future>
#include <string>
#include <vector>

#include "deployments.h"

namespace firmoor {
namespace {

struct ScenarioName {
  Scenario scenario;
  const char* name;
};
constexpr ScenarioName kScenarios[] = {
    {Scenario::kSteady, "steady"},
    {Scenario::kReclaimWave, "reclaim wave"},
    {Scenario::kHotWorkspace, "hot workspace"}};
constexpr const char* kStrategies[] = {"expected-time", "round-robin",
                                       "least-in-flight", "prefix-affinity"};

/// Median and spread (lowest to highest) of one figure over the seeds.
std::string Show(const std::vector<RunFigures>& runs,
                 double RunFigures::*member) {
  std::vector<double> values;
  values.reserve(runs.size());
  for (const auto& run : runs) values.push_back(run.*member);
  std::sort(values.begin(), values.end());
  return fmt::format("{:.4g} ({:.4g}-{:.4g})", values[values.size() / 2],
                     values.front(), values.back());
}

std::vector<RunFigures> RunSeeds(RunShape shape, int seeds) {
  std::vector<std::future<RunFigures>> futures;
  for (int seed = 1; seed <= seeds; ++seed) {
    shape.seed = static_cast<std::uint64_t>(seed);
    futures.push_back(std::async(std::launch::async,
                                 [shape] { return FleetModel(shape).Run(); }));
  }
  std::vector<RunFigures> runs;
  runs.reserve(futures.size());
  for (auto& future : futures) runs.push_back(future.get());
  return runs;
}

void PrintRow(const std::string& strategy,
              const std::vector<RunFigures>& runs) {
  fmt::print("  {:<16} {:>26} {:>22} {:>20} {:>22} {:>18} {:>18} {:>20}\n",
             strategy, Show(runs, &RunFigures::recomputed_tokens),
             Show(runs, &RunFigures::cost_per_thousand),
             Show(runs, &RunFigures::first_token_p50_ms),
             Show(runs, &RunFigures::first_token_p95_ms),
             Show(runs, &RunFigures::gap_p95_ms),
             Show(runs, &RunFigures::refused),
             Show(runs, &RunFigures::small_p95_ms));
}

int Main(int argc, char** argv) {
  CLI::App app("Compares routing strategies", "compare_strategies");
  int seeds = 5;
  double seconds = 90;
  std::string only;
  app.add_option("--seeds", seeds, "Runs of each line");
  app.add_option("--seconds", seconds, "Virtual length of a run");
  app.add_option("--strategy", only, "Run this strategy only");
  CLI11_PARSE(app, argc, argv);
  for (const auto& deployment : Deployments()) {
    for (const auto& [scenario, name] : kScenarios) {
      fmt::print("{}, {}: median (lowest-highest) of {} seeds\n",
                 deployment.name, name, seeds);
      fmt::print("  {:<16} {:>26} {:>22} {:>20} {:>22} {:>18} {:>18} {:>20}\n",
                 "strategy", "recomputed tokens", "cost/1000 in target",
                 "first p50 ms", "first p95 ms", "gap p95 ms", "refused",
                 "small p95 ms");
      for (const char* strategy : kStrategies) {
        if (!only.empty() && only != strategy) continue;
        RunShape shape;
        shape.deployment = deployment;
        shape.scenario = scenario;
        shape.strategy = strategy;
        shape.seconds = seconds;
        PrintRow(strategy, RunSeeds(shape, seeds));
      }
    }
  }
  return 0;
}

}  // namespace
}  // namespace firmoor

/// Entry point of the comparison.
int main(int argc, char** argv) { return firmoor::Main(argc, argv); }
