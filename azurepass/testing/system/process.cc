// Child processes by GSubprocess.

#include "azurepass/testing/system/process.h"

#include <csignal>
#include <sstream>

namespace azurepass::testing {

Process::Process(const std::vector<std::string>& arguments,
                 const std::string& log_file) {
  std::vector<const char*> argv;
  argv.reserve(arguments.size() + 1);
  for (const std::string& argument : arguments) {
    argv.push_back(argument.c_str());
  }
  argv.push_back(nullptr);
  GSubprocessLauncher* launcher =
      g_subprocess_launcher_new(G_SUBPROCESS_FLAGS_STDOUT_PIPE);
  g_subprocess_launcher_set_stderr_file_path(launcher, log_file.c_str());
  GError* error = nullptr;
  process_ = g_subprocess_launcher_spawnv(launcher, argv.data(), &error);
  g_object_unref(launcher);
  if (process_ == nullptr) {
    g_printerr("can't start %s: %s\n", arguments[0].c_str(), error->message);
    g_clear_error(&error);
    return;
  }
  output_ = g_data_input_stream_new(g_subprocess_get_stdout_pipe(process_));
}

Process::~Process() {
  if (running()) {
    Signal(SIGCONT);
    Signal(SIGKILL);
    g_subprocess_wait(process_, nullptr, nullptr);
  }
  g_clear_object(&output_);
  g_clear_object(&process_);
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
