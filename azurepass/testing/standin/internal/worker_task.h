// A stand-in worker: WorkerState behind HTTP and JSON.
//
//   POST /v1/exchange   see endpoint/internal/wire.h; 409 for a lower epoch
//   GET  /v1/history    every attempt with its start and end
//   POST /v1/faults     see faults.h

#ifndef AZUREPASS_TESTING_STANDIN_INTERNAL_WORKER_TASK_H_
#define AZUREPASS_TESTING_STANDIN_INTERNAL_WORKER_TASK_H_

#include <list>
#include <string>
#include <variant>

#include "azurepass/task/task.h"
#include "azurepass/testing/standin/internal/faulty_server.h"
#include "azurepass/testing/standin/internal/worker_state.h"

namespace azurepass::testing::internal {

// The VM is gone, or another one takes its place with the same address and
// nothing of the old one's state.
struct VmGone {};
struct VmReplaced {};
using WorkerMessage = std::variant<SetFault, VmGone, VmReplaced>;

class WorkerTask {
 public:
  WorkerTask(task::Loop& loop, WorkerSpec spec);

  std::variant<http::Server::Bound, http::Server::Problem> Listen(
      const std::string& address);
  task::Address<WorkerMessage> address() const { return mailbox_.address(); }

 private:
  struct Held {
    ExchangeRequest request;
    WorkerState::Admitted admitted;
    MonotonicTime until;
    Reply reply;
  };

  void Receive(const WorkerMessage& message);
  void Handle(const http::ServerRequest& request, const Reply& reply);
  void Exchange(const std::string& body, const Reply& reply);
  // Answers what need not be held any longer and sets the timer.
  void Settle();
  bool TryAnswer(const Held& held, MonotonicTime now);
  void Vanish();

  WorkerState state_;
  // Of former lives of this worker.
  std::vector<codec::Json> former_histories_;
  std::string listening_;
  std::list<Held> held_;
  task::Timer timer_;
  FaultyServer server_;
  task::Mailbox<WorkerMessage> mailbox_;
};

}  // namespace azurepass::testing::internal

#endif  // AZUREPASS_TESTING_STANDIN_INTERNAL_WORKER_TASK_H_
