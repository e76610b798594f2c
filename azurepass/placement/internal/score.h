// The score of a worker for one task. The worker with the highest score is
// chosen.

#ifndef AZUREPASS_PLACEMENT_INTERNAL_SCORE_H_
#define AZUREPASS_PLACEMENT_INTERNAL_SCORE_H_

#include "azurepass/core/core.h"
#include "azurepass/placement/placement.h"

namespace azurepass::placement::internal {

// Weights of a service's spread. The packing score stays below 10 in magnitude,
// so that one more task in the zone outweighs any difference between racks, and
// one more task in the rack outweighs any difference in packing.
inline constexpr double kZoneWeight = 1e7;
inline constexpr double kRackWeight = 1e3;

inline double PackingScore(const Packing& packing, const Resources& left,
                           const Resources& scale, int64_t order) {
  return std::visit(
      Visitor{[&](const BestFit&) {
                double sum = 0;
                for (Dimension d : kAllDimensions) {
                  sum += static_cast<double>(left[d]) /
                         static_cast<double>(scale[d]);
                }
                return -sum;
              },
              [&](const FirstFit&) { return -static_cast<double>(order); }},
      packing);
}

inline double SpreadScore(const Policy& policy, int64_t zone_tasks,
                          int64_t rack_tasks) {
  if (!std::holds_alternative<ServicePolicy>(policy)) return 0;
  return -kZoneWeight * static_cast<double>(zone_tasks) -
         kRackWeight * static_cast<double>(rack_tasks);
}

}  // namespace azurepass::placement::internal

#endif  // AZUREPASS_PLACEMENT_INTERNAL_SCORE_H_
