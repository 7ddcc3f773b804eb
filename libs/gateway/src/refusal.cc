#include "gateway/refusal.h"

#include <fmt/format.h>

namespace firmoor {
namespace {

constexpr double kMsPerSecond = 1'000;

}  // namespace

HttpAnswer MakeGatewayRefusal(const Failure& failure,
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

}  // namespace firmoor
