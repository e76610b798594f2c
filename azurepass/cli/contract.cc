// contract list|show|put|delete

#include <ostream>

#include "azurepass/cli/internal/commands.h"

namespace azurepass::cli::internal {
namespace {

std::string PathOf(const std::string& team) {
  return "/v1/contracts/" + Escape(team);
}

ExitCode List(Context& context) {
  const Result result = context.client.Get("/v1/contracts");
  return Finish(context, result, false, [&](const codec::Json& document) {
    Table table({"TEAM", "SHARE", "ZONES", "QUEUES", "LIMIT", "VERSION"});
    for (const codec::Json& contract : document["contracts"]) {
      std::string queues;
      for (const codec::Json& queue : contract["queues"]) {
        queues += (queues.empty() ? "" : ",") + Show(queue, "name") + ":" +
                  Show(queue, "service");
      }
      table.Add({Show(contract, "team"), Show(contract, "share"),
                 Show(contract, "zones"), queues.empty() ? "-" : queues,
                 Show(contract, "upper_limit"), Show(contract, "version")});
    }
    context.streams.out << table.ToString(context.streams.columns);
  });
}

// Always a document, so that it can be changed and put again.
ExitCode ShowOne(Context& context) {
  const Result result = context.client.Get(PathOf(context.arguments[0]));
  return Finish(context, result, false, [&](const codec::Json& document) {
    PrintJson(document, context.streams);
  });
}

ExitCode PutOne(Context& context) {
  auto read = ReadDocument(context.arguments[0], context.streams);
  if (const auto* problem = std::get_if<std::string>(&read)) {
    return ComplainOfUsage(*problem, context.streams);
  }
  const auto& contract = std::get<codec::Json>(read);
  if (!contract.contains("team") || !contract["team"].is_string()) {
    return ComplainOfUsage(context.arguments[0] + ": team: must be a string",
                           context.streams);
  }
  const Result result =
      context.client.Put(PathOf(contract["team"].get<std::string>()), contract);
  return Finish(context, result, true, [&](const codec::Json& document) {
    context.streams.out << "contract of " << Show(document, "team")
                        << " accepted, version " << Show(document, "version")
                        << "\n";
  });
}

ExitCode DeleteOne(Context& context) {
  if (!context.options.seen) {
    return ComplainOfUsage(
        "contract delete needs --seen=VERSION, as contract show tells it",
        context.streams);
  }
  const std::string& team = context.arguments[0];
  const Result result = context.client.Delete(
      PathOf(team) + "?version=" + std::to_string(*context.options.seen));
  return Finish(context, result, true, [&](const codec::Json&) {
    context.streams.out << "contract of " << team << " removed\n";
  });
}

}  // namespace

std::vector<Command> ContractCommands() {
  return {{"contract list", "", "all contracts", List},
          {"contract show", "TEAM", "one contract, as contract put takes it",
           ShowOne},
          {"contract put", "FILE", "writes a contract (- reads standard input)",
           PutOne},
          {"contract delete", "TEAM",
           "removes a contract; needs --seen=VERSION", DeleteOne}};
}

}  // namespace azurepass::cli::internal
