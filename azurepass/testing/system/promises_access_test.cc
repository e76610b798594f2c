// Keys of two teams, and VMs that leave.

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "azurepass/testing/system/scenario.h"

namespace azurepass::testing {
namespace {

using Json = nlohmann::json;

constexpr Duration kPatience{30'000};

ClusterOptions Options() {
  ClusterOptions options;
  options.binaries = AZUREPASS_BINARIES;
  return options;
}

std::string CodeOf(const HttpAnswer& answer) {
  return answer.body.is_object() ? answer.body.value("code", "") : "";
}

TEST_CASE("work is taken and shown only for the team whose key came with it") {
  Cluster cluster(Options());
  CAPTURE(cluster.folder());
  REQUIRE(cluster.Start(kPatience));
  const std::string first = cluster.AddTeam("first", nullptr);
  const std::string second = cluster.AddTeam("second", nullptr);
  REQUIRE(!first.empty());
  REQUIRE(!second.empty());
  const Json job = BatchJob("same-id", 2, Duration(100));
  const std::string of_first = Submit(cluster, first, job, kPatience);
  const std::string of_second = Submit(cluster, second, job, kPatience, 1);
  REQUIRE(!of_first.empty());
  REQUIRE(!of_second.empty());
  CHECK(of_first != of_second);  // The request id is the team's own.

  for (const int frontend : {0, 1}) {
    CAPTURE(frontend);
    const std::string path = "/v1/jobs/" + of_first;
    for (const char* method : {"GET", "DELETE"}) {
      const HttpAnswer answer = cluster.Call(frontend, method, path, second);
      CHECK(answer.status / 100 == 4);
      CHECK(answer.body.dump().find("first") == std::string::npos);
    }
    CHECK(cluster.Call(frontend, "GET", path + "/explain", second).status /
              100 ==
          4);
    CHECK(CodeOf(cluster.Call(frontend, "GET", path, "")) == "unauthenticated");
    CHECK(CodeOf(cluster.Call(frontend, "POST", "/v1/jobs", "azp_unknown",
                              job)) == "unauthenticated");
  }
  // The other team's cancellations had no effect.
  CHECK(Succeeded(AwaitFinal(cluster, first, of_first, kPatience)) == 2);
  CHECK(Succeeded(AwaitFinal(cluster, second, of_second, kPatience)) == 2);
}

TEST_CASE("a leaving VM gets no new work, its running tasks may end") {
  constexpr Duration kFewSeconds{3'000};
  Cluster cluster(Options());
  CAPTURE(cluster.folder());
  REQUIRE(cluster.Start(kPatience));
  const std::string key = cluster.AddTeam("rilapak", nullptr);
  REQUIRE(!key.empty());
  // Twelve rounds of half a second on 48 slots.
  const std::string job =
      Submit(cluster, key, BatchJob("steady", 576, Duration(500)), kPatience);
  REQUIRE(!job.empty());
  REQUIRE(Await(kPatience, [&] { return !cluster.History().empty(); }));
  const VmId leaving = cluster.History().front().vm;
  REQUIRE(cluster.SetVmState(leaving, "leaving").status == 200);
  const Duration told = Now();
  CHECK(Succeeded(AwaitFinal(cluster, key, job, kPatience)) == 576);

  const auto history = cluster.History();
  const auto late = Select(history, [&](const AttemptRun& run) {
    return run.vm == leaving && run.started > told + kFewSeconds;
  });
  const auto elsewhere = Select(history, [&](const AttemptRun& run) {
    return run.vm != leaving && run.started > told + kFewSeconds;
  });
  const auto after = Select(history, [&](const AttemptRun& run) {
    return run.vm == leaving && run.started > told;
  });
  MESSAGE("starts on it after the VM list said so: ", after.size());
  CHECK(late.empty());
  CHECK(!elsewhere.empty());
  CHECK(CheckRanOnce(history, JobId(job), 576) == Findings{});
  CHECK(CheckOnePlace(history) == Findings{});
}

}  // namespace
}  // namespace azurepass::testing
