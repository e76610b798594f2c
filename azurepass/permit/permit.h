// The service that issues permits: some queues have a policy that allows only
// some workers to run a step, and only this service knows which ones.
//
// It decides slowly, and answers the calls of one VM in turn, but those of
// several VMs at the same time. So a Broker spreads the questions of the
// partitions that this process owns over all our VMs: to each its own calls,
// and no more at once than are decided within kMaxBacklog.
//
// Usage: construct a Broker with the address of the local service and of the
// entry client, tell it of the other members, and send it Questions. Each is
// answered exactly once.

#ifndef AZUREPASS_PERMIT_PERMIT_H_
#define AZUREPASS_PERMIT_PERMIT_H_

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "azurepass/core/core.h"
#include "azurepass/entry/entry.h"
#include "azurepass/partition/partition.h"
#include "azurepass/task/task.h"

namespace azurepass::permit {

struct Issued {
  std::vector<partition::Permit> permits;  // Workers without one are denied.
  Duration validity{0};                    // From the answer on.
};
struct Failed {
  std::string message;
};
using Answer = std::variant<Issued, Failed>;

// Put to the service from this VM.
struct Question {
  JobId job;
  std::vector<VmId> workers;
  Duration timeout{0};
  task::Address<Answer> reply_to;
};

// The other members that may ask; replaces those told before.
struct PeersChanged {
  std::vector<std::string> addresses;  // "IP:PORT" of their entry servers.
};

struct Options {
  // Of decisions that are waited for at one VM; further questions wait here.
  Duration max_backlog{600};
  Duration slack{1'000};  // Beyond the time that the service takes.
  uint64_t seed = 1;      // Of the order among VMs with equal backlogs.
};

// A question with what it costs the service.
struct Ask {
  JobId job;
  std::vector<VmId> workers;
  Duration cost{0};
  task::Address<Answer> reply_to;
};
using Message = std::variant<Ask, PeersChanged>;

class Broker {
 public:
  Broker(task::Loop& loop, Options options, task::Address<Question> service,
         task::Address<entry::Call> peers);
  ~Broker();
  Broker(const Broker&) = delete;
  Broker& operator=(const Broker&) = delete;

  task::Address<Message> address() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace azurepass::permit

#endif  // AZUREPASS_PERMIT_PERMIT_H_
