#ifndef FIRMOOR_BASE_EXCEPTION_BARRIER_H_
#define FIRMOOR_BASE_EXCEPTION_BARRIER_H_

#include <cstdint>
#include <string_view>
#include <utility>

#include "base/handler_timer.h"

namespace firmoor {

/// Logs the exception that is being handled and counts it. `where`: the handler
/// that it left.
void ReportCaughtException(std::string_view where) noexcept;

/// Exceptions reported since the process started.
std::int64_t CaughtExceptionCount() noexcept;

/// Runs and measures a handler of one connection. An exception that leaves
/// `handler` is logged and counted, and `close` ends the connection; without
/// this it would end the process, since nothing catches it in the event loop.
/// An exception that leaves `close` is only reported.
template <typename Handler, typename Close>
void RunWithBarrier(std::string_view where, Handler&& handler, Close&& close) {
  const HandlerTimer timer(where);
  try {
    std::forward<Handler>(handler)();
    return;
  } catch (...) {
    ReportCaughtException(where);
  }
  try {
    std::forward<Close>(close)();
  } catch (...) {
    ReportCaughtException(where);
  }
}

}  // namespace firmoor

#endif  // FIRMOOR_BASE_EXCEPTION_BARRIER_H_
