// Child processes by GSubprocess.

#include "azurepass/testing/system/process.h"

#include <sys/prctl.h>

#include <csignal>
#include <memory>
#include <sstream>
#include <utility>

namespace azurepass::testing {

Process::Process(const std::vector<std::string>& arguments,
                 const std::string& log_file, Output output)
    : destroyed_(g_cancellable_new()) {
  std::vector<const char*> argv;
  argv.reserve(arguments.size() + 1);
  for (const std::string& argument : arguments) {
    argv.push_back(argument.c_str());
  }
  argv.push_back(nullptr);
  const bool pipe = output == Output::kPipe;
  GSubprocessLauncher* launcher = g_subprocess_launcher_new(
      pipe ? G_SUBPROCESS_FLAGS_STDOUT_PIPE : G_SUBPROCESS_FLAGS_STDERR_MERGE);
  if (pipe) {
    g_subprocess_launcher_set_stderr_file_path(launcher, log_file.c_str());
  } else {
    g_subprocess_launcher_set_stdout_file_path(launcher, log_file.c_str());
  }
  // Nothing of a test that is killed stays behind.
  g_subprocess_launcher_set_child_setup(
      launcher, [](gpointer /*unused*/) { prctl(PR_SET_PDEATHSIG, SIGKILL); },
      nullptr, nullptr);
  GError* error = nullptr;
  process_ = g_subprocess_launcher_spawnv(launcher, argv.data(), &error);
  g_object_unref(launcher);
  if (process_ == nullptr) {
    g_printerr("can't start %s: %s\n", arguments[0].c_str(), error->message);
    g_clear_error(&error);
    return;
  }
  if (!pipe) return;
  output_ = g_data_input_stream_new(g_subprocess_get_stdout_pipe(process_));
}

Process::~Process() {
  g_cancellable_cancel(destroyed_);
  if (running()) {
    Signal(SIGCONT);
    Signal(SIGKILL);
    g_subprocess_wait(process_, nullptr, nullptr);
  }
  g_clear_object(&output_);
  g_clear_object(&process_);
  g_object_unref(destroyed_);
}

void Process::NotifyEnd(std::function<void()> callback) {
  if (process_ == nullptr) return;
  g_subprocess_wait_async(
      process_, destroyed_,
      [](GObject* process, GAsyncResult* result, gpointer data) {
        const std::unique_ptr<std::function<void()>> callback(
            static_cast<std::function<void()>*>(data));
        // False when it was cancelled.
        if (g_subprocess_wait_finish(G_SUBPROCESS(process), result, nullptr)) {
          (*callback)();
        }
      },
      new std::function<void()>(std::move(callback)));
}

std::map<std::string, std::string> Process::ReadAnnouncement() {
  std::map<std::string, std::string> announced;
  if (output_ == nullptr) return announced;
  char* line =
      g_data_input_stream_read_line_utf8(output_, nullptr, nullptr, nullptr);
  std::istringstream words(line == nullptr ? "" : line);
  g_free(line);
  std::string word;
  while (words >> word) {
    const size_t equals = word.rfind('=');
    if (equals == std::string::npos) continue;
    announced[word.substr(0, equals)] = word.substr(equals + 1);
  }
  return announced;
}

void Process::Signal(int signal) {
  if (process_ != nullptr) g_subprocess_send_signal(process_, signal);
}

int Process::Wait() {
  if (process_ == nullptr) return -1;
  g_subprocess_wait(process_, nullptr, nullptr);
  if (!g_subprocess_get_if_exited(process_)) return -1;
  return g_subprocess_get_exit_status(process_);
}

bool Process::running() const {
  return process_ != nullptr &&
         g_subprocess_get_identifier(process_) != nullptr;
}

std::string Process::id() const {
  return running() ? g_subprocess_get_identifier(process_) : "";
}

}  // namespace azurepass::testing
