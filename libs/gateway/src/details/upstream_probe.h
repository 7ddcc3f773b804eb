#ifndef FIRMOOR_GATEWAY_DETAILS_UPSTREAM_PROBE_H_
#define FIRMOOR_GATEWAY_DETAILS_UPSTREAM_PROBE_H_

#include <cstdint>
#include <functional>
#include <string_view>

#include "base/time.h"
#include "gateway/dialect.h"
#include "http/http_fetch.h"

namespace firmoor::details {

struct GatewayContext;

/// What is known of an upstream that was asked for its report.
enum class UpstreamState {
  kRuns,     ///< The instance that was meant has answered.
  kGone,     ///< Nobody answers at its address, or another instance does.
  kUnknown,  ///< It does not answer in time, or the answer shows neither.
};

/// "runs", "gone" or "unknown", for logs.
std::string_view NameOf(UpstreamState state);

/// Judges the response to a request for the report of the instance that was
/// born at `born_ms`, 0 if that is not known. An attempt that found no
/// connection shows neither. Pure.
///
/// A connection shows nothing: a proxy accepts it, and closes it in order,
/// whether or not its upstream runs.
UpstreamState JudgeReport(const HttpFetchResult& result, const Dialect& dialect,
                          std::int64_t born_ms);

/// Asks `upstream` on a connection of its own, and calls `done` once, unless
/// `context` ends before.
void AskUpstream(GatewayContext* context, const UpstreamEntry& upstream,
                 Duration timeout, std::function<void(UpstreamState)> done);

}  // namespace firmoor::details

#endif  // FIRMOOR_GATEWAY_DETAILS_UPSTREAM_PROBE_H_
