// Stand-ins for the platform: the configuration store, the VM list and the
// workers, for tests and the demo. They speak the protocols that our clients
// speak, keep everything in memory and can be told to fail in each way that
// the platform fails; see internal/faults.h.
//
// Usage: construct a Standin on a task::Loop, call Listen (before the loop
// runs, or on it) and use the addresses it returns. In a process of its own it
// is azurepass-standin.
//
// The control address takes POST /v1/faults?target=T, T being "store", "vmlist"
// or a VM; it answers once the fault is in force. POST /v1/vms?vm=V&state=S has
// a VM "leaving" (in the list alone), "gone" (its worker, too, is no more) or
// "replaced" (a new worker listens at the same address and knows nothing).

#ifndef AZUREPASS_TESTING_STANDIN_STANDIN_H_
#define AZUREPASS_TESTING_STANDIN_STANDIN_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "azurepass/core/core.h"
#include "azurepass/task/task.h"

namespace azurepass::testing {

struct StandinOptions {
  bool store = true;
  bool vmlist = true;
  bool workers = true;
  // Each worker listens at the address its spec names.
  std::vector<WorkerSpec> cell;
  // How far the VM list lags behind at first.
  Duration vmlist_lag{0};
  // Changes that a watch of the store can go back.
  int64_t store_history = 10'000;
};

// Where each part listens, "IP:PORT".
struct StandinAddresses {
  std::string control;
  std::string store;
  std::string vmlist;
  std::map<VmId, std::string> workers;
};
struct StandinProblem {
  std::string message;
};

class Standin {
 public:
  Standin(task::Loop& loop, StandinOptions options);
  ~Standin();
  Standin(const Standin&) = delete;
  Standin& operator=(const Standin&) = delete;

  // Opens all listeners: the first part of the roles at `address`, the others
  // at ports of the kernel's choice on the same IP, the control address last.
  std::variant<StandinAddresses, StandinProblem> Listen(
      const std::string& address);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace azurepass::testing

#endif  // AZUREPASS_TESTING_STANDIN_STANDIN_H_
