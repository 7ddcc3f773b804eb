#include "admission/retry_turns.h"

#include <algorithm>
#include <cstddef>

namespace firmoor {
namespace {

// The first turn comes after this part of the time for which callers wait. Who
// repeats a request sooner has not waited for a turn, at whichever daemon.
constexpr int kFirstTurnDivisor = 4;
constexpr std::size_t kMaxTurns = 1'024;

}  // namespace

bool RetryTurns::IsTurn(Duration waited, Duration latest) {
  return waited >= latest / kFirstTurnDivisor && waited < latest;
}

Duration RetryTurns::Next(const Request& request, TimePoint now) {
  std::erase_if(turns_, [now](const Turn& turn) { return turn.at <= now; });
  latest_[request.priority] = request.latest;
  // A turn that a more urgent caller would not wait for is given to nobody.
  auto last = request.latest;
  for (const auto& [priority, latest] : latest_) {
    if (priority < request.priority) last = std::min(last, latest);
  }
  if (request.rate_per_s <= 0 || turns_.size() >= kMaxTurns) {
    return request.latest;
  }
  const auto ahead = static_cast<double>(std::count_if(
      turns_.begin(), turns_.end(),
      [&](const Turn& turn) { return turn.priority <= request.priority; }));
  const auto delay =
      std::max(request.latest / kFirstTurnDivisor, request.earliest) +
      DurationOfSeconds(ahead / request.rate_per_s);
  if (delay >= last) return request.latest;
  turns_.push_back({now + delay, request.priority});
  return delay;
}

}  // namespace firmoor
