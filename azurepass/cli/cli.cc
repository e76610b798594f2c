// Finds and runs the command.

#include "azurepass/cli/cli.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <ostream>
#include <sstream>

#include "azurepass/cli/internal/commands.h"
#include "azurepass/task/task.h"

namespace azurepass::cli {
namespace {

using internal::Command;
using internal::Context;

std::vector<Command> AllCommands() {
  std::vector<Command> all;
  for (auto& group :
       {internal::ContractCommands(), internal::KeyCommands(),
        internal::ZoneCommands(), internal::JobCommands(),
        internal::StatusCommands(), internal::ValidateCommands()}) {
    all.insert(all.end(), group.begin(), group.end());
  }
  return all;
}

std::vector<std::string> Words(const std::string& text) {
  std::istringstream stream(text);
  return {std::istream_iterator<std::string>(stream), {}};
}

// True when the arguments begin with the command's words.
bool Matches(const Command& command, const std::vector<std::string>& given) {
  const std::vector<std::string> words = Words(command.words);
  return given.size() >= words.size() &&
         std::equal(words.begin(), words.end(), given.begin());
}

}  // namespace

std::string Usage() {
  std::string text =
      "drives an azurepass cell\n\n"
      "  azurepass COMMAND [ARGUMENTS] [--FLAGS]\n\nCommands:\n";
  for (const Command& command : AllCommands()) {
    std::string call = "  " + command.words;
    if (!command.arguments.empty()) call += " " + command.arguments;
    constexpr size_t kCallColumns = 34;
    call.resize(std::max(kCallColumns, call.size() + 1), ' ');
    text += call + command.help + "\n";
  }
  return text +
         "\nA contract's \"version\" is the one seen, 0 for a new contract. A "
         "job's\nrequest id makes its submission repeatable: the same id "
         "finds the same job.\n"
         "\nFlags for all commands:\n"
         "  --server=IP:PORT    a frontend; AZUREPASS_SERVER is used without "
         "it\n"
         "  --key=KEY           a team's key, or the operators' one; "
         "AZUREPASS_KEY is used\n"
         "                      without it\n"
         "  --output=table|json\n"
         "  --timeout_ms=N      of one request\n"
         "\nExit codes:\n"
         "  0  done\n"
         "  1  refused, or a job waited for did not succeed\n"
         "  2  wrong command line, or settings that are not valid\n"
         "  3  not available now, and not run\n"
         "  4  conflict: somebody wrote first, or the request id is taken\n"
         "  5  outcome unknown: it may have had its effect\n";
}

ExitCode Run(const Options& options, const std::vector<std::string>& arguments,
             Streams streams) {
  for (const Command& command : AllCommands()) {
    if (!Matches(command, arguments)) continue;
    const auto words = static_cast<std::ptrdiff_t>(Words(command.words).size());
    std::vector<std::string> rest(arguments.begin() + words, arguments.end());
    if (rest.size() != Words(command.arguments).size()) {
      return internal::ComplainOfUsage(
          "use it as: azurepass " + command.words + " " + command.arguments,
          streams);
    }
    if (options.server.empty() && command.words != "validate") {
      return internal::ComplainOfUsage(
          "which frontend? set --server=IP:PORT or AZUREPASS_SERVER", streams);
    }
    Context context{
        options, std::move(rest), streams,
        internal::Client(options.server, options.key, options.timeout)};
    return command.run(context);
  }
  return internal::ComplainOfUsage(
      arguments.empty() ? "no command"
                        : "there is no command \"" + arguments[0] + "\" or " +
                              "it lacks its second word",
      streams);
}

namespace internal {

ExitCode Finish(Context& context, const Result& result, bool is_write,
                const std::function<void(const codec::Json&)>& show) {
  const codec::Json* document = Document(result);
  if (document == nullptr) {
    return Complain(result, is_write, context.streams);
  }
  if (context.json()) {
    PrintJson(*document, context.streams);
  } else {
    show(*document);
  }
  return ExitCode::kOk;
}

std::variant<codec::Json, std::string> ReadDocument(const std::string& file,
                                                    Streams& streams) {
  std::ostringstream text;
  if (file == "-") {
    text << streams.in.rdbuf();
  } else {
    const std::ifstream stream(file, std::ios::binary);
    if (!stream) return file + " can't be opened";
    text << stream.rdbuf();
  }
  codec::ParseLimits limits;
  limits.allow_comments = true;
  auto outcome = codec::Try([&] { return codec::Parse(text.str(), limits); });
  if (auto* error = std::get_if<codec::Error>(&outcome)) {
    return file + ": " + error->ToString();
  }
  auto& document = std::get<codec::Json>(outcome);
  if (!document.is_object()) return file + ": must be an object";
  return std::move(document);
}

void Pause(Duration time) {
  task::Loop loop;
  task::Timer timer(loop);
  timer.After(time, [&loop] { loop.Quit(); });
  loop.Run();
}

}  // namespace internal
}  // namespace azurepass::cli
