#ifndef FIRMOOR_LIMITS_SLOT_DIVIDER_H_
#define FIRMOOR_LIMITS_SLOT_DIVIDER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/time.h"
#include "limits/announced_limits.h"
#include "limits/slot_pool.h"
#include "limits/upstream_limit_messages.h"

namespace firmoor {

/// Coordinator side of all brittle upstreams: divides their room among the
/// daemons and tells all daemons which services are brittle. A reply holds the
/// upstreams of the report, and a bounded number of services. The state is
/// rebuilt from the daemons' reports. Performs no I/O.
class SlotDivider {
 public:
  /// No slots are granted before `grants_from`, when the daemons have reported
  /// what they hold.
  explicit SlotDivider(TimePoint grants_from);

  /// Records a report and adds to the reply to it. `fraction`: part of all
  /// daemons that report to this coordinator.
  void OnReport(const std::string& daemon, const UpstreamLimitReports& reports,
                double fraction, TimePoint now, UpstreamLimitReply* reply);

 private:
  struct Upstream {
    std::int64_t born_ms = 0;
    SlotPool pool;
  };
  struct Reporter {
    TimePoint reported_at;
    bool keeps_slots = false;
  };

  /// The last shortage that an upstream of a service caused.
  struct Shortage {
    std::string upstream;
    TimePoint at;
    std::optional<TimePoint> shared_at;  ///< When a second one had it as well.
  };

  void RecordShortage(const std::string& service, const std::string& upstream,
                      TimePoint now);
  [[nodiscard]] bool HasShortage(const std::string& service,
                                 TimePoint now) const;
  void RecordReporter(const std::string& daemon, bool keeps_slots,
                      TimePoint now);
  void RecordBrittleness(const UpstreamLimitReports& reports, TimePoint now);
  void AddBrittleness(UpstreamLimitReply* reply, TimePoint now) const;
  /// The pool of the run in the report; null if a later run is known.
  SlotPool* PoolOf(const std::string& id, const UpstreamSlotReport& report,
                   TimePoint now);
  /// Part of the reporting daemons that keep to slots.
  [[nodiscard]] double KeepingFraction() const;
  void Clean(TimePoint now);

  TimePoint grants_from_;
  TimePoint cleaned_at_;
  AnnouncedLimits brittle_;                    ///< Tolerances, by service.
  std::map<std::string, Upstream> upstreams_;  ///< By id.
  std::map<std::string, Shortage> shortages_;  ///< By service.
  std::map<std::string, Reporter> reporters_;  ///< By daemon.
  std::size_t keeping_ = 0;  ///< Reporters that keep to slots.
};

}  // namespace firmoor

#endif  // FIRMOOR_LIMITS_SLOT_DIVIDER_H_
