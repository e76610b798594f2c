// Sizes for which a search of the whole fleet lately found no place. A task at
// least as large, in no more zones, finds none either, apart from the same
// workers that held the smaller one back and those that gained room since; so
// that a job which joins a long queue is not searched for in vain.

#ifndef AZUREPASS_PLACEMENT_INTERNAL_KNOWN_FAILURES_H_
#define AZUREPASS_PLACEMENT_INTERNAL_KNOWN_FAILURES_H_

#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

#include "azurepass/placement/internal/growth_log.h"

namespace azurepass::placement::internal {

struct KnownFailure {
  Resources size;
  std::vector<Index> zones;
  GrowthLog::Position at = GrowthLog::kNever;  // End of the log then.
  std::vector<Index> held;  // All workers that had room, but held back.
};

class KnownFailures {
 public:
  void Add(KnownFailure failure) {
    if (ring_.size() < kKept) {
      ring_.push_back(std::move(failure));
      return;
    }
    ring_[next_] = std::move(failure);
    next_ = (next_ + 1) % kKept;
  }

  // The latest failure that tells about this size; nullptr when none does.
  const KnownFailure* Find(const Resources& size,
                           const std::vector<Index>& zones,
                           const GrowthLog& growth) const {
    const KnownFailure* best = nullptr;
    for (const KnownFailure& failure : ring_) {
      if (!growth.Covers(failure.at) || !failure.size.FitsIn(size)) continue;
      if (best != nullptr && failure.at <= best->at) continue;
      const bool covers_zones =
          std::all_of(zones.begin(), zones.end(), [&](Index zone) {
            return std::count(failure.zones.begin(), failure.zones.end(),
                              zone) > 0;
          });
      if (covers_zones) best = &failure;
    }
    return best;
  }

 private:
  static constexpr size_t kKept = 64;

  std::vector<KnownFailure> ring_;
  size_t next_ = 0;  // The oldest, once the ring is full.
};

}  // namespace azurepass::placement::internal

#endif  // AZUREPASS_PLACEMENT_INTERNAL_KNOWN_FAILURES_H_
