// Hand-over of requests between daemons.

#include <utility>

#include "details/dispatcher_impl.h"
#include "details/request_validation.h"

namespace firmoor {

std::vector<RequestRecord> Dispatcher::DetachForHandover(bool with_callers) {
  std::vector<RequestRecord> records;
  for (const auto& [id, job] : impl_->jobs) {
    if (!with_callers && !job->spec().async) continue;
    if (auto record = job->Detach()) records.push_back(std::move(*record));
  }
  return records;
}

void Dispatcher::FinishHandover(const std::string& id, HandoverResult end) {
  const auto found = impl_->jobs.find(id);
  if (found == impl_->jobs.end()) return;
  const auto job = found->second;
  if (job->IsDone()) {
    if (end == HandoverResult::kAdopted) impl_->jobs.erase(found);
    return;
  }
  const bool may_run_twice = !job->spec().traits.idempotent;
  if (end == HandoverResult::kAdopted) return job->EndAfterHandover(true);
  if (end == HandoverResult::kUnconfirmed && may_run_twice) {
    return job->EndAfterHandover(false);
  }
  const auto number = job->spec().number;
  job->Requeue();
  auto* runtime = impl_->runtime_by_number.at(number);
  runtime->admission.Finish(number, MonotonicNow());
  impl_->Submit(job, runtime);
}

void Dispatcher::EndRequests() {
  const auto active = impl_->active_jobs;
  for (const auto& [number, job] : active) job->EndAtStop();
}

bool Dispatcher::Adopt(const RequestRecord& record) {
  if (impl_->draining) return false;
  if (impl_->jobs.contains(record.id)) return true;
  const auto& workspaces = impl_->configuration.workspaces();
  const auto workspace = workspaces.find(record.workspace);
  if (workspace == workspaces.end()) return false;
  auto spec = impl_->NewSpec(workspace->second);
  spec.id = record.id;
  auto checked = Capture([&] {
    return details::ValidateRequest(impl_->configuration, record.request,
                                    std::move(spec));
  });
  if (std::holds_alternative<Error>(checked)) return false;
  auto& adopted = std::get<details::JobSpec>(checked);
  adopted.async = true;  // Callers query the answer by id.
  adopted.deadline = adopted.accepted_at + record.time_left;
  if (adopted.claim) {
    adopted.claim->owner = impl_->context.environment.incarnation;
  }
  auto* runtime = impl_->RuntimeOf(*details::ServiceOf(adopted));
  const auto job = std::make_shared<details::Job>(std::move(adopted), runtime,
                                                  &impl_->context);
  job->Restore(record);
  if (job->IsDone()) {
    impl_->jobs[record.id] = job;
  } else {
    impl_->Submit(job, runtime);
  }
  return true;
}

RequestProgress Dispatcher::Progress(const std::string& id,
                                     std::size_t from) const {
  const auto found = impl_->jobs.find(id);
  if (found == impl_->jobs.end() || found->second->WasDetached()) return {};
  return found->second->Progress(from);
}

}  // namespace firmoor
