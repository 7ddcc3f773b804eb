#include "dissemination/source_selector.h"

#include <algorithm>

namespace firmoor {
namespace {

// A daemon that did not answer is asked again after this time, doubled with
// each failure: about the time of a restart.
constexpr Duration kDaemonRest{1'000};
// The store is asked again after this time while other daemons may hear of its
// return first.
constexpr Duration kStoreRest{600};
constexpr int kMostDoublings = 2;

}  // namespace

void SourceSelector::Backoff::Note(bool good, Duration first, TimePoint now) {
  if (good) {
    *this = {};
    return;
  }
  until = now + first * (1 << std::min(failures, kMostDoublings));
  ++failures;
}

void SourceSelector::SetSources(const std::vector<Endpoint>& sources) {
  sources_ = sources;
  std::erase_if(backoffs_, [&](const auto& rest) {
    return std::find(sources.begin(), sources.end(), rest.first) ==
           sources.end();
  });
}

SourceSelector::Choice SourceSelector::Next(TimePoint now) const {
  for (const auto& source : sources_) {
    const auto rest = backoffs_.find(source);
    if (rest == backoffs_.end() || now >= rest->second.until) {
      return {Place::kDaemon, source};
    }
  }
  if (sources_.empty() || now >= store_.until) return {Place::kStore, {}};
  return {Place::kNone, {}};
}

void SourceSelector::OnDaemonResult(const Endpoint& daemon, bool good,
                                    TimePoint now) {
  const bool available =
      std::find(sources_.begin(), sources_.end(), daemon) != sources_.end();
  if (available) backoffs_[daemon].Note(good, kDaemonRest, now);
}

void SourceSelector::OnStoreResult(bool good, TimePoint now) {
  store_.Note(good, kStoreRest, now);
}

}  // namespace firmoor
