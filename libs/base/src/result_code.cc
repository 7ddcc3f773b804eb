#include "base/result_code.h"

#include <algorithm>
#include <array>

#include "base/invariant.h"

namespace firmoor {
namespace {

using enum ResultCode;

constexpr auto kTable = std::to_array<ResultCodeInfo>({
    {kOk, "ok", 200, 0, "The operation succeeded."},
    {kMalformedRequest, "malformed-request", 400, 10,
     "The request is not valid HTTP or not valid JSON."},
    {kUnauthorized, "unauthorized", 401, 11,
     "The bearer token is missing or belongs to no workspace."},
    {kUnknownService, "unknown-service", 404, 12,
     "The configuration has no such service."},
    {kUnknownRequest, "unknown-request", 404, 13,
     "No reachable daemon knows this request id."},
    {kTooLarge, "too-large", 413, 14,
     "The headers or the body exceed the limit."},
    {kKeyReused, "key-reused", 422, 15,
     "The idempotency key was used before with another body."},
    {kMethodNotAllowed, "method-not-allowed", 405, 16,
     "The path does not accept this method."},
    {kRequestTimeout, "request-timeout", 408, 17,
     "The request did not arrive in full in time."},
    {kWorkspaceLimit, "workspace-limit", 429, 20,
     "The workspace is at its own limit."},
    {kOverloaded, "overloaded", 503, 21, "The queue of the service is full."},
    {kDeadlineUnreachable, "deadline-unreachable", 503, 22,
     "The queue is longer than the deadline allows."},
    {kDraining, "draining", 503, 23,
     "The daemon is stopping and takes no new work."},
    {kNotReady, "not-ready", 503, 24, "The daemon has no configuration yet."},
    {kQuarantined, "quarantined", 503, 25,
     "Requests with the same content crash upstreams."},
    {kStreamVersionUnknown, "stream-version-unknown", 503, 26,
     "It is not known which software version began the stream."},
    {kStreamVersionGone, "stream-version-gone", 503, 27,
     "No upstream has the software version that began the stream."},
    {kNoUpstream, "no-upstream", 503, 30,
     "No upstream of the service can take the request."},
    {kUpstreamRefused, "upstream-refused", 503, 31,
     "The upstreams declared that they did not run the request."},
    {kUpstreamOutcomeUnknown, "upstream-unknown", 502, 32,
     "The upstream failed after the request was sent."},
    {kUpstreamTimeout, "upstream-timeout", 504, 33,
     "The upstream did not answer in time."},
    {kUpstreamIncomplete, "upstream-incomplete", 502, 34,
     "The answer of the upstream ended early."},
    {kRetryBudgetExhausted, "retry-budget-spent", 503, 35,
     "The request failed and the retry budget is spent."},
    {kDeadlineExceeded, "deadline-exceeded", 504, 36,
     "The deadline of the request passed."},
    {kUpstreamRateLimit, "upstream-rate-limit", 503, 37,
     "The upstreams accept no more requests per second."},
    {kClaimStoreUnavailable, "claim-store-away", 503, 40,
     "The claim of the idempotency key could not be stored."},
    {kKeyInProgress, "key-in-progress", 409, 41,
     "A request with this idempotency key is still running."},
    {kOutcomeUnknown, "outcome-unknown", 409, 42,
     "An earlier request with this key ended with an unknown outcome."},
    {kResponseNotKept, "answer-not-kept", 409, 43,
     "The request ran before and its answer was too large to be kept."},
    {kStaleVersion, "stale-version", 409, 50,
     "The patch names a version that is not the current one."},
    {kInvalidPatch, "invalid-patch", 422, 51,
     "The patch or its result is not a valid configuration."},
    {kStoreUnavailable, "store-unavailable", 503, 52,
     "The object API cannot be reached."},
    {kInvalidSettings, "invalid-settings", 500, 53,
     "A settings file has an unknown key or a bad value."},
    {kUnreadableFile, "unreadable-file", 500, 54, "A file cannot be read."},
    {kPatchOutcomeUnknown, "patch-unknown", 504, 55,
     "It is not known whether the patch was applied; repeat it with its id."},
    {kPeerUnreachable, "peer-unreachable", 502, 60,
     "Another daemon cannot be reached."},
    {kBadMessage, "bad-message", 400, 61,
     "A message of another daemon cannot be decoded."},
    {kInternal, "internal", 500, 62, "An internal error."},
});

}  // namespace

std::span<const ResultCodeInfo> ResultCodeTable() { return kTable; }

const ResultCodeInfo& InfoOf(ResultCode code) {
  const auto* row =
      std::find_if(kTable.begin(), kTable.end(),
                   [code](const auto& info) { return info.code == code; });
  FIRMOOR_PRECONDITION(row != kTable.end(), "code is in the table");
  return *row;
}

}  // namespace firmoor
