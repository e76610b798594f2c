// Until when a workflow's step should start, by its queue's objective.
//
// A queue allows a workflow so many times its longest chain of work, and a
// fixed time more; up to three times as long its result is late, but of use.
// What is left to do after a step is the longest chain of declared run times
// that begins with it. Declared run times are rough, so that some time is kept
// back.

#ifndef AZUREPASS_PARTITION_INTERNAL_OBJECTIVE_H_
#define AZUREPASS_PARTITION_INTERNAL_OBJECTIVE_H_

#include <optional>
#include <vector>

#include "azurepass/core/core.h"
#include "azurepass/placement/placement.h"

namespace azurepass::partition::internal {

// By step, the longest chain of declared run times that begins with it.
std::vector<Duration> ChainsOf(const WorkflowSpec& spec);

// `origin` is when the workflow was submitted or its occurrence was due. Empty
// for tasks that last: their time to start never passes.
std::optional<placement::StartBy> StartByOf(const WorkflowSpec& spec,
                                            const QueueRecord& queue,
                                            int32_t step, MonotonicTime origin);

}  // namespace azurepass::partition::internal

#endif  // AZUREPASS_PARTITION_INTERNAL_OBJECTIVE_H_
