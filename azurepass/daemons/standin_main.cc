// azurepass-standin: small stand-ins for the platform's store, VM list and
// workers, for tests and the demo alone.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <glib-unix.h>

#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "azurepass/codec/codec.h"
#include "azurepass/task/task.h"
#include "azurepass/testing/standin/standin.h"

ABSL_FLAG(std::string, listen, "127.0.0.1:0",
          "IP:PORT of the first role; port 0 lets the kernel choose");
ABSL_FLAG(std::vector<std::string>, roles,
          std::vector<std::string>({"store", "vmlist", "workers"}),
          "any of store, vmlist, workers");
ABSL_FLAG(std::string, cell, "",
          "JSON file (comments allowed) with a list \"workers\"");

namespace azurepass {
namespace {

constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;

// What the cell file holds.
struct Cell {
  std::vector<WorkerSpec> workers;
};

}  // namespace

namespace codec {
template <>
struct Format<Cell> {
  static Cell Read(ObjectReader& reader) {
    return {reader.Objects<WorkerSpec>("workers")};
  }
};
}  // namespace codec

namespace {

int Complain(int code, const std::string& problem) {
  std::fprintf(stderr, "azurepass-standin: %s\n", problem.c_str());
  return code;
}

std::variant<Cell, codec::Error> ReadCell(const std::string& path) {
  if (path.empty()) return Cell{};
  const std::ifstream file(path);
  if (!file) {
    return codec::Error{codec::ErrorCode::kMalformed, path, "cannot be read"};
  }
  std::stringstream text;
  text << file.rdbuf();
  codec::ParseLimits limits;
  limits.max_bytes = size_t{16} << 20;
  limits.allow_comments = true;
  return codec::Try([&] { return codec::Decode<Cell>(text.str(), limits); });
}

bool ReadRoles(testing::StandinOptions& options) {
  options.store = options.vmlist = options.workers = false;
  for (const std::string& role : absl::GetFlag(FLAGS_roles)) {
    if (role == "store") {
      options.store = true;
    } else if (role == "vmlist") {
      options.vmlist = true;
    } else if (role == "workers") {
      options.workers = true;
    } else {
      return false;
    }
  }
  return true;
}

void Announce(const testing::StandinAddresses& addresses) {
  std::string line = "listening control=" + addresses.control;
  if (!addresses.store.empty()) line += " store=" + addresses.store;
  if (!addresses.vmlist.empty()) line += " vmlist=" + addresses.vmlist;
  for (const auto& [vm, address] : addresses.workers) {
    line += " worker=" + vm.value() + "=" + address;
  }
  std::printf("%s\n", line.c_str());
  std::fflush(stdout);
}

gboolean OnSignal(gpointer loop) {
  static_cast<task::Loop*>(loop)->Quit();
  return G_SOURCE_CONTINUE;
}

// Ends the loop on SIGTERM and SIGINT.
void QuitOnSignals(task::Loop& loop) {
  for (const int signal : {SIGTERM, SIGINT}) {
    GSource* source = g_unix_signal_source_new(signal);
    g_source_set_callback(source, OnSignal, &loop, nullptr);
    g_source_attach(source, loop.context());
    g_source_unref(source);
  }
}

int Run() {
  testing::StandinOptions options;
  if (!ReadRoles(options)) return Complain(kExitUsage, "--roles: unknown role");
  auto cell = ReadCell(absl::GetFlag(FLAGS_cell));
  if (const auto* error = std::get_if<codec::Error>(&cell)) {
    return Complain(kExitUsage, "--cell: " + error->ToString());
  }
  options.cell = std::get<Cell>(std::move(cell)).workers;
  task::Loop loop;
  testing::Standin standin(loop, std::move(options));
  const auto result = standin.Listen(absl::GetFlag(FLAGS_listen));
  if (const auto* problem = std::get_if<testing::StandinProblem>(&result)) {
    return Complain(kExitFailure, problem->message);
  }
  Announce(std::get<testing::StandinAddresses>(result));
  QuitOnSignals(loop);
  loop.Run();
  return 0;
}

}  // namespace
}  // namespace azurepass

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "Stand-ins for the platform's store, VM list and workers (tests only).");
  absl::ParseCommandLine(argc, argv);
  return azurepass::Run();
}
