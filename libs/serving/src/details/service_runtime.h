#ifndef FIRMOOR_SERVING_DETAILS_SERVICE_RUNTIME_H_
#define FIRMOOR_SERVING_DETAILS_SERVICE_RUNTIME_H_

#include <memory>
#include <string_view>

#include "config/configuration.h"
#include "serving/admission.h"
#include "serving/retry_budget.h"
#include "serving/router.h"

namespace firmoor::details {

/// Retries earned per new request, and the largest balance that accumulates.
constexpr double kRetryRatio = 0.2;
constexpr double kRetryBurst = 50;

/// Router, admission and retry budget of one service in one daemon.
struct ServiceRuntime {
  ServiceRuntime(const Service& config, std::string_view strategy)
      : service(config),
        router(MakeRoutingStrategy(strategy)),
        admission(0, config.queue_limit),
        retries(kRetryRatio, kRetryBurst) {}

  void Update(const Service& config) {
    service = config;
    router.SetConcurrency(config.upstream_concurrency);
    admission.SetQueueLimit(config.queue_limit);
  }

  Service service;
  Router router;
  Admission admission;
  RetryBudget retries;
};

}  // namespace firmoor::details

#endif  // FIRMOOR_SERVING_DETAILS_SERVICE_RUNTIME_H_
