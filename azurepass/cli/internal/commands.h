// The commands, a file each for those about one thing.

#ifndef AZUREPASS_CLI_INTERNAL_COMMANDS_H_
#define AZUREPASS_CLI_INTERNAL_COMMANDS_H_

#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "azurepass/cli/cli.h"
#include "azurepass/cli/internal/client.h"
#include "azurepass/cli/internal/output.h"

namespace azurepass::cli::internal {

struct Context {
  const Options& options;
  std::vector<std::string> arguments;  // After the command's words.
  Streams& streams;
  Client client;

  bool json() const { return options.output == OutputFormat::kJson; }
};

struct Command {
  std::string words;      // Such as "contract show".
  std::string arguments;  // Such as "TEAM"; how many there have to be.
  std::string help;
  std::function<ExitCode(Context&)> run;
};

std::vector<Command> ContractCommands();
std::vector<Command> KeyCommands();
std::vector<Command> ZoneCommands();
std::vector<Command> JobCommands();
std::vector<Command> StatusCommands();
std::vector<Command> ValidateCommands();

// Prints a good result as JSON or by `show`; complains of any other.
ExitCode Finish(Context& context, const Result& result, bool is_write,
                const std::function<void(const codec::Json&)>& show);

// Reads a JSON document with comments from a file, or from standard input for
// "-". The other side is what is wrong.
std::variant<codec::Json, std::string> ReadDocument(const std::string& file,
                                                    Streams& streams);

// Returns after that time, asleep in a loop's poll.
void Pause(Duration time);

}  // namespace azurepass::cli::internal

#endif  // AZUREPASS_CLI_INTERNAL_COMMANDS_H_
