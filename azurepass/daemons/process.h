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

// Logs go to standard error, one line an event.
void StartLogging(const char* program);
// From now on lines go to a logging::Writer alone, but for fatal ones.
void LogToWriterAlone();

// Calls back on the loop at the first SIGTERM or SIGINT; a second one ends the
// process at once. SIGHUP, the notice of a changed settings file, is logged:
// unhandled it would end the process.
class SignalTask {
 public:
  SignalTask(task::Loop& loop, std::function<void()> on_terminate);
  ~SignalTask();
  SignalTask(const SignalTask&) = delete;
  SignalTask& operator=(const SignalTask&) = delete;

 private:
  static gboolean OnSignal(gpointer self);
  static gboolean OnHangup(gpointer self);
  void Listen(task::Loop& loop, int signal, GSourceFunc handler);

  std::function<void()> on_terminate_;
  std::vector<GSource*> sources_;
  bool asked_ = false;
};

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
