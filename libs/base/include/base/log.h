#ifndef FIRMOOR_BASE_LOG_H_
#define FIRMOOR_BASE_LOG_H_

#include <fmt/format.h>

#include <string_view>
#include <utility>

namespace firmoor {

/// Severity of a log line.
enum class LogLevel { kDebug, kInfo, kWarn, kError };

/// Writes short sentences to standard error, each with the fixed prefix of
/// one part of the program. Thread-safe; one line is one write.
///
///     constexpr Logger kLog("claims");
///     kLog.Info("Slot {} is at version {}.", slot, version);
class Logger {
 public:
  /// `part` must outlive the logger; a string literal is expected.
  constexpr explicit Logger(std::string_view part) : part_(part) {}

  /// Lines below `level` are dropped in the whole process.
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

  std::string_view part_;
};

}  // namespace firmoor

#endif  // FIRMOOR_BASE_LOG_H_
