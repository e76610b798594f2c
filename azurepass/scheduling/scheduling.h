// What the scheduler process runs: for each partition of the cell a
// PartitionTask, which drives a partition::Owner while this process holds the
// claim, and one Manager, which claims and gives back partitions and leads
// requests of other processes to the right task.
//
// The decisions are taken in placement and partition. This package only
// carries messages between them and the peers:
//
//   entry::Server ---Incoming---> Manager --JobReceived--> PartitionTask
//   membership::Agent --View----> Manager --Hold/Release-> PartitionTask
//   configuration, vmlist, layout > Manager -(its part)--> PartitionTask
//   PartitionTask <--> journal::Writer, endpoint::Client, escrow::Broker
//   PartitionTask --Notice--> Manager
//
// Usage: construct a Manager on a task::Loop with the addresses of the other
// tasks, subscribe its address where needed, send it Shutdown to leave.

#ifndef AZUREPASS_SCHEDULING_SCHEDULING_H_
#define AZUREPASS_SCHEDULING_SCHEDULING_H_

#include <cstdint>
#include <memory>
#include <variant>
#include <vector>

#include "azurepass/configuration/configuration.h"
#include "azurepass/core/core.h"
#include "azurepass/endpoint/endpoint.h"
#include "azurepass/entry/entry.h"
#include "azurepass/escrow/escrow.h"
#include "azurepass/layout/layout.h"
#include "azurepass/membership/membership.h"
#include "azurepass/metrics/metrics.h"
#include "azurepass/permit/permit.h"
#include "azurepass/settings/settings.h"
#include "azurepass/store/store.h"
#include "azurepass/task/task.h"
#include "azurepass/vmlist/vmlist.h"

namespace azurepass::scheduling {

// The tasks that a Manager and its partitions talk to.
struct Peers {
  task::Address<store::Request> store;
  task::Address<endpoint::Request> workers;
  task::Address<escrow::Message> broker;
  task::Address<membership::Message> membership;
  task::Address<configuration::Message> configuration;
  task::Address<permit::Message> permits{};
  task::Address<permit::ServiceRequest> permit_service{};  // For other members.
};

// All partitions are given back and the member lease is returned.
struct ShutdownDone {};

// Leave gracefully: give the partitions back, answer what is open.
struct Shutdown {
  task::Address<ShutdownDone> done;
};

using Message =
    std::variant<membership::View, membership::LeaseFailed,
                 configuration::Update, vmlist::Update, layout::Update,
                 entry::Incoming, Shutdown, metrics::Scrape>;

struct Options {
  MemberId member;
  settings::CellSettings cell;
  uint64_t nonce = 0;  // Random; unlike that of any other process.
  // The partitions are those of the services' layouts; their workers are those
  // that describe themselves to the VM list.
  bool partitions_from_layouts = false;
  // A partition stays with its owner as long as that lives, however the members
  // change; else it moves to whoever should hold it.
  bool sticky = false;
  partition::Options owner{};  // What the settings do not say.
};

class Manager {
 public:
  Manager(task::Loop& loop, Options options, Peers peers);
  ~Manager();
  Manager(const Manager&) = delete;
  Manager& operator=(const Manager&) = delete;

  task::Address<Message> address() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace azurepass::scheduling

#endif  // AZUREPASS_SCHEDULING_SCHEDULING_H_
