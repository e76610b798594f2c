#include "cell.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <spawn.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <random>

namespace review {
namespace {

// A port that was free a moment ago, below the range from which the kernel
// picks the ports of connections, so that it stays free over a restart. Scripts
// that run beside each other begin at different places.
int FreePort() {
  static int next = 20'000 + getpid() * 64 % 11'968;
  while (true) {
    const int port = next++;
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<uint16_t>(port));
    const bool free = bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
    close(fd);
    if (free) return port;
  }
}

std::string At(int port) { return "127.0.0.1:" + std::to_string(port); }

}  // namespace

Record::Record(const std::string& path) : start_(SteadyMs()), file_(fopen(path.c_str(), "w")) {}
Record::~Record() { fclose(file_); }
void Record::Line(const std::string& text) {
  const std::lock_guard lock(mutex_);
  fprintf(file_, "%7.3f %s\n", static_cast<double>(Now()) / 1000, text.c_str());
  fflush(file_);
}

std::string NewId() {
  static std::mutex mutex;
  static std::mt19937_64 random(std::random_device{}());
  const std::lock_guard lock(mutex);
  char text[17];
  snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(random()));
  return text;
}

Cell::Cell(Options options) : options_(std::move(options)), record_(options_.folder + "/record.txt") {
  std::string pattern = std::filesystem::temp_directory_path() / "azurepass-review-XXXXXX";
  temp_ = mkdtemp(pattern.data());
  store_ = std::make_unique<Store>(options_.nodes);
}

int Cell::Finish(int result) {
  record_.Line(result == 0   ? "the rule held"
               : result == 1 ? "the rule was broken"
                             : "the case could not run");
  for (size_t i = 0; i < nodes_.size(); ++i) Kill(static_cast<int>(i));
  std::filesystem::remove_all(temp_);
  std::_Exit(result);
}

void Cell::WriteConfiguration(const std::vector<Route>& routes) {
  Json list = Json::array(), services = Json::array();
  for (const Route& route : routes) {
    list.push_back({{"name", route.name},
                    {"host", host()},
                    {"prefix", route.prefix},
                    {"kind", "unsafe"},
                    {"timeoutMs", 3000},
                    {"sloMs", 3000},
                    {"priority", 1},
                    {"service", route.service},
                    {"maxAttempts", route.max_attempts},
                    {"stretch", 2.0},
                    {"public", false}});
    if (route.hint) {
      list.back()["hint"] = {{"decideMs", 15.0}, {"eachMs", 0.2}, {"validityMs", 2000}};
    }
  }
  for (const std::string& service : options_.services) {
    services.push_back({{"name", service},
                        {"healthPath", "/health"},
                        {"maxConns", 64},
                        {"protocol", "h1"},
                        {"tls", false},
                        {"coldStartS", 0.0},
                        {"coldPerS", 0.0},
                        {"preconditions", false},
                        {"standby", false}});
  }
  version_ += 3;
  const Json document = {{"version", version_},
                         {"routes", list},
                         {"services", services},
                         {"limits",
                          {{"maxHeaderBytes", 16384},
                           {"maxBodyBytes", 262144},
                           {"headerTimeoutMs", 3000},
                           {"idleTimeoutMs", 15000}}},
                         {"tenants",
                          {{{"name", tenant_.name},
                            {"apiKeys", {tenant_.key}},
                            {"priority", 1},
                            {"weight", 13},
                            {"cap", {{"cpu", 0}, {"memMb", 0}, {"gpus", 0}}}}}}};
  store_->Put("op/config", document.dump());
  std::string text;
  for (const Route& route : routes) {
    text += " " + route.name + " " + route.prefix + "->" + route.service;
  }
  record_.Line("configuration version=" + std::to_string(version_) + " acknowledged:" + text);
}

