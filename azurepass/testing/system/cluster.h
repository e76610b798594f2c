// A whole cell on loopback for system tests: stand-ins for the platform,
// frontends and schedulers, each a process of its own on ports of the kernel's
// choice, with settings written to a folder of its own.

#ifndef AZUREPASS_TESTING_SYSTEM_CLUSTER_H_
#define AZUREPASS_TESTING_SYSTEM_CLUSTER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "azurepass/core/core.h"
#include "azurepass/testing/system/http_call.h"
#include "azurepass/testing/system/pause.h"
#include "azurepass/testing/system/process.h"

namespace azurepass::testing {

struct ClusterOptions {
  std::string binaries;  // Folder of the programs.
  int frontends = 2;
  int schedulers = 2;
  int partitions = 1;
  int workers_per_partition = 6;
  int zones = 3;
  Resources worker_capacity{8, 64, 32'000, 65'536, 0};
  nlohmann::json timing = nlohmann::json::object();  // Of the cell's settings.
  nlohmann::json budgets = nlohmann::json::object();
};

// What a worker's history says of one attempt.
struct AttemptRun {
  VmId vm;
  AttemptId attempt;
  Duration started{0};  // On the workers' common monotonic clock.
  Duration ended{0};    // Duration::max() while it runs.
  std::string outcome;
};

class Cluster {
 public:
  explicit Cluster(ClusterOptions options);
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  // Starts everything and waits until a frontend, if there is one, is ready.
  // False: see logs.
  bool Start(Duration patience);

  // --- Processes, by index. Killing and starting again keeps the settings.
  Process& scheduler(int index) { return *schedulers_[index]; }
  Process& frontend(int index) { return *frontends_[index]; }
  Process& standin() { return *standin_; }
  void StartScheduler(int index);
  void StartFrontend(int index);

  // --- Calls
  const std::string& caller_address(int frontend) const;
  const std::string& operator_address(int frontend) const;
  // Operators' calls carry the operators' key.
  HttpAnswer Operate(int frontend, const std::string& method,
                     const std::string& target,
                     const nlohmann::json& body = nullptr);
  HttpAnswer Call(int frontend, const std::string& method,
                  const std::string& target, const std::string& key,
                  const nlohmann::json& body = nullptr);

  // Puts a contract for the team with all zones and one queue a service, and
  // returns a key for it. Empty when it was refused.
  std::string AddTeam(const std::string& team, const nlohmann::json& limit);

  // Sets a fault of "store", "vmlist" or a VM at the stand-in.
  HttpAnswer SetFault(const std::string& target, const nlohmann::json& fault);

  // Sets what the VM list says of a VM: "live", "leaving" or "gone".
  HttpAnswer SetVmState(const VmId& vm, const std::string& state);

  // What all workers ran so far.
  std::vector<AttemptRun> History();
  // Orders by which an owner broke a promise towards a worker, as the workers
  // noted them.
  std::vector<std::string> Violations();
  // Calls of the store so far, by kind.
  nlohmann::json StoreStats();
  // Of all values whose keys begin with the prefix.
  int64_t StoreBytes(const std::string& prefix);

  const std::vector<VmId>& vms() const { return vms_; }
  const std::string& worker_address(const VmId& vm) const;
  const ClusterOptions& options() const { return options_; }
  std::vector<std::string> zones() const;
  const std::string& folder() const { return folder_; }

 private:
  nlohmann::json WorkerGroupSpecs() const;
  bool StartStandin();
  void WriteCell();
  std::string WriteProcess(const std::string& name, bool frontend);
  std::string Path(const std::string& name) const;
  bool WaitReady(Duration patience);

  const ClusterOptions options_;
  std::string folder_;
  HttpCaller http_;
  std::unique_ptr<Process> standin_;
  std::map<std::string, std::string> standin_addresses_;
  std::vector<VmId> vms_;
  std::vector<std::unique_ptr<Process>> schedulers_;
  std::vector<std::unique_ptr<Process>> frontends_;
  std::vector<std::map<std::string, std::string>> frontend_addresses_;
};

}  // namespace azurepass::testing

#endif  // AZUREPASS_TESTING_SYSTEM_CLUSTER_H_
