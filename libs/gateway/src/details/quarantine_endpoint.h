#ifndef FIRMOOR_GATEWAY_DETAILS_QUARANTINE_ENDPOINT_H_
#define FIRMOOR_GATEWAY_DETAILS_QUARANTINE_ENDPOINT_H_

#include <string_view>

#include "gateway/gateway.h"
#include "http/message.h"

namespace firmoor::details {

/// Path of the list of verdicts. POST to it with "/lift" appended releases a
/// hash.
constexpr std::string_view kQuarantinePath = "/quarantine";

/// Answers operators who list the verdicts, or release what they are about.
/// Only callers on this VM may release; `own_address` is its address.
HttpResponse AnswerQuarantine(Gateway* gateway, const HttpRequest& request,
                              std::string_view caller_address,
                              std::string_view own_address);

}  // namespace firmoor::details

#endif  // FIRMOOR_GATEWAY_DETAILS_QUARANTINE_ENDPOINT_H_
