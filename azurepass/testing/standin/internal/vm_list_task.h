// The stand-in VM list.
//
//   GET  /v1/vms?after=G              the list; 304 when its generation is G
//   POST /v1/vms?vm=V&state=S         live, leaving or gone, shown after the
//   lag POST /v1/vms?lag_ms=N             how far the list lags from now on
//   POST /v1/faults                   see faults.h

#ifndef AZUREPASS_TESTING_STANDIN_INTERNAL_VM_LIST_TASK_H_
#define AZUREPASS_TESTING_STANDIN_INTERNAL_VM_LIST_TASK_H_

#include <deque>
#include <optional>
#include <string>
#include <variant>

#include "azurepass/task/task.h"
#include "azurepass/testing/standin/internal/faulty_server.h"
#include "azurepass/vmlist/vmlist.h"

namespace azurepass::testing::internal {

struct SetVm {
  VmId vm;
  std::optional<VmState> state;  // Empty: gone.
};
using VmListMessage = std::variant<SetFault, SetVm>;

class VmListTask {
 public:
  VmListTask(task::Loop& loop, const std::vector<WorkerSpec>& cell,
             Duration lag);

  std::variant<http::Server::Bound, http::Server::Problem> Listen(
      const std::string& address) {
    return server_.Listen(address);
  }
  task::Address<VmListMessage> address() const { return mailbox_.address(); }

 private:
  struct Pending {
    MonotonicTime at;
    SetVm change;
  };

  void Receive(const VmListMessage& message);
  void Handle(const http::ServerRequest& request, const Reply& reply);
  void Set(const http::ServerRequest& request, const Reply& reply);
  void ApplyDue();

  Duration lag_;
  vmlist::Snapshot shown_;
  std::deque<Pending> pending_;  // In the order of their making.
  FaultyServer server_;
  task::Mailbox<VmListMessage> mailbox_;
};

}  // namespace azurepass::testing::internal

#endif  // AZUREPASS_TESTING_STANDIN_INTERNAL_VM_LIST_TASK_H_
