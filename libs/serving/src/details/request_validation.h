#ifndef FIRMOOR_SERVING_DETAILS_REQUEST_VALIDATION_H_
#define FIRMOOR_SERVING_DETAILS_REQUEST_VALIDATION_H_

#include <string>

#include "base/error.h"
#include "config/configuration.h"
#include "details/job.h"

namespace firmoor::details {

/// The bearer token of a request, or an empty view.
std::string_view BearerToken(const HttpRequest& request);

/// Checks a request of a caller against the configuration and makes the
/// specification of its job. Pure but for the ids and times given in `base`.
/// Fails with the code the caller gets.
Result<JobSpec> ValidateRequest(const Configuration& configuration,
                                const HttpRequest& request, JobSpec base);

/// Name of the service a request is for, as far as it can be told.
Result<std::string> ServiceOf(const JobSpec& spec);

}  // namespace firmoor::details

#endif  // FIRMOOR_SERVING_DETAILS_REQUEST_VALIDATION_H_
