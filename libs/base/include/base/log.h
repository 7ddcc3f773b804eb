#ifndef FIRMOOR_BASE_LOG_H_
#define FIRMOOR_BASE_LOG_H_

#include <fmt/format.h>

#include <string_view>
#include <utility>

namespace firmoor {

/// Severity of a log line.
enum class LogLevel { kDebug, kInfo, kWarn, kError };

/// Writes messages to standard error with the name of a component as prefix.
/// Thread-safe; each line is written in one call.
///
///     constexpr Logger kLog("claims");
///     kLog.Info("Slot {} is at version {}.", slot, version);
class Logger {
 public:
  /// `component` must outlive the logger; a string literal is expected.
  constexpr explicit Logger(std::string_view component)
      : component_(component) {}

  /// Sets the process-wide minimum level.
  static void SetLevel(LogLevel level);

  template <typename... Args>
  void Debug(fmt::format_string<Args...> format, Args&&... args) const {
    Write(LogLevel::kDebug, fmt::format(format, std::forward<Args>(args)...));
  }
  template <typename... Args>
  void Info(fmt::format_string<Args...> format, Args&&... args) const {
    Write(LogLevel::kInfo, fmt::format(format, std::forward<Args>(args)...));
  }
  template <typename... Args>
  void Warn(fmt::format_string<Args...> format, Args&&... args) const {
    Write(LogLevel::kWarn, fmt::format(format, std::forward<Args>(args)...));
  }
  template <typename... Args>
  void Error(fmt::format_string<Args...> format, Args&&... args) const {
    Write(LogLevel::kError, fmt::format(format, std::forward<Args>(args)...));
  }

 private:
  void Write(LogLevel level, std::string_view text) const;

  std::string_view component_;
};

}  // namespace firmoor

#endif  // FIRMOOR_BASE_LOG_H_
