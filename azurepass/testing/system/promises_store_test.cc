// What holds while the configuration store is away or loses its answers.

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "azurepass/testing/system/scenario.h"

namespace azurepass::testing {
namespace {

using Json = nlohmann::json;

constexpr Duration kPatience{40'000};

ClusterOptions Options(int partitions = 1) {
  ClusterOptions options;
  options.binaries = AZUREPASS_BINARIES;
  options.partitions = partitions;
  return options;
}

TEST_CASE(
    "store outage: running tasks go on, a refusal is true, work resumes") {
  Cluster cluster(Options());
  CAPTURE(cluster.folder());
  REQUIRE(cluster.Start(kPatience));
  const std::string key = cluster.AddTeam("rilapak", nullptr);
  REQUIRE(!key.empty());
  // 48 slots: the second half is queued when the store goes away.
  constexpr Duration kRunTime{4'000};
  const std::string before =
      Submit(cluster, key, BatchJob("before", 96, kRunTime), kPatience);
  REQUIRE(!before.empty());
  REQUIRE(
      Await(kPatience, [&] { return PeakRunning(cluster.History()) >= 48; }));

  constexpr Duration kOutage{8'000};
  const Duration outage = Now();
  REQUIRE(cluster.SetFault("store", {{"fault", "refuse"}}).status == 200);
  const HttpAnswer refused =
      cluster.Call(0, "POST", "/v1/jobs", key, BatchJob("during", 3, kRunTime));
  MESSAGE("submission during the outage: ", refused.status, " ",
          refused.body.dump());
  CHECK(refused.status / 100 == 5);
  REQUIRE(refused.body.is_object());
  // "unknown" is true too: the record may ride in a batch whose connection
  // broke as the outage began. Then the job may run, each task once.
  const std::string effect = refused.body.value("effect", "");
  CHECK((effect == "not_run" || effect == "unknown"));
  Pause(Duration(1'000));
  MESSAGE("status in the outage: ",
          cluster.Operate(1, "GET", "/v1/status").body.dump());
  const Duration left = outage + kOutage - Now();
  if (left > Duration(0)) Pause(left);
  const auto during = cluster.History();
  const Duration over = Now();
  REQUIRE(cluster.SetFault("store", {{"fault", "none"}}).status == 200);
  const auto started_in_outage = Select(during, [&](const AttemptRun& run) {
    return run.started > outage + Duration(500);
  });
  MESSAGE("starts in the outage: ", started_in_outage.size());
  CHECK(!started_in_outage.empty());
  for (const AttemptRun& run : during) {
    const bool ran_on = run.outcome == "succeeded" || run.outcome == "running";
    CHECK_MESSAGE(ran_on, ToString(run.attempt), " ", run.outcome);
  }

  const std::string after =
      Submit(cluster, key, BatchJob("after", 3, Duration(100)), kPatience);
  REQUIRE(!after.empty());
  MESSAGE("acknowledged again after ms: ", (Now() - over).count());
  CHECK(Succeeded(AwaitFinal(cluster, key, before, kPatience)) == 96);
  CHECK(Succeeded(AwaitFinal(cluster, key, after, kPatience)) == 3);
  const auto history = cluster.History();
  CHECK(CheckRanOnce(history, JobId(before), 96) == Findings{});
  CHECK(CheckRanOnce(history, JobId(after), 3) == Findings{});
  CHECK(CheckOnePlace(history) == Findings{});
  CHECK(cluster.Violations() == std::vector<std::string>{});
  const auto others = Select(history, [&](const AttemptRun& run) {
    return run.attempt.task.job != JobId(before) &&
           run.attempt.task.job != JobId(after);
  });
  if (effect == "not_run") CHECK_MESSAGE(others.empty(), "a refused job ran");
  CHECK(others.size() <= 3);
}

TEST_CASE("lost answers of the store: one job a request id, each task once") {
  Cluster cluster(Options());
  CAPTURE(cluster.folder());
  REQUIRE(cluster.Start(kPatience));
  const std::string key = cluster.AddTeam("rilapak", nullptr);
  REQUIRE(!key.empty());
  REQUIRE(cluster
              .SetFault(
                  "store",
                  {{"fault", "lose_answer"}, {"probability", 0.2}, {"seed", 7}})
              .status == 200);
  constexpr int kJobs = 12;
  constexpr int kTasks = 4;
  std::vector<std::string> ids;
  std::vector<HttpAnswer> answers;
  int contracts = 0;
  for (int i = 0; i < kJobs; ++i) {
    const std::string request = "request-" + std::to_string(i);
    const Json job = BatchJob(request, kTasks, Duration(100));
    const std::string id = Submit(cluster, key, job, kPatience, i % 2);
    CHECK_MESSAGE(!id.empty(), request);
    CHECK(Submit(cluster, key, job, kPatience, (i + 1) % 2) == id);
    ids.push_back(id);
    const std::string team = "team-" + std::to_string(i);
    const Json contract = {
        {"team", team}, {"zones", cluster.zones()}, {"queues", Json::array()}};
    const HttpAnswer put =
        cluster.Operate(i % 2, "PUT", "/v1/contracts/" + team, contract);
    if (put.status / 100 == 2) ++contracts;
    answers.push_back(put);
  }
  MESSAGE("contracts accepted: ", contracts, " of ", kJobs);
  REQUIRE(cluster.SetFault("store", {{"fault", "none"}}).status == 200);
  // An accepted contract is there; one refused as not run is not.
  for (int i = 0; i < kJobs; ++i) {
    const std::string team = "team-" + std::to_string(i);
    const HttpAnswer now = cluster.Operate(0, "GET", "/v1/contracts/" + team);
    const HttpAnswer& put = answers[i];
    CAPTURE(put.body.dump());
    REQUIRE(put.body.is_object());
    if (put.status / 100 == 2) {
      CHECK(now.status == 200);
    } else if (put.body.value("effect", "") == "not_run") {
      CHECK(now.status == 404);
    } else {
      CHECK(put.body.value("effect", "") == "unknown");
    }
  }
  CHECK(contracts > 0);
  for (const std::string& id : ids) {
    CHECK(Succeeded(AwaitFinal(cluster, key, id, kPatience)) == kTasks);
  }
  const auto history = cluster.History();
  for (const std::string& id : ids) {
    CHECK(CheckRanOnce(history, JobId(id), kTasks) == Findings{});
  }
  CHECK(static_cast<int>(history.size()) == kJobs * kTasks);
  CHECK(CheckOnePlace(history) == Findings{});
  CHECK(cluster.Violations() == std::vector<std::string>{});
}

}  // namespace
}  // namespace azurepass::testing
