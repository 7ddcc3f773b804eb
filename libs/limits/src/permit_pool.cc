#include "limits/permit_pool.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "limits/upstream_limit_messages.h"

namespace firmoor {
namespace {

// A daemon that has not reported for two intervals claims nothing any more.
constexpr Duration kClaimLifetime = 2 * kPermitLifetime + Duration(500);
// Demand varies between reports; unused permits return with the next one.
constexpr double kMaxPermitsPerWanted = 2;
// A daemon with less demand gets permits for requests that wait: those that it
// held in advance would mostly expire.
constexpr double kMinSteadyPerS = 1;
// Seconds of its part of the rate, and number of permits, by which a daemon can
// be ahead or behind; bounds what it can catch up on at once.
constexpr double kMaxCreditS = 2;
constexpr double kMinMaxCredit = 2;
constexpr Duration kMaxNextIn{60'000};

}  // namespace

PermitPool::PermitPool(double rate_per_s, TimePoint starts_at)
    : rate_per_s_(rate_per_s), filled_at_(starts_at) {}

double PermitPool::Depth() const {
  // One interval of reports, so that a single daemon gets the whole rate, and
  // one permit for the daemon whose turn it is.
  return 1 + Rate() * SecondsOf(kPermitLifetime);
}

void PermitPool::Fill(TimePoint now) {
  if (now <= filled_at_) return;
  level_ = std::min(Depth(), level_ + Rate() * SecondsOf(now - filled_at_));
  filled_at_ = now;
}

void PermitPool::SetRate(double rate_per_s, TimePoint now) {
  Fill(now);
  rate_per_s_ = rate_per_s;
  level_ = std::min(level_, Depth());
}

void PermitPool::SetFraction(double fraction, TimePoint now) {
  Fill(now);
  fraction_ = fraction;
}

PermitPool::Claim PermitPool::Extract(const std::string& daemon,
                                      TimePoint now) {
  const auto found = claims_.find(daemon);
  if (found == claims_.end()) return {.reported_at = now};
  const auto claim = found->second;
  wanted_per_s_ -= claim.wanted_per_s;
  if (by_credit_.erase({claim.credit, daemon}) > 0) {
    steady_per_s_ -= claim.wanted_per_s;
  }
  by_age_.erase({claim.reported_at, daemon});
  claims_.erase(found);
  // Drops rounding errors.
  if (claims_.empty()) wanted_per_s_ = 0;
  if (by_credit_.empty()) steady_per_s_ = 0;
  return claim;
}

void PermitPool::Insert(const std::string& daemon, const Claim& claim) {
  wanted_per_s_ += claim.wanted_per_s;
  if (IsSteady(claim)) {
    by_credit_.emplace(claim.credit, daemon);
    steady_per_s_ += claim.wanted_per_s;
  }
  by_age_.emplace(claim.reported_at, daemon);
  claims_.emplace(daemon, claim);
}

void PermitPool::RemoveExpired(TimePoint now) {
  while (!by_age_.empty() && now - by_age_.begin()->first > kClaimLifetime) {
    Extract(std::string(by_age_.begin()->second), now);
  }
}

bool PermitPool::IsNext(double credit) const {
  if (level_ >= Depth()) return true;
  const auto permits = static_cast<std::int64_t>(level_);
  std::int64_t ahead = 0;
  for (auto claim = by_credit_.rbegin(); claim != by_credit_.rend(); ++claim) {
    if (claim->first <= credit) break;
    if (++ahead >= permits) return false;
  }
  return permits > 0;
}

bool PermitPool::IsSteady(const Claim& claim) {
  return claim.wanted_per_s >= kMinSteadyPerS;
}

std::int64_t PermitPool::PermitsFor(const Claim& claim, double part,
                                    std::int64_t waiting) const {
  const double due = std::max(claim.credit, level_ * part);
  auto permits =
      static_cast<std::int64_t>(std::max(0.0, std::min(level_, due)));
  if (permits == 0 && IsNext(claim.credit)) permits = 1;
  const auto in_advance = IsSteady(claim)
                              ? static_cast<std::int64_t>(std::ceil(
                                    kMaxPermitsPerWanted * claim.wanted_per_s))
                              : 0;
  permits = std::min(permits, std::max(waiting, in_advance));
  // A permit that does not fit into the bucket is better given than lost.
  return permits == 0 && level_ >= Depth() ? 1 : permits;
}

PermitPool::Grant PermitPool::Take(const std::string& daemon,
                                   const Demand& demand, TimePoint now) {
  Fill(now);
  RemoveExpired(now);
  auto claim = Extract(daemon, now);
  // Permits of an earlier coordinator are not returned to this pool.
  const auto returned =
      std::clamp<std::int64_t>(demand.returned, 0, claim.granted);
  level_ = std::min(Depth(), level_ + static_cast<double>(returned));
  if (demand.wanted_per_s <= 0 && demand.waiting <= 0) return {};
  claim.credit += static_cast<double>(returned);
  claim.wanted_per_s =
      std::max(demand.wanted_per_s,
               static_cast<double>(demand.waiting) / SecondsOf(kClaimLifetime));
  const double part = claim.wanted_per_s / (wanted_per_s_ + claim.wanted_per_s);
  const double rate = Rate() * part;
  const double max_credit = std::max(kMinMaxCredit, rate * kMaxCreditS);
  claim.credit =
      std::clamp(claim.credit + rate * SecondsOf(now - claim.reported_at),
                 -max_credit, max_credit);
  claim.granted = PermitsFor(claim, part, demand.waiting);
  claim.credit -= static_cast<double>(claim.granted);
  level_ -= static_cast<double>(claim.granted);
  claim.reported_at = now;
  const double until_level = std::max(0.0, 1 - level_) / Rate();
  // Steady daemons that want more than the rate leave nothing to others.
  const bool is_contested = !by_credit_.empty() && steady_per_s_ >= Rate();
  const double until_turn =
      is_contested ? std::min(std::max(0.0, 1 - claim.credit) / rate,
                              SecondsOf(kPermitLifetime))
                   : 0;
  const double next_s =
      std::min(std::max(until_level, until_turn), SecondsOf(kMaxNextIn));
  Insert(daemon, claim);
  return {claim.granted, DurationOfSeconds(next_s), rate};
}

}  // namespace firmoor
