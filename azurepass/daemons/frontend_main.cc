// azurepass-frontend: serves callers and operators on an entry VM. It keeps
// nothing that must last.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <glog/logging.h>

#include <cstdio>
#include <optional>

#include "azurepass/daemons/frontend.h"
#include "azurepass/daemons/process.h"

ABSL_FLAG(std::string, cell, "", "the cell's settings file");
ABSL_FLAG(std::string, settings, "", "this process's settings file");
ABSL_FLAG(int64_t, leave_delay_ms, 2'000,
          "at shutdown: milliseconds between the first \"no\" of /readyz and "
          "the end of listening");
ABSL_FLAG(int64_t, drain_timeout_ms, 20'000,
          "at shutdown: milliseconds that open requests get to end");

namespace azurepass::daemons {
namespace {

int Run() {
  const auto settings =
      LoadSettings(absl::GetFlag(FLAGS_cell), absl::GetFlag(FLAGS_settings));
  if (!settings) return settings::kExitBadSettings;
  FrontendOptions options;
  options.leave_delay = Duration(absl::GetFlag(FLAGS_leave_delay_ms));
  options.drain_timeout = Duration(absl::GetFlag(FLAGS_drain_timeout_ms));

  task::Loop loop;
  std::optional<Frontend> frontend;
  const SignalTask signals(
      loop, {[&] { frontend->Shutdown([&loop] { loop.Quit(); }); },
             [&] {
               LogReload(settings::LoadProcess(absl::GetFlag(FLAGS_settings)),
                         settings->process);
             }});
  frontend.emplace(loop, *settings, options);
  if (!frontend->listening()) return kExitFailure;
  LOG(INFO) << "event=started member=" << settings->process.member.value()
            << " callers=" << frontend->callers_on()
            << " operators=" << frontend->operators_on()
            << " entry=" << frontend->entry_on();
  std::printf("listening caller=%s operator=%s entry=%s\n",
              frontend->callers_on().c_str(), frontend->operators_on().c_str(),
              frontend->entry_on().c_str());
  std::fflush(stdout);
  loop.Run();
  return kExitOk;
}

}  // namespace
}  // namespace azurepass::daemons

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "serves callers and operators of a cell\n"
      "  azurepass-frontend --cell=cell.json --settings=frontend.json\n"
      "Exit codes: 0 after a shutdown, 1 when it can't listen, 2 for bad "
      "settings.");
  absl::ParseCommandLine(argc, argv);
  azurepass::daemons::StartLogging(argv[0]);
  return azurepass::daemons::Run();
}
