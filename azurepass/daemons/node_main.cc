// azurepass-node: serves callers and owns partitions on an entry VM of the
// platform. It keeps nothing that must last.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <glog/logging.h>

#include <cstdio>
#include <cstdlib>
#include <optional>

#include "azurepass/daemons/node.h"
#include "azurepass/daemons/process.h"
#include "azurepass/logging/logging.h"

ABSL_FLAG(std::string, settings, "", "the node's settings file");

namespace azurepass::daemons {
namespace {

int Run() {
  const auto loaded = settings::LoadNode(absl::GetFlag(FLAGS_settings));
  if (const auto* problem = std::get_if<settings::Problem>(&loaded)) {
    std::fprintf(stderr, "%s\n", problem->ToString().c_str());
    return settings::kExitBadSettings;
  }
  const auto& node_settings = std::get<settings::NodeSettings>(loaded);
  task::Loop loop;
  std::optional<logging::Writer> log(std::in_place, loop, logging::Options{});
  LogToWriterAlone();
  std::optional<Node> node;
  const SignalTask signals(
      loop, {[&] { node->Shutdown([&loop] { loop.Quit(); }); },
             [&] {
               LogReload(settings::LoadNode(absl::GetFlag(FLAGS_settings)),
                         node_settings);
             }});
  node.emplace(loop, node_settings);
  if (const std::string failed = node->not_listening(); !failed.empty()) {
    std::fprintf(stderr, "azurepass-node: can't listen on %s\n",
                 failed.c_str());
    return kExitFailure;
  }
  LOG(INFO) << "event=started member=" << node_settings.process.member.value()
            << " zone=" << node_settings.process.zone.value()
            << " callers=" << node_settings.process.http_address
            << " entry=" << node_settings.process.entry_address;
  loop.Run();
  // What is left has no one to answer to; its destructors would only take time.
  log.reset();
  std::fflush(nullptr);
  std::_Exit(kExitOk);
}

}  // namespace
}  // namespace azurepass::daemons

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "serves callers and owns partitions on the platform\n"
      "  azurepass-node --settings=node.json\n"
      "Exit codes: 0 after a shutdown, 1 when it can't listen, 2 for bad "
      "settings.");
  absl::ParseCommandLine(argc, argv);
  azurepass::daemons::StartLogging(argv[0]);
  return azurepass::daemons::Run();
}
