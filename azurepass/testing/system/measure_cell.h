// Experiments on a whole cell: what its processes use when nothing happens,
// under short tasks, with long tasks running, and while the configuration
// changes. Each gives one row of a MeasureTable.

#ifndef AZUREPASS_TESTING_SYSTEM_MEASURE_CELL_H_
#define AZUREPASS_TESTING_SYSTEM_MEASURE_CELL_H_

#include <optional>
#include <string>
#include <vector>

#include "azurepass/core/core.h"
#include "azurepass/testing/system/cluster.h"

namespace azurepass::testing {

// What the cell used up to a moment; differences of two are figures of a span.
struct CellSample {
  MonotonicTime at;
  Duration schedulers{0};  // Processor time of all schedulers.
  Duration frontends{0};
  Duration platform{0};      // Of the stand-in: store, VM list and workers.
  double scheduler_mib = 0;  // Resident, the largest scheduler.
  double frontend_mib = 0;
  double store_reads = 0;
  double store_watches = 0;
  double store_writes = 0;  // Keys: put, delete.
  double store_leases = 0;  // Grant, renew, revoke.
};

// What a span used, a second.
struct CellRates {
  double seconds = 0;
  double schedulers = 0;  // Milliseconds of processor time a second.
  double frontends = 0;
  double platform = 0;
  double reads = 0;
  double watches = 0;
  double writes = 0;
  double leases = 0;
};

CellSample TakeSample(Cluster& cluster);
CellRates RatesBetween(const CellSample& from, const CellSample& to);

// Starts the cell and waits until every partition has an owner and every
// worker is open. False: see the logs.
bool StartAndSettle(Cluster& cluster);

// A settled cell without jobs.
struct IdlePoint {
  CellRates rates;
  CellSample end;
};
IdlePoint MeasureIdle(Cluster& cluster);

// Submits jobs of `tasks_per_job` short tasks at an even rate.
struct LoadOptions {
  int jobs_per_second = 1;
  int tasks_per_job = 1;
};
struct LoadPoint {
  int jobs = 0;
  int tasks = 0;
  int refused = 0;
  double seconds = 0;  // Of the submissions and the run time of the last.
  double starts_per_second = 0;
  CellRates rates;
  double scheduler_mib = 0;  // At the end; ended tasks are still kept.
  Duration wait_p50{0};      // Of a task, from acceptance to its start.
  Duration wait_p99{0};
  Duration submit_p50{0};  // Of the HTTP call.
  Duration submit_p99{0};
};
LoadPoint MeasureLoad(Cluster& cluster, const std::string& key,
                      const LoadOptions& options);

// Adds long tasks until so many run, then looks at the idle cell.
struct RunningPoint {
  CellRates rates;
  CellSample end;
  int64_t journal_bytes = 0;
  int64_t snapshot_bytes = 0;
};
std::optional<RunningPoint> MeasureRunning(Cluster& cluster,
                                           const std::string& key, int tasks);

// From the sending of a change to the first status in which every process has
// it in force; sorted.
std::vector<Duration> MeasureChanges(Cluster& cluster, int changes);

// The value below which `part` of the sorted values lie.
Duration Percentile(const std::vector<Duration>& sorted, double part);

}  // namespace azurepass::testing

#endif  // AZUREPASS_TESTING_SYSTEM_MEASURE_CELL_H_
