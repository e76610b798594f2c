// Assigns numbers to attempts.
//
// Starts of repeatable tasks are ordered before their record is appended. If
// the owner dies, its successor does not know the numbers that it used, and the
// worker that received such an order may not answer. If the successor reused
// such a number, a late report or a late stop order for the one attempt would
// be taken for the other, which runs on another worker.
//
// Therefore the attempts of epoch e have numbers above e * kAttemptsPerEpoch
// and above all numbers that the journal has for the task. Epochs are never
// reused, so a number in the range of epoch e was used by the owner of epoch e
// or not at all. A task may use up the range of its epoch. A number beyond that
// lies in the range of a later epoch and is used only once its record is
// appended (NeedsRecordFirst): a later owner then finds it in the journal and
// continues above it. Attempt numbers are 32 bits wide, so a partition can have
// 2^31 / 1,024, that is two million, owners.

#ifndef AZUREPASS_PARTITION_INTERNAL_ATTEMPT_NUMBERS_H_
#define AZUREPASS_PARTITION_INTERNAL_ATTEMPT_NUMBERS_H_

#include <algorithm>
#include <cstdint>

#include "azurepass/core/core.h"

namespace azurepass::partition::internal {

inline constexpr int64_t kAttemptsPerEpoch = 1'024;

// Returns the number of the attempt in `epoch` that follows attempt `latest`.
inline int32_t NextAttempt(Epoch epoch, int32_t latest) {
  const int64_t floor = epoch.value * kAttemptsPerEpoch;
  return static_cast<int32_t>(std::max<int64_t>(latest, floor) + 1);
}

// Returns true if the number may be used only after its record is appended.
inline bool NeedsRecordFirst(Epoch epoch, int32_t attempt) {
  return attempt >= (epoch.value + 1) * kAttemptsPerEpoch;
}

}  // namespace azurepass::partition::internal

#endif  // AZUREPASS_PARTITION_INTERNAL_ATTEMPT_NUMBERS_H_
