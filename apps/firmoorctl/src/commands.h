#ifndef FIRMOOR_FIRMOORCTL_COMMANDS_H_
#define FIRMOOR_FIRMOORCTL_COMMANDS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "http/message.h"

namespace firmoor {

/// Parsed command line options.
struct CtlOptions {
  std::vector<std::string> daemons;  ///< Operator endpoints.
  std::string token;
  bool json = false;
  std::string file;                ///< Patch or settings file.
  std::int64_t base_version = -1;  ///< -1 for the current version.
  std::string patch_id;
  std::string html_file;
  double vm_cost_per_hour = 0;
  std::string request_id;
  std::string lifted_hash;        ///< Empty: list the verdicts.
  std::vector<std::string> logs;  ///< Log files; reads standard input if empty.
};

/// Each command prints its result and returns the process exit code.
int ValidateCommand(const CtlOptions& options);
int PatchCommand(const CtlOptions& options);
int GetCommand(const CtlOptions& options);
int StatusCommand(const CtlOptions& options);
int DrainCommand(const CtlOptions& options);
int ReportCommand(const CtlOptions& options);
int QuarantineCommand(const CtlOptions& options);
int ExplainCommand(const CtlOptions& options);

}  // namespace firmoor

#endif  // FIRMOOR_FIRMOORCTL_COMMANDS_H_
