// The scheduler's metrics as text.

#ifndef AZUREPASS_SCHEDULING_INTERNAL_REPORT_H_
#define AZUREPASS_SCHEDULING_INTERNAL_REPORT_H_

#include <map>
#include <vector>

#include "azurepass/metrics/metrics.h"
#include "azurepass/scheduling/internal/claim_news.h"
#include "azurepass/scheduling/internal/partition_task.h"

namespace azurepass::scheduling {

// Gauges of the partitions that this process owns, and its claims of and
// decisions in all of them. Without `store_read` the process is not ready.
metrics::Report MakeReport(const std::vector<StatusNotice>& partitions,
                           const std::map<PartitionId, ClaimFigures>& claims,
                           bool store_read);

}  // namespace azurepass::scheduling

#endif  // AZUREPASS_SCHEDULING_INTERNAL_REPORT_H_
