// See shutdown_plan.h.

#include "azurepass/daemons/shutdown_plan.h"

#include <algorithm>

namespace azurepass::daemons {

ShutdownPlan PlanShutdown(Duration grace) {
  // The balancer asks each second and goes by two answers.
  constexpr Duration kBalancerTime{2'200};
  constexpr Duration kWriteTime{700};
  // A process that is short of processor time notices the signal late, and is
  // late with each step.
  constexpr Duration kSpare{300};
  ShutdownPlan plan;
  plan.stop_listening = std::min(kBalancerTime, grace * 2 / 5);
  plan.exit = grace - std::min(kSpare, grace / 20);
  plan.answer_all = plan.exit - std::min(kWriteTime, grace / 8);
  return plan;
}

}  // namespace azurepass::daemons
