// azurepass: the command line. See cli.h.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <sys/ioctl.h>
#include <unistd.h>

#include <cstdlib>
#include <iostream>

#include "azurepass/cli/cli.h"

ABSL_FLAG(std::string, server, "", "IP:PORT of a frontend");
ABSL_FLAG(std::string, key, "", "a team's key, or the operators' one");
ABSL_FLAG(std::string, output, "table", "table or json");
ABSL_FLAG(int64_t, timeout_ms, 30'000, "of one request, in milliseconds");
ABSL_FLAG(bool, wait, false, "job submit: follow the job to its end");
ABSL_FLAG(bool, watch, false, "status: show it again and again");
ABSL_FLAG(int64_t, interval_ms, 2'000, "of --watch, in milliseconds");
ABSL_FLAG(std::string, request_id, "",
          "job submit: the same id submits the same job once");
ABSL_FLAG(std::string, team, "", "key list: keys of this team alone");
ABSL_FLAG(int64_t, seen, 0, "contract delete: the version seen");

namespace azurepass::cli {
namespace {

std::string FlagOrEnvironment(const std::string& flag, const char* name) {
  if (!flag.empty()) return flag;
  const char* value = std::getenv(name);
  return value == nullptr ? "" : value;
}

std::optional<int> TerminalColumns() {
  winsize size{};
  if (isatty(STDOUT_FILENO) == 0) return std::nullopt;
  if (ioctl(STDOUT_FILENO, TIOCGWINSZ, &size) != 0 || size.ws_col == 0) {
    return std::nullopt;
  }
  return size.ws_col;
}

int Main(const std::vector<std::string>& arguments) {
  Options options;
  options.server =
      FlagOrEnvironment(absl::GetFlag(FLAGS_server), "AZUREPASS_SERVER");
  options.key = FlagOrEnvironment(absl::GetFlag(FLAGS_key), "AZUREPASS_KEY");
  options.timeout = Duration(absl::GetFlag(FLAGS_timeout_ms));
  options.wait = absl::GetFlag(FLAGS_wait);
  options.watch = absl::GetFlag(FLAGS_watch);
  options.interval = Duration(absl::GetFlag(FLAGS_interval_ms));
  options.request_id = absl::GetFlag(FLAGS_request_id);
  options.team = absl::GetFlag(FLAGS_team);
  if (absl::GetFlag(FLAGS_seen) > 0) options.seen = absl::GetFlag(FLAGS_seen);
  const std::string output = absl::GetFlag(FLAGS_output);
  if (output != "table" && output != "json") {
    std::cerr << "azurepass: --output must be table or json\n";
    return static_cast<int>(ExitCode::kUsage);
  }
  if (output == "json") options.output = OutputFormat::kJson;
  return static_cast<int>(Run(options, arguments,
                              {std::cin, std::cout, std::cerr,
                               TerminalColumns(), isatty(STDERR_FILENO) != 0}));
}

}  // namespace
}  // namespace azurepass::cli

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(azurepass::cli::Usage());
  absl::FlagsUsageConfig usage;
  // --help shows the flags of this program's main file and no library's.
  usage.contains_help_flags = [](absl::string_view file) {
    return file.find("cli/main.cc") != absl::string_view::npos;
  };
  absl::SetFlagsUsageConfig(usage);
  const std::vector<char*> left = absl::ParseCommandLine(argc, argv);
  return azurepass::cli::Main({left.begin() + 1, left.end()});
}
