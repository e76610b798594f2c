// Keeps the inputs of the most recent starts, so that a decision can be
// recomputed. It is a ring buffer of fixed size, so that its memory does not
// grow with the cell.

#ifndef AZUREPASS_PLACEMENT_INTERNAL_DECISION_LOG_H_
#define AZUREPASS_PLACEMENT_INTERNAL_DECISION_LOG_H_

#include <cstdint>
#include <utility>
#include <vector>

#include "azurepass/placement/internal/interner.h"
#include "azurepass/placement/placement.h"

namespace azurepass::placement::internal {

// The compact form of CandidateInput and DecisionInput, with indexes in place
// of names.
struct RecordedCandidate {
  Index worker = kNone;
  Resources free;
  int32_t zone_tasks = 0;
  int32_t rack_tasks = 0;
};
struct RecordedDecision {
  int64_t number = 0;
  Resources team_committed;
  Resources team_allowance;
  std::vector<RecordedCandidate> candidates;
};

class DecisionLog {
 public:
  static constexpr size_t kCapacity = 1'024;   // Decisions.
  static constexpr size_t kMaxCandidates = 8;  // Of one decision.

  // Returns the next entry for the caller to fill in. Its number is set and its
  // candidates are empty.
  RecordedDecision& Next() {
    if (ring_.empty()) ring_.resize(kCapacity);
    RecordedDecision& entry = ring_[++last_ % kCapacity];
    entry.number = last_;
    entry.candidates.clear();
    return entry;
  }

  // Returns nullptr when the entry was overwritten.
  const RecordedDecision* Find(int64_t number) const {
    if (number <= 0 || ring_.empty()) return nullptr;
    const RecordedDecision& entry = ring_[number % kCapacity];
    return entry.number == number ? &entry : nullptr;
  }

 private:
  std::vector<RecordedDecision> ring_;
  int64_t last_ = 0;
};

}  // namespace azurepass::placement::internal

#endif  // AZUREPASS_PLACEMENT_INTERNAL_DECISION_LOG_H_
