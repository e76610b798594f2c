// The layout of a service: the number of its partitions, and the partition that
// each rack belongs to. All processes use the same layout, which is kept in the
// store, so that a request and a worker reach the same owner from every
// process.
//
//   configuration, vmlist --> Keeper <--> store ("cluster/layout/SERVICE")
//   Keeper --Layouts--> scheduling::Manager, routing::Dispatcher
//
// Invariants of the value in the store:
//   1. The first process creates it, on the condition that it is absent. After
//      that it is changed only by compare-and-swap on the version that was
//      read.
//   2. The number of partitions never changes, because the partition of a
//   request
//      is derived from it.
//   3. A rack stays in its partition, because its workers have seen the epochs
//   of
//      that partition's owners and run the tasks that its journal names.
// Hence two processes that know different versions differ only in racks that
// one of them has not placed yet. That process doesn't use the workers of such
// a rack.
//
// The number of partitions is right only if all workers are listed when it is
// chosen, so the first layout waits until the listing has stopped growing
// (Options::stable_for).
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
// Pure functions

// The partitions and racks of one service. Invariants: partitions >= 1; every
// rack's index is in [0, partitions).
struct Layout {
  ServiceId service;
  int64_t partitions = 1;
  std::map<RackId, int64_t> racks;  // The index of each rack's partition.
  bool operator==(const Layout&) const = default;
};

// The workers of one service.
using Workers = std::vector<WorkerSpec>;

// Returns the first layout of a service. Each partition gets about
// `partition_workers` workers; a service with fewer than one and a half times
// that number gets a single partition. There are never more partitions than
// racks.
Layout Plan(const ServiceId& service, const Workers& workers,
            int64_t partition_workers);

// Returns the layout with the racks of `workers` added that it did not contain.
// Each goes to the partition that has the fewest racks of the same zone and,
// among those, the least capacity, so that the loss of a zone costs each
// partition as little as possible.
Layout Extend(Layout layout, const Workers& workers);

// Returns whether the rack of each worker has a partition.
bool Covers(const Layout& layout, const Workers& workers);

// Returns the ID of a service's partition number `index`, counted from 0. The
// first has the service's name, even if it is the only one.
PartitionId PartitionOf(const ServiceId& service, int64_t index);

// Returns the partition of a worker, or nothing if its rack has none yet. All
// workers without a rack belong to the first partition.
std::optional<PartitionId> PartitionOf(const Layout& layout,
                                       const WorkerSpec& worker);

std::vector<PartitionId> PartitionsOf(const Layout& layout);

// ---------------------------------------------------------------------------
// The value in the store

std::string StoreKey(const ServiceId& service);
std::string Encode(const Layout& layout);
// Returns nothing if the text is not a valid layout.
std::optional<Layout> Decode(std::string_view text);

// ---------------------------------------------------------------------------
// The task

// The layouts that are known. A service without one has no partitions yet.
using Layouts = std::map<ServiceId, Layout>;
// Sent to subscribers when they subscribe and on each change.
struct Update {
  std::shared_ptr<const Layouts> layouts;
};

struct Options {
  int64_t partition_workers = 64;
  // The first layout is written when the list of a service's workers has not
  // grown for this long. Workers that start together register within about a
  // second of each other.
  Duration stable_for{1'500};
  // The same for a service without workers, because they may still be starting.
  Duration stable_for_if_empty{6'000};
  // All processes notice an unplaced rack at the same time. Each waits for a
  // random time up to this one before it acts, so that most find the rack
  // placed already.
  Duration max_jitter{400};
  Duration min_backoff{100};  // After a failed request; doubles each time.
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
