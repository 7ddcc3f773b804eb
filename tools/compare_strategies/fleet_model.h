#ifndef FIRMOOR_COMPARE_STRATEGIES_FLEET_MODEL_H_
#define FIRMOOR_COMPARE_STRATEGIES_FLEET_MODEL_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <unordered_set>
#include <vector>

#include "base/time.h"
#include "emulator/engine_model.h"
#include "serving/admission.h"
#include "serving/router.h"

namespace firmoor {

/// What happens besides the steady load.
enum class Scenario { kSteady, kReclaimWave, kHotWorkspace };

/// Size and load of a deployment.
struct DeploymentShape {
  std::string name;
  std::size_t zones = 3;  ///< The last one is in the second region.
  std::size_t replicas = 9;
  std::size_t daemons = 7;
  double requests_per_s = 30;
  std::size_t documents = 400;  ///< Prompts start with one of these.
  std::size_t document_tokens = 2'000;
  std::size_t question_tokens = 150;  ///< Unique behind the document.
  std::size_t answer_tokens = 100;
  double zipf = 0.9;  ///< Skew of the documents' popularity.
  std::size_t cache_chunks = 2'000;
  double price_per_vm_hour = 2.0;
};

/// One run.
struct RunShape {
  DeploymentShape deployment;
  Scenario scenario = Scenario::kSteady;
  std::string strategy;
  std::uint64_t seed = 1;
  double seconds = 90;
};

/// What a run measured.
struct RunFigures {
  double recomputed_tokens = 0;
  double cost_per_thousand = 0;  ///< Per 1,000 answers in the target.
  double first_token_p50_ms = 0;
  double first_token_p95_ms = 0;
  double gap_p95_ms = 0;
  double refused = 0;
  double answers = 0;
  double small_p95_ms = 0;  ///< First token of the smallest workspace.
};

/// Daemons with their real routers and admission in front of engine models,
/// in virtual time. Load reports and cache events come late and with gaps.
class FleetModel {
 public:
  explicit FleetModel(RunShape shape);
  ~FleetModel();
  RunFigures Run();

 private:
  struct Engine;
  struct Daemon;
  struct Request;

  void At(double ms, std::function<void()> event);
  [[nodiscard]] TimePoint Now() const;
  void AddEngine(std::size_t zone);
  void AddDaemons();
  void ScheduleArrival(const std::string& workspace, double rate);
  void Arrive(const std::string& workspace);
  void Advance(Daemon* daemon);
  /// The same decision as the daemon's `Job` makes.
  [[nodiscard]] bool WaitsForPrefix(const Daemon& daemon, Request* request,
                                    const Router::Choice& choice) const;
  void Dispatch(Daemon* daemon, std::uint64_t id);
  void StartStep(Engine* engine);
  void FinishStep(Engine* engine, const EngineModel::StepResult& step);
  void TakeToken(const EngineModel::Event& event);
  void PublishCache(Engine* engine);
  void ReportLoads();
  void StartWave();
  void EndZone(std::size_t zone);
  void Resume(std::uint64_t id);
  [[nodiscard]] Router::Distance DistanceOf(std::size_t from,
                                            std::size_t to) const;
  std::size_t PickDocument();

  struct Event {
    double ms;
    std::uint64_t order;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return ms != other.ms ? ms > other.ms : order > other.order;
    }
  };

  RunShape shape_;
  std::mt19937_64 random_;
  double now_ms_ = 1'000'000;
  double end_ms_ = 0;
  std::uint64_t order_ = 0;
  std::priority_queue<Event> events_;
  std::vector<std::unique_ptr<Engine>> engines_;
  std::vector<std::unique_ptr<Daemon>> daemons_;
  std::map<std::uint64_t, std::unique_ptr<Request>> requests_;
  std::unordered_set<std::uint64_t> computed_;
  std::vector<double> popularity_;
  std::uint64_t next_request_ = 1;
  double vm_ms_ = 0;
  double good_answers_ = 0;
  double refused_ = 0;
  std::vector<double> first_tokens_;
  std::vector<double> small_first_tokens_;
  std::vector<double> gaps_;
};

}  // namespace firmoor

#endif  // FIRMOOR_COMPARE_STRATEGIES_FLEET_MODEL_H_
