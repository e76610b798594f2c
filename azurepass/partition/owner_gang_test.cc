// Gangs whose tasks fail, and the limit on their failed runs.

#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "azurepass/partition/testing/driver.h"

namespace azurepass::partition::testing {
namespace {

constexpr int32_t kWidth = 4;
const JobId kJob("p." + kRequest.value() + ":0:0");

WorkflowSpec Gang(int32_t max_attempts) {
  WorkflowSpec spec;
  spec.queue = kQueue;
  spec.steps = {MakeStep(kWidth)};
  spec.steps[0].job.policy = GangPolicy{.atomic = true};
  spec.steps[0].job.max_attempts = max_attempts;
  return spec;
}

Options EverySnapshot() {
  Options options = PlatformOptions();
  options.snapshot_every = 1;
  return options;
}

// A gang of kWidth tasks on one worker. Events of the worker are numbered from
// 1 in each owner's epoch.
class GangRuns {
 public:
  explicit GangRuns(int32_t max_attempts,
                    const Options& options = PlatformOptions())
      : d({"vm-0"}, false, options) {
    d.Submit(1, Gang(max_attempts));
    d.CompleteAppends();
    REQUIRE(runs() == 1);
  }

  // The number of runs that were ordered so far, incomplete ones included.
  int runs() const {
    return static_cast<int>((d.Starts().size() + kWidth - 1) / kWidth);
  }
  bool AllRunsAreWhole() const { return d.Starts().size() % kWidth == 0; }
  // Reports the end of the task `index` in the latest run.
  void End(int32_t index, WorkerEventKind kind) {
    d.Report("vm-0", ++events_, AttemptOf(index), kind);
    d.CompleteAppends();
  }
  // The first `failed` tasks of the latest run end as failed, the others as
  // stopped. Then the next run begins, if there is one.
  void EndRun(int32_t failed) {
    const int before = runs();
    for (int32_t i = 0; i < kWidth; ++i) {
      End(i, i < failed ? WorkerEventKind::kFailed : WorkerEventKind::kStopped);
    }
    WaitForRun(before + 1);
  }
  // Time passes beyond any backoff, or until that many runs were ordered.
  void WaitForRun(int count) {
    for (int i = 0; i < 60 && runs() < count; ++i) {
      d.now += seconds(1);
      d.Handle(Tick{});
      d.CompleteAppends();
    }
    CHECK(AllRunsAreWhole());
  }
  AttemptId AttemptOf(int32_t index) const {
    std::optional<AttemptId> latest;
    for (const auto& [vm, start] : d.Starts()) {
      if (start.attempt.task.index == index) latest = start.attempt;
    }
    REQUIRE(latest.has_value());
    return *latest;
  }
  // A new owner takes over with what the former one left; the tasks of
  // `running` still run.
  void TakeOver(std::optional<Snapshot> snapshot, std::vector<Batch> batches,
                const std::vector<int32_t>& running) {
    std::vector<AttemptId> attempts;
    attempts.reserve(running.size());
    for (const int32_t index : running) attempts.push_back(AttemptOf(index));
    events_ = 0;
    d.Handle(ClaimLost{});
    d.TakeOver(++epoch_, std::move(snapshot), std::move(batches), {});
    d.OpenWorkerSession("vm-0", std::move(attempts));
    d.CompleteAppends();
  }

  Driver d;

