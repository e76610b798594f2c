// Answers tasks that use more than they declared. Commitments stay as they are:
// they follow declared sizes, since reports lag. A single report proves little,
// so kReportsInARow of them have to agree.
//
//   * Processors above the declared size by kThrottleMargin: throttled to it.
//   * Memory above it by kCheckpointMargin: checkpointed, when the task may be
//     repeated; above kStopMargin times: stopped at once. A task that may not
//     be repeated is never taken off its worker for overuse.

#ifndef AZUREPASS_PLACEMENT_INTERNAL_OVERUSE_H_
#define AZUREPASS_PLACEMENT_INTERNAL_OVERUSE_H_

#include <vector>

#include "azurepass/placement/internal/cell_state.h"

namespace azurepass::placement::internal {

std::vector<OveruseAction> AnswerOveruse(
    CellState& state, const std::vector<UsageSample>& samples,
    MonotonicTime now);

}  // namespace azurepass::placement::internal

#endif  // AZUREPASS_PLACEMENT_INTERNAL_OVERUSE_H_
