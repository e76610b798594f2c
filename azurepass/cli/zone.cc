// zone list|out|back

#include <ostream>

#include "azurepass/cli/internal/commands.h"

namespace azurepass::cli::internal {
namespace {

std::string StateOf(const codec::Json& zone) {
  return zone.value("in_service", true) ? "in service" : "out";
}

ExitCode List(Context& context) {
  const Result result = context.client.Get("/v1/zones");
  return Finish(context, result, false, [&](const codec::Json& document) {
    Table table({"ZONE", "STATE", "VERSION"});
    for (const codec::Json& zone : document["zones"]) {
      table.Add({Show(zone, "zone"), StateOf(zone), Show(zone, "version")});
    }
    context.streams.out << table.ToString(context.streams.columns);
  });
}

// Writes with the version just read, so that two operators who meant different
// things don't undo each other unseen.
ExitCode Set(Context& context, bool in_service) {
  const std::string& name = context.arguments[0];
  const Result zones = context.client.Get("/v1/zones");
  const codec::Json* document = Document(zones);
  if (document == nullptr) return Complain(zones, false, context.streams);
  int64_t version = 0;
  for (const codec::Json& zone : (*document)["zones"]) {
    if (Show(zone, "zone") == name) version = zone.value("version", int64_t{0});
  }
  const Result result =
      context.client.Put("/v1/zones/" + Escape(name),
                         {{"in_service", in_service}, {"version", version}});
  return Finish(context, result, true, [&](const codec::Json& zone) {
    context.streams.out << "zone " << name << " is " << StateOf(zone)
                        << ", version " << Show(zone, "version") << "\n";
  });
}

}  // namespace

std::vector<Command> ZoneCommands() {
  return {{"zone list", "", "all availability zones", List},
          {"zone out", "ZONE", "takes an availability zone out of service",
           [](Context& context) { return Set(context, false); }},
          {"zone back", "ZONE", "brings it back",
           [](Context& context) { return Set(context, true); }}};
}

}  // namespace azurepass::cli::internal
