// The command line for operators and callers. Each command is one or a few
// requests to a frontend, and a table or a JSON document on standard output;
// what went wrong goes to standard error, with the next step.

#ifndef AZUREPASS_CLI_CLI_H_
#define AZUREPASS_CLI_CLI_H_

#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

#include "azurepass/core/core.h"

namespace azurepass::cli {

enum class ExitCode : int {
  kOk = 0,
  kRefused = 1,      // Also: a job waited for did not succeed.
  kUsage = 2,        // Wrong command line, or settings that are not valid.
  kUnavailable = 3,  // Not run; try again later.
  kConflict = 4,     // Somebody wrote first, or the request id is taken.
  kUnknown = 5,      // It may have had its effect.
};

enum class OutputFormat { kTable, kJson };

struct Options {
  std::string server;  // "IP:PORT" of a frontend.
  std::string key;
  OutputFormat output = OutputFormat::kTable;
  Duration timeout{30'000};     // Of one request.
  bool wait = false;            // job submit: until the job is final.
  bool watch = false;           // status: again and again.
  Duration interval{2'000};     // Of watch.
  int64_t rounds = 0;           // Of watch; 0: without end.
  std::string request_id;       // job submit.
  std::string team;             // key list: of this team alone.
  std::optional<int64_t> seen;  // contract delete: the version seen.
};

// What the commands write to.
struct Streams {
  std::istream& in;
  std::ostream& out;
  std::ostream& err;
  // Columns of the terminal that `out` is; empty when it is none.
  std::optional<int> columns;
  bool err_is_terminal = false;
};

// The text of --help.
std::string Usage();

// Runs one command, such as {"contract", "show", "rilapak"}.
ExitCode Run(const Options& options, const std::vector<std::string>& arguments,
             Streams streams);

}  // namespace azurepass::cli

#endif  // AZUREPASS_CLI_CLI_H_
