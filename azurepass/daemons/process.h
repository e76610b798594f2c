// What the daemons have in common: settings, logs, signals, and how the cell's
// settings become the options of each task.

#ifndef AZUREPASS_DAEMONS_PROCESS_H_
#define AZUREPASS_DAEMONS_PROCESS_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "azurepass/configuration/configuration.h"
#include "azurepass/core/core.h"
#include "azurepass/entry/entry.h"
#include "azurepass/httpserver/httpserver.h"
#include "azurepass/membership/membership.h"
#include "azurepass/settings/settings.h"
#include "azurepass/store/store.h"
#include "azurepass/task/task.h"

namespace azurepass::daemons {

inline constexpr int kExitOk = 0;
inline constexpr int kExitFailure = 1;

// Both files of a daemon.
struct AllSettings {
  settings::CellSettings cell;
  settings::ProcessSettings process;
};

// Loads both files. On a problem prints one line and returns nothing; the
// process then ends with settings::kExitBadSettings.
std::optional<AllSettings> LoadSettings(const std::string& cell_file,
                                        const std::string& process_file);

// The line of LogReload. `problem` is null when the file is valid.
void LogReloadOutcome(const settings::Problem* problem, bool same);

// Logs go to standard error, one line an event.
void StartLogging(const char* program);
// From now on lines go to a logging::Writer alone, but for fatal ones.
void LogToWriterAlone();

// What the process does on a signal; called on the loop.
struct SignalHandlers {
  std::function<void()> terminate;  // The first SIGTERM or SIGINT.
  std::function<void()> reload;     // Every SIGHUP.
};

// Receives the process's signals. A further SIGTERM changes nothing: whoever
// sent the first one kills the process if it takes too long. A second SIGINT,
// from a terminal, ends the process at once. Construct it before what takes
// connections: until then SIGHUP ends the process.
class SignalTask {
 public:
  SignalTask(task::Loop& loop, SignalHandlers handlers);
  ~SignalTask();
  SignalTask(const SignalTask&) = delete;
  SignalTask& operator=(const SignalTask&) = delete;

 private:
  static gboolean OnTerminate(gpointer self);
  static gboolean OnInterrupt(gpointer self);
  void Terminate(const char* signal);
  static gboolean OnReload(gpointer self);
  void Listen(task::Loop& loop, int signal, GSourceFunc function);

  const SignalHandlers handlers_;
  std::vector<GSource*> sources_;
  bool asked_ = false;  // To terminate.
  bool interrupted_ = false;
};

// Logs how the settings file, read anew, compares with what the process runs
// with. A process takes its settings at its start: a file with a problem is
// rejected, and one with changes takes effect at the next start.
template <class T>
void LogReload(const settings::Loaded<T>& loaded, const T& current) {
  LogReloadOutcome(std::get_if<settings::Problem>(&loaded),
                   loaded == settings::Loaded<T>(current));
}

// Of servers that listen on "IP:PORT", with their own bounds.
httpserver::Options HttpOptions(const std::string& address);
entry::ServerOptions EntryOptions(const std::string& address);
store::Options StoreOptions(const settings::CellSettings& cell);
configuration::Options KeeperOptions(const AllSettings& all);
membership::Options MembershipOptions(const settings::CellSettings& cell);
membership::MemberRecord SelfRecord(const settings::ProcessSettings& process,
                                    const std::string& entry_address,
                                    membership::Role role);
std::vector<PartitionId> PartitionIds(const settings::CellSettings& cell);

// A number no other process has: for seeds and nonces.
uint64_t RandomNumber();

}  // namespace azurepass::daemons

#endif  // AZUREPASS_DAEMONS_PROCESS_H_
