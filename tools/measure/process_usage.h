#ifndef FIRMOOR_MEASURE_PROCESS_USAGE_H_
#define FIRMOOR_MEASURE_PROCESS_USAGE_H_

#include <cstdint>

namespace firmoor {

/// What a process has used, from /proc.
struct ProcessUsage {
  double cpu_s = 0;   ///< User and system time since its start.
  double rss_mb = 0;  ///< Resident memory.
  int threads = 0;
};

/// Reads the usage of a process; zeros when it is gone.
ProcessUsage UsageOf(std::int64_t pid);

}  // namespace firmoor

#endif  // FIRMOOR_MEASURE_PROCESS_USAGE_H_
