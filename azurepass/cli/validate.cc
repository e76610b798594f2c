// validate

#include <ostream>

#include "azurepass/cli/internal/commands.h"
#include "azurepass/settings/settings.h"

namespace azurepass::cli::internal {
namespace {

// A cell's file has partitions; a process's file names its member.
bool LooksLikeCell(const std::string& file, Streams& streams) {
  auto read = ReadDocument(file, streams);
  const auto* document = std::get_if<codec::Json>(&read);
  return document == nullptr || !document->contains("member");
}

template <class T, class Show>
ExitCode Report(Context& context, const settings::Loaded<T>& loaded,
                Show show) {
  return std::visit(Visitor{[&](const settings::Problem& problem) {
                              context.streams.err << problem.ToString() << "\n";
                              return ExitCode::kUsage;
                            },
                            [&](const T& valid) {
                              show(valid);
                              return ExitCode::kOk;
                            }},
                    loaded);
}

ExitCode Validate(Context& context) {
  const std::string& file = context.arguments[0];
  std::ostream& out = context.streams.out;
  if (!LooksLikeCell(file, context.streams)) {
    return Report(context, settings::LoadProcess(file),
                  [&](const settings::ProcessSettings& process) {
                    out << file << ": valid settings of process "
                        << process.member.value() << "\n";
                  });
  }
  return Report(context, settings::LoadCell(file),
                [&](const settings::CellSettings& cell) {
                  size_t workers = 0;
                  for (const auto& partition : cell.partitions) {
                    workers += partition.workers.size();
                  }
                  out << file << ": valid settings of a cell: "
                      << cell.partitions.size() << " partitions, " << workers
                      << " workers, " << cell.Zones().size() << " zones\n";
                });
}

}  // namespace

std::vector<Command> ValidateCommands() {
  return {{"validate", "SETTINGS",
           "checks the settings of a cell or of a process", Validate}};
}

}  // namespace azurepass::cli::internal
