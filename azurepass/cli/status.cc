// status

#include <ostream>

#include "azurepass/cli/internal/commands.h"

namespace azurepass::cli::internal {
namespace {

constexpr char kClearScreen[] = "\x1b[H\x1b[2J";

std::string StateOf(const codec::Json& member) {
  if (member.value("leaving", false)) return "leaving";
  if (member.value("suspected", false)) return "suspected";
  const bool asked = Show(member, "role") == "scheduler";
  return asked && !member.value("answered", false) ? "no answer" : "ok";
}

// Committed of capacity, in one dimension, such as "12/64".
std::string Use(const codec::Json& partition, const std::string& dimension) {
  const codec::Json empty = codec::Json::object();
  const auto amount = [&](const std::string& field) {
    const codec::Json& amounts = partition.value(field, empty);
    return std::to_string(amounts.value(dimension, int64_t{0}));
  };
  return amount("committed") + "/" + amount("capacity");
}

void ShowStatus(Context& context, const codec::Json& status) {
  std::ostream& out = context.streams.out;
  const std::optional<int> columns = context.streams.columns;
  out << "answered by " << Show(status, "answered_by") << ", revision "
      << Show(status, "revision") << ", configuration "
      << Show(status, "freshness") << "\n\n";
  Table members({"MEMBER", "ROLE", "ZONE", "ADDRESS", "REVISION", "STATE"});
  for (const codec::Json& member : status["members"]) {
    members.Add({Show(member, "member"), Show(member, "role"),
                 Show(member, "zone"), Show(member, "address"),
                 Show(member, "revision"), StateOf(member)});
  }
  out << members.ToString(columns) << "\n";
  Table partitions({"PARTITION", "OWNER", "EPOCH", "WORKERS", "QUARANTINED",
                    "QUEUED", "RUNNING", "SLOTS", "MILLICORES", "GPUS"});
  for (const codec::Json& partition : status["partitions"]) {
    const bool known = partition.value("answered", false);
    const auto if_known = [known](std::string text) {
      return known ? std::move(text) : std::string("?");
    };
    partitions.Add({Show(partition, "partition"), Show(partition, "owner"),
                    Show(partition, "epoch"),
                    if_known(Show(partition, "open_workers") + "/" +
                             Show(partition, "workers")),
                    if_known(Show(partition, "quarantined_workers")),
                    if_known(Show(partition, "queued_tasks")),
                    if_known(Show(partition, "committed_tasks")),
                    if_known(Use(partition, "slots")),
                    if_known(Use(partition, "millicores")),
                    if_known(Use(partition, "accelerators"))});
  }
  out << partitions.ToString(columns);
}

ExitCode Once(Context& context) {
  const Result result = context.client.Get("/v1/status");
  const bool clears = context.options.watch && !context.json() &&
                      context.streams.columns.has_value();
  if (clears) context.streams.out << kClearScreen;
  return Finish(context, result, false, [&](const codec::Json& document) {
    ShowStatus(context, document);
  });
}

// A frontend that is away for a while does not end the watch.
ExitCode Status(Context& context) {
  if (!context.options.watch) return Once(context);
  ExitCode latest = ExitCode::kOk;
  for (int64_t round = 1;; ++round) {
    latest = Once(context);
    context.streams.out << std::flush;
    const bool ends =
        latest != ExitCode::kOk && latest != ExitCode::kUnavailable;
    if (ends || round == context.options.rounds) return latest;
    Pause(context.options.interval);
  }
}

}  // namespace

std::vector<Command> StatusCommands() {
  return {{"status", "", "members and partitions; --watch repeats it", Status}};
}

}  // namespace azurepass::cli::internal
