// Explains why a job's next task waits and where its latest task was placed.
// Examines every worker; this is not used by decisions.

#ifndef AZUREPASS_PLACEMENT_INTERNAL_EXPLAIN_H_
#define AZUREPASS_PLACEMENT_INTERNAL_EXPLAIN_H_

#include <string>

#include "azurepass/placement/internal/cell_state.h"

namespace azurepass::placement::internal {

Explanation ExplainJob(const CellState& state, const JobId& job,
                       Revision revision, MonotonicTime now);

// Returns why the task waits, as of the latest call of Decide.
WaitReason ReasonOf(const CellState& state, const Job& job, const Task& task);

// Returns the first dimension in which the job would not fit even on empty
// workers; empty when it would fit.
std::optional<std::string> FindNeverFits(const CellState& state,
                                         const TeamId& team,
                                         const JobSpec& spec);

}  // namespace azurepass::placement::internal

#endif  // AZUREPASS_PLACEMENT_INTERNAL_EXPLAIN_H_
