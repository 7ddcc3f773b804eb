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

/// Clocks of upstreams and daemons may differ by this much.
constexpr std::int64_t kClockToleranceMs = 1'000;

/// What is known of an upstream that was asked for its report.
enum class UpstreamState {
  kRuns,     ///< The instance that was meant has answered.
  kGone,     ///< Nobody answers at its address, or another instance does.
  kUnknown,  ///< It does not answer in time, or the answer shows neither.
};

/// "runs", "gone" or "unknown", for logs.
std::string_view NameOf(UpstreamState state);

/// The instance of an upstream that served a request.
struct ServingInstance {
  std::int64_t born_ms = 0;  ///< As it is registered; 0 if that is not known.
  std::int64_t sent_ms = 0;  ///< When the request was sent to it, Unix time.

  bool operator==(const ServingInstance&) const = default;
};

/// Judges the response to a request for the report of an upstream, sent after
/// `instance` has closed a connection in order. Pure.
///
/// A connection alone shows nothing: a proxy accepts it, and closes it in
/// order, whether or not its upstream runs.
UpstreamState JudgeReport(const HttpFetchResult& result, const Dialect& dialect,
                          const ServingInstance& instance);

/// Finds out whether anything listens at the address of `upstream`: `kGone` if
/// not, else `kUnknown`. Calls `done` once, unless `context` ends before.
void ProbeListener(GatewayContext* context, const UpstreamEntry& upstream,
                   Duration timeout, std::function<void(UpstreamState)> done);

/// Asks `upstream`, to which a request was sent at `sent_at`, on a connection
/// of its own. A reset tells nothing, as an upstream without room for
/// connections resets them: it is asked again until `timeout` has passed. Calls
/// `done` once, unless `context` ends before.
void AskUpstream(GatewayContext* context, const UpstreamEntry& upstream,
                 TimePoint sent_at, Duration timeout,
                 std::function<void(UpstreamState)> done);

}  // namespace firmoor::details

#endif  // FIRMOOR_GATEWAY_DETAILS_UPSTREAM_PROBE_H_
