#include "base/exception_barrier.h"

#include <atomic>
#include <exception>

#include "base/log.h"

namespace firmoor {
namespace {

constexpr Logger kLog("exception");
std::atomic<std::int64_t> caught_count{0};

}  // namespace

void ReportCaughtException(std::string_view where) noexcept {
  ++caught_count;
  try {
    throw;
  } catch (const std::exception& error) {
    try {
      kLog.Error("Left {}, its connection is closed: {}.", where, error.what());
    } catch (...) {
      return;  // Not even the line can be formatted.
    }
  } catch (...) {
    try {
      kLog.Error("Left {}, its connection is closed: unknown.", where);
    } catch (...) {
      return;
    }
  }
}

std::int64_t CaughtExceptionCount() noexcept { return caught_count; }

}  // namespace firmoor
