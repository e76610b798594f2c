// Computes by when a step of a workflow should start, according to the
// objective of its queue.
//
// A queue allows a workflow a multiple of its longest chain of work plus a
// fixed time. A result that takes up to three times as long is late but still
// useful. The work that remains from a step on is the longest chain of declared
// run times that begins with the step. Declared run times are rough, so some
// time is kept in reserve.

#ifndef AZUREPASS_PARTITION_INTERNAL_OBJECTIVE_H_
#define AZUREPASS_PARTITION_INTERNAL_OBJECTIVE_H_

#include <optional>
#include <vector>

#include "azurepass/core/core.h"
#include "azurepass/placement/placement.h"

namespace azurepass::partition::internal {

// Returns, for each step, the longest chain of declared run times that begins
// with it.
std::vector<Duration> CriticalPathTimes(const WorkflowSpec& spec);

// Returns the times by which the step has to start to be on time, and to be
// late but useful. `origin` is the time at which the workflow was submitted or
// its occurrence was due. Returns nothing for perpetual tasks, which have no
// time by which they must start.
std::optional<placement::StartBy> StartByOf(const WorkflowSpec& spec,
                                            const QueueRecord& queue,
                                            int32_t step, MonotonicTime origin);

}  // namespace azurepass::partition::internal

#endif  // AZUREPASS_PARTITION_INTERNAL_OBJECTIVE_H_
