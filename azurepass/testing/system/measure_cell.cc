// Samples and the experiments without load; see measure_load.cc for the rest.

#include "azurepass/testing/system/measure_cell.h"

#include <algorithm>
#include <chrono>
#include <initializer_list>

#include "azurepass/testing/system/pause.h"
#include "azurepass/testing/system/process_usage.h"

namespace azurepass::testing {
namespace {

using Json = nlohmann::json;
using Clock = BootClock;

constexpr Duration kPatience{60'000};
constexpr Duration kStatusPoll{100};
constexpr Duration kFastStatusPoll{10};
constexpr Duration kSettle{2'000};
constexpr Duration kIdleSpan{8'000};
constexpr double kMib = 1'048'576;

double Calls(const Json& calls, std::initializer_list<const char*> kinds) {
  double sum = 0;
  for (const char* kind : kinds) sum += calls.value(kind, 0.0);
  return sum;
}

double Mib(const ProcessUsage& usage) {
  return static_cast<double>(usage.resident_bytes) / kMib;
}

// Asks the first frontend for the cell's status until it is good.
template <class Good>
bool AwaitStatus(Cluster& cluster, Duration poll, Good good) {
  const auto deadline = Clock::now() + kPatience;
  while (Clock::now() < deadline) {
    const HttpAnswer answer = cluster.Operate(0, "GET", "/v1/status");
    if (answer.body.is_object() && good(answer.body)) return true;
    Pause(poll);
  }
  return false;
}

bool AllOwned(const Json& status, const ClusterOptions& options) {
  const Json& partitions = status["partitions"];
  if (std::ssize(partitions) != options.partitions) return false;
  return std::all_of(partitions.begin(), partitions.end(),
                     [&](const Json& partition) {
                       return partition.value("answered", false) &&
                              partition.value("open_workers", 0) ==
                                  options.workers_per_partition;
                     });
}

int64_t CommittedTasks(const Json& status) {
  int64_t committed = 0;
  for (const Json& partition : status["partitions"]) {
    committed += partition.value("committed_tasks", int64_t{0});
  }
  return committed;
}

// Frontends are asked one by one: a status asks the schedulers, but tells of
// the other frontends only what gossip brought.
bool AllInForce(Cluster& cluster, int64_t revision) {
  for (int i = 0; i < cluster.options().frontends; ++i) {
    const HttpAnswer answer = cluster.Operate(i, "GET", "/v1/status");
    if (!answer.body.is_object() ||
        answer.body.value("revision", int64_t{0}) < revision) {
      return false;
    }
    if (i > 0) continue;
    const Json& members = answer.body["members"];
    const auto in_force =
        std::count_if(members.begin(), members.end(), [&](const Json& m) {
          return m.value("answered", false) &&
                 m.value("revision", int64_t{0}) >= revision;
        });
    if (in_force < cluster.options().schedulers) return false;
  }
  return true;
}

Json LongJob(int from, int tasks) {
  return {{"request_id", "long-" + std::to_string(from)},
          {"queue", "work"},
          {"policy", "service"},
          {"tasks", tasks},
          {"task", {{"slots", 1}}},
          {"run_time_ms", 0}};
}

}  // namespace

CellSample TakeSample(Cluster& cluster) {
  CellSample sample;
  sample.at = Clock::now();
  for (int i = 0; i < cluster.options().schedulers; ++i) {
    const ProcessUsage usage = ReadProcessUsage(cluster.scheduler(i).id());
    sample.schedulers += usage.processor;
    sample.scheduler_mib = std::max(sample.scheduler_mib, Mib(usage));
  }
  for (int i = 0; i < cluster.options().frontends; ++i) {
    const ProcessUsage usage = ReadProcessUsage(cluster.frontend(i).id());
    sample.frontends += usage.processor;
    sample.frontend_mib = std::max(sample.frontend_mib, Mib(usage));
  }
  sample.platform = ReadProcessUsage(cluster.standin().id()).processor;
  const Json stats = cluster.StoreStats();
  if (!stats.is_object()) return sample;
  const Json& calls = stats["calls"];
  sample.store_reads = Calls(calls, {"get", "range"});
  sample.store_watches = Calls(calls, {"watch"});
  sample.store_writes = Calls(calls, {"put", "delete"});
  sample.store_leases = Calls(calls, {"grant", "renew", "revoke"});
  return sample;
}

CellRates RatesBetween(const CellSample& from, const CellSample& to) {
  CellRates rates;
  rates.seconds = std::chrono::duration<double>(to.at - from.at).count();
  const auto rate = [&](Duration a, Duration b) {
    return static_cast<double>((b - a).count()) / rates.seconds;
  };
  rates.schedulers = rate(from.schedulers, to.schedulers);
  rates.frontends = rate(from.frontends, to.frontends);
  rates.platform = rate(from.platform, to.platform);
  rates.reads = (to.store_reads - from.store_reads) / rates.seconds;
  rates.watches = (to.store_watches - from.store_watches) / rates.seconds;
  rates.writes = (to.store_writes - from.store_writes) / rates.seconds;
  rates.leases = (to.store_leases - from.store_leases) / rates.seconds;
  return rates;
}

bool StartAndSettle(Cluster& cluster) {
  if (!cluster.Start(kPatience)) return false;
  const bool owned = AwaitStatus(cluster, kStatusPoll, [&](const Json& status) {
    return AllOwned(status, cluster.options());
  });
  Pause(kSettle);
  return owned;
}

IdlePoint MeasureIdle(Cluster& cluster) {
  const CellSample begin = TakeSample(cluster);
  Pause(kIdleSpan);
  const CellSample end = TakeSample(cluster);
  return {RatesBetween(begin, end), end};
}

std::optional<RunningPoint> MeasureRunning(Cluster& cluster,
                                           const std::string& key, int tasks) {
  constexpr int kTasksPerJob = 50;
  const HttpAnswer before = cluster.Operate(0, "GET", "/v1/status");
  if (!before.body.is_object()) return std::nullopt;
  const auto running = static_cast<int>(CommittedTasks(before.body));
  for (int from = running; from < tasks; from += kTasksPerJob) {
    const HttpAnswer answer =
        cluster.Call(0, "POST", "/v1/jobs", key,
                     LongJob(from, std::min(kTasksPerJob, tasks - from)));
    if (answer.status / 100 != 2) return std::nullopt;
  }
  const bool there = AwaitStatus(cluster, kStatusPoll, [&](const Json& status) {
    return CommittedTasks(status) == tasks;
  });
  if (!there) return std::nullopt;
  Pause(kSettle);
  const IdlePoint idle = MeasureIdle(cluster);
  return RunningPoint{idle.rates, idle.end, cluster.StoreBytes("journal/"),
                      cluster.StoreBytes("snapshot/")};
}

std::vector<Duration> MeasureChanges(Cluster& cluster, int changes) {
  std::vector<Duration> times;
  for (int i = 0; i < changes; ++i) {
    const std::string team = "changed-" + std::to_string(i);
    const Json contract = {
        {"team", team}, {"zones", cluster.zones()}, {"queues", Json::array()}};
    const auto sent = Clock::now();
    const HttpAnswer put =
        cluster.Operate(0, "PUT", "/v1/contracts/" + team, contract);
    if (put.status / 100 != 2) continue;
    const auto revision = put.body.value("version", int64_t{1});
    const bool in_force =
        AwaitStatus(cluster, kFastStatusPoll,
                    [&](const Json&) { return AllInForce(cluster, revision); });
    if (!in_force) continue;
    times.push_back(std::chrono::duration_cast<Duration>(Clock::now() - sent));
  }
  std::sort(times.begin(), times.end());
  return times;
}

Duration Percentile(const std::vector<Duration>& sorted, double part) {
  if (sorted.empty()) return Duration(0);
  const auto index =
      static_cast<size_t>(part * static_cast<double>(sorted.size()));
  return sorted[std::min(index, sorted.size() - 1)];
}

}  // namespace azurepass::testing
