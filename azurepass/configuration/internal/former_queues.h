// The queues of earlier configurations, by which accepted jobs are looked up
// after their queue was renamed, removed or given to another service.

#ifndef AZUREPASS_CONFIGURATION_INTERNAL_FORMER_QUEUES_H_
#define AZUREPASS_CONFIGURATION_INTERNAL_FORMER_QUEUES_H_

#include <vector>

#include "azurepass/core/core.h"

namespace azurepass::configuration::internal {

// Adds the queues of `before` that `next` does not have in the same form to the
// former queues of `next`. `next` already has the former queues of `before`.
void KeepFormerQueues(const Configuration& before, Configuration& next);

// Adds `queues` to the former queues, except those that are in force or there
// already. The oldest are dropped beyond kMaxFormerQueues. Returns whether
// anything was added.
bool AddFormerQueues(const std::vector<FormerQueue>& queues,
                     Configuration& configuration);

// Returns the former queues and those in force.
std::vector<FormerQueue> AllQueuesOf(const Configuration& configuration);

}  // namespace azurepass::configuration::internal

#endif  // AZUREPASS_CONFIGURATION_INTERNAL_FORMER_QUEUES_H_
