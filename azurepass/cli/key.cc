// key create|list|withdraw

#include <ostream>

#include "azurepass/cli/internal/commands.h"

namespace azurepass::cli::internal {
namespace {

ExitCode Create(Context& context) {
  const Result result =
      context.client.Post("/v1/keys", {{"team", context.arguments[0]}});
  return Finish(context, result, true, [&](const codec::Json& document) {
    context.streams.err << "key " << Show(document, "id") << " of "
                        << Show(document, "team")
                        << "; its secret is shown this once:\n";
    context.streams.out << Show(document, "secret") << "\n";
  });
}

ExitCode List(Context& context) {
  const Result result = context.client.Get("/v1/keys");
  return Finish(context, result, false, [&](const codec::Json& document) {
    Table table({"ID", "TEAM", "STATE", "VERSION"});
    for (const codec::Json& key : document["keys"]) {
      const std::string team = Show(key, "team");
      if (!context.options.team.empty() && team != context.options.team) {
        continue;
      }
      table.Add({Show(key, "id"), team,
                 key.value("withdrawn", false) ? "withdrawn" : "works",
                 Show(key, "version")});
    }
    context.streams.out << table.ToString(context.streams.columns);
  });
}

ExitCode Withdraw(Context& context) {
  const std::string& id = context.arguments[0];
  const Result result = context.client.Delete("/v1/keys/" + Escape(id));
  return Finish(context, result, true, [&](const codec::Json&) {
    context.streams.out << "key " << id << " withdrawn\n";
  });
}

}  // namespace

std::vector<Command> KeyCommands() {
  return {{"key create", "TEAM", "a new key; prints its secret once", Create},
          {"key list", "", "all keys; --team=TEAM for those of one", List},
          {"key withdraw", "ID", "ends a key for good", Withdraw}};
}

}  // namespace azurepass::cli::internal
