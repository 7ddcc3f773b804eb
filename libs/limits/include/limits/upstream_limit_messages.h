#ifndef FIRMOOR_LIMITS_UPSTREAM_LIMIT_MESSAGES_H_
#define FIRMOOR_LIMITS_UPSTREAM_LIMIT_MESSAGES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/time.h"

namespace firmoor {

/// Time from a daemon's report until the permits of the reply expire: the
/// interval between two reports.
constexpr Duration kPermitLifetime{1'000};

/// A daemon's report on one upstream that announces a rate limit.
struct UpstreamLimitReport {
  std::int64_t born_ms = 0;          ///< Identifies the run of the upstream.
  std::optional<double> rate_per_s;  ///< Empty: it has withdrawn its limit.
  Duration age{0};                   ///< Of the announcement.
  /// Recent requests per second for which it was the best upstream, sent there
  /// or not.
  double wanted_per_s = 0;
  std::int64_t waiting = 0;   ///< Requests that wait for a permit.
  std::int64_t returned = 0;  ///< Permits that the daemon will not use.

  bool operator==(const UpstreamLimitReport&) const = default;
};

/// The coordinator's reply on one upstream.
struct UpstreamLimitGrant {
  std::int64_t born_ms = 0;
  std::optional<double> rate_per_s;  ///< As last announced to any daemon.
  Duration age{0};                   ///< Of the announcement.
  std::int64_t permits = 0;  ///< Requests that the daemon may send there.
  /// Estimated time until another permit can be granted.
  Duration next_in{0};
  /// Permits per second that the daemon can expect at the present demand.
  double daemon_rate_per_s = 0;

  bool operator==(const UpstreamLimitGrant&) const = default;
};

/// What the upstreams of a brittle service last announced: one that rejects
/// more requests in a second for want of room crashes.
struct BrittlenessReport {
  std::optional<double> rejection_tolerance;  ///< Empty: withdrawn.
  Duration age{0};                            ///< Of the announcement.

  bool operator==(const BrittlenessReport&) const = default;
};

/// A daemon's use of one upstream of a brittle service.
struct UpstreamSlotReport {
  std::int64_t born_ms = 0;  ///< Identifies the run of the upstream.
  std::int64_t room = 0;     ///< Slots of its registration.
  std::int64_t in_flight = 0;
  std::int64_t held = 0;  ///< Slots that the daemon may use until the reply.
  /// Slots that it could have used at once since the last report.
  std::int64_t wanted = 0;
  std::int64_t rejected = 0;  ///< By the upstream, since the last report.
  std::string service = {};

  bool operator==(const UpstreamSlotReport&) const = default;
};

/// The coordinator's reply on one upstream of a brittle service.
struct UpstreamSlotGrant {
  std::int64_t born_ms = 0;
  std::int64_t slots = 0;  ///< Requests that the daemon may have there at once.
  bool is_contested = false;  ///< Other daemons need what this one leaves.

  bool operator==(const UpstreamSlotGrant&) const = default;
};

/// A daemon's report on the upstreams that announce rate limits, or that they
/// are brittle.
struct UpstreamLimitReports {
  /// Announcements that the daemon has received, as in the last reply.
  std::int64_t term = 0;
  std::int64_t cursor = 0;
  std::map<std::string, UpstreamLimitReport> upstreams;  ///< By id.
  /// Whether the daemon keeps to slots; earlier builds do not.
  bool keeps_slots = false;
  std::int64_t number = 0;  ///< Of the report, for the reply.
  std::map<std::string, BrittlenessReport> brittle = {};  ///< By service.
  std::map<std::string, UpstreamSlotReport> slots = {};   ///< By upstream id.

  bool operator==(const UpstreamLimitReports&) const = default;
};

/// The coordinator's reply: the upstreams of the report, and those whose
/// announcements the daemon has not received yet.
struct UpstreamLimitReply {
  std::int64_t term = 0;    ///< Identifies the coordinator; 0: no reply.
  std::int64_t cursor = 0;  ///< Position in its sequence of announcements.
  /// Whether permits are granted; until then, each daemon keeps to an equal
  /// share of the limit.
  bool grants_permits = false;
  std::map<std::string, UpstreamLimitGrant> upstreams;  ///< By id.
  /// Whether the coordinator divides slots; earlier builds do not.
  bool grants_slots = false;
  std::int64_t number = 0;  ///< Of the report that this replies to.
  std::map<std::string, BrittlenessReport> brittle = {};  ///< By service.
  std::map<std::string, UpstreamSlotGrant> slots = {};    ///< By upstream id.

  bool operator==(const UpstreamLimitReply&) const = default;
};

}  // namespace firmoor

#endif  // FIRMOOR_LIMITS_UPSTREAM_LIMIT_MESSAGES_H_
