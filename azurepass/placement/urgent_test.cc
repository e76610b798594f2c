// Tests how Cell orders jobs by deadline and makes room for urgent ones, for a
// load of wide low-priority jobs that fill the fleet and keep their progress
// when they are preempted, and bursts of urgent jobs with short tasks:
//
//   * An urgent job that can still be on time starts before one that cannot.
//   * It preempts low-priority tasks that keep their progress, and no others.
//   * It takes its team's allowance from such tasks of its own team, only when
//     it can start with it, and that allowance is held for it.
//   * An overdue job delays no other job.
//
// It also tests that a job starts only on workers for which it has a valid
// permit, and that allowance is held for gangs while they wait for permits.

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

#include "azurepass/placement/placement.h"

namespace azurepass::placement {
namespace {

using std::chrono::seconds;

const Resources kWorker(1'000, 1'000, 32'000, 65'536, 0);
const Resources kHalfWorker(1, 0, 16'000, 8'192, 0);
const TeamId kTeam("a");

// Returns the spec of a constrained job: one that not every worker with room
// may take.
JobSpec ConstrainedJob(Priority priority, int tasks, bool keeps_progress) {
  JobSpec spec;
  spec.queue = QueueId("q");
  spec.priority = priority;
  spec.tasks = tasks;
  spec.task = kHalfWorker;
  spec.checkpoints = keeps_progress;
  spec.constraints.max_per_worker = 2;  // Makes the job constrained.
  return spec;
}

class Fixture {
 public:
  explicit Fixture(int workers, const Resources& allowance = kUnlimited)
      : cell_(Options()) {
    for (int w = 0; w < workers; ++w) {
      AddWorker("w" + std::to_string(w), kWorker);
    }
    cell_.SetTeam(kTeam, {1, {ZoneId("z")}, allowance});
  }

  void AddWorker(const std::string& vm, const Resources& capacity) {
    cell_.AddWorker({.vm = VmId(vm),
                     .zone = ZoneId("z"),
                     .rack = RackId("r"),
                     .service = ServiceId("s"),
                     .address = "",
                     .capacity = capacity},
                    WorkerAdmission::kOpen);
  }
  void Close(const char* vm) {
    cell_.SetAdmission(VmId(vm), WorkerAdmission::kClosed);
  }
  void Add(const char* job, const JobSpec& spec,
           std::optional<StartBy> start_by = std::nullopt) {
    cell_.AddJob(JobId(job), kTeam, spec, now, start_by);
  }
  StartBy StartByIn(seconds on_time, seconds late) const {
    return {now + on_time, now + late};
  }
  void Decide() {
    starts.clear();
    preempts.clear();
    for (const Decision& decision : cell_.Decide(now, {})) {
      std::visit(Visitor{[&](const Start& s) { starts.push_back(s); },
                         [&](const Preempt& p) { preempts.push_back(p); }},
                 decision);
    }
  }
  void SetPermitted(const char* job, const std::vector<VmId>& workers,
                    seconds validity) {
    cell_.SetPermitted(JobId(job), workers, now + validity);
  }
  void Release(const TaskId& task, AttemptOutcome outcome, bool requeue) {
    cell_.Release(task, outcome, requeue, now);
  }
  const Cell& cell() const { return cell_; }

