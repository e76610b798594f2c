// The platform's VM list: which VMs are live, which are about to leave. The
// list lags behind the truth, and a VM that is missing from it is gone.
//
// Usage: construct a Poller on a task::Loop; it asks for the list every
// `interval` and sends each answer, and each failure to get one, to
// `listener`.

#ifndef AZUREPASS_VMLIST_VMLIST_H_
#define AZUREPASS_VMLIST_VMLIST_H_

#include <map>
#include <memory>
#include <string>
#include <variant>

#include "azurepass/core/core.h"
#include "azurepass/task/task.h"

namespace azurepass::vmlist {

struct Options {
  std::string address;  // "IP:PORT".
  Duration interval{1'000};
  Duration request_timeout{2'000};
};

// The list as of the platform's `generation`, which only grows.
// `asked` is when the request was sent that brought it, or confirmed it.
struct Snapshot {
  int64_t generation = 0;
  MonotonicTime asked{};
  std::map<VmId, VmState> vms;
  // Workers that describe themselves to the list, beside those that the
  // settings name.
  std::map<VmId, WorkerSpec> workers{};
};
struct Unavailable {
  std::string message;
};
using Update = std::variant<Snapshot, Unavailable>;

class Poller {
 public:
  Poller(task::Loop& loop, Options options, task::Address<Update> listener);
  ~Poller();
  Poller(const Poller&) = delete;
  Poller& operator=(const Poller&) = delete;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace azurepass::vmlist

#endif  // AZUREPASS_VMLIST_VMLIST_H_
