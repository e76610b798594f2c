// What Cell promises, case by case. The random trials against the oracle are in
// oracle_test.cc.

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
const Resources kSmall(1, 1, 4'000, 8'192, 0);

// A cell of `zones` zones with `racks` racks of `each` workers.
struct Fixture {
  explicit Fixture(Options options = {}, int zones = 2, int racks = 2,
                   int each = 2)
      : cell(options) {
    for (int z = 0; z < zones; ++z) {
      all_zones.emplace_back("z" + std::to_string(z));
      for (int w = 0; w < racks * each; ++w) {
        const std::string vm =
            "z" + std::to_string(z) + "-w" + std::to_string(w);
        const std::string rack =
            "z" + std::to_string(z) + "-r" + std::to_string(w / each);
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
    Team("a");
    Team("b");
  }

  void Team(const char* name, int64_t share = 1,
            Resources allowance = kUnlimited) {
    cell.SetTeam(TeamId(name), {share, all_zones, allowance});
  }

  void Job(const char* job, const char* team, Policy policy, int tasks,
           Resources size = kSmall, Priority priority = Priority::kNormal,
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

  std::vector<Start> Starts() {
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

  void End(const TaskId& task,
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
  f.Job("j", "a", ServicePolicy{}, 4);
  std::map<std::string, int> racks;
  for (const Start& start : f.Starts()) ++racks[f.rack_of[start.vm]];
  CHECK(racks.size() == 4);
}

TEST_CASE("batch tasks are packed onto the fullest worker") {
  Fixture f;
  f.Job("j", "a", BatchPolicy{}, 8);
  std::set<VmId> vms;
  for (const Start& start : f.Starts()) vms.insert(start.vm);
  CHECK(vms.size() == 1);
}

TEST_CASE("a gang starts whole or not at all") {
  Fixture f({}, 1, 1, 2);
  f.Job("big", "a", GangPolicy{}, 17);
  CHECK(f.Starts().empty());
  CHECK(f.cell.WaitReasonOf({JobId("big"), 0}) == WaitReason::kGangIncomplete);
  f.Job("fits", "a", GangPolicy{}, 16);
  CHECK(f.Starts().size() == 16);
}

TEST_CASE("the next unit is a task or a gang of the first in rank that fits") {
  Fixture f;
  f.Team("a", 1, Resources());
  const TeamId team("a");
  CHECK(f.cell.NextStartSizeOf(team, kUnlimited) == Resources());
  f.Job("low", "a", BatchPolicy{}, 5, kSmall, Priority::kLow);
  CHECK(f.cell.NextStartSizeOf(team, kUnlimited) == kSmall);
  f.Job("gang", "a", GangPolicy{}, 3, kWorker);
  f.Job("later", "a", BatchPolicy{}, 2, kWorker);
  CHECK(f.cell.NextStartSizeOf(team, kUnlimited) == kWorker * 3);
  CHECK(f.Starts().empty());
  CHECK(f.cell.NextStartSizeOf(team, kUnlimited) == kWorker * 3);
  CHECK(f.cell.NextStartSizeOf(team, kWorker * 2) == kWorker);
  CHECK(f.cell.NextStartSizeOf(team, kSmall) == kSmall);
  CHECK(f.cell.NextStartSizeOf(TeamId("b"), kUnlimited) == Resources());

  JobSpec spec;
  spec.queue = QueueId("q");
  spec.priority = Priority::kNormal;
  spec.policy = GangPolicy{};
  spec.tasks = 2;
  spec.task = kSmall;
  spec.constraints.needs_permit = true;
  f.cell.AddJob(JobId("permit"), TeamId("b"), spec, f.now);
  CHECK(f.cell.NextStartSizeOf(TeamId("b"), kUnlimited) == kSmall * 2);
}

TEST_CASE("no start passes the allowance, and a lowered one preempts") {
  Fixture f;
  f.Team("a", 1, kSmall * 3);
  f.Job("j", "a", BatchPolicy{}, 10);
  const auto starts = f.Starts();
  CHECK(starts.size() == 3);
  CHECK(f.cell.WaitReasonOf({JobId("j"), 9}) == WaitReason::kAllowance);
  f.Team("a", 1, kSmall);
  CHECK(f.Starts().empty());
  REQUIRE(f.preempts.size() == 2);
  CHECK(f.preempts[0].checkpoint);
  CHECK(f.preempts[0].reason == "allowance_lowered");
  // A checkpoint that does not end is followed by a stop.
  f.now += seconds(11);
  f.preempts.clear();
  f.Starts();
  REQUIRE(f.preempts.size() == 2);
  CHECK_FALSE(f.preempts[0].checkpoint);
}

TEST_CASE("nothing starts in a zone that is out or not allowed") {
  Fixture f;
  f.cell.SetZoneInService(ZoneId("z0"), false);
  f.cell.SetTeam(TeamId("a"), {1, {ZoneId("z0")}, kUnlimited});
  f.Job("j", "a", BatchPolicy{}, 1);
  CHECK(f.Starts().empty());
  CHECK(f.cell.WaitReasonOf({JobId("j"), 0}) == WaitReason::kZonesOut);
  f.cell.SetZoneInService(ZoneId("z0"), true);
  CHECK(f.Starts().size() == 1);
}

TEST_CASE("a zone that comes back fills up step by step") {
  Fixture f({}, 1, 2, 4);
  f.cell.SetZoneInService(ZoneId("z0"), false);
  f.Job("j", "a", BatchPolicy{}, 64);
  CHECK(f.Starts().empty());
  f.cell.SetZoneInService(ZoneId("z0"), true);
  size_t started = f.Starts().size();
  CHECK(started <= 8);
  CHECK(started > 0);
  for (int i = 0; i < 200; ++i) {
    f.now += milliseconds(100);
    started += f.Starts().size();
    const double part = 0.2 + static_cast<double>(i) / 100;
    CHECK(static_cast<double>(started) <= 64 * part);
  }
  CHECK(started == 64);
}

TEST_CASE("teams share a full cell by weight") {
  Fixture f;
  f.Team("a", 3);
  f.Job("ja", "a", BatchPolicy{}, 100);
  f.Job("jb", "b", BatchPolicy{}, 100);
  CHECK(f.Starts().size() == 64);
  CHECK(f.cell.CommittedOf(TeamId("a"))[Dimension::kSlots] == 48);
  CHECK(f.cell.CommittedOf(TeamId("b"))[Dimension::kSlots] == 16);
}

TEST_CASE("urgent work gets room from a team above its share") {
  Fixture f;
  f.Job("ja", "a", BatchPolicy{}, 100);
  CHECK(f.Starts().size() == 64);
  f.Job("jb", "b", BatchPolicy{}, 2, kSmall, Priority::kUrgent);
  CHECK(f.Starts().empty());
  REQUIRE(f.preempts.size() == 2);
  for (const Preempt& preempt : f.preempts) {
    CHECK(preempt.reason == "room_for_urgent");
    f.End(preempt.task, AttemptOutcome::kStopped);
  }
  const auto starts = f.Starts();
  REQUIRE(starts.size() == 2);
  CHECK(starts[0].task.job == JobId("jb"));
  CHECK(starts[1].task.job == JobId("jb"));
}

TEST_CASE("a job that can never run is refused with the dimension") {
  Fixture f;
  const auto named = [&](Resources size, Policy policy, int tasks) {
    JobSpec spec;
    spec.policy = policy;
    spec.tasks = tasks;
    spec.task = size;
    return f.cell.NeverFits(TeamId("a"), spec).value_or("");
  };
  CHECK(named(kSmall, BatchPolicy{}, 9'999).empty());
  CHECK(named({1, 1, 1, 65'537, 0}, BatchPolicy{}, 1) == "memory_mib");
  CHECK(named({1, 1, 1, 1, 1}, ServicePolicy{}, 1) == "accelerators");
  CHECK(named(kSmall, GangPolicy{}, 64).empty());
  CHECK(named({1, 0, 8'000, 1, 0}, GangPolicy{}, 33) == "millicores");
}

TEST_CASE("a failed task waits longer each time") {
  Fixture f;
  f.Job("j", "a", BatchPolicy{}, 1);
  const TaskId task{JobId("j"), 0};
  for (int i = 0; i < 3; ++i) {
    REQUIRE(f.Starts().size() == 1);
    f.End(task, AttemptOutcome::kFailed);
    CHECK(f.Starts().empty());
    CHECK(f.cell.WaitReasonOf(task) == WaitReason::kRetryBackoff);
    const auto wake = f.cell.NextWake();
    REQUIRE(wake.has_value());
    CHECK(*wake - f.now >= milliseconds(500 << i));
    CHECK(*wake - f.now <= milliseconds(1'000 << i));
    f.now = *wake;
  }
  CHECK(f.Starts().size() == 1);
}

// The log names what waits for longest, so that a task that is never started
// again shows there with its reason.
TEST_CASE("the longest waits are named with their reason and age") {
  Fixture f;
  f.Team("a", 1, kSmall + kSmall);
  f.Job("first", "a", BatchPolicy{}, 2);
  REQUIRE(f.Starts().size() == 2);
  f.now += seconds(1);
  f.Job("behind", "a", BatchPolicy{}, 3);
  REQUIRE(f.Starts().empty());
  f.now += seconds(1);
  f.End({JobId("first"), 1}, AttemptOutcome::kFailed);
  const auto waits = f.cell.LongestWaits(5);
  REQUIRE(waits.size() == 2);
  CHECK(waits[0].task.job == JobId("behind"));
  CHECK(waits[0].reason == WaitReason::kAllowance);
  CHECK(waits[0].since == f.now - seconds(1));
  CHECK(waits[0].waiting == 3);
  CHECK(waits[0].committed == kSmall);
  CHECK(waits[0].allowance == kSmall + kSmall);
  CHECK(waits[1].task == TaskId{JobId("first"), 1});
  CHECK(waits[1].reason == WaitReason::kRetryBackoff);
  CHECK(waits[1].since == f.now);  // Since its latest attempt.
  CHECK(waits[1].delayed == 1);
  CHECK(f.cell.LongestWaits(1).size() == 1);
}

// A worker that fails at once what it is given gets most of the starts, so that
// most of the job's failures are its own; they must not pass for its peers'.
TEST_CASE("a worker that fails fast is quarantined however much it draws") {
  constexpr int kTasks = 200;
  constexpr int kMaxProbes = 12;
  constexpr seconds kSettled(3);  // The first peers end after one second.
  constexpr milliseconds kStep(10);
  constexpr milliseconds kRunTime(1'000);
  const VmId bad("z0-w0");
  Fixture f;
  f.Job("j", "a", BatchPolicy{}, kTasks);
  std::map<TaskId, std::pair<VmId, MonotonicTime>> running;
  int succeeded = 0;
  int bad_starts = 0;
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
      if (start->vm == bad && now > kStart + kSettled) ++bad_starts;
    }
  }
  CHECK(succeeded == kTasks);
  CHECK(bad_starts <= kMaxProbes);
}

TEST_CASE("recovered commitments are refused beyond the capacity") {
  Fixture f;
  f.Job("j", "a", BatchPolicy{}, 9);
  const VmId vm("z0-w0");
  for (int i = 0; i < 8; ++i) CHECK(f.cell.Commit({JobId("j"), i}, vm));
  CHECK_FALSE(f.cell.Commit({JobId("j"), 8}, vm));
  CHECK_FALSE(f.cell.Commit({JobId("j"), 0}, VmId("z0-w1")));
  CHECK(f.cell.CommittedOn(vm) == kSmall * 8);
}

// Small tasks of `small_team` keep coming; a gang of team "a" needs all room.
void CheckGangStarts(const char* small_team) {
  Fixture f({}, 1, 1, 2);
  f.Job("small", small_team, BatchPolicy{}, 16, kSmall, Priority::kNormal,
        seconds(1));
  auto running = f.Starts();
  f.Job("gang", "a", GangPolicy{}, 16);
  f.Job("later", small_team, BatchPolicy{}, 1'000);
  bool gang_started = false;
  for (int i = 0; i < 400 && !gang_started; ++i) {
    f.now += milliseconds(100);
    f.End(running.front().task);
    running.erase(running.begin());
    for (const Start& start : f.Starts()) {
      running.push_back(start);
      gang_started |= start.task.job == JobId("gang");
    }
  }
  CHECK(gang_started);
}

TEST_CASE("a gang is not starved by small tasks that keep coming") {
  SUBCASE("of another team") { CheckGangStarts("b"); }
  SUBCASE("of its own team") { CheckGangStarts("a"); }
}

TEST_CASE("a recorded decision replays, and a doubtful one does not") {
  Fixture f;
  f.Job("j", "a", BatchPolicy{}, 1);
  f.Starts();
  const auto explanation = f.cell.Explain(JobId("j"), Revision{7}, f.now);
  CHECK(explanation.revision == Revision{7});
  REQUIRE(explanation.input.has_value());
  CHECK(Replay(*explanation.input).agrees);
  DecisionInput doubted = *explanation.input;
  doubted.candidates.push_back({.vm = VmId("better"),
                                .zone = ZoneId("z0"),
                                .free = kSmall,
                                .order = -1});
  const ReplayResult result = Replay(doubted);
  CHECK_FALSE(result.agrees);
  CHECK(result.vm == VmId("better"));
}

TEST_CASE("an explanation says why each zone was passed over") {
  Fixture f({}, 3, 1, 1);
  f.cell.SetTeam(TeamId("a"), {1, {ZoneId("z0"), ZoneId("z1")}, kUnlimited});
  f.cell.SetZoneInService(ZoneId("z1"), false);
  f.Job("j", "a", BatchPolicy{}, 1, {8, 1, 32'000, 1, 0});
  f.Job("k", "a", BatchPolicy{}, 1, {1, 1, 1'000, 1, 0});
  f.Starts();
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
