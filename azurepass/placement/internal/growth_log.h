// Logs which workers gained room, in order. The result of a search that found
// no room anywhere holds until a worker that gained room since can take the
// task. A blocked job is therefore checked against those few workers instead of
// the whole fleet.

#ifndef AZUREPASS_PLACEMENT_INTERNAL_GROWTH_LOG_H_
#define AZUREPASS_PLACEMENT_INTERNAL_GROWTH_LOG_H_

#include <cstdint>
#include <vector>

#include "azurepass/core/core.h"
#include "azurepass/placement/internal/interner.h"

namespace azurepass::placement::internal {

class GrowthLog {
 public:
  // A position in the log; kNever is before all entries.
  using Position = int64_t;
  static constexpr Position kNever = -1;

  void Add(Index worker) {
    if (entries_.size() >= kMaxEntries) {
      base_ += static_cast<Position>(entries_.size());
      entries_.clear();
    }
    entries_.push_back(worker);
  }

  Position end() const {
    return base_ + static_cast<Position>(entries_.size());
  }

  // Returns false when entries from `since` on are no longer kept.
  bool Covers(Position since) const { return since >= base_; }

  // Calls `visit(worker)` for the entries from `since` on. A worker may occur
  // several times. Requires Covers(since).
  template <class Visit>
  void ForEachSince(Position since, Visit visit) const {
    for (size_t i = since - base_; i < entries_.size(); ++i) visit(entries_[i]);
  }

 private:
  static constexpr size_t kMaxEntries = 1'024;

  Position base_ = 0;  // Position of entries_[0].
  std::vector<Index> entries_;
};

}  // namespace azurepass::placement::internal

#endif  // AZUREPASS_PLACEMENT_INTERNAL_GROWTH_LOG_H_
