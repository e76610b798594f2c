// What holds when a worker fails all it starts or cannot be reached.

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "azurepass/testing/system/scenario.h"

namespace azurepass::testing {
namespace {

constexpr Duration kPatience{40'000};
constexpr Duration kWorkerLease{3'000};

ClusterOptions Options() {
  ClusterOptions options;
  options.binaries = AZUREPASS_BINARIES;
  options.timing = {{"worker_lease_ms", kWorkerLease.count()},
                    {"worker_hold_ms", 800}};
  return options;
}

TEST_CASE("jobs finish although a worker fails all it starts") {
  Cluster cluster(Options());
  CAPTURE(cluster.folder());
  REQUIRE(cluster.Start(kPatience));
  const std::string key = cluster.AddTeam("rilapak", nullptr);
  REQUIRE(!key.empty());
  const std::string bad = cluster.vms()[0].value();
  REQUIRE(cluster.SetFault(bad, {{"fault", "fail_tasks"}}).status == 200);
  const std::string job =
      Submit(cluster, key, BatchJob("work", 200, Duration(200)), kPatience);
  REQUIRE(!job.empty());
  const nlohmann::json last = AwaitFinal(cluster, key, job, kPatience);
  MESSAGE("final: ", last.value("final", false));
  CHECK(Succeeded(last) == 200);
  const auto history = cluster.History();
  const auto wasted = Select(
      history, [&](const AttemptRun& run) { return run.vm.value() == bad; });
  MESSAGE("starts on the failing worker: ", wasted.size());
  CHECK(CheckRanOnce(history, JobId(job), 200) == Findings{});
  CHECK(CheckOnePlace(history) == Findings{});
  CHECK(cluster.Violations() == std::vector<std::string>{});
}

TEST_CASE("work of an unreachable worker waits for its lease") {
  Cluster cluster(Options());
  CAPTURE(cluster.folder());
  REQUIRE(cluster.Start(kPatience));
  const std::string key = cluster.AddTeam("rilapak", nullptr);
  REQUIRE(!key.empty());
  const std::string job =
      Submit(cluster, key, BatchJob("work", 40, Duration(8'000)), kPatience);
  REQUIRE(!job.empty());
  REQUIRE(
      Await(kPatience, [&] { return PeakRunning(cluster.History()) == 40; }));
  const std::string cut = cluster.History().front().vm.value();
  const Duration since = Now();
  REQUIRE(cluster.SetFault(cut, {{"fault", "hang"}}).status == 200);
  Pause(kWorkerLease + Duration(9'000));
  REQUIRE(cluster.SetFault(cut, {{"fault", "none"}}).status == 200);
  CHECK(Succeeded(AwaitFinal(cluster, key, job, kPatience)) == 40);
  const auto history = cluster.History();
  const auto again = Select(
      history, [&](const AttemptRun& run) { return run.started > since; });
  // Just what the cut worker had to stop is started again.
  const auto stopped = Select(history, [&](const AttemptRun& run) {
    return run.vm == VmId(cut) && run.outcome == "stopped";
  });
  CHECK(!stopped.empty());
  CHECK(again.size() == stopped.size());
  for (const AttemptRun& run : again) {
    MESSAGE("started elsewhere after ms: ", (run.started - since).count());
  }
  CHECK(CheckRanOnce(history, JobId(job), 40) == Findings{});
  CHECK(CheckOnePlace(history) == Findings{});
  CHECK(cluster.Violations() == std::vector<std::string>{});
}

}  // namespace
}  // namespace azurepass::testing
