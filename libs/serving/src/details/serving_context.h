#ifndef FIRMOOR_SERVING_DETAILS_SERVING_CONTEXT_H_
#define FIRMOOR_SERVING_DETAILS_SERVING_CONTEXT_H_

#include <QObject>
#include <functional>
#include <string>

#include "http/http_call.h"
#include "metrics/service_metrics.h"
#include "serving/claim_store.h"
#include "serving/dispatcher.h"
#include "serving/link_budget.h"
#include "serving/upstream_table.h"

namespace firmoor::details {

class Job;

/// What all requests of one daemon share.
struct ServingContext {
  explicit ServingContext(DispatcherEnvironment from)
      : environment(std::move(from)),
        link(environment.region_link_bytes_per_s) {}

  QObject event_loop;  ///< Receives calls that must wait their turn.
  DispatcherEnvironment environment;
  UpstreamTable upstreams;
  HttpConnectionPool pool;
  LinkBudget link;
  /// A job ended; it may be kept for later questions.
  std::function<void(Job*)> on_ended;
  /// Whether a claim's owner may still bring its outcome.
  std::function<bool(const Claim&)> is_owner_live;
};

}  // namespace firmoor::details

#endif  // FIRMOOR_SERVING_DETAILS_SERVING_CONTEXT_H_
