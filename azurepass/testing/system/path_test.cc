// One request from end to end through separate processes, and again after the
// owner of its partition was killed.

#include <doctest/doctest.h>

#include <csignal>
#include <string>

#include "azurepass/testing/system/checks.h"
#include "azurepass/testing/system/cluster.h"

namespace azurepass::testing {
namespace {

using Json = nlohmann::json;

constexpr Duration kPatience{20'000};

ClusterOptions Options() {
  ClusterOptions options;
  options.binaries = AZUREPASS_BINARIES;
  return options;
}

Json Job(const std::string& request_id, int tasks, int64_t run_time_ms) {
  return {{"request_id", request_id}, {"queue", "work"},
          {"policy", "batch"},        {"tasks", tasks},
          {"task", {{"slots", 1}}},   {"run_time_ms", run_time_ms}};
}

// Holds GETs until the job is final or the tries run out.
Json AwaitFinal(Cluster& cluster, const std::string& key,
                const std::string& job) {
  constexpr int kTries = 20;
  Json body;
  int64_t known = 0;
  for (int i = 0; i < kTries; ++i) {
    const HttpAnswer answer = cluster.Call(
        0, "GET", "/v1/jobs/" + job + "?wait=2&known=" + std::to_string(known),
        key);
    if (!answer.body.is_object() || answer.status != 200) continue;
    body = answer.body;
    known = body.value("version", int64_t{0});
    if (body.value("final", false)) break;
  }
  return body;
}

int Succeeded(const Json& job) {
  int count = 0;
  for (const Json& task : job.value("tasks", Json::array())) {
    if (task.value("state", "") == "succeeded") ++count;
  }
  return count;
}

TEST_CASE("a batch job runs through all processes, each task once") {
  Cluster cluster(Options());
  REQUIRE_MESSAGE(cluster.Start(kPatience), "logs in ", cluster.folder());
  const std::string key = cluster.AddTeam("rilapak", nullptr);
  REQUIRE(!key.empty());

  const HttpAnswer accepted =
      cluster.Call(0, "POST", "/v1/jobs", key, Job("first", 10, 100));
  REQUIRE_MESSAGE(accepted.status / 100 == 2, accepted.body.dump());
  const std::string id = accepted.body.value("id", "");
  // The same request through the other frontend is the same job.
  CHECK(cluster.Call(1, "POST", "/v1/jobs", key, Job("first", 10, 100))
            .body.value("id", "") == id);
  CHECK(
      cluster.Call(1, "POST", "/v1/jobs", key, Job("first", 11, 100)).status ==
      409);

  const Json job = AwaitFinal(cluster, key, id);
  CHECK(Succeeded(job) == 10);
  const auto history = cluster.History();
  CHECK(CheckRanOnce(history, JobId(id), 10) == Findings{});
  CHECK(CheckOnePlace(history) == Findings{});
}

TEST_CASE("work goes on when schedulers are killed one after the other") {
  Cluster cluster(Options());
  REQUIRE_MESSAGE(cluster.Start(kPatience), "logs in ", cluster.folder());
  const std::string key = cluster.AddTeam("rilapak", nullptr);
  REQUIRE(!key.empty());

  const HttpAnswer accepted =
      cluster.Call(0, "POST", "/v1/jobs", key, Job("long", 60, 1'000));
  REQUIRE_MESSAGE(accepted.status / 100 == 2, accepted.body.dump());
  const std::string id = accepted.body.value("id", "");
  for (int victim = 0; victim < 2; ++victim) {
    cluster.scheduler(victim).Signal(SIGKILL);
    cluster.scheduler(victim).Wait();
    // The job is answered again once another scheduler has taken over.
    const HttpAnswer answer =
        cluster.Call(0, "GET", "/v1/jobs/" + id + "?wait=0", key);
    CHECK_MESSAGE(answer.status == 200, answer.body.dump());
    cluster.StartScheduler(victim);
  }
  const Json job = AwaitFinal(cluster, key, id);
  CHECK(Succeeded(job) == 60);
  const auto history = cluster.History();
  CHECK(CheckRanOnce(history, JobId(id), 60) == Findings{});
  CHECK(CheckOnePlace(history) == Findings{});
}

}  // namespace
}  // namespace azurepass::testing
