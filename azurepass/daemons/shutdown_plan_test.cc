// Times of a shutdown's steps.

#include "azurepass/daemons/shutdown_plan.h"

#include <doctest/doctest.h>

namespace azurepass::daemons {
namespace {

// Guards against steps that together take longer than the grace period, so that
// the platform kills the process with requests open.
TEST_CASE("the steps of a shutdown end within the grace period") {
  for (const int64_t grace : {0, 1, 7, 100, 1'000, 5'999, 6'000, 30'000}) {
    CAPTURE(grace);
    const ShutdownPlan plan = PlanShutdown(Duration(grace));
    CHECK(plan.stop_listening >= Duration(0));
    CHECK(plan.answer_all >= plan.stop_listening);
    CHECK(plan.exit >= plan.answer_all);
    CHECK(plan.exit <= Duration(grace));
  }
}

TEST_CASE("a usual grace period leaves time for each step") {
  const ShutdownPlan plan = PlanShutdown(Duration(6'000));
  // Two probes, one a second.
  CHECK(plan.stop_listening > Duration(2'000));
  // Clients that think for seconds still send a request on what they keep.
  CHECK(plan.answer_all - plan.stop_listening >= Duration(2'000));
  CHECK(plan.exit - plan.answer_all >= Duration(500));
  CHECK(plan.exit < Duration(6'000));
}

}  // namespace
}  // namespace azurepass::daemons
