// What the processes do on signals that ask for no end.

#include <doctest/doctest.h>

#include <csignal>
#include <fstream>
#include <iterator>
#include <string>

#include "azurepass/testing/system/scenario.h"

namespace azurepass::testing {
namespace {

constexpr Duration kPatience{40'000};

bool LogHas(const Cluster& cluster, const std::string& name,
            const std::string& words) {
  std::ifstream log(cluster.folder() + "/" + name + ".log");
  const std::string text((std::istreambuf_iterator<char>(log)),
                         std::istreambuf_iterator<char>());
  return text.find(words) != std::string::npos;
}

// Guards against a process that SIGHUP, the sign of changed settings, ends.
TEST_CASE("processes go on after SIGHUP and say what they found") {
  ClusterOptions options;
  options.binaries = AZUREPASS_BINARIES;
  options.frontends = 1;
  options.schedulers = 1;
  Cluster cluster(options);
  CAPTURE(cluster.folder());
  REQUIRE(cluster.Start(kPatience));
  const std::string key = cluster.AddTeam("rilapak", nullptr);
  REQUIRE(!key.empty());
  cluster.scheduler(0).Signal(SIGHUP);
  cluster.frontend(0).Signal(SIGHUP);
  const std::string line = "event=reload outcome=unchanged";
  CHECK(Await(kPatience, [&] {
    return LogHas(cluster, "scheduler-0", line) &&
           LogHas(cluster, "frontend-0", line);
  }));
  CHECK(cluster.scheduler(0).running());
  CHECK(cluster.frontend(0).running());
  const std::string job =
      Submit(cluster, key, BatchJob("after", 2, Duration(100)), kPatience);
  REQUIRE(!job.empty());
  CHECK(Succeeded(AwaitFinal(cluster, key, job, kPatience)) == 2);
}

}  // namespace
}  // namespace azurepass::testing
