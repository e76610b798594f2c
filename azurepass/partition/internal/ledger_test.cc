// Snapshots of the ledger: what they hold, and what is read of them.

#include "azurepass/partition/internal/ledger.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "azurepass/partition/testing/driver.h"

namespace azurepass::partition::internal {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)
using std::chrono::seconds;

struct Shape {
  int32_t steps = 1;
  int32_t occurrences = 1;
};

// Each step waits for the one before.
WorkflowSpec Chain(const Shape& shape) {
  WorkflowSpec spec;
  spec.queue = kQueue;
  for (int32_t s = 0; s < shape.steps; ++s) {
    spec.steps.push_back(
        MakeStep(1, s > 0 ? std::vector{s - 1} : std::vector<int32_t>{}));
  }
  spec.occurrences = shape.occurrences;
  if (shape.occurrences > 1) {
    spec.first = WallTime(seconds(10));  // The claim was at wall time 0.
    spec.interval = Duration(3'000);
  }
  return spec;
}

void SortByText(Snapshot& snapshot) {
  std::sort(snapshot.jobs.begin(), snapshot.jobs.end(),
            [](const JobSnapshot& a, const JobSnapshot& b) {
              return a.submitted.job < b.submitted.job;
            });
}

constexpr Shape kShapes[] = {{1, 1},  {10, 1}, {11, 1},  {101, 1},
                             {1, 10}, {1, 11}, {1, 101}, {3, 12}};

// Guards against steps that start before those that they wait for, and
// occurrences that start before their time, under an owner that begins with a
// snapshot.
TEST_CASE("a ledger that is read from a snapshot is the one it was taken of") {
  for (const Shape& shape : kShapes) {
    CAPTURE(shape.steps);
    CAPTURE(shape.occurrences);
    Ledger ledger;
    ledger.Apply(WorkflowSubmitted{kPartition, kTeam, kRequest, Chain(shape),
                                   WallTime(seconds(1))});
    const std::vector<JobId> jobs = ledger.FindWorkflow(kRequest)->jobs;
    REQUIRE(std::ssize(jobs) == shape.steps * shape.occurrences);
    for (size_t i = 0; i < jobs.size(); i += 2) {
      ledger.Apply(TaskStarted{{{jobs[i], 0}, 5}, VmId("vm-0")});
    }
    Snapshot snapshot = ledger.TakeSnapshot(7);
    Ledger read;
    read.Load(snapshot);
    CHECK(read == ledger);
    // The order in which older versions wrote them.
    SortByText(snapshot);
    read.Load(snapshot);
    CHECK(read == ledger);
  }
}

WorkflowSpec Gang(int32_t tasks) {
  WorkflowSpec spec = Chain({});
  spec.steps[0].job = MakeStep(tasks).job;
  spec.steps[0].job.policy = GangPolicy{.atomic = true};
  return spec;
}

// Guards against a gang that a new owner fails too early or starts too often:
// the snapshot was taken between the failures of two tasks of one attempt.
TEST_CASE("a ledger read from a snapshot counts a gang's attempt once") {
  constexpr int32_t kTasks = 3;
  Ledger ledger;
  ledger.Apply(
      WorkflowSubmitted{kPartition, kTeam, kRequest, Gang(kTasks), {}});
  const JobId id = ledger.FindWorkflow(kRequest)->jobs[0];
  const auto requeue = [&](int32_t index, int32_t attempt) {
    return TaskRequeued{{{id, index}, attempt},
                        placement::AttemptOutcome::kFailed};
  };
  for (int32_t attempt = 5; attempt <= 6; ++attempt) {
    for (int32_t i = 0; i < kTasks; ++i) {
      ledger.Apply(TaskStarted{{{id, i}, attempt}, VmId("vm-0")});
    }
    ledger.Apply(requeue(0, attempt));
    Ledger read;
    read.Load(ledger.TakeSnapshot(7));
    CHECK(read == ledger);
    for (int32_t i = 1; i < kTasks; ++i) {
      CHECK(FailuresWith(*read.Find(id), {{id, i}, attempt}) == attempt - 4);
      ledger.Apply(requeue(i, attempt));
      read.Apply(requeue(i, attempt));
    }
    CHECK(read == ledger);
  }
}

// Guards against gangs that fail too early since a version that counted each
// failed task wrote the snapshot, and against attempts beyond the limit.
TEST_CASE(
    "failures of a gang in an older snapshot are no more than its starts") {
  const struct {
    std::vector<int32_t> failures;
    int32_t attempts;
    int32_t counted;
  } cases[] = {
      {{0, 0, 0}, 1, 0}, {{1, 1, 1}, 1, 1}, {{2, 0, 1}, 2, 2},
      {{1, 0, 1}, 4, 2}, {{0, 2, 2}, 3, 3},
  };
  for (const auto& c : cases) {
    CAPTURE(c.attempts);
    CAPTURE(c.counted);
    Ledger ledger;
    ledger.Apply(
        WorkflowSubmitted{kPartition,
                          kTeam,
                          kRequest,
                          Gang(static_cast<int32_t>(c.failures.size())),
                          {}});
    const JobId id = ledger.FindWorkflow(kRequest)->jobs[0];
    Snapshot snapshot = ledger.TakeSnapshot(7);
    std::vector<TaskSnapshot>& tasks = snapshot.jobs[0].tasks;
    for (size_t i = 0; i < tasks.size(); ++i) {
      tasks[i].failures = c.failures[i];
      tasks[i].attempts = tasks[i].attempt = c.attempts;
    }
    ledger.Load(snapshot);
    CHECK(FailuresWith(*ledger.Find(id), {{id, 0}, c.attempts + 1}) ==
          c.counted + 1);
  }
}

// Guards against a snapshot that the version before reads in another order:
// it takes the order of the jobs for that of their steps.
TEST_CASE("a snapshot has a workflow's jobs by occurrence and step") {
  for (const Shape& shape : kShapes) {
    Ledger ledger;
    for (const char* request : {"b", "a"}) {
      ledger.Apply(WorkflowSubmitted{
          kPartition, kTeam, RequestId(request), Chain(shape), {}});
    }
    std::map<RequestId, std::vector<JobId>> written;
    for (const JobSnapshot& job : ledger.TakeSnapshot(7).jobs) {
      written[StepOf(job.submitted.job)->request].push_back(job.submitted.job);
    }
    for (const auto& [request, workflow] : ledger.workflows()) {
      CHECK(written[request] == workflow.jobs);
    }
  }
}

// Takes over from an owner that has just written a snapshot with the jobs in
// the order of their ids as text; returns what that one started.
std::vector<AttemptId> ContinueFromSnapshot(Driver& next,
                                            const WorkflowSpec& spec) {
  Options options = PlatformOptions();
  options.snapshot_every = 1;
  Driver former({"vm-0"}, /*permits=*/false, options);
  former.Submit(1, spec);
  former.CompleteAppends();
  // The first snapshot is from before the submission.
  former.Handle(SnapshotWritten{
      Epoch{1}, former.Last<WriteSnapshot>().snapshot.through, true});
  Snapshot snapshot = former.Last<WriteSnapshot>().snapshot;
  REQUIRE(std::ssize(snapshot.jobs) ==
          std::ssize(spec.steps) * spec.occurrences);
  SortByText(snapshot);
  std::vector<Batch> later;
  for (const Batch& batch : former.batches) {
    if (batch.number > snapshot.through) later.push_back(batch);
  }
  std::vector<AttemptId> running;
  for (const auto& [vm, start] : former.Starts()) {
    running.push_back(start.attempt);
  }
  next.actions.clear();
  next.TakeOver(2, snapshot, later, {});
  next.OpenWorkerSession("vm-0", running);
  next.CompleteAppends();
  return running;
}

// Guards against a step that starts before the one that it waits for has ended.
TEST_CASE("steps of a workflow read from a snapshot start in their order") {
  for (const int32_t steps : {11, 12, 101}) {
    CAPTURE(steps);
    Driver d;
    const auto before = ContinueFromSnapshot(d, Chain({.steps = steps}));
    REQUIRE(before.size() == 1);
    AttemptId running = before.front();
    for (int32_t step = 0; step < steps; ++step) {
      CHECK(StepOf(running.task.job)->step == step);
      d.Report("vm-0", step + 1, running, WorkerEventKind::kSucceeded);
      d.CompleteAppends();
      const auto starts = d.Starts();
      REQUIRE(std::ssize(starts) == std::min(step + 1, steps - 1));
      running = starts.back().second.attempt;
    }
    CHECK(d.State() == WorkflowState::kCompleted);
  }
}

// Guards against occurrences that start before their times.
TEST_CASE("occurrences read from a snapshot start at their times") {
  constexpr int32_t kOccurrences = 101;
  Driver d;
  ContinueFromSnapshot(d, Chain({.occurrences = kOccurrences}));
  CHECK(d.Starts().empty());
  d.now = MonotonicTime(seconds(100 + 10));
  for (int32_t k = 0; k < kOccurrences; ++k) {
    d.Handle(Tick{});
    d.CompleteAppends();
    const auto starts = d.Starts();
    REQUIRE(std::ssize(starts) == k + 1);
    const AttemptId attempt = starts.back().second.attempt;
    CHECK(StepOf(attempt.task.job)->occurrence == k);
    d.Report("vm-0", k + 1, attempt, WorkerEventKind::kSucceeded);
    d.CompleteAppends();
    d.now += Duration(3'000);
  }
}

}  // namespace
}  // namespace azurepass::partition::internal