 private:
  int64_t events_ = 0;
  int64_t epoch_ = 1;
};

// Guards against a job that is shown as failed with attempts left (LOST): all
// tasks of a gang are one attempt, however many of them fail in it.
TEST_CASE("a gang's run counts once, however many of its tasks fail in it") {
  for (int32_t failed = 1; failed <= kWidth; ++failed) {
    for (int32_t max_attempts = 1; max_attempts <= 4; ++max_attempts) {
      CAPTURE(failed);
      CAPTURE(max_attempts);
      GangRuns gang(max_attempts);
      for (int run = 1; run <= max_attempts; ++run) {
        CAPTURE(run);
        REQUIRE(gang.runs() == run);
        CHECK(gang.d.State() == WorkflowState::kRunning);
        gang.EndRun(failed);
      }
      CHECK(gang.d.State() == WorkflowState::kFailed);
      CHECK(gang.runs() == max_attempts);
    }
  }
}

// Guards against runs beyond the limit: what fails in one run and what fails
// in the next are different tasks, and both runs count.
TEST_CASE("a gang's failed runs count, whichever of its tasks failed") {
  GangRuns gang(3);
  for (int32_t run = 0; run < 3; ++run) {
    REQUIRE(gang.runs() == run + 1);
    for (int32_t i = 0; i < kWidth; ++i) {
      gang.End(i,
               i == run ? WorkerEventKind::kFailed : WorkerEventKind::kStopped);
    }
    gang.WaitForRun(run + 2);
  }
  CHECK(gang.d.State() == WorkflowState::kFailed);
  CHECK(gang.runs() == 3);
}

// Guards against runs that are stopped or lost and count as failed ones.
TEST_CASE("a gang's run without a failed task does not count") {
  GangRuns gang(2);
  for (int run = 1; run <= 3; ++run) {
    REQUIRE(gang.runs() == run);
    gang.EndRun(0);
  }
  gang.EndRun(2);
  CHECK(gang.d.State() == WorkflowState::kRunning);
  gang.EndRun(2);
  CHECK(gang.d.State() == WorkflowState::kFailed);
  CHECK(gang.runs() == 5);
}

// Guards against starts of a job that has failed: tasks that were queued again
// when the last attempt failed, in the same step and in the same event.
TEST_CASE("nothing of a job is started once one of its tasks failed for good") {
  Driver d;
  WorkflowSpec spec = TwoStepWorkflow();
  spec.steps[0].job.max_attempts = 1;
  d.Submit(1, spec);
  d.CompleteAppends();
  const auto starts = d.Starts();
  REQUIRE(starts.size() == 2);
  WorkerEvent stopped;
  stopped.number = 1;
  stopped.attempt = starts[0].second.attempt;
  stopped.kind = WorkerEventKind::kStopped;
  WorkerEvent failed = stopped;
  failed.number = 2;
  failed.attempt = starts[1].second.attempt;
  failed.kind = WorkerEventKind::kFailed;
  d.Handle(WorkerReported{VmId("vm-0"), Epoch{1}, {stopped, failed}, {}});
  d.CompleteAppends();
  CHECK(d.Starts().size() == 2);
  CHECK(d.State() == WorkflowState::kFailed);
}

// Guards against a crash: the loss of one task of a worker fails the job, and
// that withdraws a start of the same job, on the same worker, which is not yet
// recorded.
TEST_CASE("a job that fails as its worker is lost withdraws its held starts") {
  Driver d;
  WorkflowSpec spec = TwoStepWorkflow();
  spec.steps = {MakeStep(1), MakeStep(1)};
  spec.steps[0].job.max_attempts = 1;    // A loss counts.
  spec.steps[1].job.repeatable = false;  // Held until it is recorded.
  d.Submit(1, spec);
  d.CompleteAppend();
  d.Handle(Tick{});
  REQUIRE(d.Starts().size() == 1);
  d.Handle(WorkerReplaced{VmId("vm-0"), Epoch{1}});
  d.CompleteAppends();
  CHECK(d.State() == WorkflowState::kFailed);
  CHECK(d.Starts().size() == 1);
}

// Guards against starts of a job that has failed, after a takeover: the former
// owner recorded the failure, and not the cancellation that follows from it.
TEST_CASE("a new owner starts nothing of a job that has failed") {
  Driver d;
  WorkflowSpec spec = TwoStepWorkflow();
  spec.steps[0].job.max_attempts = 1;
  d.Submit(1, spec);
  d.CompleteAppends();
  const auto starts = d.Starts();
  REQUIRE(starts.size() == 2);
  std::vector<Batch> batches = d.batches;
  Batch last = batches.back();
  ++last.number;
  last.records = {TaskRequeued{starts[0].second.attempt},
                  TaskEnded{starts[1].second.attempt.task, TaskState::kFailed,
                            "too many attempts"}};
  batches.push_back(last);
  d.Handle(ClaimLost{});
  d.TakeOver(2, std::nullopt, batches, {"vm-0"});
  CHECK(d.Starts().size() == 2);
  CHECK(d.State() == WorkflowState::kFailed);
}

// Guards against a second run of what is done (TWICE): a worker is lost just
// after the gang on it and on another one ended, and only the other one tells.
TEST_CASE("a gang is done when one task is, also for tasks that were lost") {
  for (const bool has_next_step : {false, true}) {
    CAPTURE(has_next_step);
    Driver d({"vm-0", "vm-1"});
    WorkflowSpec spec = Gang(2);
    spec.steps[0].job.task[Dimension::kMillicores] = 4'000;  // Two a worker.
    if (has_next_step) spec.steps.push_back(MakeStep(1, {0}));
    d.Submit(1, spec);
    d.CompleteAppends();
    const auto starts = d.Starts();
    REQUIRE(starts.size() == kWidth);
    d.Handle(WorkerReplaced{VmId("vm-1"), Epoch{1}});
    d.CompleteAppends();
    for (const auto& [vm, start] : starts) {
      if (vm != VmId("vm-0")) continue;
      d.Report("vm-0", 1, start.attempt, WorkerEventKind::kSucceeded);
      break;
    }
    d.CompleteAppends();
    CHECK(d.Starts().size() == kWidth + (has_next_step ? 1 : 0));
    CHECK(d.State() == (has_next_step ? WorkflowState::kRunning
                                      : WorkflowState::kCompleted));
  }
}

// Guards against the same after a takeover (TWICE): the journal has the ends of
// some of the gang's tasks only.
TEST_CASE("a new owner completes a gang of which one task succeeded") {
  Driver d({"vm-0", "vm-1"});
  WorkflowSpec spec = Gang(2);
  spec.steps.push_back(MakeStep(1, {0}));
  d.Submit(1, spec);
  d.CompleteAppends();
  const auto starts = d.Starts();
  REQUIRE(starts.size() == kWidth);
  std::vector<Batch> batches = d.batches;
  Batch last = batches.back();
  ++last.number;
  last.records = {
      TaskRequeued{starts[0].second.attempt},
      TaskEnded{starts[1].second.attempt.task, TaskState::kSucceeded, "done"}};
  batches.push_back(last);
  d.Handle(ClaimLost{});
  d.actions.clear();
  d.TakeOver(2, std::nullopt, batches, {"vm-0", "vm-1"});
  REQUIRE(d.Starts().size() == 1);  // The next step.
  CHECK(StepOf(d.Starts()[0].second.attempt.task.job)->step == 1);
  d.Report("vm-0", 1, d.Starts()[0].second.attempt,
           WorkerEventKind::kSucceeded);
  d.Report("vm-1", 1, d.Starts()[0].second.attempt,
           WorkerEventKind::kSucceeded);
  d.CompleteAppends();
  CHECK(d.State() == WorkflowState::kCompleted);
}

// Guards against gangs that wait for the retry budget because it counts each of
// their tasks: 192 tasks of 8 gangs fail, and the bucket holds 100 tokens.
TEST_CASE("retries of gangs are counted by run") {
  constexpr int kGangs = 8;
  constexpr int kTasks = 24;
  std::vector<std::string> vms;
  vms.reserve(kTasks);
  for (int i = 0; i < kTasks; ++i) vms.push_back("vm-" + std::to_string(i));
  Driver d(vms);
  WorkflowSpec spec = Gang(9);
  spec.steps[0].job.tasks = kTasks;
  for (int i = 0; i < kGangs; ++i) {
    d.Submit(1 + i, spec, kTeam,
             RequestId("5c0e7a21d94b36f" + std::to_string(i)));
    d.CompleteAppends();
  }
  const auto starts = d.Starts();
  REQUIRE(starts.size() == kGangs * kTasks);
  int64_t number = 0;
  for (const auto& [vm, start] : starts) {
    d.Report(vm.value(), ++number, start.attempt, WorkerEventKind::kFailed);
  }
  d.CompleteAppends();
  // As soon as if one task of each had failed.
  for (int i = 0; i < 20; ++i) {
    d.now += Duration(100);
    d.Handle(Tick{});
    d.CompleteAppends();
  }
  CHECK(d.Starts().size() == 2 * kGangs * kTasks);
}

// Guards against a count that a change of owner gets wrong in the middle of a
// run (LOST, or runs beyond the limit).
TEST_CASE(
    "a new owner counts a gang's run once, in whichever epoch its tasks "
    "fail") {
  constexpr int32_t kLimit = 2;
  for (const bool from_snapshot : {false, true}) {
    CAPTURE(from_snapshot);
    GangRuns gang(kLimit, from_snapshot ? EverySnapshot() : PlatformOptions());
    gang.End(0, WorkerEventKind::kFailed);
    std::optional<Snapshot> snapshot;
    if (from_snapshot) {
      gang.d.Handle(Tick{});
      snapshot = gang.d.Last<WriteSnapshot>().snapshot;
    }
    std::vector<Batch> batches = gang.d.batches;
    if (snapshot) {
      std::erase_if(batches, [&](const Batch& batch) {
        return batch.number <= snapshot->through;
      });
    }
    gang.TakeOver(snapshot, batches, {1, 2, 3});
    gang.End(1, WorkerEventKind::kFailed);
    gang.End(2, WorkerEventKind::kFailed);
    gang.End(3, WorkerEventKind::kStopped);
    gang.WaitForRun(2);
    CHECK(gang.d.State() == WorkflowState::kRunning);
    REQUIRE(gang.runs() == 2);
    gang.EndRun(1);
    CHECK(gang.d.State() == WorkflowState::kFailed);
    CHECK(gang.runs() == kLimit);
  }
}

// Guards against ends that a new owner reads from several workers at once: the
// starts may be in its journal, and the ends are not.
TEST_CASE(
    "a new owner counts the failed tasks of a gang that it reads as one "
    "run") {
  GangRuns gang(2);
  const std::vector<Batch> batches = gang.d.batches;
  std::vector<WorkerEvent> ends;
  for (int32_t i = 0; i < kWidth; ++i) {
    WorkerEvent end;
    end.number = i + 1;
    end.attempt = gang.AttemptOf(i);
    end.kind = WorkerEventKind::kFailed;
    ends.push_back(end);
  }
  gang.d.Handle(ClaimLost{});
  gang.d.TakeOver(2, std::nullopt, batches, {});
  gang.d.Handle(WorkerReported{VmId("vm-0"), Epoch{2}, ends, {}});
  gang.d.OpenWorkerSession("vm-0");
  gang.d.CompleteAppends();
  gang.WaitForRun(2);
  CHECK(gang.d.State() == WorkflowState::kRunning);
  CHECK(gang.runs() == 2);
}

}  // namespace
}  // namespace azurepass::partition::testing
