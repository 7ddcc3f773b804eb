#ifndef FIRMOOR_LIMITS_UPSTREAM_LIMIT_DIVIDER_H_
#define FIRMOOR_LIMITS_UPSTREAM_LIMIT_DIVIDER_H_

#include <cstdint>
#include <map>
#include <string>

#include "base/time.h"
#include "limits/announced_limits.h"
#include "limits/permit_pool.h"
#include "limits/slot_divider.h"
#include "limits/upstream_limit_messages.h"

namespace firmoor {

/// Coordinator side of the rate limits that upstreams announce: divides them
/// among the daemons and passes announcements on to daemons that have not
/// received them. A reply holds a bounded number of upstreams, whatever the
/// size of the fleet. The state is rebuilt from the daemons' reports, so
/// another daemon can take over at any time. Performs no I/O.
class UpstreamLimitDivider {
 public:
  /// `term` identifies this coordinator among all that there have been. The
  /// permits of the previous coordinator may be used for `kPermitLifetime`
  /// after `started_at`; none are granted before that.
  UpstreamLimitDivider(std::int64_t term, TimePoint started_at);

  /// Records a report and makes the reply to it. `fraction`: part of all
  /// daemons that report to this coordinator.
  UpstreamLimitReply OnReport(const std::string& daemon,
                              const UpstreamLimitReports& reports,
                              double fraction, TimePoint now);

 private:
  /// Records an announcement, and its place in the sequence if it is a change.
  void Record(const std::string& upstream, const UpstreamLimitReport& report,
              TimePoint now);
  UpstreamLimitGrant Grant(const std::string& daemon,
                           const std::string& upstream,
                           const UpstreamLimitReport& report, double fraction,
                           TimePoint now);
  [[nodiscard]] UpstreamLimitGrant AnnouncementOf(const std::string& upstream,
                                                  TimePoint now) const;
  void AddUnseen(std::int64_t cursor, UpstreamLimitReply* reply,
                 TimePoint now) const;
  void RemoveForgotten(TimePoint now);

  std::int64_t term_;
  TimePoint grants_from_;
  TimePoint cleaned_at_;
  SlotDivider slots_;
  AnnouncedLimits limits_;
  std::map<std::string, PermitPool> pools_;  ///< By upstream.
  std::int64_t last_change_ = 0;
  std::map<std::int64_t, std::string> changes_;    ///< Upstream by change.
  std::map<std::string, std::int64_t> change_of_;  ///< Latest, by upstream.
};

}  // namespace firmoor

#endif  // FIRMOOR_LIMITS_UPSTREAM_LIMIT_DIVIDER_H_