  MonotonicTime now{seconds(1'000)};
  std::vector<Start> starts;
  std::vector<Preempt> preempts;

 private:
  Cell cell_;
};

TEST_CASE("of the jobs that can be on time the earliest deadline goes first") {
  Fixture f(1);
  f.Add("full", ConstrainedJob(Priority::kUrgent, 2, false));
  f.Decide();
  REQUIRE(f.starts.size() == 2);
  const std::vector<Start> full = f.starts;
  const JobSpec one = ConstrainedJob(Priority::kUrgent, 1, false);
  f.Add("missed", one, f.StartByIn(seconds(1), seconds(60)));
  f.Add("easy", one, f.StartByIn(seconds(9), seconds(60)));
  f.Add("pressing", one, f.StartByIn(seconds(5), seconds(60)));
  f.now += seconds(2);
  const char* expected[] = {"pressing", "easy"};
  for (int i = 0; i < 2; ++i) {
    f.Release(full[i].task, AttemptOutcome::kSucceeded, false);
    f.Decide();
    REQUIRE(f.starts.size() == 1);
    CHECK(f.starts[0].task.job == JobId(expected[i]));
  }
}

TEST_CASE("an overdue urgent job waits behind low-priority jobs") {
  Fixture f(1);
  f.Add("full", ConstrainedJob(Priority::kUrgent, 2, false));
  f.Decide();
  const std::vector<Start> full = f.starts;
  f.Add("overdue", ConstrainedJob(Priority::kUrgent, 1, false),
        f.StartByIn(seconds(1), seconds(2)));
  f.Add("low", ConstrainedJob(Priority::kLow, 1, false),
        f.StartByIn(seconds(30), seconds(60)));
  f.now += seconds(3);
  f.Decide();
  f.Release(full[0].task, AttemptOutcome::kSucceeded, false);
  f.Decide();
  REQUIRE(f.starts.size() == 1);
  CHECK(f.starts[0].task.job == JobId("low"));
  CHECK(f.cell().RankOf(JobId("overdue")) > f.cell().RankOf(JobId("low")));
}

TEST_CASE(
    "an urgent constrained job preempts low-priority tasks that keep "
    "progress") {
  Fixture f(2);
  f.Add("plain", ConstrainedJob(Priority::kLow, 2, false));
  f.Decide();
  f.Add("keeps", ConstrainedJob(Priority::kLow, 2, true));
  f.Decide();
  REQUIRE(f.starts.size() == 2);
  f.Add("urgent", ConstrainedJob(Priority::kUrgent, 1, false),
        f.StartByIn(seconds(5), seconds(9)));
  f.Decide();
  CHECK(f.starts.empty());
  REQUIRE(f.preempts.size() == 1);
  CHECK(f.preempts[0].task.job == JobId("keeps"));
  CHECK(f.preempts[0].checkpoint);
  f.Decide();
  CHECK(f.preempts.empty());  // The first preemption will free the room.
  const TaskId victim{JobId("keeps"), 0};
  f.Release(victim, AttemptOutcome::kStopped, true);
  f.Release({JobId("keeps"), 1}, AttemptOutcome::kStopped, true);
  f.Decide();
  REQUIRE_FALSE(f.starts.empty());
  CHECK(f.starts[0].task.job == JobId("urgent"));
}

TEST_CASE(
    "an urgent job takes the allowance of its team's low-priority tasks") {
  Resources allowance = kUnlimited;
  allowance[Dimension::kMillicores] = 32'000;
  Fixture f(4, allowance);
  f.Add("keeps", ConstrainedJob(Priority::kLow, 2, true));
  f.Decide();
  REQUIRE(f.starts.size() == 2);
  f.Add("urgent", ConstrainedJob(Priority::kUrgent, 1, false),
        f.StartByIn(seconds(5), seconds(9)));
  f.Decide();
  REQUIRE(f.preempts.size() == 1);
  CHECK(f.preempts[0].reason == "allowance_for_urgent");
  f.Release(f.preempts[0].task, AttemptOutcome::kStopped, true);
  f.Decide();
  REQUIRE(f.starts.size() == 1);
  CHECK(f.starts[0].task.job == JobId("urgent"));
}

// Returns a fixture whose team has two preemptible tasks of low priority, which
// use up its allowance.
Fixture AtAllowance(int workers = 4) {
  Resources allowance = kUnlimited;
  allowance[Dimension::kMillicores] = 32'000;
  Fixture f(workers, allowance);
  f.Add("keeps", ConstrainedJob(Priority::kLow, 3, true));
  f.Decide();
  REQUIRE(f.starts.size() == 2);
  return f;
}

// Guards against tasks that are preempted for urgent work that can't start.
TEST_CASE("allowance is made only for urgent work that can use it") {
  JobSpec urgent = ConstrainedJob(Priority::kUrgent, 1, false);
  SUBCASE("not without permits") { urgent.constraints.needs_permit = true; }
  SUBCASE("not without room") { urgent.constraints.label = "absent"; }
  SUBCASE("not for more than the team's allowance") {
    urgent.task = kHalfWorker + kWorker;
  }
  SUBCASE("not for more than its preemptible tasks have") {
    urgent.tasks = 3;
    urgent.policy = GangPolicy{};
  }
  Fixture f = AtAllowance();
  f.Add("urgent", urgent, f.StartByIn(seconds(5), seconds(9)));
  f.Decide();
  CHECK(f.preempts.empty());
  f.Decide();
  CHECK(f.preempts.empty());
}

// Guards against urgent work that waits for as long as its permits do not come:
// they may come at any time, and the allowance is made then.
TEST_CASE("allowance is made when the permits of urgent work arrive") {
  JobSpec urgent = ConstrainedJob(Priority::kUrgent, 1, false);
  urgent.constraints.needs_permit = true;
  Fixture f = AtAllowance();
  f.Add("urgent", urgent, f.StartByIn(seconds(5), seconds(9)));
  f.Decide();
  CHECK(f.cell().PreemptibleAllowanceOf(JobId("urgent")) == kHalfWorker * 2);
  CHECK(f.cell().PreemptibleAllowanceOf(JobId("keeps")) == Resources());
  f.SetPermitted("urgent", {VmId("w3")}, seconds(4));
  f.Decide();
  REQUIRE(f.preempts.size() == 1);
  f.Release(f.preempts[0].task, AttemptOutcome::kStopped, true);
  f.Decide();
  REQUIRE(f.starts.size() == 1);
  CHECK(f.starts[0].task.job == JobId("urgent"));
}

// The urgent job needs the allowance of both tasks, and the first of these ends
// before the second. Guards against tasks of the same team that take what was
// freed, and against a hold without an end: the second task never ends.
TEST_CASE("lower work does not use allowance that is held, for a time") {
  JobSpec urgent = ConstrainedJob(Priority::kUrgent, 2, false);
  urgent.policy = GangPolicy{};
  Fixture f = AtAllowance();
  f.Add("urgent", urgent, f.StartByIn(seconds(5), seconds(9)));
  f.Decide();
  REQUIRE(f.preempts.size() == 2);
  CHECK(f.cell().AllowanceHeldFor(JobId("urgent")) == kHalfWorker * 2);
  f.Release(f.preempts[0].task, AttemptOutcome::kStopped, true);
  f.Decide();
  CHECK(f.starts.empty());
  SUBCASE("both end") {
    f.Release({JobId("keeps"), 0}, AttemptOutcome::kStopped, true);
    f.Release({JobId("keeps"), 1}, AttemptOutcome::kStopped, true);
    f.Decide();
    REQUIRE(f.starts.size() == 2);
    CHECK(f.starts[0].task.job == JobId("urgent"));
    CHECK(f.cell().AllowanceHeldFor(JobId("urgent")) == Resources());
  }
  SUBCASE("it loses its room") {
    for (const char* vm : {"w0", "w1", "w2", "w3"}) f.Close(vm);
    f.AddWorker("w4", kHalfWorker);
    f.Decide();
    CHECK(f.starts.empty());
    f.now += Duration(1'500);
    f.Decide();
    REQUIRE(f.starts.size() == 1);
    CHECK(f.starts[0].task.job == JobId("keeps"));
  }
}

// The youngest task is too small, so that an older and larger one has to go as
// well. Guards against preempting both, after which the small one starts again.
TEST_CASE("a task whose allowance is not needed is not preempted") {
  Resources allowance = kUnlimited;
  allowance[Dimension::kMillicores] = 20'000;
  Fixture f(4, allowance);
  f.Add("large", ConstrainedJob(Priority::kLow, 1, true));
  f.Decide();
  JobSpec small = ConstrainedJob(Priority::kLow, 1, true);
  small.task = Resources(1, 0, 4'000, 1'024, 0);
  f.Add("small", small);
  f.Decide();
  REQUIRE(f.starts.size() == 1);
  f.Add("urgent", ConstrainedJob(Priority::kUrgent, 1, false),
        f.StartByIn(seconds(5), seconds(9)));
  f.Decide();
  REQUIRE(f.preempts.size() == 1);
  CHECK(f.preempts[0].task.job == JobId("large"));
}

TEST_CASE(
    "a blocked constrained job is tried again on workers that gained room") {
  Fixture f(1);
  f.Add("full", ConstrainedJob(Priority::kNormal, 2, false));
  f.Decide();
  const std::vector<Start> full = f.starts;
  f.Add("waits", ConstrainedJob(Priority::kNormal, 1, false));
  f.Decide();
  f.Decide();
  CHECK(f.starts.empty());
  f.Release(full[1].task, AttemptOutcome::kSucceeded, false);
  f.Decide();
  REQUIRE(f.starts.size() == 1);
  CHECK(f.starts[0].task.job == JobId("waits"));
}

JobSpec PermitJob(int tasks) {
  JobSpec spec = ConstrainedJob(Priority::kNormal, tasks, false);
  spec.constraints.needs_permit = true;
  return spec;
}

// A job without a valid permit must not be tried in each decision, and must be
// tried again when it gets a permit.
TEST_CASE("a job queues only while it has a valid permit") {
  Fixture f(2);
  f.Add("job", PermitJob(3));
  f.Decide();
  CHECK(f.starts.empty());
  const TaskId first{JobId("job"), 0};
  CHECK(f.cell().WaitReasonOf(first) == WaitReason::kNoPermit);
  CHECK(f.cell().WaitingByReason() ==
        std::map<WaitReason, int64_t>{{WaitReason::kNoPermit, 3}});
  f.SetPermitted("job", {VmId("w1")}, seconds(4));
  CHECK(f.cell().WaitReasonOf(first) != WaitReason::kNoPermit);
  f.Decide();
  REQUIRE(f.starts.size() == 2);
  CHECK(f.starts[0].vm == VmId("w1"));
  CHECK(f.starts[1].vm == VmId("w1"));
  f.now += seconds(5);
  f.Decide();
  CHECK(f.cell().WaitReasonOf({JobId("job"), 2}) == WaitReason::kNoPermit);
  f.SetPermitted("job", {VmId("w0")}, seconds(4));
  f.Decide();
  REQUIRE(f.starts.size() == 1);
  CHECK(f.starts[0].vm == VmId("w0"));
}

// Guards against jobs that use up what the team was granted for a gang, and
// against a gang without permits that withholds it for ever.
TEST_CASE("allowance for a gang is held until its permits are decided on") {
  Resources allowance = kUnlimited;
  allowance[Dimension::kMillicores] = 32'000;
  Fixture f(4, allowance);
  JobSpec gang = PermitJob(2);
  gang.policy = GangPolicy{.atomic = true};
  f.Add("gang", gang);
  f.Add("behind", ConstrainedJob(Priority::kNormal, 1, false));
  f.Decide();
  CHECK(f.starts.empty());
  CHECK(f.cell().AllowanceHeldFor(JobId("gang")) == kHalfWorker * 2);
  const char* starts = "behind";
  SUBCASE("permits and room") {
    f.SetPermitted("gang", {VmId("w0")}, seconds(4));
    starts = "gang";
  }
  SUBCASE("permits without room") {
    f.Close("w0");
    f.SetPermitted("gang", {VmId("w0")}, seconds(4));
  }
  SUBCASE("no worker is permitted") { f.SetPermitted("gang", {}, seconds(4)); }
  SUBCASE("no answer") {
    f.now += Duration(2'999);
    f.Decide();
    CHECK(f.starts.empty());
    CHECK(f.cell().NextWake() == f.now + Duration(1));
    f.now += Duration(1);
  }
  f.Decide();
  REQUIRE_FALSE(f.starts.empty());
  for (const Start& start : f.starts) CHECK(start.task.job == JobId(starts));
}

// The expiry of a replaced permit must not expire the permits that replaced it.
// An answer that permits no worker counts as no permit.
TEST_CASE("permits that replaced others expire at their own time") {
  Fixture f(1);
  f.Add("job", PermitJob(3));
  f.SetPermitted("job", {VmId("w0")}, seconds(2));
  f.now += seconds(1);
  f.SetPermitted("job", {VmId("w0")}, seconds(4));
  f.Decide();
  REQUIRE(f.starts.size() == 2);
  f.now += seconds(2);
  f.Decide();
  CHECK(f.cell().WaitReasonOf({JobId("job"), 2}) == WaitReason::kNoRoom);
  f.Release({JobId("job"), 0}, AttemptOutcome::kSucceeded, false);
  f.Decide();
  CHECK(f.starts.size() == 1);
  f.Add("other", PermitJob(1));
  f.SetPermitted("other", {}, seconds(4));
  CHECK(f.cell().WaitReasonOf({JobId("other"), 0}) == WaitReason::kNoPermit);
}

// Guards against a blocked job missing the permitted worker that gained room.
TEST_CASE("a blocked job starts when one of its permitted workers gains room") {
  Fixture f(3);
  f.Add("filler", ConstrainedJob(Priority::kNormal, 6, false));
  f.Decide();
  REQUIRE(f.starts.size() == 6);
  const std::vector<Start> running = f.starts;
  f.Add("job", PermitJob(1));
  f.SetPermitted("job", {VmId("w0"), VmId("w1")}, seconds(4));
  f.Decide();
  CHECK(f.starts.empty());
  const auto end_on = [&](const char* vm) {
    for (const Start& start : running) {
      if (start.vm != VmId(vm)) continue;
      f.Release(start.task, AttemptOutcome::kSucceeded, false);
      break;
    }
    f.Decide();
  };
  end_on("w2");
  CHECK(f.starts.empty());
  end_on("w1");
  REQUIRE(f.starts.size() == 1);
  CHECK(f.starts[0].vm == VmId("w1"));
}

}  // namespace
}  // namespace azurepass::placement
