// Measures what a loopback cell uses at several sizes and prints, for each
// quantity, the points and the line through them. docs/CAPACITY.md works out
// the size designed for from these lines.

#include <algorithm>
#include <cstdio>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "azurepass/testing/system/measure_cell.h"
#include "azurepass/testing/system/measure_endpoint.h"
#include "azurepass/testing/system/measure_table.h"

namespace azurepass::testing {
namespace {

const std::vector<std::string> kIdleColumns = {
    "schedulers ms CPU/s", "frontends ms CPU/s", "stand-in ms CPU/s",
    "scheduler MiB",       "frontend MiB",       "store reads/s",
    "store watches/s",     "store writes/s",     "store lease calls/s"};

ClusterOptions Cell(const std::string& binaries) {
  ClusterOptions options;
  options.binaries = binaries;
  options.frontends = 2;
  options.schedulers = 2;
  options.partitions = 2;
  options.workers_per_partition = 24;
  options.zones = 7;
  return options;
}

std::vector<std::string> Columns(const std::string& varied,
                                 const std::vector<std::string>& measured) {
  std::vector<std::string> columns = {varied};
  columns.insert(columns.end(), measured.begin(), measured.end());
  return columns;
}

std::vector<double> IdleRow(double x, const IdlePoint& point) {
  return {x,
          point.rates.schedulers,
          point.rates.frontends,
          point.rates.platform,
          point.end.scheduler_mib,
          point.end.frontend_mib,
          point.rates.reads,
          point.rates.watches,
          point.rates.writes,
          point.rates.leases};
}

double Millis(Duration time) { return static_cast<double>(time.count()); }

bool Failed(const Cluster& cluster) {
  std::fprintf(stderr, "the cell did not settle; logs in %s\n",
               cluster.folder().c_str());
  return false;
}

bool IdleByWorkers(const std::string& binaries) {
  MeasureTable table{
      "Idle cell against workers (2 frontends, 2 schedulers, 2 partitions)",
      Columns("workers", kIdleColumns),
      {}};
  for (const int workers : {12, 48, 144, 432}) {
    ClusterOptions options = Cell(binaries);
    options.workers_per_partition = workers / options.partitions;
    Cluster cluster(options);
    if (!StartAndSettle(cluster)) return Failed(cluster);
    table.rows.push_back(IdleRow(workers, MeasureIdle(cluster)));
  }
  PrintTable(table);
  return true;
}

bool IdleByPartitions(const std::string& binaries) {
  MeasureTable table{
      "Idle cell against partitions (2 frontends, 2 schedulers, 48 workers)",
      Columns("partitions", kIdleColumns),
      {}};
  for (const int partitions : {1, 4, 8, 16}) {
    ClusterOptions options = Cell(binaries);
    options.partitions = partitions;
    options.workers_per_partition = 48 / partitions;
    Cluster cluster(options);
    if (!StartAndSettle(cluster)) return Failed(cluster);
    table.rows.push_back(IdleRow(partitions, MeasureIdle(cluster)));
  }
  PrintTable(table);
  return true;
}

bool IdleAndChangesByProcesses(const std::string& binaries) {
  constexpr int kChanges = 20;
  MeasureTable idle{
      "Idle cell against entry processes (half of them frontends; 48 workers, "
      "2 partitions)",
      Columns("processes", kIdleColumns),
      {}};
  MeasureTable changes{"A contract's change until it is in force everywhere",
                       {"processes", "changes", "p50 ms", "max ms"},
                       {}};
  for (const int processes : {4, 8, 16}) {
    ClusterOptions options = Cell(binaries);
    options.frontends = processes / 2;
    options.schedulers = processes / 2;
    Cluster cluster(options);
    if (!StartAndSettle(cluster)) return Failed(cluster);
    idle.rows.push_back(IdleRow(processes, MeasureIdle(cluster)));
    const std::vector<Duration> times = MeasureChanges(cluster, kChanges);
    changes.rows.push_back(
        {static_cast<double>(processes), static_cast<double>(times.size()),
         Millis(Percentile(times, 0.5)), Millis(Percentile(times, 1))});
  }
  PrintTable(idle);
  PrintTable(changes);
  return true;
}

std::vector<double> LoadRow(const LoadPoint& point) {
  const double tasks = std::max(point.tasks, 1);
  const auto each = [&](double rate) { return rate * point.seconds / tasks; };
  return {point.starts_per_second,
          static_cast<double>(point.jobs),
          static_cast<double>(point.refused),
          point.rates.schedulers,
          point.rates.frontends,
          point.rates.platform,
          point.rates.writes,
          each(point.rates.writes),
          Millis(point.submit_p50),
          Millis(point.submit_p99),
          Millis(point.wait_p50),
          Millis(point.wait_p99)};
}

bool LoadOf(const std::string& binaries, int tasks_per_job,
            const std::vector<int>& jobs_per_second) {
  ClusterOptions options = Cell(binaries);
  Cluster cluster(options);
  if (!StartAndSettle(cluster)) return Failed(cluster);
  const std::string key = cluster.AddTeam("load", nullptr);
  MeasureTable table{"Short tasks in jobs of " + std::to_string(tasks_per_job) +
                         " (2 frontends, 2 schedulers, 2 partitions, 48 "
                         "workers of 8 slots)",
                     {"starts/s", "jobs", "refused", "schedulers ms CPU/s",
                      "frontends ms CPU/s", "stand-in ms CPU/s",
                      "store writes/s", "writes a start", "submit p50 ms",
                      "submit p99 ms", "wait p50 ms", "wait p99 ms"},
                     {}};
  MeasureTable ended{"Tasks that ended and are still kept, in jobs of " +
                         std::to_string(tasks_per_job),
                     {"ended tasks", "largest scheduler MiB"},
                     {}};
  // The first submissions also warm everything up; they are not in the table.
  double tasks = MeasureLoad(cluster, key, {1, 1}).tasks;
  for (const int jobs : jobs_per_second) {
    const LoadPoint point = MeasureLoad(cluster, key, {jobs, tasks_per_job});
    tasks += point.tasks;
    table.rows.push_back(LoadRow(point));
    ended.rows.push_back({tasks, point.scheduler_mib});
  }
  PrintTable(table);
  PrintTable(ended);
  return true;
}

bool Load(const std::string& binaries) {
  return LoadOf(binaries, 1, {5, 10, 20, 40}) &&
         LoadOf(binaries, 20, {2, 5, 10, 20});
}

bool Running(const std::string& binaries) {
  ClusterOptions options = Cell(binaries);
  options.schedulers = 1;
  options.partitions = 1;
  options.workers_per_partition = 48;
  options.worker_capacity = Resources{64, 64, 64'000, 65'536, 0};
  options.budgets = {{"snapshot_every", 5}};
  Cluster cluster(options);
  if (!StartAndSettle(cluster)) return Failed(cluster);
  const std::string key = cluster.AddTeam("running", nullptr);
  MeasureTable table{
      "Running services (1 scheduler, 1 partition, 48 workers of 64 slots)",
      Columns("running tasks", kIdleColumns),
      {}};
  table.columns.insert(table.columns.end(),
                       {"journal ring bytes", "snapshot bytes"});
  for (const int tasks : {200, 800, 1'600, 2'400}) {
    const auto point = MeasureRunning(cluster, key, tasks);
    if (!point) return Failed(cluster);
    table.rows.push_back(IdleRow(tasks, {point->rates, point->end}));
    table.rows.back().push_back(static_cast<double>(point->journal_bytes));
    table.rows.back().push_back(static_cast<double>(point->snapshot_bytes));
  }
  PrintTable(table);
  return true;
}

bool AddEndpointRow(const std::string& binaries, int workers, int clients,
                    double varied, MeasureTable& table) {
  ClusterOptions options = Cell(binaries);
  options.frontends = 0;
  options.schedulers = 0;
  options.partitions = 1;
  options.workers_per_partition = workers;
  Cluster cluster(options);
  if (!cluster.Start(Duration(0))) return Failed(cluster);
  const EndpointPoint point = MeasureEndpoint(cluster, clients);
  table.rows.push_back({varied, static_cast<double>(point.opened),
                        point.exchanges, point.failures, point.bytes_to_worker,
                        point.bytes_from_worker, point.client, point.workers,
                        point.client_mib});
  return true;
}

const std::vector<std::string> kEndpointColumns = {"opened",
                                                   "exchanges/s a worker",
                                                   "of them failed",
                                                   "bytes/s to a worker",
                                                   "bytes/s from a worker",
                                                   "client ms CPU/s",
                                                   "stand-in ms CPU/s",
                                                   "client MiB grown"};

bool Endpoints(const std::string& binaries) {
  MeasureTable table{"Control of idle workers by one endpoint client",
                     Columns("workers", kEndpointColumns),
                     {}};
  for (const int workers : {50, 100, 200, 400, 800}) {
    if (!AddEndpointRow(binaries, workers, 1, workers, table)) return false;
  }
  PrintTable(table);
  return true;
}

bool EndpointClients(const std::string& binaries) {
  constexpr int kWorkers = 400;
  MeasureTable table{
      "Control of 400 idle workers by several clients on one loop",
      Columns("clients", kEndpointColumns),
      {}};
  for (const int clients : {1, 4, 16}) {
    if (!AddEndpointRow(binaries, kWorkers, clients, clients, table)) {
      return false;
    }
  }
  PrintTable(table);
  return true;
}

using Experiment = std::function<bool(const std::string&)>;

const std::vector<std::pair<std::string, Experiment>>& Experiments() {
  static const auto* experiments =
      new std::vector<std::pair<std::string, Experiment>>{
          {"endpoints", Endpoints},
          {"clients", EndpointClients},
          {"workers", IdleByWorkers},
          {"partitions", IdleByPartitions},
          {"processes", IdleAndChangesByProcesses},
          {"load", Load},
          {"running", Running}};
  return *experiments;
}

// Runs those that are named, or all; false when one failed.
bool RunExperiments(const std::string& binaries,
                    const std::vector<std::string>& named) {
  bool good = true;
  for (const auto& [name, run] : Experiments()) {
    const bool wanted = named.empty() || std::find(named.begin(), named.end(),
                                                   name) != named.end();
    if (!wanted || run(binaries)) continue;
    std::fprintf(stderr, "experiment %s failed\n", name.c_str());
    good = false;
  }
  return good;
}

}  // namespace
}  // namespace azurepass::testing

int main(int argc, char** argv) {
  if (argc < 2) {
    std::fprintf(
        stderr,
        "usage: azurepass-measure FOLDER_OF_BINARIES [EXPERIMENT...]\n"
        "EXPERIMENT: endpoints, clients, workers, partitions, processes, load, "
        "running\n");
    return 2;
  }
  const std::vector<std::string> named(argv + 2, argv + argc);
  return azurepass::testing::RunExperiments(argv[1], named) ? 0 : 1;
}
