// Implementation of objective.h.

#include "azurepass/partition/internal/objective.h"

#include <algorithm>

namespace azurepass::partition::internal {
namespace {

// By the users' rules a result is late, but still useful, up to this multiple
// of the objective.
constexpr int kLateFactor = 3;
// Part of the objective reserved for the communication with the worker.
constexpr Duration kDispatchReserve{100};

}  // namespace

std::vector<Duration> CriticalPathTimes(const WorkflowSpec& spec) {
  // Steps depend on earlier steps only, so one pass from the last step
  // suffices.
  std::vector<Duration> chains(spec.steps.size(), Duration(0));
  for (auto s = std::ssize(spec.steps) - 1; s >= 0; --s) {
    chains[s] += spec.steps[s].job.declared_run_time;
    for (const int32_t before : spec.steps[s].after) {
      chains[before] = std::max(chains[before], chains[s]);
    }
  }
  return chains;
}

std::optional<placement::StartBy> StartByOf(const WorkflowSpec& spec,
                                            const QueueRecord& queue,
                                            int32_t step,
                                            MonotonicTime origin) {
  if (spec.steps[step].job.perpetual) return std::nullopt;
  const std::vector<Duration> chains = CriticalPathTimes(spec);
  const Duration chain = *std::max_element(chains.begin(), chains.end());
  const Duration objective =
      queue.objective +
      Duration(static_cast<int64_t>(queue.stretch *
                                    static_cast<double>(chain.count())));
  const Duration left = chains[step] + kDispatchReserve;
  return placement::StartBy{origin + objective - left,
                            origin + kLateFactor * objective - left};
}

}  // namespace azurepass::partition::internal
