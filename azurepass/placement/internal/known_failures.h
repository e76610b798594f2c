// Keeps recent searches of the whole fleet that found no place for a size. A
// task of at least that size, allowed in the same zones or fewer, can fit only
// on workers that gained room since, or on those whose room was held back from
// the smaller task. Therefore a job that joins a long queue needs no search of
// the whole fleet.

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
  GrowthLog::Position at = GrowthLog::kNever;  // End of the log at the search.
  std::vector<Index> held;  // All workers whose room was held back.
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

  // Returns the latest failure that applies to `size` in `zones`; nullptr when
  // there is none.
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
