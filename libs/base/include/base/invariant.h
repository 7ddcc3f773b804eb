#ifndef FIRMOOR_BASE_INVARIANT_H_
#define FIRMOOR_BASE_INVARIANT_H_

#include <cstdint>
#include <string_view>

namespace firmoor {

/// Process-wide counter of violated invariants. Thread-safe.
///
/// Invariants are compiled into release builds. A violation is logged and
/// counted; with `SetFatal(true)`, as in tests, it aborts the process.
class InvariantMonitor {
 public:
  static void SetFatal(bool fatal);

  /// Number of violations since the process started.
  static std::uint64_t ViolationCount();

  /// Records one violation. Use the macro instead of calling this.
  static void Report(std::string_view what, std::string_view file, int line);

  /// Logs and aborts. Use the macro instead of calling this.
  [[noreturn]] static void Abort(std::string_view what, std::string_view file,
                                 int line);
};

}  // namespace firmoor

/// Checks a property that must always hold; logs and counts a violation.
#define FIRMOOR_INVARIANT(condition, what)                             \
  do {                                                                 \
    if (!(condition)) {                                                \
      ::firmoor::InvariantMonitor::Report((what), __FILE__, __LINE__); \
    }                                                                  \
  } while (false)

/// Checks what a caller must guarantee; aborts on a violation.
#define FIRMOOR_PRECONDITION(condition, what)                         \
  do {                                                                \
    if (!(condition)) {                                               \
      ::firmoor::InvariantMonitor::Abort((what), __FILE__, __LINE__); \
    }                                                                 \
  } while (false)

#endif  // FIRMOOR_BASE_INVARIANT_H_
