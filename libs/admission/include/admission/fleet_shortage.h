#ifndef FIRMOOR_ADMISSION_FLEET_SHORTAGE_H_
#define FIRMOOR_ADMISSION_FLEET_SHORTAGE_H_

#include <map>
#include <string>

#include "admission/admission_level.h"
#include "admission/shortage_messages.h"
#include "base/time.h"

namespace firmoor {

/// Run by the coordinator: merges the daemons' demand into one admission level
/// a service. Keeps nothing by daemon. Performs no I/O.
class FleetShortage {
 public:
  explicit FleetShortage(TimePoint started_at);

  /// Records a report and makes the reply to it.
  ShortageReply OnReport(const ShortageReport& report,
                         const WorkspaceWeight& weight_of, TimePoint now);

 private:
  std::map<std::string, AdmissionLevel> levels_;  ///< By service.
  TimePoint period_began_at_;
  ShortageReply reply_;
};

}  // namespace firmoor

#endif  // FIRMOOR_ADMISSION_FLEET_SHORTAGE_H_
