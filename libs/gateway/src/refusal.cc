#include "gateway/refusal.h"

#include <fmt/format.h>

#include <algorithm>
#include <string>

#include "base/hash.h"

namespace firmoor {
namespace {

constexpr double kMsPerSecond = 1'000;
// Retries are spread over this time, or over a fraction of a longer delay, so
// that an upstream that is available again does not get them all at once.
constexpr Duration kMinJitterRange{200};
constexpr double kJitterFraction = 0.25;

}  // namespace

HttpResponse MakeGatewayRefusal(const Failure& failure,
                                std::string_view request_id) {
  auto answer = MakeErrorAnswer(failure, request_id);
  if (!failure.retry_after) return answer;
  const double seconds =
      static_cast<double>(failure.retry_after->count()) / kMsPerSecond;
  for (auto& header : answer.headers) {
    if (header.name != "Retry-After") continue;
    header.value = fmt::format("{:.3f}", seconds);
  }
  return answer;
}

std::optional<GatewayRefusal> ReadGatewayRefusal(const HttpResponse& response) {
  const auto code = HeaderValue(response.headers, "Firmoor-Code");
  const auto outcome = HeaderValue(response.headers, "Firmoor-Outcome");
  if (code.empty() || outcome.empty()) return std::nullopt;
  GatewayRefusal refusal;
  for (const auto& row : ResultCodeTable()) {
    const bool is_named =
        std::to_string(static_cast<int>(row.code)) == std::string(code);
    if (is_named) refusal.code = row.code;
  }
  for (const auto known : {RequestOutcome::kNotRun, RequestOutcome::kRan}) {
    if (NameOf(known) == outcome) refusal.outcome = known;
  }
  return refusal;
}

Duration JitteredRetryDelay(Duration earliest, std::string_view request_id) {
  const auto delay = std::max(earliest, Duration(0));
  const double max_jitter =
      std::max(static_cast<double>(kMinJitterRange.count()),
               static_cast<double>(delay.count()) * kJitterFraction);
  return delay + Duration(static_cast<std::int64_t>(max_jitter *
                                                    HashFraction(request_id)));
}

}  // namespace firmoor
