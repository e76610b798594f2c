// Numbers of attempts.
//
// Starts of repeatable tasks are ordered before their record is appended. When
// the owner dies, its successor does not know the numbers it used, and the
// worker that got such an order may be silent. If the successor used such a
// number again, a late report or a late stop order of the one attempt would
// count for the other, on another worker.
//
// Therefore the attempts of epoch e are numbered above e * kAttemptsPerEpoch,
// and above all numbers that the journal knows for the task. Epochs are never
// reused, so a number of the range of e was used by owner e or not at all.
// A task may use up the range of its epoch. Beyond it a number lies in the
// range of a later epoch, and is used only once its record is appended
// (NeedsRecordFirst): a later owner then finds it in the journal, and starts
// above it. At 2^31 / 1,024 a partition can have two million owners.

#ifndef AZUREPASS_PARTITION_INTERNAL_ATTEMPT_NUMBERS_H_
#define AZUREPASS_PARTITION_INTERNAL_ATTEMPT_NUMBERS_H_

#include <algorithm>
#include <cstdint>

#include "azurepass/core/core.h"

namespace azurepass::partition::internal {

inline constexpr int64_t kAttemptsPerEpoch = 1'024;

// The number of the next attempt in `epoch`, after `latest`.
inline int32_t NextAttempt(Epoch epoch, int32_t latest) {
  const int64_t floor = epoch.value * kAttemptsPerEpoch;
  return static_cast<int32_t>(std::max<int64_t>(latest, floor) + 1);
}

// True when the number may be used only after its record is appended.
inline bool NeedsRecordFirst(Epoch epoch, int32_t attempt) {
  return attempt >= (epoch.value + 1) * kAttemptsPerEpoch;
}

}  // namespace azurepass::partition::internal

#endif  // AZUREPASS_PARTITION_INTERNAL_ATTEMPT_NUMBERS_H_
