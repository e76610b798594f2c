// Requests to the service that issues permits. Some queues have a policy that
// allows only certain workers to run a step, and only this service knows which
// ones.
//
// The service decides slowly. It handles the calls of one VM one after another,
// but those of several VMs concurrently. A Broker therefore spreads the
// requests of the partitions that this process owns over all VMs of the cell.
// At each VM it has no more requests outstanding than are decided within
// max_backlog, and fewer while requests fail there.
//
// A Queue keeps the requests that come to one VM, from its own Broker and from
// others, until the service can take them.
//
// Usage: construct a Queue with the address of the service, and a Broker with
// the addresses of the Queue and of the entry client. Send the Broker the other
// members as PeersChanged, and requests; send the Queue what other Brokers
// relay. Each request is answered exactly once.

#ifndef AZUREPASS_PERMIT_PERMIT_H_
#define AZUREPASS_PERMIT_PERMIT_H_

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "azurepass/core/core.h"
#include "azurepass/entry/entry.h"
#include "azurepass/metrics/metrics.h"
#include "azurepass/partition/partition.h"
#include "azurepass/task/task.h"

namespace azurepass::permit {

struct Issued {
  std::vector<partition::Permit> permits;  // Workers without one are denied.
  Duration validity{0};                    // From the arrival of the result.
};
struct Failed {
  std::string message;
  // The VM answered, so that it can be reached.
  bool answered = false;
};
using Result = std::variant<Issued, Failed>;

// Sent to the service from this VM.
struct ServiceRequest {
  JobId job;
  std::vector<VmId> workers;
  Duration timeout{0};
  task::Address<Result> reply_to;
  Duration cost{0};  // Time that the service takes to decide; 0: not told.
};

// The other members that can relay requests to the service; replaces the
// previous ones.
struct PeersChanged {
  std::vector<std::string> addresses;  // "IP:PORT" of their entry servers.
};

struct Options {
  // Limit of the decision time outstanding at one VM; further requests wait in
  // the broker.
  Duration max_backlog{600};
  // Longest time for which a request yields to cheaper ones. A perpetual task
  // counts as missed once it has been absent for 3 s. The backlog ahead of its
  // request and the decision on 100 workers take 2 s of that.
  Duration max_yield{1'000};
  // Added to the backlog and the request's own cost to get its timeout.
  Duration slack{1'000};
  uint64_t seed = 1;  // Of the order among VMs with equal backlogs.
  // Requests up to this cost are short. Zero: no request is, no VM is reserved
  // for short requests, and other VMs are not told the costs (which versions
  // before this option can't read).
  Duration short_cost{0};
  int64_t reserved_percent = 0;  // Of the other VMs, for short requests.
  // For this time a VM that didn't answer a request is not sent any; each
  // further failure doubles it. Zero: never.
  Duration ejection{0};
};

// A request to the broker. `cost` is the time that the service takes to decide.
struct Request {
  JobId job;
  std::vector<VmId> workers;
  Duration cost{0};
  task::Address<Result> reply_to;
  // Tasks that were interrupted wait for it: it goes before others.
  bool restart = false;
};
// Nobody waits for the job's permits any more. A request that was not sent is
// answered as failed.
struct Withdraw {
  JobId job;
};
using Message = std::variant<Request, Withdraw, PeersChanged, metrics::Scrape>;

class Broker {
 public:
  Broker(task::Loop& loop, Options options,
         task::Address<ServiceRequest> service,
         task::Address<entry::Call> peers);
  ~Broker();
  Broker(const Broker&) = delete;
  Broker& operator=(const Broker&) = delete;

  task::Address<Message> address() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

struct QueueOptions {
  // Requests up to this cost are short. Requests are in order of their cost, an
  // expensive one yields to cheaper ones for at most `max_yield`, and none is
  // with the service behind one that is not short. Zero: requests are in order
  // of arrival.
  Duration short_cost{0};
  Duration max_yield{300};  // Its broker has had it yield before.
};

// The requests of this VM to the service. At most two are with the service at a
// time. A request whose timeout passes while it waits is answered with Failed
// and never sent.
class Queue {
 public:
  Queue(task::Loop& loop, QueueOptions options,
        task::Address<ServiceRequest> service);
  ~Queue();
  Queue(const Queue&) = delete;
  Queue& operator=(const Queue&) = delete;

  task::Address<ServiceRequest> address() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace azurepass::permit

#endif  // AZUREPASS_PERMIT_PERMIT_H_
