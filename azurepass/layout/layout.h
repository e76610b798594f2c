// How a service is spread over partitions: how many there are, and which racks
// belong to which. Every process follows the same layout, kept in the store,
// so that a request and a worker meet the same owner whoever looks.
//
//   configuration, vmlist --> Keeper <--> store ("cluster/layout/SERVICE")
//   Keeper --Layouts--> scheduling::Manager, routing::Dispatcher
//
// What holds of the value in the store:
//   1. It is created by whoever comes first (created if absent), and afterwards
//      changed by compare-and-swap on the version that was read.
//   2. The number of partitions never changes: a request's partition follows
//      from it.
//   3. A rack that has a partition keeps it: its workers have seen the epochs
//      of that partition's owners, and run what its journal names.
// Hence two processes that know different versions differ at most in racks that
// one of them does not place yet, and such a rack's workers are used by nobody
// there.
//
// The number is only right if all workers are listed when it is chosen, so the
// first layout waits until the listing has stopped growing (Rule::settle).
//
// Usage: construct a Keeper on a task::Loop, subscribe its address to the
// configuration and the list of workers, send it Subscribe.

#ifndef AZUREPASS_LAYOUT_LAYOUT_H_
#define AZUREPASS_LAYOUT_LAYOUT_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "azurepass/configuration/configuration.h"
#include "azurepass/core/core.h"
#include "azurepass/store/store.h"
#include "azurepass/task/task.h"
#include "azurepass/vmlist/vmlist.h"

namespace azurepass::layout {

// ---------------------------------------------------------------------------
// Pure rules

// Invariants: partitions >= 1; every rack's index is in [0, partitions).
struct Layout {
  ServiceId service;
  int64_t partitions = 1;
  std::map<RackId, int64_t> racks;  // To the index of their partition.
  bool operator==(const Layout&) const = default;
};

// The workers of one service.
using Workers = std::vector<WorkerSpec>;

// The layout of a service that has none. About `partition_workers` workers a
// partition, and one partition below one and a half times as many; never more
// partitions than racks.
Layout Plan(const ServiceId& service, const Workers& workers,
            int64_t partition_workers);

// The layout with the racks of `workers` that it lacked. Each goes to the
// partition that has the fewest racks of the same zone, then to that with the
// least capacity: a zone that goes takes as little as possible of each.
Layout Extend(Layout layout, const Workers& workers);

// Whether the rack of each worker has a partition.
bool Covers(const Layout& layout, const Workers& workers);

// A service's partition number `index`, from 0. The first has the service's
// name, also where it is the only one.
PartitionId PartitionOf(const ServiceId& service, int64_t index);

// The partition of a worker; empty when its rack has none yet. Workers without
// a rack are all of the first.
std::optional<PartitionId> PartitionOf(const Layout& layout,
                                       const WorkerSpec& worker);

std::vector<PartitionId> PartitionsOf(const Layout& layout);

// ---------------------------------------------------------------------------
// What the store holds

std::string StoreKey(const ServiceId& service);
std::string Encode(const Layout& layout);
// Empty when the text is no layout.
std::optional<Layout> Decode(std::string_view text);

// ---------------------------------------------------------------------------
// The task

// The layouts known by now; a service without one has no partition yet.
using Layouts = std::map<ServiceId, Layout>;
// Sent to subscribers when they subscribe and on each change.
struct Update {
  std::shared_ptr<const Layouts> layouts;
};

struct Options {
  int64_t partition_workers = 64;
  // The listing of a service's workers has not grown for so long: workers that
  // start together register within a second or so of each other.
  Duration settle{1'500};
  // The same for a service that has no workers, which may still be starting.
  Duration settle_empty{6'000};
  // All processes see a gap at the same time; each waits up to so long, at
  // random, before it acts, so that most find the gap filled.
  Duration spread{400};
  Duration min_backoff{100};  // After a failed request; doubles.
  Duration max_backoff{1'000};
  uint64_t seed = 1;
};

struct Subscribe {
  task::Address<Update> subscriber;
};
using Message = std::variant<Subscribe, configuration::Update, vmlist::Update>;

class Keeper {
 public:
  Keeper(task::Loop& loop, Options options,
         task::Address<store::Request> store);
  ~Keeper();
  Keeper(const Keeper&) = delete;
  Keeper& operator=(const Keeper&) = delete;

  task::Address<Message> address() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace azurepass::layout

#endif  // AZUREPASS_LAYOUT_LAYOUT_H_
