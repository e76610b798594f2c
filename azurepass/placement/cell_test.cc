// Tests the guarantees of Cell one by one. oracle_test.cc compares Cell with a
// reference model on random sequences of calls.

#include <doctest/doctest.h>

#include <map>
#include <set>
#include <string>

#include "azurepass/placement/placement.h"

namespace azurepass::placement {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const MonotonicTime kStart = MonotonicTime() + seconds(1'000);
const Resources kWorker(8, 64, 32'000, 65'536, 0);
const Resources kSmallTask(1, 1, 4'000, 8'192, 0);

// Holds a cell of `zones` zones, each with `racks` racks of `workers_per_rack`
// workers.
struct Fixture {
  explicit Fixture(Options options = {}, int zones = 2, int racks = 2,
                   int workers_per_rack = 2)
      : cell(options) {
    for (int z = 0; z < zones; ++z) {
      all_zones.emplace_back("z" + std::to_string(z));
      for (int w = 0; w < racks * workers_per_rack; ++w) {
        const std::string vm =
            "z" + std::to_string(z) + "-w" + std::to_string(w);
        const std::string rack = "z" + std::to_string(z) + "-r" +
                                 std::to_string(w / workers_per_rack);
        cell.AddWorker({.vm = VmId(vm),
                        .zone = all_zones.back(),
                        .rack = RackId(rack),
                        .service = ServiceId("s"),
                        .address = "",
                        .capacity = kWorker},
                       WorkerAdmission::kOpen);
        rack_of[VmId(vm)] = rack;
        zone_of[VmId(vm)] = all_zones.back();
      }
    }
    SetTeam("a");
    SetTeam("b");
  }

  void SetTeam(const char* name, int64_t share = 1,
               Resources allowance = kUnlimited) {
    cell.SetTeam(TeamId(name), {share, all_zones, allowance});
  }

  void AddJob(const char* job, const char* team, Policy policy, int tasks,
              Resources size = kSmallTask,
              Priority priority = Priority::kNormal,
              Duration declared = Duration(0)) {
    JobSpec spec;
    spec.queue = QueueId("q");
    spec.policy = policy;
    spec.priority = priority;
    spec.tasks = tasks;
    spec.task = size;
    spec.declared_run_time = declared;
    cell.AddJob(JobId(job), TeamId(team), spec, now);
  }

  // Calls Decide. Returns the starts and appends the preemptions to `preempts`.
  std::vector<Start> DecideStarts() {
    std::vector<Start> starts;
    for (const Decision& decision : cell.Decide(now, {})) {
      if (const auto* start = std::get_if<Start>(&decision)) {
        starts.push_back(*start);
      } else {
        preempts.push_back(std::get<Preempt>(decision));
      }
    }
    return starts;
  }

  void Release(const TaskId& task,
               AttemptOutcome outcome = AttemptOutcome::kSucceeded) {
    cell.Release(task, outcome, outcome != AttemptOutcome::kSucceeded, now);
  }

  Cell cell;
  MonotonicTime now = kStart;
  std::vector<ZoneId> all_zones;
  std::map<VmId, std::string> rack_of;
  std::map<VmId, ZoneId> zone_of;
  std::vector<Preempt> preempts;
};

TEST_CASE("a service is spread over zones, then racks") {
  Fixture f;
  f.AddJob("j", "a", ServicePolicy{}, 4);
  std::map<std::string, int> racks;
  for (const Start& start : f.DecideStarts()) ++racks[f.rack_of[start.vm]];
  CHECK(racks.size() == 4);
}

TEST_CASE("batch tasks are packed onto the fullest worker") {
  Fixture f;
  f.AddJob("j", "a", BatchPolicy{}, 8);
  std::set<VmId> vms;
  for (const Start& start : f.DecideStarts()) vms.insert(start.vm);
  CHECK(vms.size() == 1);
}

TEST_CASE("all tasks of a gang start together or none does") {
  Fixture f({}, 1, 1, 2);
  f.AddJob("big", "a", GangPolicy{}, 17);
  CHECK(f.DecideStarts().empty());
  CHECK(f.cell.WaitReasonOf({JobId("big"), 0}) == WaitReason::kGangIncomplete);
  f.AddJob("fits", "a", GangPolicy{}, 16);
  CHECK(f.DecideStarts().size() == 16);
}

TEST_CASE(
    "the next unit is the first task or gang in rank that fits the room") {
  Fixture f;
  f.SetTeam("a", 1, Resources());
  const TeamId team("a");
  CHECK(f.cell.NextStartSizeOf(team, kUnlimited) == Resources());
  f.AddJob("low", "a", BatchPolicy{}, 5, kSmallTask, Priority::kLow);
  CHECK(f.cell.NextStartSizeOf(team, kUnlimited) == kSmallTask);
  f.AddJob("gang", "a", GangPolicy{}, 3, kWorker);
  f.AddJob("later", "a", BatchPolicy{}, 2, kWorker);
  CHECK(f.cell.NextStartSizeOf(team, kUnlimited) == kWorker * 3);
  CHECK(f.DecideStarts().empty());
  CHECK(f.cell.NextStartSizeOf(team, kUnlimited) == kWorker * 3);
  CHECK(f.cell.NextStartSizeOf(team, kWorker * 2) == kWorker);
  CHECK(f.cell.NextStartSizeOf(team, kSmallTask) == kSmallTask);
  CHECK(f.cell.NextStartSizeOf(TeamId("b"), kUnlimited) == Resources());

  JobSpec spec;
  spec.queue = QueueId("q");
  spec.priority = Priority::kNormal;
  spec.policy = GangPolicy{};
  spec.tasks = 2;
  spec.task = kSmallTask;
  spec.constraints.needs_permit = true;
  f.cell.AddJob(JobId("permit"), TeamId("b"), spec, f.now);
  CHECK(f.cell.NextStartSizeOf(TeamId("b"), kUnlimited) == kSmallTask * 2);
}

TEST_CASE("starts stay within the allowance, and lowering it preempts tasks") {
  Fixture f;
  f.SetTeam("a", 1, kSmallTask * 3);
  f.AddJob("j", "a", BatchPolicy{}, 10);
  const auto starts = f.DecideStarts();
  CHECK(starts.size() == 3);
  CHECK(f.cell.WaitReasonOf({JobId("j"), 9}) == WaitReason::kAllowance);
  f.SetTeam("a", 1, kSmallTask);
  CHECK(f.DecideStarts().empty());
  REQUIRE(f.preempts.size() == 2);
  CHECK(f.preempts[0].checkpoint);
  CHECK(f.preempts[0].reason == "allowance_lowered");
  // A checkpoint that does not end in time is followed by a plain stop.
  f.now += seconds(11);
  f.preempts.clear();
  f.DecideStarts();
  REQUIRE(f.preempts.size() == 2);
  CHECK_FALSE(f.preempts[0].checkpoint);
}

TEST_CASE("no task starts in a zone that is out of service or not allowed") {
  Fixture f;
  f.cell.SetZoneInService(ZoneId("z0"), false);
  f.cell.SetTeam(TeamId("a"), {1, {ZoneId("z0")}, kUnlimited});
  f.AddJob("j", "a", BatchPolicy{}, 1);
  CHECK(f.DecideStarts().empty());
  CHECK(f.cell.WaitReasonOf({JobId("j"), 0}) == WaitReason::kZonesOut);
  f.cell.SetZoneInService(ZoneId("z0"), true);
  CHECK(f.DecideStarts().size() == 1);
}

TEST_CASE("a zone that returns to service is filled gradually") {
  Fixture f({}, 1, 2, 4);
  f.cell.SetZoneInService(ZoneId("z0"), false);
  f.AddJob("j", "a", BatchPolicy{}, 64);
  CHECK(f.DecideStarts().empty());
  f.cell.SetZoneInService(ZoneId("z0"), true);
  size_t started = f.DecideStarts().size();
  CHECK(started <= 8);
  CHECK(started > 0);
  for (int i = 0; i < 200; ++i) {
    f.now += milliseconds(100);
    started += f.DecideStarts().size();
    const double max_fraction = 0.2 + static_cast<double>(i) / 100;
    CHECK(static_cast<double>(started) <= 64 * max_fraction);
  }
  CHECK(started == 64);
}

TEST_CASE("teams share a full cell by weight") {
  Fixture f;
  f.SetTeam("a", 3);
  f.AddJob("ja", "a", BatchPolicy{}, 100);
  f.AddJob("jb", "b", BatchPolicy{}, 100);
  CHECK(f.DecideStarts().size() == 64);
  CHECK(f.cell.CommittedOf(TeamId("a"))[Dimension::kSlots] == 48);
  CHECK(f.cell.CommittedOf(TeamId("b"))[Dimension::kSlots] == 16);
}

TEST_CASE("urgent work preempts tasks of a team above its share") {
  Fixture f;
  f.AddJob("ja", "a", BatchPolicy{}, 100);
  CHECK(f.DecideStarts().size() == 64);
  f.AddJob("jb", "b", BatchPolicy{}, 2, kSmallTask, Priority::kUrgent);
  CHECK(f.DecideStarts().empty());
  REQUIRE(f.preempts.size() == 2);
  for (const Preempt& preempt : f.preempts) {
    CHECK(preempt.reason == "room_for_urgent");
    f.Release(preempt.task, AttemptOutcome::kStopped);
  }
  const auto starts = f.DecideStarts();
  REQUIRE(starts.size() == 2);
  CHECK(starts[0].task.job == JobId("jb"));
  CHECK(starts[1].task.job == JobId("jb"));
}

TEST_CASE("a job that can never run is refused and the dimension is named") {
  Fixture f;
  const auto refused_dimension = [&](Resources size, Policy policy, int tasks) {
    JobSpec spec;
    spec.policy = policy;
    spec.tasks = tasks;
    spec.task = size;
    return f.cell.NeverFits(TeamId("a"), spec).value_or("");
  };
  CHECK(refused_dimension(kSmallTask, BatchPolicy{}, 9'999).empty());
  CHECK(refused_dimension({1, 1, 1, 65'537, 0}, BatchPolicy{}, 1) ==
        "memory_mib");
  CHECK(refused_dimension({1, 1, 1, 1, 1}, ServicePolicy{}, 1) ==
        "accelerators");
  CHECK(refused_dimension(kSmallTask, GangPolicy{}, 64).empty());
  CHECK(refused_dimension({1, 0, 8'000, 1, 0}, GangPolicy{}, 33) ==
        "millicores");
}

TEST_CASE("the backoff of a task doubles with each failure") {
  Fixture f;
  f.AddJob("j", "a", BatchPolicy{}, 1);
  const TaskId task{JobId("j"), 0};
  for (int i = 0; i < 3; ++i) {
    REQUIRE(f.DecideStarts().size() == 1);
    f.Release(task, AttemptOutcome::kFailed);
    CHECK(f.DecideStarts().empty());
    CHECK(f.cell.WaitReasonOf(task) == WaitReason::kRetryBackoff);
    const auto wake = f.cell.NextWake();
    REQUIRE(wake.has_value());
    CHECK(*wake - f.now >= milliseconds(500 << i));
    CHECK(*wake - f.now <= milliseconds(1'000 << i));
    f.now = *wake;
  }
  CHECK(f.DecideStarts().size() == 1);
}

// The log reports the longest waits, so that a task that is never started again
// appears there with the reason.
TEST_CASE("the longest waits are reported with their reason and age") {
  Fixture f;
  f.SetTeam("a", 1, kSmallTask + kSmallTask);
  f.AddJob("first", "a", BatchPolicy{}, 2);
  REQUIRE(f.DecideStarts().size() == 2);
  f.now += seconds(1);
  f.AddJob("behind", "a", BatchPolicy{}, 3);
  REQUIRE(f.DecideStarts().empty());
  f.now += seconds(1);
  f.Release({JobId("first"), 1}, AttemptOutcome::kFailed);
  const auto waits = f.cell.LongestWaits(5);
  REQUIRE(waits.size() == 2);
  CHECK(waits[0].task.job == JobId("behind"));
  CHECK(waits[0].reason == WaitReason::kAllowance);
  CHECK(waits[0].since == f.now - seconds(1));
  CHECK(waits[0].waiting == 3);
  CHECK(waits[0].committed == kSmallTask);
  CHECK(waits[0].allowance == kSmallTask + kSmallTask);
  CHECK(waits[1].task == TaskId{JobId("first"), 1});
  CHECK(waits[1].reason == WaitReason::kRetryBackoff);
  CHECK(waits[1].since == f.now);  // The end of its latest attempt.
  CHECK(waits[1].delayed == 1);
  CHECK(f.cell.LongestWaits(1).size() == 1);
}

// A worker that fails every task at once is free again at once and gets most of
// the starts, so that most of the job's failures are its own. The quarantine
// must not count them as failures of its peers.
TEST_CASE(
    "a worker that fails fast is quarantined although it gets most starts") {
  constexpr int kTasks = 200;
  constexpr int kMaxProbes = 12;
  // Peers finish their first tasks after 1 s.
  constexpr seconds kDetectionTime(3);
  constexpr milliseconds kStep(10);
  constexpr milliseconds kRunTime(1'000);
  const VmId bad("z0-w0");
  Fixture f;
  f.AddJob("j", "a", BatchPolicy{}, kTasks);
  std::map<TaskId, std::pair<VmId, MonotonicTime>> running;
  int succeeded = 0;
  int starts_on_bad_worker = 0;
  MonotonicTime now = kStart;
  for (; succeeded < kTasks && now < kStart + seconds(120); now += kStep) {
    for (const auto& [task, at] : std::map(running)) {
      const auto& [vm, since] = at;
      const bool failed = vm == bad;
      if (!failed && now < since + kRunTime) continue;
      f.cell.Release(
          task, failed ? AttemptOutcome::kFailed : AttemptOutcome::kSucceeded,
          /*requeue=*/failed, now);
      succeeded += failed ? 0 : 1;
      running.erase(task);
    }
    for (const Decision& decision : f.cell.Decide(now, {})) {
      const auto* start = std::get_if<Start>(&decision);
      if (start == nullptr) continue;
      running[start->task] = {start->vm, now};
      if (start->vm == bad && now > kStart + kDetectionTime)
        ++starts_on_bad_worker;
    }
  }
  CHECK(succeeded == kTasks);
  CHECK(starts_on_bad_worker <= kMaxProbes);
}

TEST_CASE("recovered commitments beyond the capacity are refused") {
  Fixture f;
  f.AddJob("j", "a", BatchPolicy{}, 9);
  const VmId vm("z0-w0");
  for (int i = 0; i < 8; ++i) CHECK(f.cell.Commit({JobId("j"), i}, vm));
  CHECK_FALSE(f.cell.Commit({JobId("j"), 8}, vm));
  CHECK_FALSE(f.cell.Commit({JobId("j"), 0}, VmId("z0-w1")));
  CHECK(f.cell.CommittedOn(vm) == kSmallTask * 8);
}

// Checks that a gang of team "a" that needs the whole cell starts while small
// tasks of `small_team` keep arriving.
void CheckGangStarts(const char* small_team) {
  Fixture f({}, 1, 1, 2);
  f.AddJob("small", small_team, BatchPolicy{}, 16, kSmallTask,
           Priority::kNormal, seconds(1));
  auto running = f.DecideStarts();
  f.AddJob("gang", "a", GangPolicy{}, 16);
  f.AddJob("later", small_team, BatchPolicy{}, 1'000);
  bool gang_started = false;
  for (int i = 0; i < 400 && !gang_started; ++i) {
    f.now += milliseconds(100);
    f.Release(running.front().task);
    running.erase(running.begin());
    for (const Start& start : f.DecideStarts()) {
      running.push_back(start);
      gang_started |= start.task.job == JobId("gang");
    }
  }
  CHECK(gang_started);
}

TEST_CASE("a gang is not starved by small tasks that keep arriving") {
  SUBCASE("of another team") { CheckGangStarts("b"); }
  SUBCASE("of its own team") { CheckGangStarts("a"); }
}

TEST_CASE("a recorded decision is reproduced, and an altered one is not") {
  Fixture f;
  f.AddJob("j", "a", BatchPolicy{}, 1);
  f.DecideStarts();
  const auto explanation = f.cell.Explain(JobId("j"), Revision{7}, f.now);
  CHECK(explanation.revision == Revision{7});
  REQUIRE(explanation.input.has_value());
  CHECK(Replay(*explanation.input).agrees);
  DecisionInput altered = *explanation.input;
  altered.candidates.push_back({.vm = VmId("better"),
                                .zone = ZoneId("z0"),
                                .free = kSmallTask,
                                .order = -1});
  const ReplayResult result = Replay(altered);
  CHECK_FALSE(result.agrees);
  CHECK(result.vm == VmId("better"));
}

TEST_CASE("an explanation says why each zone was not chosen") {
  Fixture f({}, 3, 1, 1);
  f.cell.SetTeam(TeamId("a"), {1, {ZoneId("z0"), ZoneId("z1")}, kUnlimited});
  f.cell.SetZoneInService(ZoneId("z1"), false);
  f.AddJob("j", "a", BatchPolicy{}, 1, {8, 1, 32'000, 1, 0});
  f.AddJob("k", "a", BatchPolicy{}, 1, {1, 1, 1'000, 1, 0});
  f.DecideStarts();
  const auto explanation = f.cell.Explain(JobId("k"), Revision{}, f.now);
  CHECK(explanation.waiting == WaitReason::kNoRoom);
  REQUIRE(explanation.groups.size() == 3);
  CHECK(explanation.groups[0].verdict == "no_room");
  CHECK(explanation.groups[0].tightest == Dimension::kSlots);
  CHECK(explanation.groups[1].verdict == "zone_out");
  CHECK(explanation.groups[2].verdict == "not_allowed");
}

}  // namespace
}  // namespace azurepass::placement
