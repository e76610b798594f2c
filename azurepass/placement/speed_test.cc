// Tests what placement makes of workers of unlike speed. The loads are steps of
// several tasks on a small fleet, of which one worker in four takes twice as
// long, or one task in thirty seven times as long.

#include <doctest/doctest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "azurepass/placement/placement.h"

namespace azurepass::placement {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TeamId kTeam("a");
constexpr int kWorkers = 4;
constexpr int kTasksPerWorker = 2;
constexpr milliseconds kRunTime{1'000};

class Fixture {
 public:
  explicit Fixture(const WorkerSpeeds& speeds) : cell_(OptionsFor(speeds)) {
    for (int w = 0; w < kWorkers; ++w) Add("w" + std::to_string(w));
    cell_.SetTeam(kTeam, {1, {ZoneId("z")}, kUnlimited});
  }

  void Add(const std::string& vm) {
    cell_.AddWorker({.vm = VmId(vm),
                     .zone = ZoneId("z"),
                     .rack = RackId("r"),
                     .service = ServiceId("s"),
                     .address = "",
                     .capacity = Resources(16, 0, 16'000, 16'384, 0)},
                    WorkerAdmission::kOpen);
  }

  // Starts a job, and returns its workers by task.
  std::map<TaskId, VmId> StartJob(Priority priority, int tasks,
                                  std::optional<StartBy> start_by = {}) {
    JobSpec spec;
    spec.queue = QueueId("q");
    spec.priority = priority;
    spec.tasks = tasks;
    spec.task = Resources(1, 0, 1'000, 1'024, 0);
    spec.declared_run_time = kRunTime;
    spec.constraints.max_per_worker = kTasksPerWorker;
    cell_.AddJob(JobId(std::to_string(++jobs_)), kTeam, spec, now_, start_by);
    std::map<TaskId, VmId> started;
    for (const Decision& decision : cell_.Decide(now_, {})) {
      const auto& start = std::get<Start>(decision);
      started[start.task] = start.vm;
    }
    return started;
  }

  // Runs a job of two tasks on each worker. A task on a worker of `slow` takes
  // twice as long, and the task with the number `straggler` seven times.
  void RunStep(const std::set<VmId>& slow, int straggler = -1) {
    const auto started =
        StartJob(Priority::kNormal, kWorkers * kTasksPerWorker);
    REQUIRE(started.size() == kWorkers * kTasksPerWorker);
    std::multimap<milliseconds, TaskId> ends;
    for (const auto& [task, vm] : started) {
      const int factor = task.index == straggler ? 7
                         : slow.contains(vm)     ? 2
                                                 : 1;
      ends.emplace(factor * kRunTime, task);
    }
    const MonotonicTime began = now_;
    for (const auto& [after, task] : ends) {
      now_ = began + after;
      cell_.Release(task, AttemptOutcome::kSucceeded, false, now_);
    }
  }

  MonotonicTime now() const { return now_; }
  Cell& cell() { return cell_; }

 private:
  static Options OptionsFor(const WorkerSpeeds& speeds) {
    Options options;
    options.speeds = speeds;
    return options;
  }

  Cell cell_;
  MonotonicTime now_{seconds(1'000)};
  int jobs_ = 0;
};

std::set<VmId> WorkersOf(const std::map<TaskId, VmId>& started) {
  std::set<VmId> workers;
  for (const auto& [task, vm] : started) workers.insert(vm);
  return workers;
}

// Guards against urgent steps that end with a task on a slow worker while fast
// ones have room.
TEST_CASE("with one worker in four at half speed urgent tasks avoid it") {
  const std::set<VmId> slow = {VmId("w0")};
  Fixture learned((LearnedSpeeds()));
  Fixture uniform((UniformSpeeds()));
  for (int i = 0; i < 2; ++i) {
    learned.RunStep(slow);
    uniform.RunStep(slow);
  }
  CHECK(learned.cell().Status().slow_workers == 1);
  const int tasks = (kWorkers - 1) * kTasksPerWorker;
  CHECK_FALSE(WorkersOf(learned.StartJob(Priority::kUrgent, tasks))
                  .contains(VmId("w0")));
  CHECK(WorkersOf(uniform.StartJob(Priority::kUrgent, tasks))
            .contains(VmId("w0")));
}

// Guards against slow workers that stand empty while urgent tasks wait for
// room.
TEST_CASE("urgent tasks use slow workers if no others have room") {
  Fixture f((LearnedSpeeds()));
  for (int i = 0; i < 2; ++i) f.RunStep({VmId("w0")});
  const auto started =
      f.StartJob(Priority::kUrgent, kWorkers * kTasksPerWorker);
  CHECK(started.size() == kWorkers * kTasksPerWorker);
}

TEST_CASE("low-priority jobs prefer slow workers only while they have slack") {
  Fixture f((LearnedSpeeds()));
  for (int i = 0; i < 2; ++i) f.RunStep({VmId("w2")});
  const StartBy ample{f.now() + seconds(60), f.now() + seconds(180)};
  CHECK(WorkersOf(f.StartJob(Priority::kLow, 2, ample)) ==
        std::set<VmId>{VmId("w2")});
  Fixture pressed((LearnedSpeeds()));
  for (int i = 0; i < 2; ++i) pressed.RunStep({VmId("w2")});
  const StartBy scarce{pressed.now() + kRunTime / 2,
                       pressed.now() + seconds(9)};
  CHECK_FALSE(WorkersOf(pressed.StartJob(Priority::kLow, 2, scarce))
                  .contains(VmId("w2")));
}

// Guards against a worker that is taken for slow because of a straggler.
TEST_CASE("one task in thirty seven times as long makes no worker slow") {
  Fixture f((LearnedSpeeds()));
  for (int step = 0; step < 60; ++step) {
    f.RunStep({}, step % 4 == 0 ? step / 4 % 8 : -1);
    REQUIRE(f.cell().Status().slow_workers == 0);
  }
}

// Guards against the speed of a VM that a new one takes over with its name.
TEST_CASE("a new life of a worker begins without a speed") {
  Fixture f((LearnedSpeeds()));
  for (int i = 0; i < 2; ++i) f.RunStep({VmId("w1")});
  REQUIRE(f.cell().Status().slow_workers == 1);
  f.cell().RemoveWorker(VmId("w1"));
  f.Add("w1");
  CHECK(f.cell().Status().slow_workers == 0);
}

}  // namespace
}  // namespace azurepass::placement
