// Settings files, start order and calls of a loopback cell.

#include "azurepass/testing/system/cluster.h"

#include <glib/gstdio.h>

#include <chrono>
#include <fstream>

#include "azurepass/testing/system/pause.h"

namespace azurepass::testing {
namespace {

using Json = nlohmann::json;
using Clock = BootClock;

constexpr char kOperatorKey[] = "operators-key-of-the-test-cell";
constexpr Duration kCallTimeout{30'000};
constexpr Duration kReadyPoll{50};
constexpr int kListLimit = 5'000;

std::string Sha256(const std::string& text) {
  char* hash = g_compute_checksum_for_string(G_CHECKSUM_SHA256, text.c_str(),
                                             static_cast<gssize>(text.size()));
  std::string result = hash;
  g_free(hash);
  return result;
}

Json CapacityJson(const Resources& capacity) {
  Json json;
  for (Dimension d : kAllDimensions) {
    json[std::string(DimensionName(d))] = capacity[d];
  }
  return json;
}

void WriteFile(const std::string& path, const Json& content) {
  std::ofstream(path) << content.dump(2) << "\n";
}

}  // namespace

Cluster::Cluster(ClusterOptions options)
    : options_(std::move(options)), http_(kCallTimeout) {
  char* folder = g_dir_make_tmp("azurepass-XXXXXX", nullptr);
  folder_ = folder;
  g_free(folder);
}

Cluster::~Cluster() {
  frontends_.clear();
  schedulers_.clear();
  standin_.reset();
}

std::string Cluster::Path(const std::string& name) const {
  return folder_ + "/" + name;
}

std::vector<std::string> Cluster::zones() const {
  std::vector<std::string> zones;
  zones.reserve(options_.zones);
  for (int z = 0; z < options_.zones; ++z) {
    zones.push_back("zone-" + std::to_string(z));
  }
  return zones;
}

nlohmann::json Cluster::WorkerGroupSpecs() const {
  Json workers = Json::array();
  for (int p = 0; p < options_.partitions; ++p) {
    for (int w = 0; w < options_.workers_per_partition; ++w) {
      const std::string zone = std::to_string(w % options_.zones);
      const std::string partition = std::to_string(p);
      std::string vm = "w-";
      vm.append(partition).append("-").append(std::to_string(w));
      std::string rack = "rack-";
      rack.append(partition).append("-").append(zone);
      workers.push_back({{"vm", vm},
                         {"zone", "zone-" + zone},
                         {"rack", rack},
                         {"service", "intake"},
                         {"address", "127.0.0.1:0"},
                         {"capacity", CapacityJson(options_.worker_capacity)}});
    }
  }
  return workers;
}

bool Cluster::StartStandin() {
  WriteFile(Path("workers.json"), {{"workers", WorkerGroupSpecs()}});
  standin_ = std::make_unique<Process>(
      std::vector<std::string>{options_.binaries + "/azurepass-standin",
                               "--listen=127.0.0.1:0",
                               "--cell=" + Path("workers.json")},
      Path("standin.log"));
  standin_addresses_ = standin_->ReadAnnouncement();
  return standin_addresses_.contains("store");
}

void Cluster::WriteCell() {
  Json partitions = Json::array();
  Json workers = WorkerGroupSpecs();
  size_t next = 0;
  for (int p = 0; p < options_.partitions; ++p) {
    Json own = Json::array();
    for (int w = 0; w < options_.workers_per_partition; ++w, ++next) {
      Json& worker = workers[next];
      const std::string vm = worker["vm"];
      worker["address"] = standin_addresses_["worker=" + vm];
      vms_.emplace_back(vm);
      own.push_back(worker);
    }
    partitions.push_back({{"id", "intake-" + std::to_string(p)},
                          {"service", "intake"},
                          {"workers", own}});
  }
  WriteFile(Path("cell.json"),
            {{"store_address", standin_addresses_["store"]},
             {"vm_list_address", standin_addresses_["vmlist"]},
             {"partitions", partitions},
             {"timing", options_.timing},
             {"budgets", options_.budgets}});
}

std::string Cluster::WriteProcess(const std::string& name, bool frontend) {
  Json process = {
      {"member", name}, {"zone", "zone-0"}, {"entry_address", "127.0.0.1:0"}};
  if (frontend) {
    process["http_address"] = "127.0.0.1:0";
    process["operator_address"] = "127.0.0.1:0";
    process["operator_key_sha256"] = Sha256(kOperatorKey);
  }
  WriteFile(Path(name + ".json"), process);
  return Path(name + ".json");
}

void Cluster::StartScheduler(int index) {
  const std::string name = "scheduler-" + std::to_string(index);
  schedulers_[index].reset();
  schedulers_[index] = std::make_unique<Process>(
      std::vector<std::string>{options_.binaries + "/azurepass-scheduler",
                               "--cell=" + Path("cell.json"),
                               "--settings=" + WriteProcess(name, false)},
      Path(name + ".log"));
  schedulers_[index]->ReadAnnouncement();
}

void Cluster::StartFrontend(int index) {
  const std::string name = "frontend-" + std::to_string(index);
  frontends_[index].reset();
  frontends_[index] = std::make_unique<Process>(
      std::vector<std::string>{options_.binaries + "/azurepass-frontend",
                               "--cell=" + Path("cell.json"),
                               "--settings=" + WriteProcess(name, true)},
      Path(name + ".log"));
  frontend_addresses_[index] = frontends_[index]->ReadAnnouncement();
}

bool Cluster::Start(Duration patience) {
  if (!StartStandin()) return false;
  WriteCell();
  schedulers_.resize(options_.schedulers);
  frontends_.resize(options_.frontends);
  frontend_addresses_.resize(options_.frontends);
  for (int i = 0; i < options_.schedulers; ++i) StartScheduler(i);
  for (int i = 0; i < options_.frontends; ++i) StartFrontend(i);
  return options_.frontends == 0 || WaitReady(patience);
}

bool Cluster::WaitReady(Duration patience) {
  const auto deadline = Clock::now() + patience;
  while (Clock::now() < deadline) {
    if (Call(0, "GET", "/readyz", "").status == SOUP_STATUS_OK) return true;
    Pause(kReadyPoll);
  }
  return false;
}

const std::string& Cluster::caller_address(int frontend) const {
  return frontend_addresses_[frontend].at("caller");
}

const std::string& Cluster::operator_address(int frontend) const {
  return frontend_addresses_[frontend].at("operator");
}

HttpAnswer Cluster::Operate(int frontend, const std::string& method,
                            const std::string& target, const Json& body) {
  return http_.Call(method, operator_address(frontend), target, kOperatorKey,
                    body.is_null() ? "" : body.dump());
}

HttpAnswer Cluster::Call(int frontend, const std::string& method,
                         const std::string& target, const std::string& key,
                         const Json& body) {
  return http_.Call(method, caller_address(frontend), target, key,
                    body.is_null() ? "" : body.dump());
}

std::string Cluster::AddTeam(const std::string& team, const Json& limit) {
  Json contract = {{"team", team},
                   {"zones", zones()},
                   {"queues", {{{"name", "work"}, {"service", "intake"}}}}};
  if (!limit.is_null()) contract["upper_limit"] = limit;
  HttpAnswer answer = Operate(0, "PUT", "/v1/contracts/" + team, contract);
  if (answer.status / 100 != 2) return "";
  answer = Operate(0, "POST", "/v1/keys", {{"team", team}});
  if (answer.status / 100 != 2) return "";
  return answer.body.value("secret", "");
}

HttpAnswer Cluster::SetFault(const std::string& target, const Json& fault) {
  return http_.Call("POST", standin_addresses_["control"],
                    "/v1/faults?target=" + target, "", fault.dump());
}

HttpAnswer Cluster::SetVmState(const VmId& vm, const std::string& state) {
  std::string target = "/v1/vms?vm=";
  target.append(vm.value()).append("&state=").append(state);
  return http_.Call("POST", standin_addresses_["control"], target, "", "{}");
}

std::vector<AttemptRun> Cluster::History() {
  std::vector<AttemptRun> runs;
  for (const VmId& vm : vms_) {
    const HttpAnswer answer = http_.Call(
        "GET", standin_addresses_["worker=" + vm.value()], "/v1/history");
    if (!answer.body.is_object()) continue;
    for (const Json& run : answer.body.value("attempts", Json::array())) {
      const auto attempt = ParseAttemptId(run.value("attempt", ""));
      if (!attempt) continue;
      const bool ended = run.contains("end_ms") && !run["end_ms"].is_null();
      runs.push_back(
          {vm, *attempt, Duration(run.value("start_ms", int64_t{0})),
           ended ? Duration(run["end_ms"].get<int64_t>()) : Duration::max(),
           run.value("outcome", "")});
    }
  }
  return runs;
}

std::vector<std::string> Cluster::Violations() {
  std::vector<std::string> violations;
  for (const VmId& vm : vms_) {
    const HttpAnswer answer = http_.Call(
        "GET", standin_addresses_["worker=" + vm.value()], "/v1/history");
    if (!answer.body.is_object()) continue;
    for (const Json& line : answer.body.value("violations", Json::array())) {
      violations.push_back(vm.value() + ": " + line.get<std::string>());
    }
  }
  return violations;
}

nlohmann::json Cluster::StoreStats() {
  return http_.Call("GET", standin_addresses_["store"], "/v1/stats").body;
}

int64_t Cluster::StoreBytes(const std::string& prefix) {
  int64_t bytes = 0;
  const HttpAnswer answer =
      http_.Call("GET", standin_addresses_["store"],
                 "/v1/range?from=&limit=" + std::to_string(kListLimit) +
                     "&prefix=" + prefix);
  if (!answer.body.is_object()) return 0;
  for (const Json& entry : answer.body.value("entries", Json::array())) {
    bytes += static_cast<int64_t>(entry.value("value", "").size());
  }
  return bytes;
}

const std::string& Cluster::worker_address(const VmId& vm) const {
  return standin_addresses_.at("worker=" + vm.value());
}

}  // namespace azurepass::testing
