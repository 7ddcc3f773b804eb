#ifndef FIRMOOR_SERVING_DETAILS_DISPATCHER_IMPL_H_
#define FIRMOOR_SERVING_DETAILS_DISPATCHER_IMPL_H_

#include <QTimer>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "details/freeze_guard.h"
#include "details/job.h"
#include "details/service_runtime.h"
#include "details/serving_context.h"
#include "details/upstream_poller.h"
#include "serving/dispatcher.h"

namespace firmoor {

/// State of a dispatcher: its requests and the services that they address.
struct Dispatcher::Impl {
  using JobPtr = std::shared_ptr<details::Job>;

  explicit Impl(DispatcherEnvironment given);

  details::UpstreamPoller::Hooks PollerHooks();
  details::ServiceRuntime* RuntimeOf(const std::string& service);
  void AddReplica(const Vm& vm);
  void DropReplica(const std::string& id);
  bool IsInSubset(const Vm& vm) const;
  void MarkLeaving(const std::string& id);
  void TraceLeaving(const std::string& id) const;

  void Accept(const HttpRequest& request,
              const std::shared_ptr<HttpResponder>& responder);
  void AnswerRequestQuery(const HttpRequest& request,
                          const std::shared_ptr<HttpResponder>& responder,
                          const Workspace& workspace);
  void Submit(const JobPtr& job, details::ServiceRuntime* runtime);
  void Advance(details::ServiceRuntime* runtime);
  void Tick();
  void EvictAnswers(TimePoint now);
  void OnEnded(details::Job* job);
  bool IsOwnerLive(const Claim& claim) const;
  details::JobSpec NewSpec(const Workspace& workspace) const;

  details::ServingContext context;
  Configuration configuration;
  std::map<std::string, std::unique_ptr<details::ServiceRuntime>> runtimes;
  std::map<std::string, JobPtr> jobs;  ///< By id, with retained ended ones.
  std::unordered_map<std::uint64_t, JobPtr> active_jobs;  ///< Not ended.
  std::unordered_map<std::uint64_t, details::ServiceRuntime*> runtime_by_number;
  mutable std::uint64_t next_number = 1;
  bool draining = false;
  bool refusing = false;  ///< All requests, not only asynchronous ones.
  details::UpstreamPoller poller;
  details::FreezeGuard freeze_guard{MonotonicNow()};
  QTimer timer;
};

}  // namespace firmoor

#endif  // FIRMOOR_SERVING_DETAILS_DISPATCHER_IMPL_H_
