#include "process_usage.h"

#include <fmt/format.h>
#include <unistd.h>

#include <fstream>
#include <sstream>
#include <string>

namespace firmoor {
namespace {

constexpr double kKbPerMb = 1'024;

double CpuSeconds(std::int64_t pid) {
  std::ifstream file(fmt::format("/proc/{}/stat", pid));
  std::string line;
  std::getline(file, line);
  const auto end = line.rfind(')');
  if (end == std::string::npos) return 0;
  std::istringstream rest(line.substr(end + 1));
  std::string skipped;
  // utime and stime are the 12th and 13th fields behind the name.
  for (int i = 0; i < 11; ++i) rest >> skipped;
  double user = 0;
  double system = 0;
  rest >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

}  // namespace

ProcessUsage UsageOf(std::int64_t pid) {
  ProcessUsage usage;
  usage.cpu_s = CpuSeconds(pid);
  std::ifstream file(fmt::format("/proc/{}/status", pid));
  std::string key;
  while (file >> key) {
    double value = 0;
    if (key == "VmRSS:" && file >> value) usage.rss_mb = value / kKbPerMb;
    if (key == "Threads:" && file >> value) {
      usage.threads = static_cast<int>(value);
    }
  }
  return usage;
}

}  // namespace firmoor
