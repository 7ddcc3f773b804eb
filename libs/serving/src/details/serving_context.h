#ifndef FIRMOOR_SERVING_DETAILS_SERVING_CONTEXT_H_
#define FIRMOOR_SERVING_DETAILS_SERVING_CONTEXT_H_

#include <QObject>
#include <functional>
#include <string>

#include "http/body_budget.h"
#include "http/http_call.h"
#include "metrics/service_metrics.h"
#include "serving/caller_flow.h"
#include "serving/claim_store.h"
#include "serving/dispatcher.h"
#include "serving/link_budget.h"
#include "serving/upstream_table.h"

namespace firmoor::details {

class Job;

/// State shared by all requests of one daemon.
struct ServingContext {
  explicit ServingContext(DispatcherEnvironment from)
      : environment(std::move(from)),
        link(environment.region_link_bytes_per_s) {}

  QObject event_loop;  ///< Target of queued calls.
  DispatcherEnvironment environment;
  UpstreamTable upstreams;
  HttpConnectionPool pool;
  LinkBudget link;
  CallerFlowTotals caller_flows;
  /// Called when a job has ended. Its answer may be retained for later queries.
  std::function<void(Job*)> on_ended;
  /// Whether a claim's owner may still record its outcome.
  std::function<bool(const Claim&)> is_owner_live;
};

}  // namespace firmoor::details

#endif  // FIRMOOR_SERVING_DETAILS_SERVING_CONTEXT_H_
