// The scheduler's metrics as text.

#ifndef AZUREPASS_SCHEDULING_INTERNAL_REPORT_H_
#define AZUREPASS_SCHEDULING_INTERNAL_REPORT_H_

#include <vector>

#include "azurepass/metrics/metrics.h"
#include "azurepass/scheduling/internal/partition_task.h"

namespace azurepass::scheduling {

// Gauges of the partitions that this process owns, and its decisions in all of
// them. Without `store_read` the process is not ready.
metrics::Report MakeReport(const std::vector<StatusNotice>& partitions,
                           bool store_read);

}  // namespace azurepass::scheduling

#endif  // AZUREPASS_SCHEDULING_INTERNAL_REPORT_H_
