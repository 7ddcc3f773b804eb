#include <signal.h>

#include <CLI/CLI.hpp>
#include <QCoreApplication>
#include <QSocketNotifier>
#include <map>
#include <string>

#include "base/invariant.h"
#include "base/log.h"
#include "base/signal_descriptor.h"
#include "config/settings.h"
#include "daemon.h"

namespace firmoor {
namespace {

constexpr Logger kLog("firmoord");
constexpr const char* kVersion = "firmoord 0.1.0";

LogLevel ParseLogLevel(const std::string& name) {
  static const std::map<std::string, LogLevel> levels = {
      {"debug", LogLevel::kDebug},
      {"info", LogLevel::kInfo},
      {"warn", LogLevel::kWarn},
      {"error", LogLevel::kError}};
  return levels.at(name);
}

int RunDaemon(const Settings& settings, const SignalDescriptor& signals,
              int argc, char** argv) {
  const QCoreApplication application(argc, argv);
  Daemon daemon(settings, [] { QCoreApplication::quit(); });
  QSocketNotifier notifier(signals.descriptor(), QSocketNotifier::Read);
  QObject::connect(&notifier, &QSocketNotifier::activated, &notifier, [&] {
    signals.Read([](int) {});
    daemon.RequestStop();
  });
  if (!daemon.Start()) return InfoOf(ResultCode::kInternal).exit_code;
  return QCoreApplication::exec();
}

int Main(const SignalDescriptor& signals, int argc, char** argv) {
  CLI::App app("Serves language models and plain services on reclaimable VMs.",
               "firmoord");
  std::string file;
  bool check = false;
  bool fatal_invariants = false;
  app.add_option("--settings", file, "TOML settings file")->required();
  app.add_flag("--check", check, "Check the settings and end");
  app.add_flag("--fatal-invariants", fatal_invariants,
               "End the process when an invariant is broken");
  app.set_version_flag("--version", kVersion);
  CLI11_PARSE(app, argc, argv);
  const auto outcome = Capture([&] { return LoadSettings(file); });
  if (const auto* error = std::get_if<Error>(&outcome)) {
    kLog.Error("{}.", error->message);
    return InfoOf(error->code).exit_code;
  }
  const auto& settings = std::get<Settings>(outcome);
  if (check) {
    fmt::print("{}: good\n", file);
    return 0;
  }
  Logger::SetLevel(ParseLogLevel(settings.log_level));
  InvariantMonitor::SetFatal(fatal_invariants);
  return RunDaemon(settings, signals, argc, argv);
}

}  // namespace
}  // namespace firmoor

int main(int argc, char** argv) {
  // Before anything that takes time: until then a signal ends the process.
  const firmoor::SignalDescriptor signals({SIGTERM, SIGINT});
  return firmoor::Main(signals, argc, argv);
}
