// A count over all partitions of a service. It is a sum that is true or none:
// when one partition does not say, nothing is known of the whole.

#ifndef AZUREPASS_ROUTING_INTERNAL_COUNT_ROUND_H_
#define AZUREPASS_ROUTING_INTERNAL_COUNT_ROUND_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "azurepass/partition/partition.h"
#include "azurepass/routing/internal/pending.h"

namespace azurepass::routing::internal {

class CountRound {
 public:
  explicit CountRound(int64_t partitions) : missing_(partitions) {}

  // Takes in one partition's answer; returns the answer to the whole once that
  // is decided, which is once.
  std::optional<partition::JobResponse> Add(
      const partition::JobResponse& response);

 private:
  int64_t missing_;  // 0: decided.
  int64_t workflows_ = 0;
};

// A round that a caller waits for.
struct OpenCount {
  ToCaller origin;
  TeamId team;
  MonotonicTime since;
  CountRound round;
  std::vector<PendingId> parts;  // Some may have ended.
};

}  // namespace azurepass::routing::internal

#endif  // AZUREPASS_ROUTING_INTERNAL_COUNT_ROUND_H_
