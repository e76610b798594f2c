// Common steps of system tests.

#include "azurepass/testing/system/scenario.h"

#include <glib.h>

namespace azurepass::testing {
namespace {

using Json = nlohmann::json;

constexpr Duration kPoll{50};
constexpr char kSchedulerPrefix[] = "scheduler-";

}  // namespace

Duration Now() {
  return std::chrono::duration_cast<Duration>(
      std::chrono::microseconds(g_get_monotonic_time()));
}

Json BatchJob(const std::string& request_id, int tasks, Duration run_time,
              bool repeatable) {
  return {{"request_id", request_id}, {"queue", "work"},
          {"policy", "batch"},        {"tasks", tasks},
          {"task", {{"slots", 1}}},   {"run_time_ms", run_time.count()},
          {"repeatable", repeatable}};
}

bool Await(Duration patience, const std::function<bool()>& holds) {
  const Duration deadline = Now() + patience;
  while (!holds()) {
    if (Now() >= deadline) return false;
    Pause(kPoll);
  }
  return true;
}

std::string Submit(Cluster& cluster, const std::string& key, const Json& job,
                   Duration patience, int frontend) {
  std::string id;
  Await(patience, [&] {
    const HttpAnswer answer =
        cluster.Call(frontend, "POST", "/v1/jobs", key, job);
    if (answer.status / 100 == 2) id = answer.body.value("id", "");
    return !id.empty();
  });
  return id;
}

Json AwaitFinal(Cluster& cluster, const std::string& key,
                const std::string& job, Duration patience) {
  Json body;
  Await(patience, [&] {
    const int64_t known =
        body.is_object() ? body.value("version", int64_t{0}) : int64_t{0};
    const HttpAnswer answer = cluster.Call(
        0, "GET", "/v1/jobs/" + job + "?wait=1&known=" + std::to_string(known),
        key);
    if (answer.status == 200 && answer.body.is_object()) body = answer.body;
    return body.is_object() && body.value("final", false);
  });
  return body;
}

int Succeeded(const Json& job) {
  int count = 0;
  if (!job.is_object()) return count;
  for (const Json& task : job.value("tasks", Json::array())) {
    if (task.value("state", "") == "succeeded") ++count;
  }
  return count;
}

int OwnerOf(Cluster& cluster, const std::string& partition) {
  const HttpAnswer answer = cluster.Operate(0, "GET", "/v1/status");
  if (!answer.body.is_object()) return -1;
  for (const Json& line : answer.body.value("partitions", Json::array())) {
    const std::string owner = line.value("owner", "");
    if (line.value("partition", "") != partition) continue;
    if (!owner.starts_with(kSchedulerPrefix)) return -1;
    return std::stoi(owner.substr(sizeof kSchedulerPrefix - 1));
  }
  return -1;
}

}  // namespace azurepass::testing
