#include "base/log.h"

#include <atomic>
#include <chrono>
#include <cstdio>

namespace firmoor {
namespace {

std::atomic<LogLevel> g_level{LogLevel::kInfo};

std::string_view NameOf(LogLevel level) {
  constexpr std::string_view kNames[] = {"debug", "info", "warn", "error"};
  return kNames[static_cast<int>(level)];
}

}  // namespace

void Logger::SetLevel(LogLevel level) { g_level = level; }

void Logger::Write(LogLevel level, std::string_view text) const {
  if (level < g_level.load()) return;
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
  const std::string line =
      fmt::format("{}.{:03} {:<5} {}: {}\n", ms / 1000, ms % 1000,
                  NameOf(level), component_, text);
  std::fwrite(line.data(), 1, line.size(), stderr);
}

}  // namespace firmoor
