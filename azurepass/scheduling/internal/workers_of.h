// Which of the listed workers are a partition's.

#ifndef AZUREPASS_SCHEDULING_INTERNAL_WORKERS_OF_H_
#define AZUREPASS_SCHEDULING_INTERNAL_WORKERS_OF_H_

#include "azurepass/layout/layout.h"
#include "azurepass/vmlist/vmlist.h"

namespace azurepass::scheduling {

// The list without the workers of other partitions. A worker whose rack has no
// partition yet is nobody's.
inline vmlist::Snapshot WorkersOf(const vmlist::Snapshot& all,
                                  const layout::Layout& layout,
                                  const PartitionId& partition) {
  vmlist::Snapshot own;
  own.generation = all.generation;
  own.asked = all.asked;
  for (const auto& [vm, worker] : all.workers) {
    if (worker.service != layout.service) continue;
    if (layout::PartitionOf(layout, worker) != partition) continue;
    own.workers.emplace(vm, worker);
    const auto state = all.vms.find(vm);
    if (state != all.vms.end()) own.vms.insert(*state);
  }
  return own;
}

}  // namespace azurepass::scheduling

#endif  // AZUREPASS_SCHEDULING_INTERNAL_WORKERS_OF_H_
