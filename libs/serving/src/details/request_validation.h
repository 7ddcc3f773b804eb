#ifndef FIRMOOR_SERVING_DETAILS_REQUEST_VALIDATION_H_
#define FIRMOOR_SERVING_DETAILS_REQUEST_VALIDATION_H_

#include <string>

#include "base/error.h"
#include "config/configuration.h"
#include "details/job.h"

namespace firmoor::details {

/// Bearer token of a request; an empty view if it has none.
std::string_view BearerToken(const HttpRequest& request);

/// Validates a request against the configuration and makes the specification
/// of its job. Deterministic: ids and times come from `base`. Fails with the
/// result code that the caller gets.
Result<JobSpec> ValidateRequest(const Configuration& configuration,
                                const HttpRequest& request, JobSpec base);

/// Name of the service that a request addresses.
Result<std::string> ServiceOf(const JobSpec& spec);

}  // namespace firmoor::details

#endif  // FIRMOOR_SERVING_DETAILS_REQUEST_VALIDATION_H_
