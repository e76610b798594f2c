// The load that these answer: urgent jobs of short tasks in a burst, beside
// wide jobs of low priority that fill the fleet and keep their progress.
//
//   * An urgent job that can still be on time starts before one that cannot.
//   * It takes room from low tasks that keep their progress, and no others.
//   * It takes its team's allowance from such tasks of its own team.
//   * What is overdue holds nobody up.

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

#include "azurepass/placement/placement.h"

namespace azurepass::placement {
namespace {

using std::chrono::seconds;

const Resources kWorker(1'000, 1'000, 32'000, 65'536, 0);
const Resources kHalf(1, 0, 16'000, 8'192, 0);
const TeamId kTeam("a");

JobSpec Narrow(Priority priority, int tasks, bool keeps_progress) {
  JobSpec spec;
  spec.queue = QueueId("q");
  spec.priority = priority;
  spec.tasks = tasks;
  spec.task = kHalf;
  spec.checkpoints = keeps_progress;
  spec.constraints.max_per_worker = 2;  // Any constraint makes it narrow.
  return spec;
}

class Fixture {
 public:
  explicit Fixture(int workers, const Resources& allowance = kUnlimited)
      : cell_(Options()) {
    for (int w = 0; w < workers; ++w) {
      cell_.AddWorker({.vm = VmId("w" + std::to_string(w)),
                       .zone = ZoneId("z"),
                       .rack = RackId("r"),
                       .service = ServiceId("s"),
                       .address = "",
                       .capacity = kWorker},
                      WorkerAdmission::kOpen);
    }
    cell_.SetTeam(kTeam, {1, {ZoneId("z")}, allowance});
  }

