#include "fleet_model.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

#include "serving/prefix_chunks.h"

namespace firmoor {
namespace {

constexpr double kLoadPeriodMs = 500;
constexpr double kLoadLagMs = 150;
constexpr double kCacheLagMs = 300;
constexpr int kCacheGap = 20;  // One cache event in this many is lost.
constexpr double kNoticeMs = 5'000;
constexpr double kReplacementMs = 15'000;
constexpr double kMsPerHour = 3'600'000;
constexpr double kWarmUpMs = 15'000;
constexpr std::int64_t kConcurrency = 16;
constexpr std::int64_t kQueueLimit = 64;
constexpr Duration kTarget{400};
constexpr Duration kDeadline{20'000};
constexpr double kSmallShare = 0.05;
constexpr double kHotFactor = 10;
constexpr const char* kSmall = "small";

double Percentile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  const auto at =
      static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(),
                   values.begin() + static_cast<std::ptrdiff_t>(at),
                   values.end());
  return values[at];
}

}  // namespace

struct FleetModel::Engine {
  Engine(const EngineParameters& shape, std::string name, std::size_t at)
      : model(shape), id(std::move(name)), zone(at) {}
  EngineModel model;
  std::string id;
  std::size_t zone;
  bool busy = false;
  bool gone = false;
  int cache_events = 0;
  double since_ms = 0;
};

struct FleetModel::Daemon {
  Daemon(const std::string& strategy, std::size_t at)
      : router(MakeRoutingStrategy(strategy)),
        admission(0, kQueueLimit),
        zone(at) {}
  Router router;
  Admission admission;
  std::size_t zone;
};

struct FleetModel::Request {
  RouteRequest route;
  std::string workspace;
  Daemon* daemon = nullptr;
  Engine* engine = nullptr;
  double arrived_ms = 0;
  double sent_ms = 0;
  double last_token_ms = 0;
  std::size_t tokens = 0;
  RouteTicket ticket;
  int boost = 0;
  bool first_seen = false;
  std::optional<TimePoint> waits_until;
};

FleetModel::FleetModel(RunShape shape)
    : shape_(std::move(shape)), random_(shape_.seed) {
  end_ms_ = now_ms_ + shape_.seconds * 1'000;
  double total = 0;
  for (std::size_t i = 0; i < shape_.deployment.documents; ++i) {
    total += 1 / std::pow(static_cast<double>(i + 1), shape_.deployment.zipf);
    popularity_.push_back(total);
  }
  AddDaemons();
  for (std::size_t i = 0; i < shape_.deployment.replicas; ++i) {
    AddEngine(i % shape_.deployment.zones);
  }
}

FleetModel::~FleetModel() = default;

void FleetModel::At(double ms, std::function<void()> event) {
  events_.push({ms, order_++, std::move(event)});
}

TimePoint FleetModel::Now() const {
  return TimePoint(Duration(static_cast<std::int64_t>(now_ms_)));
}

Router::Distance FleetModel::DistanceOf(std::size_t from,
                                        std::size_t to) const {
  if (from == to) return Router::Distance::kZone;
  const auto last = shape_.deployment.zones - 1;
  const bool same_region = from != last && to != last;
  return same_region ? Router::Distance::kRegion : Router::Distance::kRemote;
}

void FleetModel::AddDaemons() {
  for (std::size_t i = 0; i < shape_.deployment.daemons; ++i) {
    daemons_.push_back(
        std::make_unique<Daemon>(shape_.strategy, i % shape_.deployment.zones));
  }
}

void FleetModel::AddEngine(std::size_t zone) {
  EngineParameters engine_shape;
  engine_shape.cache_chunks = shape_.deployment.cache_chunks;
  engines_.push_back(std::make_unique<Engine>(
      engine_shape, fmt::format("engine-{}", engines_.size()), zone));
  auto* engine = engines_.back().get();
  engine->model.ShareComputedChunks(&computed_);
  engine->since_ms = now_ms_;
  for (const auto& daemon : daemons_) {
    daemon->router.AddReplica(engine->id, DistanceOf(daemon->zone, zone),
                              kConcurrency);
  }
}

std::size_t FleetModel::PickDocument() {
  const double at =
      std::uniform_real_distribution<double>(0, popularity_.back())(random_);
  return static_cast<std::size_t>(
      std::lower_bound(popularity_.begin(), popularity_.end(), at) -
      popularity_.begin());
}

