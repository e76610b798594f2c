// A child process of a system test: started, signalled by its id, and always
// ended with the object, or with the thread that made it. Tests start
// processes; azurepass itself never does.

#ifndef AZUREPASS_TESTING_SYSTEM_PROCESS_H_
#define AZUREPASS_TESTING_SYSTEM_PROCESS_H_

#include <gio/gio.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "azurepass/core/core.h"

namespace azurepass::testing {

class Process {
 public:
  // Where standard output goes.
  enum class Output { kPipe, kLog };

  // Starts the program; its standard error goes to `log_file`, its standard
  // output there, too, or to ReadAnnouncement.
  Process(const std::vector<std::string>& arguments,
          const std::string& log_file, Output output = Output::kPipe);
  // Kills it, if it still runs, and waits for it.
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  // Reads the first line of standard output, "listening NAME=ADDRESS ...", into
  // a map. Blocks until the line or the end of the output; empty then.
  std::map<std::string, std::string> ReadAnnouncement();

  // Calls back on the present thread's loop once the process has ended, unless
  // this is destroyed before.
  void NotifyEnd(std::function<void()> callback);

  void Signal(int signal);
  // Waits for the end and returns the exit code, or -1 after a signal.
  int Wait();
  bool running() const;
  // The process id; empty when it does not run.
  std::string id() const;

 private:
  GSubprocess* process_ = nullptr;
  GDataInputStream* output_ = nullptr;
  GCancellable* destroyed_;
};

}  // namespace azurepass::testing

#endif  // AZUREPASS_TESTING_SYSTEM_PROCESS_H_
