// Keeps recent searches of the whole fleet that found no place for a size. A
// task of at least that size, allowed in the same zones or fewer, can fit only
// on workers that gained room since, or on those whose room was held back from
// the smaller task. Therefore a job that joins a long queue needs no search of
// the whole fleet.

#ifndef AZUREPASS_PLACEMENT_INTERNAL_FAILED_SEARCHES_H_
#define AZUREPASS_PLACEMENT_INTERNAL_FAILED_SEARCHES_H_

#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

#include "azurepass/placement/internal/growth_log.h"

namespace azurepass::placement::internal {

struct FailedSearch {
  Resources size;
  std::vector<Index> zones;
  GrowthLog::Position at = GrowthLog::kNever;  // End of the log at the search.
  std::vector<Index> held_back;  // All workers whose room was held back.
};

class FailedSearches {
 public:
  void Add(FailedSearch search) {
    if (ring_.size() < kCapacity) {
      ring_.push_back(std::move(search));
      return;
    }
    ring_[next_] = std::move(search);
    next_ = (next_ + 1) % kCapacity;
  }

  // Returns the latest failure that applies to `size` in `zones`; nullptr when
  // there is none.
  const FailedSearch* Find(const Resources& size,
                           const std::vector<Index>& zones,
                           const GrowthLog& growth) const {
    const FailedSearch* best = nullptr;
    for (const FailedSearch& search : ring_) {
      if (!growth.Covers(search.at) || !search.size.FitsIn(size)) continue;
      if (best != nullptr && search.at <= best->at) continue;
      const bool covers_zones =
          std::all_of(zones.begin(), zones.end(), [&](Index zone) {
            return std::count(search.zones.begin(), search.zones.end(), zone) >
                   0;
          });
      if (covers_zones) best = &search;
    }
    return best;
  }

 private:
  static constexpr size_t kCapacity = 64;

  std::vector<FailedSearch> ring_;
  size_t next_ = 0;  // The oldest, once the ring is full.
};

}  // namespace azurepass::placement::internal

#endif  // AZUREPASS_PLACEMENT_INTERNAL_FAILED_SEARCHES_H_
