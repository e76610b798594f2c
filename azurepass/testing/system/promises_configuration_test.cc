// Contracts, keys and availability zones as operators change them.

#include <doctest/doctest.h>

#include <csignal>
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

constexpr Duration kInForce{3'000};

size_t StartsIn(Cluster& cluster, const std::string& zone, int zones,
                Duration from) {
  // Cluster deals workers to zones in turn: w-PARTITION-INDEX.
  return Select(cluster.History(),
                [&](const AttemptRun& run) {
                  const std::string& vm = run.vm.value();
                  const int index = std::stoi(vm.substr(vm.rfind('-') + 1));
                  return "zone-" + std::to_string(index % zones) == zone &&
                         run.started > from;
                })
      .size();
}

TEST_CASE("a zone out of service gets no start, and work when it is back") {
  Cluster cluster(Options(2));
  CAPTURE(cluster.folder());
  REQUIRE(cluster.Start(kPatience));
  const std::string key = cluster.AddTeam("rilapak", nullptr);
  REQUIRE(!key.empty());
  std::vector<std::string> jobs;
  for (int i = 0; i < 6; ++i) {
    jobs.push_back(Submit(
        cluster, key, BatchJob("load-" + std::to_string(i), 800, Duration(300)),
        kPatience));
    REQUIRE(!jobs.back().empty());
  }
  REQUIRE(Await(kPatience, [&] {
    return StartsIn(cluster, "zone-1", 3, Duration(0)) > 9;
  }));
  const HttpAnswer out = cluster.Operate(
      0, "PUT", "/v1/zones/zone-1", {{"in_service", false}, {"version", 0}});
  const Duration answered = Now();
  REQUIRE_MESSAGE(out.status / 100 == 2, out.body.dump());
  Pause(kInForce + Duration(3'000));
  MESSAGE("starts in the zone after the answer: ",
          StartsIn(cluster, "zone-1", 3, answered));
  CHECK(StartsIn(cluster, "zone-1", 3, answered + kInForce) == 0);
  CHECK(StartsIn(cluster, "zone-0", 3, answered + kInForce) > 0);
  const HttpAnswer back = cluster.Operate(
      1, "PUT", "/v1/zones/zone-1",
      {{"in_service", true}, {"version", out.body.value("version", 0)}});
  const Duration returned = Now();
  REQUIRE_MESSAGE(back.status / 100 == 2, back.body.dump());
  CHECK(Await(kPatience,
              [&] { return StartsIn(cluster, "zone-1", 3, returned) > 0; }));
  MESSAGE("work is back after ms: ", (Now() - returned).count());
  CHECK(CheckOnePlace(cluster.History()) == Findings{});
  CHECK(cluster.Violations() == std::vector<std::string>{});
}

TEST_CASE("a withdrawn key is refused by every frontend within 3 s") {
  Cluster cluster(Options());
  CAPTURE(cluster.folder());
  REQUIRE(cluster.Start(kPatience));
  const std::string key = cluster.AddTeam("rilapak", nullptr);
  REQUIRE(!key.empty());
  const HttpAnswer other =
      cluster.Operate(0, "POST", "/v1/keys", {{"team", "rilapak"}});
  REQUIRE(other.status / 100 == 2);
  const std::string secret = other.body.value("secret", "");
  REQUIRE(!Submit(cluster, secret, BatchJob("by-0", 1, Duration(50)), kPatience)
               .empty());
  REQUIRE(
      !Submit(cluster, secret, BatchJob("by-1", 1, Duration(50)), kPatience, 1)
           .empty());
  const std::string id = other.body.value("id", other.body.value("key", ""));
  REQUIRE_MESSAGE(!id.empty(), other.body.dump());
  const HttpAnswer gone = cluster.Operate(0, "DELETE", "/v1/keys/" + id);
  REQUIRE_MESSAGE(gone.status / 100 == 2, gone.body.dump());
  const Duration answered = Now();
  int serial = 0;
  for (int frontend = 0; frontend < 2; ++frontend) {
    CHECK(Await(answered + kInForce - Now(), [&] {
      return cluster
                 .Call(frontend, "POST", "/v1/jobs", secret,
                       BatchJob("late-" + std::to_string(++serial), 1,
                                Duration(50)))
                 .status == 401;
    }));
    MESSAGE("frontend ", frontend,
            " refuses after ms: ", (Now() - answered).count());
  }
  CHECK(!Submit(cluster, key, BatchJob("other", 1, Duration(50)), kPatience)
             .empty());
}

TEST_CASE("the upper limit holds over partitions, a kill and a lowering") {
  Cluster cluster(Options(2));
  CAPTURE(cluster.folder());
  REQUIRE(cluster.Start(kPatience));
  const std::string key = cluster.AddTeam("rilapak", {{"slots", 12}});
  REQUIRE(!key.empty());
  for (int i = 0; i < 6; ++i) {
    REQUIRE(!Submit(cluster, key,
                    BatchJob("load-" + std::to_string(i), 400, Duration(500)),
                    kPatience)
                 .empty());
  }
  REQUIRE(
      Await(kPatience, [&] { return PeakRunning(cluster.History()) >= 10; }));
  const int owner = OwnerOf(cluster, "intake-0");
  REQUIRE(owner >= 0);
  cluster.scheduler(owner).Signal(SIGKILL);
  cluster.scheduler(owner).Wait();
  Pause(Duration(5'000));
  cluster.StartScheduler(owner);
  Pause(Duration(2'000));
  MESSAGE("peak under the limit of 12: ", PeakRunning(cluster.History()));
  CHECK(PeakRunning(cluster.History()) <= 12);

  const HttpAnswer seen = cluster.Operate(0, "GET", "/v1/contracts/rilapak");
  REQUIRE(seen.status == 200);
  Json contract = seen.body;
  contract["upper_limit"] = {{"slots", 5}};
  const HttpAnswer put =
      cluster.Operate(1, "PUT", "/v1/contracts/rilapak", contract);
  REQUIRE_MESSAGE(put.status / 100 == 2, put.body.dump());
  const Duration answered = Now();
  Pause(kInForce + Duration(4'000));
  const auto history = cluster.History();
  MESSAGE("peak from 3 s after the lowering to 5: ",
          PeakRunning(history, answered + kInForce));
  CHECK(PeakRunning(history, answered + kInForce) <= 5);
  CHECK(PeakRunning(history, answered + kInForce) > 0);
  CHECK(CheckOnePlace(history) == Findings{});
  CHECK(cluster.Violations() == std::vector<std::string>{});
}

TEST_CASE("of two writes with the same version one loses and sees the other") {
  Cluster cluster(Options());
  CAPTURE(cluster.folder());
  REQUIRE(cluster.Start(kPatience));
  REQUIRE(!cluster.AddTeam("rilapak", nullptr).empty());
  Json contract = cluster.Operate(0, "GET", "/v1/contracts/rilapak").body;
  contract["share"] = 2;
  const HttpAnswer first =
      cluster.Operate(0, "PUT", "/v1/contracts/rilapak", contract);
  contract["share"] = 3;
  const HttpAnswer second =
      cluster.Operate(1, "PUT", "/v1/contracts/rilapak", contract);
  CHECK(first.status / 100 == 2);
  CHECK(second.status == 409);
  REQUIRE(second.body.is_object());
  CHECK(second.body.value("effect", "") == "not_run");
  CHECK(second.body["current"] == first.body);
}

}  // namespace
}  // namespace azurepass::testing
