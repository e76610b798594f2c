// Implements the overuse rules.

#include "azurepass/placement/internal/overuse.h"

namespace azurepass::placement::internal {
namespace {

constexpr uint8_t kReportsInARow = 3;
constexpr double kThrottleMargin = 1.1;     // Of the declared processors.
constexpr double kCheckpointMargin = 1.25;  // Of the declared memory.
constexpr double kStopMargin = 2;           // Of the declared memory.
constexpr int64_t kUnthrottled = 1'000;     // Thousandths.

// Returns the ratio of used to declared resources; 0 when nothing was declared.
double RatioOf(const Resources& used, const Resources& size, Dimension d) {
  if (size[d] <= 0) return 0;
  return static_cast<double>(used[d]) / static_cast<double>(size[d]);
}

}  // namespace

std::vector<OveruseAction> HandleOveruse(
    CellState& state, const std::vector<UsageSample>& samples,
    MonotonicTime now) {
  std::vector<OveruseAction> actions;
  for (const UsageSample& sample : samples) {
    TaskRef ref;
    Task* task = state.FindTask(sample.task, &ref);
    if (task == nullptr || task->phase != TaskPhase::kCommitted) continue;
    const JobSpec& spec = state.jobs[ref.job].spec;
    const double processors =
        RatioOf(sample.used, spec.task, Dimension::kMillicores);
    const double memory =
        RatioOf(sample.used, spec.task, Dimension::kMemoryMib);
    if (processors <= kThrottleMargin && memory <= kCheckpointMargin) {
      task->overuses = 0;
      continue;
    }
    if (++task->overuses < kReportsInARow) continue;
    task->overuses = 0;
    const VmId vm = state.fleet.worker(task->worker).vm;
    if (memory > kCheckpointMargin && spec.repeatable) {
      const bool checkpoint = memory <= kStopMargin;
      actions.emplace_back(Preempt{.task = sample.task,
                                   .vm = vm,
                                   .checkpoint = checkpoint,
                                   .reason = "memory_overuse"});
      task->checkpointing = checkpoint;
      state.StartPreempting(ref, now);
    } else if (processors > kThrottleMargin) {
      actions.emplace_back(Throttle{
          .task = sample.task,
          .vm = vm,
          .permille = static_cast<int64_t>(kUnthrottled / processors)});
    }
  }
  return actions;
}

}  // namespace azurepass::placement::internal