  void Add(const char* job, const JobSpec& spec,
           std::optional<StartBy> start_by = std::nullopt) {
    cell_.AddJob(JobId(job), kTeam, spec, now, start_by);
  }
  StartBy By(seconds on_time, seconds late) const {
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
  void Permit(const char* job, const std::vector<VmId>& workers,
              seconds validity) {
    cell_.SetPermitted(JobId(job), workers, now + validity);
  }
  void End(const TaskId& task, AttemptOutcome outcome, bool again) {
    cell_.Release(task, outcome, again, now);
  }
  const Cell& cell() const { return cell_; }

  MonotonicTime now{seconds(1'000)};
  std::vector<Start> starts;
  std::vector<Preempt> preempts;

 private:
  Cell cell_;
};

TEST_CASE("the most pressing job that can be on time starts first") {
  Fixture f(1);
  f.Add("full", Narrow(Priority::kUrgent, 2, false));
  f.Decide();
  REQUIRE(f.starts.size() == 2);
  const std::vector<Start> full = f.starts;
  const JobSpec one = Narrow(Priority::kUrgent, 1, false);
  f.Add("missed", one, f.By(seconds(1), seconds(60)));
  f.Add("easy", one, f.By(seconds(9), seconds(60)));
  f.Add("pressing", one, f.By(seconds(5), seconds(60)));
  f.now += seconds(2);
  const char* expected[] = {"pressing", "easy"};
  for (int i = 0; i < 2; ++i) {
    f.End(full[i].task, AttemptOutcome::kSucceeded, false);
    f.Decide();
    REQUIRE(f.starts.size() == 1);
    CHECK(f.starts[0].task.job == JobId(expected[i]));
  }
}

TEST_CASE("an overdue urgent job waits behind low ones") {
  Fixture f(1);
  f.Add("full", Narrow(Priority::kUrgent, 2, false));
  f.Decide();
  const std::vector<Start> full = f.starts;
  f.Add("overdue", Narrow(Priority::kUrgent, 1, false),
        f.By(seconds(1), seconds(2)));
  f.Add("low", Narrow(Priority::kLow, 1, false),
        f.By(seconds(30), seconds(60)));
  f.now += seconds(3);
  f.Decide();
  f.End(full[0].task, AttemptOutcome::kSucceeded, false);
  f.Decide();
  REQUIRE(f.starts.size() == 1);
  CHECK(f.starts[0].task.job == JobId("low"));
  CHECK(f.cell().RankOf(JobId("overdue")) > f.cell().RankOf(JobId("low")));
}

TEST_CASE("urgent narrow work takes room from low work that keeps progress") {
  Fixture f(2);
  f.Add("plain", Narrow(Priority::kLow, 2, false));
  f.Decide();
  f.Add("keeps", Narrow(Priority::kLow, 2, true));
  f.Decide();
  REQUIRE(f.starts.size() == 2);
  f.Add("urgent", Narrow(Priority::kUrgent, 1, false),
        f.By(seconds(5), seconds(9)));
  f.Decide();
  CHECK(f.starts.empty());
  REQUIRE(f.preempts.size() == 1);
  CHECK(f.preempts[0].task.job == JobId("keeps"));
  CHECK(f.preempts[0].checkpoint);
  f.Decide();
  CHECK(f.preempts.empty());  // Its room is on the way.
  const TaskId victim{JobId("keeps"), 0};
  f.End(victim, AttemptOutcome::kStopped, true);
  f.End({JobId("keeps"), 1}, AttemptOutcome::kStopped, true);
  f.Decide();
  REQUIRE_FALSE(f.starts.empty());
  CHECK(f.starts[0].task.job == JobId("urgent"));
}

TEST_CASE("urgent work takes the allowance of its team's low work") {
  Resources allowance = kUnlimited;
  allowance[Dimension::kMillicores] = 32'000;
  Fixture f(4, allowance);
  f.Add("keeps", Narrow(Priority::kLow, 2, true));
  f.Decide();
  REQUIRE(f.starts.size() == 2);
  f.Add("urgent", Narrow(Priority::kUrgent, 1, false),
        f.By(seconds(5), seconds(9)));
  f.Decide();
  REQUIRE(f.preempts.size() == 1);
  CHECK(f.preempts[0].reason == "allowance_for_urgent");
  f.End(f.preempts[0].task, AttemptOutcome::kStopped, true);
  f.Decide();
  REQUIRE(f.starts.size() == 1);
  CHECK(f.starts[0].task.job == JobId("urgent"));
}

TEST_CASE("a narrow job that found no room is tried again where room grew") {
  Fixture f(1);
  f.Add("full", Narrow(Priority::kNormal, 2, false));
  f.Decide();
  const std::vector<Start> full = f.starts;
  f.Add("waits", Narrow(Priority::kNormal, 1, false));
  f.Decide();
  f.Decide();
  CHECK(f.starts.empty());
  f.End(full[1].task, AttemptOutcome::kSucceeded, false);
  f.Decide();
  REQUIRE(f.starts.size() == 1);
  CHECK(f.starts[0].task.job == JobId("waits"));
}

JobSpec NeedsPermit(int tasks) {
  JobSpec spec = Narrow(Priority::kNormal, tasks, false);
  spec.constraints.needs_permit = true;
  return spec;
}

// Guards against waiting jobs that cannot start being tried at each decision,
// and against their being forgotten for that.
TEST_CASE("a job queues only while it has a valid permit") {
  Fixture f(2);
  f.Add("job", NeedsPermit(3));
  f.Decide();
  CHECK(f.starts.empty());
  const TaskId first{JobId("job"), 0};
  CHECK(f.cell().WaitReasonOf(first) == WaitReason::kNoPermit);
  CHECK(f.cell().WaitingByReason() ==
        std::map<WaitReason, int64_t>{{WaitReason::kNoPermit, 3}});
  f.Permit("job", {VmId("w1")}, seconds(4));
  CHECK(f.cell().WaitReasonOf(first) != WaitReason::kNoPermit);
  f.Decide();
  REQUIRE(f.starts.size() == 2);
  CHECK(f.starts[0].vm == VmId("w1"));
  CHECK(f.starts[1].vm == VmId("w1"));
  f.now += seconds(5);
  f.Decide();
  CHECK(f.cell().WaitReasonOf({JobId("job"), 2}) == WaitReason::kNoPermit);
  f.Permit("job", {VmId("w0")}, seconds(4));
  f.Decide();
  REQUIRE(f.starts.size() == 1);
  CHECK(f.starts[0].vm == VmId("w0"));
}

// Guards against a permit's end, or an answer that names nobody, being taken
// for the end of the permits that replaced it.
TEST_CASE("permits that replaced others end at their own time") {
  Fixture f(1);
  f.Add("job", NeedsPermit(3));
  f.Permit("job", {VmId("w0")}, seconds(2));
  f.now += seconds(1);
  f.Permit("job", {VmId("w0")}, seconds(4));
  f.Decide();
  REQUIRE(f.starts.size() == 2);
  f.now += seconds(2);
  f.Decide();
  CHECK(f.cell().WaitReasonOf({JobId("job"), 2}) == WaitReason::kNoRoom);
  f.End({JobId("job"), 0}, AttemptOutcome::kSucceeded, false);
  f.Decide();
  CHECK(f.starts.size() == 1);
  f.Add("other", NeedsPermit(1));
  f.Permit("other", {}, seconds(4));
  CHECK(f.cell().WaitReasonOf({JobId("other"), 0}) == WaitReason::kNoPermit);
}

// Guards against a job that found no room missing the worker that grew.
TEST_CASE("a permitted job without room starts where a worker of its grew") {
  Fixture f(3);
  f.Add("filler", Narrow(Priority::kNormal, 6, false));
  f.Decide();
  REQUIRE(f.starts.size() == 6);
  const std::vector<Start> running = f.starts;
  f.Add("job", NeedsPermit(1));
  f.Permit("job", {VmId("w0"), VmId("w1")}, seconds(4));
  f.Decide();
  CHECK(f.starts.empty());
  const auto end_on = [&](const char* vm) {
    for (const Start& start : running) {
      if (start.vm != VmId(vm)) continue;
      f.End(start.task, AttemptOutcome::kSucceeded, false);
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
