#ifndef FIRMOOR_QUARANTINE_QUARANTINE_AUTHORITY_H_
#define FIRMOOR_QUARANTINE_QUARANTINE_AUTHORITY_H_

#include <cstdint>
#include <set>
#include <vector>

#include "base/time.h"
#include "quarantine/crash_correlator.h"
#include "quarantine/quarantine_messages.h"
#include "quarantine/verdict_list.h"

namespace firmoor {

/// The coordinator's part of the quarantine: relates the crashes that all
/// daemons report, and passes verdicts. A new coordinator takes over the
/// verdicts that daemons report, and gets their recent crashes again. Performs
/// no I/O.
class QuarantineAuthority {
 public:
  /// `term` identifies the coordinator; above 0.
  explicit QuarantineAuthority(std::int64_t term);

  /// Records a daemon's report and makes the reply to it.
  QuarantineReply OnReport(const QuarantineReport& report, TimePoint now);

 private:
  void Record(const QuarantineReport& report, TimePoint now);

  std::int64_t term_;
  CrashCorrelator correlator_;
  VerdictList verdicts_;
  /// Released by operators; not taken over from daemons that have not heard.
  std::set<Suspect> lifted_;
};

}  // namespace firmoor

#endif  // FIRMOOR_QUARANTINE_QUARANTINE_AUTHORITY_H_
