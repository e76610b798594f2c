// Tests of the deadlines by which a workflow's steps should start.

#include "azurepass/partition/internal/objective.h"

#include <doctest/doctest.h>

namespace azurepass::partition::internal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

WorkflowStep MakeStep(Duration declared, std::vector<int32_t> after = {}) {
  WorkflowStep step;
  step.job.declared_run_time = declared;
  step.after = std::move(after);
  return step;
}

TEST_CASE(
    "a chain is the longest path from a step to the end of the workflow") {
  WorkflowSpec spec;
  spec.steps = {MakeStep(Duration(100)), MakeStep(Duration(300)),
                MakeStep(Duration(50), {0, 1}), MakeStep(Duration(10), {0})};
  const std::vector<Duration> chains = CriticalPathTimes(spec);
  CHECK(chains == std::vector<Duration>{Duration(150), Duration(350),
                                        Duration(50), Duration(10)});
}

TEST_CASE("a step starts early enough for the steps that depend on it") {
  WorkflowSpec spec;
  spec.steps = {MakeStep(seconds(1)), MakeStep(seconds(2), {0})};
  QueueRecord queue;
  queue.stretch = 2;
  queue.objective = milliseconds(500);  // Allows the workflow 6.5 s.
  const MonotonicTime origin{seconds(100)};
  const auto first = StartByOf(spec, queue, 0, origin);
  const auto second = StartByOf(spec, queue, 1, origin);
  REQUIRE(first.has_value());
  REQUIRE(second.has_value());
  CHECK(second->on_time - first->on_time == seconds(1));
  CHECK(first->on_time < origin + milliseconds(3'500));
  CHECK(first->on_time > origin + seconds(3));
  CHECK(first->late - first->on_time == 2 * milliseconds(6'500));
}

TEST_CASE("perpetual tasks have no start deadline") {
  WorkflowSpec spec;
  spec.steps = {MakeStep(seconds(1))};
  spec.steps[0].job.perpetual = true;
  CHECK_FALSE(StartByOf(spec, QueueRecord{}, 0, MonotonicTime{}).has_value());
}

}  // namespace
}  // namespace azurepass::partition::internal
