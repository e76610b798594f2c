// Handles tasks that use more than they declared. Commitments do not change:
// they follow declared sizes, since usage reports lag. A single report is weak
// evidence, so kReportsInARow consecutive reports are required.
//
//   * Processors above kThrottleMargin times the declared size: the task is
//     throttled to its declared size.
//   * Memory above kCheckpointMargin times the declared size: the task is
//     checkpointed; above kStopMargin times, it is stopped at once. A task that
//     is not repeatable is never preempted for overuse.

#ifndef AZUREPASS_PLACEMENT_INTERNAL_OVERUSE_H_
#define AZUREPASS_PLACEMENT_INTERNAL_OVERUSE_H_

#include <vector>

#include "azurepass/placement/internal/cell_state.h"

namespace azurepass::placement::internal {

std::vector<OveruseAction> HandleOveruse(
    CellState& state, const std::vector<UsageSample>& samples,
    MonotonicTime now);

}  // namespace azurepass::placement::internal

#endif  // AZUREPASS_PLACEMENT_INTERNAL_OVERUSE_H_
