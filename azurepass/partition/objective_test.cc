// Until when the steps of a workflow should start.

#include "azurepass/partition/internal/objective.h"

#include <doctest/doctest.h>

namespace azurepass::partition::internal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

WorkflowStep Step(Duration declared, std::vector<int32_t> after = {}) {
  WorkflowStep step;
  step.job.declared_run_time = declared;
  step.after = std::move(after);
  return step;
}

TEST_CASE("a chain is the longest way from a step to the end") {
  WorkflowSpec spec;
  spec.steps = {Step(Duration(100)), Step(Duration(300)),
                Step(Duration(50), {0, 1}), Step(Duration(10), {0})};
  const std::vector<Duration> chains = CriticalPathTimes(spec);
  CHECK(chains == std::vector<Duration>{Duration(150), Duration(350),
                                        Duration(50), Duration(10)});
}

TEST_CASE("a step has to start early enough for all that follows") {
  WorkflowSpec spec;
  spec.steps = {Step(seconds(1)), Step(seconds(2), {0})};
  QueueRecord queue;
  queue.stretch = 2;
  queue.objective = milliseconds(500);  // 6.5 s in all.
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

TEST_CASE("tasks that last are never too late") {
  WorkflowSpec spec;
  spec.steps = {Step(seconds(1))};
  spec.steps[0].job.perpetual = true;
  CHECK_FALSE(StartByOf(spec, QueueRecord{}, 0, MonotonicTime{}).has_value());
}

}  // namespace
}  // namespace azurepass::partition::internal
