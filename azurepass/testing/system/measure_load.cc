// Short tasks at an even rate. Submissions go out one after the other on this
// thread, each at its planned moment or as soon as the one before was answered;
// the rate that came about is what is reported.

#include <algorithm>
#include <chrono>

#include "azurepass/testing/system/measure_cell.h"
#include "azurepass/testing/system/pause.h"

namespace azurepass::testing {
namespace {

using Json = nlohmann::json;
using Clock = BootClock;

constexpr std::chrono::seconds kSubmitSpan{6};
constexpr int kRunTimeMs = 200;
constexpr int kWaitTries = 30;

Json ShortJob(const std::string& id, int tasks) {
  return {{"request_id", id},       {"queue", "work"},
          {"policy", "batch"},      {"tasks", tasks},
          {"task", {{"slots", 1}}}, {"run_time_ms", kRunTimeMs}};
}

struct Submitted {
  std::vector<std::string> ids;
  std::vector<Duration> times;
  int refused = 0;
};

Submitted SubmitEvenly(Cluster& cluster, const std::string& key,
                       const LoadOptions& options) {
  Submitted submitted;
  const auto begin = Clock::now();
  const auto spacing =
      Clock::duration(std::chrono::seconds(1)) / options.jobs_per_second;
  const std::string run = std::to_string(options.jobs_per_second) + "x" +
                          std::to_string(options.tasks_per_job) + "-";
  const int count =
      options.jobs_per_second * static_cast<int>(kSubmitSpan.count());
  for (int i = 0; i < count; ++i) {
    Pause(std::chrono::duration_cast<Duration>(begin + i * spacing -
                                               Clock::now()));
    if (Clock::now() > begin + 2 * kSubmitSpan) break;
    const auto sent = Clock::now();
    const HttpAnswer answer =
        cluster.Call(i % cluster.options().frontends, "POST", "/v1/jobs", key,
                     ShortJob(run + std::to_string(i), options.tasks_per_job));
    submitted.times.push_back(
        std::chrono::duration_cast<Duration>(Clock::now() - sent));
    if (answer.status / 100 == 2) {
      submitted.ids.push_back(answer.body.value("id", ""));
    } else {
      ++submitted.refused;
    }
  }
  std::sort(submitted.times.begin(), submitted.times.end());
  return submitted;
}

// Waits for the job's end and adds how long each task waited.
void CollectWaits(Cluster& cluster, const std::string& key,
                  const std::string& job, std::vector<Duration>& waits) {
  int64_t known = 0;
  for (int i = 0; i < kWaitTries; ++i) {
    const HttpAnswer answer = cluster.Call(
        0, "GET", "/v1/jobs/" + job + "?wait=1&known=" + std::to_string(known),
        key);
    if (!answer.body.is_object()) continue;
    known = answer.body.value("version", int64_t{0});
    if (!answer.body.value("final", false)) continue;
    for (const Json& task : answer.body.value("tasks", Json::array())) {
      waits.emplace_back(task.value("waited_ms", int64_t{0}));
    }
    return;
  }
}

}  // namespace

LoadPoint MeasureLoad(Cluster& cluster, const std::string& key,
                      const LoadOptions& options) {
  LoadPoint point;
  const CellSample begin = TakeSample(cluster);
  const Submitted submitted = SubmitEvenly(cluster, key, options);
  // The last tasks end within the run time of one; then all is quiet.
  Pause(Duration(2 * kRunTimeMs));
  const CellSample end = TakeSample(cluster);
  point.rates = RatesBetween(begin, end);
  point.scheduler_mib = end.scheduler_mib;
  point.seconds = point.rates.seconds;
  point.refused = submitted.refused;
  point.jobs = static_cast<int>(submitted.ids.size());
  std::vector<Duration> waits;
  for (const std::string& id : submitted.ids) {
    CollectWaits(cluster, key, id, waits);
  }
  std::sort(waits.begin(), waits.end());
  point.tasks = static_cast<int>(waits.size());
  point.starts_per_second = point.tasks / point.seconds;
  point.wait_p50 = Percentile(waits, 0.5);
  point.wait_p99 = Percentile(waits, 0.99);
  point.submit_p50 = Percentile(submitted.times, 0.5);
  point.submit_p99 = Percentile(submitted.times, 0.99);
  return point;
}

}  // namespace azurepass::testing
