#include "dissemination/source_selector.h"

#include <algorithm>

namespace firmoor {
namespace {

// Initial delay before a failed daemon is tried again, doubled with each
// failure; about the time that a daemon takes to restart.
constexpr Duration kDaemonRetryDelay{1'000};
// Initial delay before the failed store is tried again by a daemon with
// sources, which may learn sooner from them that the store is back.
constexpr Duration kStoreRetryDelay{600};
constexpr int kMaxDoublings = 2;

}  // namespace

void SourceSelector::Backoff::Record(bool succeeded, Duration initial_delay,
                                     TimePoint now) {
  if (succeeded) {
    *this = {};
    return;
  }
  until = now + initial_delay * (1 << std::min(failures, kMaxDoublings));
  ++failures;
}

void SourceSelector::SetSources(const std::vector<Endpoint>& sources) {
  sources_ = sources;
  std::erase_if(backoffs_, [&](const auto& entry) {
    return std::find(sources.begin(), sources.end(), entry.first) ==
           sources.end();
  });
}

SourceSelector::Choice SourceSelector::Next(
    TimePoint now, const std::set<Endpoint>& tried) const {
  for (const auto& source : sources_) {
    if (tried.contains(source)) continue;
    const auto backoff = backoffs_.find(source);
    if (backoff == backoffs_.end() || now >= backoff->second.until) {
      return {Target::kDaemon, source};
    }
  }
  if (sources_.empty() || now >= store_.until) return {Target::kStore, {}};
  return {Target::kNone, {}};
}

void SourceSelector::OnDaemonResult(const Endpoint& daemon, bool succeeded,
                                    TimePoint now) {
  const bool is_source =
      std::find(sources_.begin(), sources_.end(), daemon) != sources_.end();
  if (is_source) backoffs_[daemon].Record(succeeded, kDaemonRetryDelay, now);
}

void SourceSelector::OnStoreResult(bool succeeded, TimePoint now) {
  store_.Record(succeeded, kStoreRetryDelay, now);
}

}  // namespace firmoor
