// Says why a job's next task waits, or where its latest went. Looks at every
// worker: it answers people and is not part of a decision.

#ifndef AZUREPASS_PLACEMENT_INTERNAL_EXPLAIN_H_
#define AZUREPASS_PLACEMENT_INTERNAL_EXPLAIN_H_

#include <string>

#include "azurepass/placement/internal/cell_state.h"

namespace azurepass::placement::internal {

Explanation ExplainJob(const CellState& state, const JobId& job,
                       Revision revision, MonotonicTime now);

// Why the task waits, as of the latest decision.
WaitReason ReasonOf(const CellState& state, const Job& job, const Task& task);

// The first dimension in which the job could not run even on empty workers.
std::optional<std::string> FindNeverFits(const CellState& state,
                                         const TeamId& team,
                                         const JobSpec& spec);

}  // namespace azurepass::placement::internal

#endif  // AZUREPASS_PLACEMENT_INTERNAL_EXPLAIN_H_
