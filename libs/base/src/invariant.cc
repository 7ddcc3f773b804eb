#include "base/invariant.h"

#include <atomic>
#include <cstdlib>

#include "base/log.h"

namespace firmoor {
namespace {

std::atomic<bool> g_fatal{false};
std::atomic<std::uint64_t> g_violations{0};
constexpr Logger kLog("invariant");

}  // namespace

void InvariantMonitor::SetFatal(bool fatal) { g_fatal = fatal; }

std::uint64_t InvariantMonitor::ViolationCount() { return g_violations; }

void InvariantMonitor::Report(std::string_view what, std::string_view file,
                              int line) {
  ++g_violations;
  kLog.Error("Broken: {} ({}:{}).", what, file, line);
  if (g_fatal) std::abort();
}

void InvariantMonitor::Abort(std::string_view what, std::string_view file,
                             int line) {
  kLog.Error("Precondition broken: {} ({}:{}).", what, file, line);
  std::abort();
}

}  // namespace firmoor
