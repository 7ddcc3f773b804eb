#include "serving/dispatcher.h"

#include <fmt/format.h>

#include <QJsonArray>
#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "base/invariant.h"
#include "base/log.h"
#include "base/random_id.h"
#include "details/dispatcher_impl.h"
#include "details/remote_follower.h"
#include "details/request_validation.h"

namespace firmoor {
namespace {

using details::Job;
using details::ServiceRuntime;
using JobPtr = std::shared_ptr<Job>;

constexpr Logger kLog("serving");
constexpr int kTickMs = 20;
constexpr int kAccepted = 202;
constexpr Duration kAnswerRetention{600'000};
constexpr std::size_t kMaxKeptAnswers = 10'000;
constexpr Duration kNotAcceptingRetryAfter{1'000};
constexpr std::string_view kRequestsPrefix = "/v1/requests/";

Router::Distance DistanceOf(const DispatcherEnvironment& from, const Vm& to) {
  if (to.availability_zone == from.availability_zone) {
    return Router::Distance::kZone;
  }
  return to.region == from.region ? Router::Distance::kRegion
                                  : Router::Distance::kRemote;
}

void SendFailure(HttpResponder* responder, const Error& error) {
  responder->Send(
      MakeErrorAnswer({error, RequestOutcome::kNotRun, std::nullopt}, ""));
}

/// Refuses a request while the daemon does not accept requests. The outcome of
/// a request with an idempotency key is unknown, because it may repeat one that
/// ran and of which this daemon has no record.
void SendNotAccepting(HttpResponder* responder, const HttpRequest& request,
                      ResultCode code) {
  const bool reads = request.method == "GET" || request.method == "HEAD";
  const bool keyed =
      !reads && !HeaderValue(request.headers, "Idempotency-Key").empty();
  const auto outcome =
      keyed ? RequestOutcome::kUnknown : RequestOutcome::kNotRun;
  responder->Send(
      MakeErrorAnswer({{code, ""}, outcome, kNotAcceptingRetryAfter}, ""));
}

}  // namespace

RequestOrigin OriginOf(const std::string& request_id) {
  const auto zone_end = request_id.find('~');
  const auto daemon_end = request_id.rfind('~');
  if (zone_end == std::string::npos || zone_end == daemon_end) return {};
  return {request_id.substr(0, zone_end),
          request_id.substr(zone_end + 1, daemon_end - zone_end - 1)};
}

Dispatcher::Impl::Impl(DispatcherEnvironment given)
    : context(std::move(given)),
      poller(context.environment.load_period, PollerHooks()) {
  context.on_ended = [this](Job* job) { OnEnded(job); };
  context.is_owner_live = [this](const Claim& claim) {
    return IsOwnerLive(claim);
  };
  timer.setInterval(kTickMs);
  QObject::connect(&timer, &QTimer::timeout, &timer, [this] { Tick(); });
  timer.start();
}

details::UpstreamPoller::Hooks Dispatcher::Impl::PollerHooks() {
  details::UpstreamPoller::Hooks hooks;
  hooks.on_load = [this](const Vm& vm, const ReplicaLoad& load) {
    auto* runtime = RuntimeOf(vm.service);
    if (runtime == nullptr) return;
    runtime->router.OnLoadReport(vm.id, load, MonotonicNow());
    runtime->router.OnSuccess(vm.id);
  };
  hooks.on_unreachable = [this](const Vm& vm) {
    if (auto* runtime = RuntimeOf(vm.service)) {
      runtime->router.OnFailure(vm.id, MonotonicNow());
    }
  };
  hooks.on_leaving = [this](const Vm& vm) { MarkLeaving(vm.id); };
  hooks.on_cache = [this](const Vm& vm, const auto& stored,
                          const auto& removed) {
    if (auto* runtime = RuntimeOf(vm.service)) {
      runtime->router.OnCacheStored(vm.id, stored);
      runtime->router.OnCacheRemoved(vm.id, removed);
    }
  };
  return hooks;
}

ServiceRuntime* Dispatcher::Impl::RuntimeOf(const std::string& service) {
  const auto found = runtimes.find(service);
  return found == runtimes.end() ? nullptr : found->second.get();
}

bool Dispatcher::Impl::IsInSubset(const Vm& vm) const {
  std::vector<std::string> same_distance;
  const auto distance = DistanceOf(context.environment, vm);
  for (const auto& [id, other] : context.upstreams.all()) {
    if (other.service == vm.service &&
        DistanceOf(context.environment, other) == distance) {
      same_distance.push_back(id);
    }
  }
  const auto limit = context.environment.upstreams_per_service;
  if (same_distance.size() <= limit) return true;
  const auto order =
      RendezvousOrder(context.environment.daemon, std::move(same_distance));
  const auto end = order.begin() + static_cast<std::ptrdiff_t>(limit);
  return std::find(order.begin(), end, vm.id) != end;
}

void Dispatcher::Impl::AddReplica(const Vm& vm) {
  auto* runtime = RuntimeOf(vm.service);
  if (runtime == nullptr || !IsInSubset(vm)) return;
  runtime->router.AddReplica(vm.id, DistanceOf(context.environment, vm),
                             runtime->service.upstream_concurrency);
  if (context.upstreams.IsLeaving(vm.id)) runtime->router.SetLeaving(vm.id);
  poller.Watch(vm, runtime->service.kind == ServiceKind::kModel);
}

void Dispatcher::Impl::DropReplica(const std::string& id) {
  for (auto& [name, runtime] : runtimes) runtime->router.RemoveReplica(id);
  poller.Unwatch(id);
}

void Dispatcher::Impl::MarkLeaving(const std::string& id) {
  if (!context.upstreams.MarkLeaving(id, MonotonicNow())) return;
  kLog.Info("Upstream {} is leaving.", id);
  TraceLeaving(id);
  for (auto& [name, runtime] : runtimes) runtime->router.SetLeaving(id);
  if (context.environment.on_leaving) context.environment.on_leaving(id);
}

void Dispatcher::Impl::TraceLeaving(const std::string& id) const {
  const auto& trace = context.environment.trace;
  if (!trace) return;
  trace({{"event", "leaving"}, {"upstream", QString::fromStdString(id)}});
}

details::JobSpec Dispatcher::Impl::NewSpec(const Workspace& workspace) const {
  details::JobSpec spec;
  spec.number = next_number++;
  spec.id = fmt::format("{}~{}~{}", context.environment.availability_zone,
                        context.environment.daemon, NewRandomId());
  spec.workspace = workspace;
  spec.accepted_at = MonotonicNow();
  return spec;
}

void Dispatcher::Impl::Accept(const HttpRequest& request,
                              const std::shared_ptr<HttpResponder>& responder) {
  if (configuration.version() == 0) {
    return SendNotAccepting(responder.get(), request, ResultCode::kNotReady);
  }
  const auto* workspace =
      configuration.FindWorkspace(details::BearerToken(request));
  if (workspace == nullptr) {
    return SendFailure(responder.get(), {ResultCode::kUnauthorized, ""});
  }
  if (request.Path().starts_with(kRequestsPrefix)) {
    return AnswerRequestQuery(request, responder, *workspace);
  }
  if (refusing) {
    return SendNotAccepting(responder.get(), request, ResultCode::kDraining);
  }
  auto checked = Capture([&] {
    return details::ValidateRequest(configuration, request,
                                    NewSpec(*workspace));
  });
  if (const auto* error = std::get_if<Error>(&checked)) {
    return SendFailure(responder.get(), *error);
  }
  auto& spec = std::get<details::JobSpec>(checked);
  if (draining && spec.async) {
    return SendNotAccepting(responder.get(), request, ResultCode::kDraining);
  }
  if (spec.claim) spec.claim->owner = context.environment.incarnation;
  auto* runtime = RuntimeOf(*details::ServiceOf(spec));
  FIRMOOR_PRECONDITION(runtime != nullptr,
                       "every configured service has a runtime");
  const bool stream = spec.model && spec.model->stream;
  const bool async = spec.async;
  const auto id = spec.id;
  const auto job = std::make_shared<Job>(std::move(spec), runtime, &context);
  runtime->retries.OnRequest();
  if (!async) job->Attach(responder, stream, 0);
  Submit(job, runtime);
  if (!async) return;
  // Refused immediately: the caller gets the refusal instead of a 202.
  if (job->IsDone() || job->IsRefused()) {
    return job->Attach(responder, false, 0);
  }
  responder->Send(details::MakeRunningAnswer(id, kAccepted));
}

void Dispatcher::Impl::Submit(const JobPtr& job, ServiceRuntime* runtime) {
  const auto number = job->spec().number;
  jobs[job->spec().id] = job;
  active_jobs[number] = job;
  runtime_by_number[number] = runtime;
  runtime->admission.SetCapacity(runtime->router.Capacity(MonotonicNow()));
  if (runtime->router.Capacity(MonotonicNow()) == 0) {
    return job->Refuse({ResultCode::kNoUpstream, Duration(1'000)});
  }
  runtime->admission.Submit(job->MakeAdmissionRequest(), MonotonicNow());
  Advance(runtime);
}

void Dispatcher::Impl::Advance(ServiceRuntime* runtime) {
  const auto now = MonotonicNow();
  runtime->admission.SetCapacity(runtime->router.Capacity(now));
  const auto changes = runtime->admission.TakeChanges(now);
  for (const auto& [number, refusal] : changes.refused) {
    const auto found = active_jobs.find(number);
    if (found == active_jobs.end()) continue;
    const auto job = found->second;
    job->Refuse(refusal);
  }
  for (const auto& admitted : changes.run) {
    const auto found = active_jobs.find(admitted.id);
    if (found == active_jobs.end()) {
      runtime->admission.Finish(admitted.id, now);
      continue;
    }
    const auto job = found->second;
    job->Run(admitted.below_fair_share);
  }
}

void Dispatcher::Impl::OnEnded(Job* job) {
  const auto number = job->spec().number;
  const auto found = active_jobs.find(number);
  if (found == active_jobs.end()) return;
  const JobPtr keep = found->second;
  auto* runtime = runtime_by_number.at(number);
  active_jobs.erase(found);
  runtime_by_number.erase(number);
  runtime->admission.Finish(number, MonotonicNow());
  if (!job->spec().async || job->WasDetached()) jobs.erase(job->spec().id);
  // Queued because the job is still on the call stack; the freed capacity may
  // start other jobs.
  QMetaObject::invokeMethod(
      &context.event_loop, [this, keep, runtime] { Advance(runtime); },
      Qt::QueuedConnection);
}

void Dispatcher::Impl::Tick() {
  const auto now = MonotonicNow();
  if (!freeze_guard.MayCheckDeadlines(now)) return;
  std::vector<JobPtr> active;
  for (const auto& [number, job] : active_jobs) active.push_back(job);
  for (const auto& job : active) {
    job->CheckDeadline(now);
    job->CutStalledCallers(now);
  }
  for (auto& [name, runtime] : runtimes) Advance(runtime.get());
  EvictAnswers(now);
}

void Dispatcher::Impl::EvictAnswers(TimePoint now) {
  std::erase_if(jobs, [now](const auto& entry) {
    return entry.second->IsDone() &&
           now - entry.second->ended_at() > kAnswerRetention;
  });
  while (jobs.size() > kMaxKeptAnswers + active_jobs.size()) {
    const auto oldest = std::min_element(
        jobs.begin(), jobs.end(), [](const auto& a, const auto& b) {
          return a.second->ended_at() < b.second->ended_at();
        });
    jobs.erase(oldest);
  }
}

bool Dispatcher::Impl::IsOwnerLive(const Claim& claim) const {
  if (claim.owner != context.environment.incarnation) {
    return context.environment.is_live(claim.owner);
  }
  const auto found = jobs.find(claim.attempt);
  return found != jobs.end() ||
         context.environment.claims->IsRecording(claim.attempt);
}

void Dispatcher::Impl::AnswerRequestQuery(
    const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder,
    const Workspace& workspace) {
  details::RemoteFollower::Query query;
  query.id = request.Path().substr(kRequestsPrefix.size());
  query.workspace = workspace.name;
  query.stream = HeaderValue(request.headers, "Accept").find("event-stream") !=
                 std::string_view::npos;
  const std::string last(HeaderValue(request.headers, "Last-Event-ID"));
  query.from =
      static_cast<std::size_t>(std::max(0LL, std::atoll(last.c_str())));
  const auto found = jobs.find(query.id);
  const bool is_local =
      found != jobs.end() &&
      found->second->spec().workspace.name == workspace.name &&
      !found->second->WasDetached();
  if (!is_local) {
    std::make_shared<details::RemoteFollower>(query, responder,
                                              &context.environment)
        ->Poll();
    return;
  }
  const auto job = found->second;
  if (query.stream || job->IsDone()) {
    return job->Attach(responder, query.stream, query.from);
  }
  responder->Send(details::MakeRunningAnswer(query.id, kAccepted));
}

Dispatcher::Dispatcher(DispatcherEnvironment environment)
    : impl_(std::make_unique<Impl>(std::move(environment))) {}

Dispatcher::~Dispatcher() = default;

void Dispatcher::SetConfiguration(const Configuration& configuration) {
  FIRMOOR_INVARIANT(configuration.version() >= impl_->configuration.version(),
                    "the configuration version never decreases");
  impl_->configuration = configuration;
  for (const auto& [name, service] : configuration.services()) {
    if (auto* runtime = impl_->RuntimeOf(name)) {
      runtime->Update(service);
      continue;
    }
    impl_->runtimes[name] = std::make_unique<ServiceRuntime>(
        service, impl_->context.environment.routing_strategy);
    for (const auto& [id, vm] : impl_->context.upstreams.all()) {
      if (vm.service == name) impl_->AddReplica(vm);
    }
  }
  // The runtime of a removed service is kept, since jobs may still refer to it.
  // New requests for it fail validation against the configuration.
}

void Dispatcher::ApplyVmList(const std::vector<Vm>& vms) {
  const auto change = impl_->context.upstreams.ApplyVmList(vms, MonotonicNow());
  for (const auto& vm : change.added) impl_->AddReplica(vm);
  for (const auto& id : change.removed) impl_->DropReplica(id);
  for (const auto& id : change.now_leaving) {
    kLog.Info("Upstream {} is leaving.", id);
    impl_->TraceLeaving(id);
    for (auto& [name, runtime] : impl_->runtimes) {
      runtime->router.SetLeaving(id);
    }
    if (impl_->context.environment.on_leaving) {
      impl_->context.environment.on_leaving(id);
    }
  }
}

void Dispatcher::MarkLeaving(const std::vector<std::string>& ids) {
  for (const auto& id : ids) impl_->MarkLeaving(id);
}

std::vector<std::string> Dispatcher::Leaving() const {
  return impl_->context.upstreams.Leaving();
}

void Dispatcher::Handle(const HttpRequest& request,
                        const std::shared_ptr<HttpResponder>& responder) {
  impl_->Accept(request, responder);
}

void Dispatcher::StartDrain() { impl_->draining = true; }

void Dispatcher::RefuseRequests() {
  impl_->draining = true;
  impl_->refusing = true;
}

std::string Dispatcher::CallerFlowMetrics() const {
  return impl_->context.caller_flows.Metrics();
}

std::size_t Dispatcher::ActiveRequestCount() const {
  return impl_->active_jobs.size();
}

std::map<std::string, double> Dispatcher::Demand() const {
  std::map<std::string, double> demand;
  for (const auto& [name, runtime] : impl_->runtimes) {
    demand[name] = static_cast<double>(runtime->admission.running() +
                                       runtime->admission.waiting());
  }
  return demand;
}

QJsonObject Dispatcher::Status() const {
  QJsonObject services;
  const auto now = MonotonicNow();
  for (const auto& [name, runtime] : impl_->runtimes) {
    services[QString::fromStdString(name)] = QJsonObject{
        {"replicas", static_cast<qint64>(runtime->router.ReplicaCount())},
        {"capacity", qint64(runtime->router.Capacity(now))},
        {"running", static_cast<qint64>(runtime->admission.running())},
        {"waiting", static_cast<qint64>(runtime->admission.waiting())},
        {"retry_budget", runtime->retries.available()}};
  }
  QJsonArray leaving;
  for (const auto& id : Leaving()) leaving.append(QString::fromStdString(id));
  return {{"services", services},
          {"in_work", static_cast<qint64>(ActiveRequestCount())},
          {"kept", static_cast<qint64>(impl_->jobs.size())},
          {"leaving", leaving},
          {"draining", impl_->draining}};
}

}  // namespace firmoor
