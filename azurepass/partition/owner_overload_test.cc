// Tests what an owner refuses under an overload, event by event: one account
// has far more work waiting than its share, another one little.

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "azurepass/partition/testing/driver.h"

namespace azurepass::partition {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)

const TeamId kCalm("calm");

Options Refusing() {
  Options options = PlatformOptions();
  options.refuse_unserviceable = true;
  return options;
}

// Tasks of 1 s that are useful if they start within 2 s.
WorkflowSpec UrgentStep(int32_t tasks) {
  WorkflowSpec spec;
  spec.queue = kQueue;
  spec.steps = {MakeStep(tasks)};
  spec.steps[0].job.declared_run_time = seconds(1);
  return spec;
}

// Two accounts with equal shares of three workers with room for 24 tasks; the
// first one has 24 tasks running and 200 waiting.
struct Overloaded {
  explicit Overloaded(const Options& options)
      : driver({"vm-0", "vm-1", "vm-2"}, /*permits=*/false, options) {
    auto configuration = std::make_shared<Configuration>();
    configuration->revision = Revision{2};
    for (const TeamId& team : {kTeam, kCalm}) {
      Contract contract;
      contract.team = team;
      contract.zones = {ZoneId("zone-a")};
      configuration->contracts[team] = contract;
    }
    QueueRecord queue;
    queue.queue = kQueue;
    queue.service = ServiceId("p");
    configuration->queues[kQueue] = queue;
    driver.Handle(ConfigurationChanged{configuration});
    driver.Handle(
        AllowancesChanged{{{kTeam, kUnlimited}, {kCalm, kUnlimited}}});
    driver.Submit(1, UrgentStep(224), kTeam, RequestId("a1"));
    driver.CompleteAppends();
    REQUIRE(driver.Starts().size() == 24);
  }

  JobResponse Submit(int64_t token, const TeamId& team,
                     const std::string& request) {
    driver.Submit(token, UrgentStep(1), team, RequestId(request));
    driver.CompleteAppends();
    return driver.Last<Answer>().response;
  }

  Driver driver;
};

// Guards against a refusal that is not true: the submission must leave no
// record from which a successor would run it.
TEST_CASE("an account over its share is refused what would start too late") {
  Overloaded o(Refusing());
  const size_t batches = o.driver.batches.size();
  const JobResponse response = o.Submit(2, kTeam, "a2");
  REQUIRE(std::holds_alternative<Refusal>(response));
  const auto& refusal = std::get<Refusal>(response);
  CHECK(refusal.effect == Effect::kNotRun);
  CHECK(refusal.code == RefusalCode::kQueueFull);
  REQUIRE(refusal.retry_after.has_value());
  CHECK(*refusal.retry_after >= Duration(500));
  CHECK(*refusal.retry_after <= Duration(11'000));
  CHECK(o.driver.batches.size() == batches);
  CHECK(o.driver.status().refused_submissions.at(kQueue) == 1);
}

// Guards against an account that pays for the load of another one.
TEST_CASE("an account within its share is not refused") {
  Overloaded o(Refusing());
  CHECK(std::holds_alternative<WorkflowView>(o.Submit(2, kCalm, "c1")));
}

// Guards against a repeated submission that is refused though it was accepted,
// so that its caller takes a running job for one that never ran.
TEST_CASE("a repeated submission of accepted work is not refused") {
  Overloaded o(Refusing());
  CHECK(std::holds_alternative<WorkflowView>(o.Submit(2, kTeam, "a1")));
}

TEST_CASE("without the option nothing is refused") {
  Overloaded o(PlatformOptions());
  CHECK(std::holds_alternative<WorkflowView>(o.Submit(2, kTeam, "a2")));
}

// Guards against a successor that refuses before it knows the rate of starts.
TEST_CASE("a new owner refuses nothing before it has started tasks") {
  Overloaded o(Refusing());
  const std::vector<std::string> vms = {"vm-0", "vm-1", "vm-2"};
  Driver next(vms, /*permits=*/false, Refusing());
  next.TakeOver(2, std::nullopt, o.driver.batches, vms);
  next.Submit(1, UrgentStep(1), kTeam, RequestId("a2"));
  next.CompleteAppends();
  CHECK(std::holds_alternative<WorkflowView>(next.Last<Answer>().response));
}

}  // namespace
}  // namespace azurepass::partition