void FleetModel::ScheduleArrival(const std::string& workspace, double rate) {
  const double gap =
      std::exponential_distribution<double>(rate / 1'000)(random_);
  At(now_ms_ + gap, [this, workspace, rate] {
    if (now_ms_ > end_ms_) return;
    Arrive(workspace);
    ScheduleArrival(workspace, rate);
  });
}

void FleetModel::Arrive(const std::string& workspace) {
  const auto& deployment = shape_.deployment;
  const auto id = next_request_++;
  auto request = std::make_unique<Request>();
  const auto document = PickDocument();
  const auto chunks = deployment.document_tokens / kChunkTokens;
  for (std::size_t i = 0; i < chunks; ++i) {
    request->route.chunks.push_back(document * 100'000 + i + 1);
  }
  request->route.prompt_tokens =
      deployment.document_tokens + deployment.question_tokens;
  request->workspace = workspace;
  request->arrived_ms = now_ms_;
  request->daemon = daemons_[std::uniform_int_distribution<std::size_t>(
                                 0, daemons_.size() - 1)(random_)]
                        .get();
  AdmissionRequest ask;
  ask.id = id;
  ask.workspace = workspace;
  ask.cost = static_cast<double>(request->route.prompt_tokens +
                                 deployment.answer_tokens);
  ask.max_in_flight = 10'000;
  ask.deadline = Now() + kDeadline;
  auto* daemon = request->daemon;
  requests_[id] = std::move(request);
  daemon->admission.SetCapacity(daemon->router.Capacity(Now()));
  daemon->admission.Submit(ask, Now());
  Advance(daemon);
}

void FleetModel::Advance(Daemon* daemon) {
  daemon->admission.SetCapacity(daemon->router.Capacity(Now()));
  const auto changes = daemon->admission.TakeChanges(Now());
  for (const auto& [id, refusal] : changes.refused) {
    ++refused_;
    requests_.erase(id);
  }
  for (const auto& admitted : changes.run) {
    requests_.at(admitted.id)->boost = admitted.below_fair_share ? 1 : 0;
    Dispatch(daemon, admitted.id);
  }
}

bool FleetModel::WaitsForPrefix(const Daemon& daemon, Request* request,
                                const Router::Choice& choice) const {
  if (request->boost > 0) return false;
  if (!request->waits_until) {
    request->waits_until = Now() + daemon.router.MaxPrefixWait();
  }
  return Now() < *request->waits_until &&
         daemon.router.IsWorthWaiting(request->route, choice, Now());
}

void FleetModel::Dispatch(Daemon* daemon, std::uint64_t id) {
  auto& request = *requests_.at(id);
  const auto choice = daemon->router.Pick(request.route, Now());
  if (!choice || WaitsForPrefix(*daemon, &request, *choice)) {
    At(now_ms_ + 20, [this, daemon, id] {
      if (requests_.contains(id)) Dispatch(daemon, id);
    });
    return;
  }
  request.ticket = daemon->router.OnDispatch(choice->id, request.route, Now());
  const auto found = std::find_if(
      engines_.begin(), engines_.end(),
      [&](const auto& engine) { return engine->id == choice->id; });
  request.engine = found->get();
  request.sent_ms = now_ms_;
  EngineSequence sequence;
  sequence.id = id;
  sequence.chunks = request.route.chunks;
  sequence.prompt_tokens = request.route.prompt_tokens;
  sequence.emitted_tokens = request.tokens;
  sequence.priority = request.boost;
  sequence.max_tokens = shape_.deployment.answer_tokens;
  request.engine->model.Add(sequence);
  StartStep(request.engine);
}

void FleetModel::StartStep(Engine* engine) {
  if (engine->busy || engine->gone) return;
  const auto step = engine->model.Step();
  if (step.ms <= 0) return;
  engine->busy = true;
  At(now_ms_ + step.ms, [this, engine, step] { FinishStep(engine, step); });
}

void FleetModel::FinishStep(Engine* engine,
                            const EngineModel::StepResult& step) {
  engine->busy = false;
  if (engine->gone) return;
  for (const auto& event : step.events) TakeToken(event);
  PublishCache(engine);
  StartStep(engine);
}

void FleetModel::TakeToken(const EngineModel::Event& event) {
  const auto found = requests_.find(event.id);
  if (found == requests_.end()) return;
  auto& request = *found->second;
  auto& router = request.daemon->router;
  const bool measured = request.arrived_ms > 1'000'000 + kWarmUpMs;
  if (!request.first_seen) {
    request.first_seen = true;
    const Duration after(static_cast<std::int64_t>(now_ms_ - request.sent_ms));
    router.OnFirstToken(&request.ticket, after, kTarget, Now());
    if (request.tokens == 0 && measured) {
      const double ms = now_ms_ - request.arrived_ms;
      first_tokens_.push_back(ms);
      if (request.workspace == kSmall) small_first_tokens_.push_back(ms);
      good_answers_ += ms <= static_cast<double>(kTarget.count()) ? 1 : 0;
    }
  }
  if (request.tokens > 0 && measured) {
    gaps_.push_back(now_ms_ - request.last_token_ms);
  }
  request.last_token_ms = now_ms_;
  request.tokens = event.token + 1;
  if (!event.last) return;
  router.OnEnd(&request.ticket);
  auto* daemon = request.daemon;
  daemon->admission.Finish(event.id, Now());
  requests_.erase(found);
  Advance(daemon);
}

void FleetModel::PublishCache(Engine* engine) {
  auto change = engine->model.TakeCacheChange();
  if (change.stored.empty() && change.removed.empty()) return;
  if (++engine->cache_events % kCacheGap == 0) return;
  At(now_ms_ + kCacheLagMs, [this, engine, change = std::move(change)] {
    for (const auto& daemon : daemons_) {
      daemon->router.OnCacheStored(engine->id, change.stored);
      daemon->router.OnCacheRemoved(engine->id, change.removed);
    }
  });
}

void FleetModel::ReportLoads() {
  for (const auto& engine : engines_) {
    if (engine->gone) continue;
    const ReplicaLoad load{
        static_cast<std::int64_t>(engine->model.running()),
        static_cast<std::int64_t>(engine->model.queued_tokens())};
    At(now_ms_ + kLoadLagMs, [this, load, id = engine->id] {
      for (const auto& daemon : daemons_) {
        daemon->router.OnLoadReport(id, load, Now());
      }
    });
  }
  if (now_ms_ < end_ms_) At(now_ms_ + kLoadPeriodMs, [this] { ReportLoads(); });
}

void FleetModel::StartWave() {
  constexpr std::size_t kZone = 0;
  for (const auto& engine : engines_) {
    if (engine->zone != kZone) continue;
    for (const auto& daemon : daemons_) daemon->router.SetLeaving(engine->id);
  }
  At(now_ms_ + kNoticeMs, [this] { EndZone(kZone); });
  At(now_ms_ + kReplacementMs, [this] {
    const auto count = shape_.deployment.replicas / shape_.deployment.zones;
    for (std::size_t i = 0; i < count; ++i) AddEngine(kZone);
  });
}

void FleetModel::EndZone(std::size_t zone) {
  std::vector<std::uint64_t> cut;
  for (const auto& engine : engines_) {
    if (engine->zone != zone || engine->gone) continue;
    engine->gone = true;
    vm_ms_ += now_ms_ - engine->since_ms;
    for (const auto& [id, request] : requests_) {
      if (request->engine == engine.get()) cut.push_back(id);
    }
  }
  for (const auto id : cut) Resume(id);
  for (const auto& engine : engines_) {
    if (!engine->gone) continue;
    for (const auto& daemon : daemons_) {
      daemon->router.RemoveReplica(engine->id);
    }
  }
}

void FleetModel::Resume(std::uint64_t id) {
  auto& request = *requests_.at(id);
  request.daemon->router.OnEnd(&request.ticket);
  request.engine = nullptr;
  request.first_seen = false;
  Dispatch(request.daemon, id);
}

RunFigures FleetModel::Run() {
  const double rate = shape_.deployment.requests_per_s;
  const double small = rate * kSmallShare;
  ScheduleArrival(kSmall, small);
  const bool hot = shape_.scenario == Scenario::kHotWorkspace;
  // The hot workspace asks for ten times its share; others stay as they are.
  const double large = (rate - small) / 2;
  ScheduleArrival("large", hot ? large * kHotFactor : large);
  ScheduleArrival("middle", large);
  ReportLoads();
  if (shape_.scenario == Scenario::kReclaimWave) {
    At(now_ms_ + shape_.seconds * 500, [this] { StartWave(); });
  }
  while (!events_.empty() && events_.top().ms <= end_ms_) {
    const auto event = events_.top();
    events_.pop();
    now_ms_ = event.ms;
    event.run();
  }
  RunFigures figures;
  for (const auto& engine : engines_) {
    if (!engine->gone) vm_ms_ += end_ms_ - engine->since_ms;
    figures.recomputed_tokens +=
        static_cast<double>(engine->model.recomputed_tokens());
  }
  const double cost = vm_ms_ / kMsPerHour * shape_.deployment.price_per_vm_hour;
  figures.cost_per_thousand =
      good_answers_ > 0 ? cost / good_answers_ * 1'000 : 0;
  figures.first_token_p50_ms = Percentile(first_tokens_, 0.5);
  figures.first_token_p95_ms = Percentile(first_tokens_, 0.95);
  figures.small_p95_ms = Percentile(small_first_tokens_, 0.95);
  figures.gap_p95_ms = Percentile(gaps_, 0.95);
  figures.refused = refused_;
  figures.answers = static_cast<double>(first_tokens_.size());
  return figures;
}

}  // namespace firmoor
