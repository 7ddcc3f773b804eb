#include "serving/tried_upstreams.h"

#include <algorithm>
#include <utility>

#include "serving/attempt_policy.h"

namespace firmoor {
namespace {

// A host that refuses connections does so at once, so the waits bound how often
// it is asked.
constexpr Duration kFirstWait{100};
constexpr int kMaxWaitDoublings = 2;

}  // namespace

void TriedUpstreams::Add(const std::string& upstream) {
  excluded_.insert(upstream);
  unreached_.erase(upstream);
  overtaken_.erase(upstream);
}

void TriedUpstreams::OnUnreached(const std::string& upstream) {
  unreached_.insert(upstream);
}

std::set<std::string> TriedUpstreams::RanBefore(
    const std::string& upstream) const {
  auto others = ran_at_;
  others.erase(upstream);
  return others;
}

void TriedUpstreams::OnLinkLost(const std::string& upstream) {
  lost_.insert(upstream);
}

void TriedUpstreams::OnOvertaken(const std::string& upstream, bool was_silent) {
  if (was_silent) {
    overtaken_.insert(upstream);
  } else {
    excluded_.erase(upstream);
  }
}

bool TriedUpstreams::ReadmitOvertaken() {
  for (const auto& upstream : overtaken_) excluded_.erase(upstream);
  return !std::exchange(overtaken_, {}).empty();
}

std::set<std::string> TriedUpstreams::ExcludedForPeers() const {
  auto excluded = excluded_;
  for (const auto& upstream : unreached_) excluded.erase(upstream);
  for (const auto& upstream : lost_) excluded.erase(upstream);
  return excluded;
}

void TriedUpstreams::ReadmitUnreached() {
  for (const auto& upstream : unreached_) excluded_.erase(upstream);
}

std::optional<Duration> TriedUpstreams::WaitForUnreached(Duration time_left) {
  const auto wait = kFirstWait * (1 << std::min(waits_, kMaxWaitDoublings));
  if (unreached_.empty() || time_left < wait + kMinTimeForAttempt) {
    return std::nullopt;
  }
  ++waits_;
  ReadmitUnreached();
  return wait;
}

}  // namespace firmoor
