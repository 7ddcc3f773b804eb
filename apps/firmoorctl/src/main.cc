#include <CLI/CLI.hpp>
#include <QCoreApplication>

#include "commands.h"

namespace firmoor {
namespace {

struct Command {
  const char* name;
  const char* help;
  int (*run)(const CtlOptions&);
};

constexpr Command kCommands[] = {
    {"validate", "Check a patch (.json) or a settings file (.toml)",
     ValidateCommand},
    {"patch", "Apply a JSON merge patch to the configuration", PatchCommand},
    {"get", "Print the configuration", GetCommand},
    {"status", "Show the state of daemons", StatusCommand},
    {"drain", "Stop daemons gracefully", DrainCommand},
    {"report", "Show service-level burn", ReportCommand},
    {"quarantine", "List what crashes upstreams and is rejected, or release it",
     QuarantineCommand},
    {"explain", "Tell a request's story from the daemons' logs",
     ExplainCommand},
};

void AddOptions(CLI::App* sub, const std::string& name, CtlOptions* options) {
  sub->add_option("--daemon", options->daemons,
                  "Operator endpoint, IP number:port; may be repeated")
      ->envname("FIRMOOR_DAEMON")
      ->default_val(std::vector<std::string>{"127.0.0.1:8082"});
  sub->add_option("--token", options->token, "Operator token")
      ->envname("FIRMOOR_TOKEN");
  sub->add_flag("--json", options->json, "Print JSON");
  if (name == "validate" || name == "patch") {
    sub->add_option("file", options->file, "The file")->required();
  }
  if (name == "patch") {
    sub->add_option("--base-version", options->base_version,
                    "Version the patch is against; the current one if left "
                    "out");
    sub->add_option("--id", options->patch_id,
                    "Id of the patch, to repeat one whose answer was lost");
  }
  if (name == "explain") {
    sub->add_option("request", options->request_id, "Id of the request")
        ->required();
    sub->add_option("logs", options->logs,
                    "Log files of the daemons; standard input if left out");
  }
  if (name == "quarantine") {
    sub->add_option("--lift", options->lifted_hash,
                    "Hash to release, from a daemon's own VM");
  }
  if (name == "report") {
    sub->add_option("--html", options->html_file, "Also write a page here");
    sub->add_option("--vm-cost-per-hour", options->vm_cost_per_hour,
                    "What all VMs cost in an hour");
  }
}

int Main(int argc, char** argv) {
  const QCoreApplication application(argc, argv);
  CLI::App app("Operates firmoor. Exit codes are those of docs/ERRORS.md.",
               "firmoorctl");
  app.set_version_flag("--version", "firmoorctl 0.1.0");
  app.require_subcommand(1);
  CtlOptions options;
  int code = 0;
  for (const auto& command : kCommands) {
    auto* sub = app.add_subcommand(command.name, command.help);
    AddOptions(sub, command.name, &options);
    sub->callback([&, run = command.run] { code = run(options); });
  }
  CLI11_PARSE(app, argc, argv);
  return code;
}

}  // namespace
}  // namespace firmoor

int main(int argc, char** argv) { return firmoor::Main(argc, argv); }
