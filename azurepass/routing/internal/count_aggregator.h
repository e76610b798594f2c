// Sums the waiting workflows of all partitions of a service. The result is
// either the complete sum or a refusal: if one partition does not answer, there
// is no sum.

#ifndef AZUREPASS_ROUTING_INTERNAL_COUNT_AGGREGATOR_H_
#define AZUREPASS_ROUTING_INTERNAL_COUNT_AGGREGATOR_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "azurepass/partition/partition.h"
#include "azurepass/routing/internal/pending_request.h"

namespace azurepass::routing::internal {

class CountAggregator {
 public:
  explicit CountAggregator(int64_t partitions) : remaining_(partitions) {}

  // Adds one partition's response. Returns the overall response when it becomes
  // known, that is, exactly once: a refusal as soon as one partition does not
  // answer with a count, else the sum after the last partition.
  std::optional<partition::JobResponse> AddResponse(
      const partition::JobResponse& response);

 private:
  int64_t
      remaining_;  // Partitions still to answer; 0 once the result is known.
  int64_t workflows_ = 0;
};

// A caller's count that is not answered yet.
struct OpenCount {
  CallerOrigin origin;
  TeamId team;
  MonotonicTime since;
  CountAggregator aggregator;
  // The requests to the single partitions; some may be answered already.
  std::vector<PendingId> parts;
};

}  // namespace azurepass::routing::internal

#endif  // AZUREPASS_ROUTING_INTERNAL_COUNT_AGGREGATOR_H_