bool Cell::Begin(const std::vector<Route>& routes) {
  WriteConfiguration(routes);
  const char* zones[] = {"zone-a", "zone-b", "zone-c"};
  for (const std::string& service : options_.services) {
    for (int i = 0; i < options_.workers_per_service; ++i) {
      const std::string id = "i-" + NewId().substr(0, 8);
      workers_.push_back(std::make_unique<Worker>(
          id, service, zones[i % 3], "r" + service + "-" + std::to_string(i / 2), *store_, advice_,
          history_, record_));
    }
  }
  for (int i = 0; i < options_.nodes; ++i) {
    Node node;
    node.name = "front-" + std::string(zones[i % 3]) + "-" + std::to_string(1 + i / 3);
    node.zone = zones[i % 3];
    node.entry_port = FreePort();
    node.front_port = FreePort();
    node.ready_port = FreePort();
    node.metrics_port = FreePort();
    node.settings = temp_ + "/node-" + std::to_string(i) + ".json";
    // As deploy/node.json has it, filled in.
    const Json settings = {{"process",
                            {{"member", node.name},
                             {"zone", node.zone},
                             {"processors", 0.25},
                             {"entry_address", At(node.entry_port)},
                             {"http_address", At(node.front_port)}}},
                           {"ready_address", At(node.ready_port)},
                           {"store_address", store_->address(i)},
                           {"permit_address", advice_.address()},
                           {"metrics_address", At(node.metrics_port)},
                           {"zones", {"zone-a", "zone-b", "zone-c"}},
                           {"budgets", {{"snapshot_every", 400}, {"partition_workers", 126}}},
                           {"timing",
                            {{"worker_lease_ms", 6000},
                             {"worker_lease_limit_ms", 6000},
                             {"worker_lease_margin_ms", 3000},
                             {"worker_hold_ms", 2000},
                             {"freshness_max_age_ms", 3000},
                             {"store_timeout_ms", 1000},
                             {"append_spacing_ms", 10},
                             {"kept_after_end_ms", 120000}}}};
    std::ofstream(node.settings) << settings.dump(2);
    nodes_.push_back(node);
  }
  for (int i = 0; i < options_.nodes; ++i) Spawn(i);
  const int64_t until = SteadyMs() + 20'000;
  for (const Node& node : nodes_) {
    while (Call(node.ready_port, "GET", "/-/readiness", {{"Host", "x"}}, "", 500).status != 200) {
      if (SteadyMs() > until) return false;
      SleepMs(100);
    }
  }
  record_.Line("all nodes are ready");
  // Work is taken once the workers are known.
  for (const Route& route : routes) {
    if (!Submit(route.prefix + NewId(), {{"spec", "ms=50"}, {"steps", {{{"count", 1}, {"cpu", 100}, {"memMb", 16}}}}},
                40)) {
      return false;
    }
  }
  return true;
}

void Cell::Spawn(int index) {
  Node& node = nodes_[static_cast<size_t>(index)];
  const std::string program = options_.root + "/target/bin/azurepass-node";
  const std::string argument = "--settings=" + node.settings;
  const std::string log = temp_ + "/node-" + std::to_string(index) + ".log";
  const pid_t pid = fork();
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, 1);
    dup2(out, 2);
    if (chdir(options_.root.c_str()) != 0) _exit(127);
    setenv("AZUREPASS_CONFIG", node.settings.c_str(), 1);
    execl(program.c_str(), program.c_str(), argument.c_str(), nullptr);
    _exit(127);
  }
  node.pid = pid;
  record_.Line("node " + node.name + " started");
}

void Cell::Kill(int index) {
  Node& node = nodes_[static_cast<size_t>(index)];
  if (node.pid <= 0) return;
  kill(node.pid, SIGKILL);
  waitpid(node.pid, nullptr, 0);
  node.pid = -1;
  record_.Line("node " + node.name + " killed");
}

void Cell::Signal(int index, int signal) {
  const Node& node = nodes_[static_cast<size_t>(index)];
  if (node.pid > 0) kill(node.pid, signal);
  record_.Line("node " + node.name + " got signal " + std::to_string(signal));
}

Answer Cell::Ask(int index, const std::string& method, const std::string& path, const Json& body,
                 int timeout_ms) {
  const Node& node = nodes_[static_cast<size_t>(index)];
  const int64_t sent = record_.Now();
  Answer answer = Call(node.front_port, method, path,
                       {{"Host", host()},
                        {"X-Api-Key", tenant_.key},
                        {"Deadline-Remaining", std::to_string(timeout_ms)}},
                       body.is_null() ? "" : body.dump(), timeout_ms);
  record_.Line(method + " " + path + " at " + node.name + " sent " + std::to_string(sent) + " ms -> " +
               (answer.status == 0 ? "no answer" : std::to_string(answer.status) + " " + answer.body));
  return answer;
}

bool Cell::Submit(const std::string& path, const Json& job, int tries) {
  for (int i = 0; i < tries; ++i) {
    const Answer answer = Ask(i % static_cast<int>(size()), "POST", path, job);
    if (answer.status >= 200 && answer.status < 300) return true;
    SleepMs(300);
  }
  return false;
}

std::string Cell::StateOf(const std::string& path, int tries) {
  for (int i = 0; i < tries; ++i) {
    const Answer answer = Ask(i % static_cast<int>(size()), "GET", path);
    if (answer.status == 410) return "410";
    if (answer.status == 404) return "404";
    if (answer.status == 200) return Json::parse(answer.body).value("state", "");
    SleepMs(300);
  }
  return "";
}

int Cell::StartsOf(const std::string& prefix) {
  const std::lock_guard lock(history_.mutex);
  int count = 0;
  for (const Start& start : history_.starts) count += start.task.starts_with(prefix) ? 1 : 0;
  return count;
}

}  // namespace review
