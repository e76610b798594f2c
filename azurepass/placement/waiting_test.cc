// Whatever could start, starts. Random calls on random cells; whenever Decide
// has nothing more to do, each waiting job is held against all workers by the
// plain rules, without any memory of what was tried before.
//
// Two kinds of cells:
//   * Plain ones hold nothing back on purpose: no quarantine, no ramp, no
//     reservation. There is no excuse for a task that waits.
//   * Cautious ones have all of that, and one worker in each zone, so that
//     Explain tells for each worker what room is open to the job now: what a
//     reservation, a quarantine or a probe holds back is excused.

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "azurepass/placement/placement.h"
#include "azurepass/placement/testing/deployments.h"

namespace azurepass::placement {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::Random;

const MonotonicTime kStart = MonotonicTime() + seconds(1'000);
const std::string kLabel("x");
constexpr int kTeams = 3;
constexpr int kMostJobs = 40;      // At once.
constexpr int kMostCalls = 2'000;  // Of Decide, until it has nothing to do.

enum class Phase { kWaiting, kRunning, kLeaving, kDone };

struct ModelTask {
  Phase phase = Phase::kWaiting;
  int worker = -1;
};

struct ModelJob {
  int team = 0;
  JobSpec spec;
  std::vector<ModelTask> tasks;
  std::vector<int> permitted;
  MonotonicTime permitted_until{};
};

struct ModelWorker {
  WorkerSpec spec;
  WorkerAdmission admission = WorkerAdmission::kOpen;
};

struct Kind {
  bool cautious = false;
  bool urgent = false;
  DecideBudget budget{};
};

class World {
 public:
  World(uint64_t seed, const Kind& kind)
      : random_(seed), kind_(kind), cell_(OptionsFor(kind)) {
    const int zones = kind.cautious ? 6 : 2;
    for (int z = 0; z < zones; ++z) {
      zones_.push_back({ZoneId(absl::StrCat("z", z)), true});
    }
    const int workers = kind.cautious ? zones : 4 + Below(5);
    for (int w = 0; w < workers; ++w) {
      workers_.emplace_back();
      Describe(w);
      cell_.AddWorker(workers_[w].spec, WorkerAdmission::kOpen);
    }
    terms_.resize(kTeams);
    for (int t = 0; t < kTeams; ++t) SetTeam(t);
  }

  // Empty, or what could have started.
  std::string Run(int calls) {
    for (int i = 0; i < calls; ++i) {
      Call();
      if (Below(3) != 0) continue;
      now_ += milliseconds(Below(4) == 0 ? Below(3'000) : Below(50));
      const std::string violation = DecideAll();
      if (!violation.empty()) return absl::StrCat("call ", i, ": ", violation);
    }
    return "";
  }

 private:
  static Options OptionsFor(const Kind& kind) {
    Options options;
    options.max_backoff = seconds(1);
    options.bound_retries = false;
    options.zone_ramp = Duration(0);
    if (kind.cautious) {
      options.quarantine = WindowedQuarantine{.initial_period = Duration(1'000),
                                              .max_period = Duration(4'000)};
      options.reservation_after = Duration(300);
    } else {
      options.quarantine = NoQuarantine{};
      options.reservation_after = std::chrono::hours(1'000);
    }
    return options;
  }

  int Below(int bound) { return static_cast<int>(random_.Below(bound)); }
  bool OneIn(int n) { return Below(n) == 0; }

  // --- Calls.
  void Describe(int w) {
    WorkerSpec& spec = workers_[w].spec;
    const int zone = kind_.cautious ? w : w % 2;
    spec.vm = VmId(absl::StrCat("w", w));
    spec.zone = zones_[zone].first;
    spec.rack = RackId(absl::StrCat("r", zone, "-", (w / 2) % 2));
    spec.service = ServiceId("s");
    spec.capacity = Resources(4 + Below(5), 1'000,
                              int64_t{4'000} * (1 + Below(4)), 1'000, Below(3));
    spec.labels.clear();
    if (OneIn(2)) spec.labels.push_back(kLabel);
  }

  void SetTeam(int t) {
    TeamTerms& terms = terms_[t];
    terms.share = 1 + Below(3);
    terms.zones.clear();
    for (const auto& [zone, in] : zones_) {
      if (!OneIn(4)) terms.zones.push_back(zone);
    }
    terms.allowance = kUnlimited;
    if (!OneIn(3)) {
      terms.allowance[Dimension::kMillicores] = int64_t{2'000} * Below(20);
    }
    cell_.SetTeam(TeamId(absl::StrCat("t", t)), terms);
  }

  void AddJob() {
    if (jobs_.size() >= kMostJobs) return;
    const JobId id(absl::StrCat("j", ++last_job_));
    ModelJob job;
    job.team = Below(kTeams);
    JobSpec& spec = job.spec;
    // Nothing is ever learned of its run time, so it is not backfilled.
    spec.queue = QueueId(id.value());
    spec.tasks = 1 + Below(4);
    spec.task =
        Resources(1, 1, int64_t{1'000} * (1 + Below(6)), 1, OneIn(5) ? 1 : 0);
    spec.priority = OneIn(3) ? Priority::kLow : Priority::kNormal;
    if (kind_.urgent && OneIn(4)) spec.priority = Priority::kUrgent;
    spec.repeatable = !OneIn(5);
    spec.checkpoints = OneIn(2);
    if (OneIn(3)) spec.constraints.label = kLabel;
    if (OneIn(3)) spec.constraints.max_per_worker = 1 + Below(2);
    if (OneIn(3)) spec.constraints.needs_permit = true;
    switch (Below(8)) {
      case 0:
        spec.policy = GangPolicy{.atomic = true};
        break;
      case 1:
        spec.policy = GangPolicy{};
        break;
      case 2:
        spec.perpetual = true;
        spec.policy = ServicePolicy{};
        break;
      case 3:
        spec.policy = ServicePolicy{};
        break;
      case 4:
        spec.scavenger = true;
        spec.priority = Priority::kLow;
        break;
      default:
        break;
    }
    job.tasks.resize(spec.tasks);
    std::optional<StartBy> by;
    if (!spec.perpetual && OneIn(2)) {
      const auto on_time = now_ + milliseconds(Below(2'000));
      by = StartBy{on_time, on_time + milliseconds(Below(3'000))};
    }
    cell_.AddJob(id, TeamId(absl::StrCat("t", job.team)), spec, now_, by);
    jobs_[id] = std::move(job);
  }

  void Permit() {
    if (jobs_.empty()) return;
    auto it = std::next(jobs_.begin(), Below(static_cast<int>(jobs_.size())));
    auto& [id, job] = *it;
    if (!job.spec.constraints.needs_permit) return;
    job.permitted.clear();
    std::vector<VmId> vms;
    for (int w = 0; w < std::ssize(workers_); ++w) {
      if (OneIn(2)) continue;
      job.permitted.push_back(w);
      vms.push_back(workers_[w].spec.vm);
    }
    job.permitted_until = now_ + milliseconds(Below(4'000));
    cell_.SetPermitted(id, vms, job.permitted_until);
  }

  std::vector<TaskId> Held() const {
    std::vector<TaskId> held;
    for (const auto& [id, job] : jobs_) {
      for (int t = 0; t < std::ssize(job.tasks); ++t) {
        const Phase phase = job.tasks[t].phase;
        if (phase == Phase::kRunning || phase == Phase::kLeaving) {
          held.push_back({id, t});
        }
      }
    }
    return held;
  }

  void End() {
    const std::vector<TaskId> held = Held();
    if (held.empty()) return;
    const TaskId& id = held[Below(static_cast<int>(held.size()))];
    ModelJob& job = jobs_[id.job];
    ModelTask& task = job.tasks[id.index];
    constexpr AttemptOutcome kOutcomes[] = {
        AttemptOutcome::kSucceeded, AttemptOutcome::kFailed,
        AttemptOutcome::kStopped, AttemptOutcome::kLost};
    const AttemptOutcome outcome = kOutcomes[Below(4)];
    const bool again =
        job.spec.perpetual || outcome != AttemptOutcome::kSucceeded;
    task.phase = again ? Phase::kWaiting : Phase::kDone;
    task.worker = -1;
    cell_.Release(id, outcome, again, now_);
    const bool over =
        std::all_of(job.tasks.begin(), job.tasks.end(),
                    [](const ModelTask& t) { return t.phase == Phase::kDone; });
    if (!over) return;
    cell_.RemoveJob(id.job);
    jobs_.erase(id.job);
  }

  void Cancel() {
    if (jobs_.empty()) return;
    auto it = std::next(jobs_.begin(), Below(static_cast<int>(jobs_.size())));
    const bool waits = std::all_of(
        it->second.tasks.begin(), it->second.tasks.end(),
        [](const ModelTask& t) { return t.phase == Phase::kWaiting; });
    if (!waits) return;
    for (int t = 0; t < std::ssize(it->second.tasks); ++t) {
      cell_.CancelTask({it->first, t});
    }
    cell_.RemoveJob(it->first);
    jobs_.erase(it);
  }

  Resources UsedOn(int w) const {
    Resources used;
    for (const auto& [id, job] : jobs_) {
      for (const ModelTask& task : job.tasks) {
        if (task.worker == w) used += RoomOf(job.spec);
      }
    }
    return used;
  }

  void Recover() {
    if (jobs_.empty()) return;
    auto it = std::next(jobs_.begin(), Below(static_cast<int>(jobs_.size())));
    ModelJob& job = it->second;
    const int t = Below(static_cast<int>(job.tasks.size()));
    const int w = Below(static_cast<int>(workers_.size()));
    if (job.tasks[t].phase != Phase::kWaiting) return;
    if (!cell_.Commit({it->first, t}, workers_[w].spec.vm)) return;
    job.tasks[t] = {.phase = Phase::kRunning, .worker = w};
  }

  void Call() {
    const int w = Below(static_cast<int>(workers_.size()));
    const int z = Below(static_cast<int>(zones_.size()));
    switch (Below(24)) {
      case 0:
        workers_[w].admission =
            OneIn(3) ? WorkerAdmission::kClosed : WorkerAdmission::kOpen;
        cell_.SetAdmission(workers_[w].spec.vm, workers_[w].admission);
        break;
      case 1:
        zones_[z].second = !OneIn(3);
        cell_.SetZoneInService(zones_[z].first, zones_[z].second);
        break;
      case 2:
        SetTeam(Below(kTeams));
        break;
      case 3:
        Describe(w);
        cell_.AddWorker(workers_[w].spec, workers_[w].admission);
        break;
      case 4:
        Cancel();
        break;
      case 5:
        Recover();
        break;
      case 6:
      case 7:
      case 8:
      case 9:
        Permit();
        break;
      case 10:
      case 11:
      case 12:
      case 13:
      case 14:
        End();
        break;
      default:
        AddJob();
    }
  }

  // --- Decisions.
  void Carry(const Start& start) {
    const int w = static_cast<int>(
        std::find_if(workers_.begin(), workers_.end(),
                     [&](const auto& e) { return e.spec.vm == start.vm; }) -
        workers_.begin());
    jobs_[start.task.job].tasks[start.task.index] = {.phase = Phase::kRunning,
                                                     .worker = w};
  }
  void Carry(const Preempt& preempt) {
    jobs_[preempt.task.job].tasks[preempt.task.index].phase = Phase::kLeaving;
  }

  std::string DecideAll() {
    for (int i = 0; i < kMostCalls; ++i) {
      const auto decisions = cell_.Decide(now_, kind_.budget);
      for (const Decision& decision : decisions) {
        std::visit([this](const auto& d) { Carry(d); }, decision);
      }
      if (!decisions.empty()) continue;
      const auto wake = cell_.NextWake();
      if (wake && *wake <= now_) continue;
      for (const auto& [id, job] : jobs_) {
        if (CouldStart(id, job)) return Describe(id, job);
      }
      return "";
    }
    return "Decide has always more to do";
  }

  std::string Describe(const JobId& id, const ModelJob& job) const {
    return absl::StrCat(
        id.value(), " could start; waits for ",
        std::string(
            WaitReasonName(cell_.Explain(id, Revision{}, now_).waiting)),
        "; policy ", job.spec.policy.index(), ", tasks ", job.spec.tasks,
        ", millicores ", job.spec.task[Dimension::kMillicores], ", label '",
        job.spec.constraints.label, "', bound ",
        job.spec.constraints.max_per_worker, ", permit ",
        static_cast<int>(job.spec.constraints.needs_permit), ", lasts ",
        static_cast<int>(job.spec.perpetual), ", scavenger ",
        static_cast<int>(job.spec.scavenger), ", priority ",
        static_cast<int>(job.spec.priority));
  }

  // --- The plain rules.
  static Resources RoomOf(const JobSpec& spec) {
    Resources room = spec.task;
    if (spec.scavenger) room[Dimension::kMillicores] = 0;
    return room;
  }

  Resources UsedBy(int team) const {
    Resources used;
    for (const auto& [id, job] : jobs_) {
      if (job.team != team) continue;
      for (const ModelTask& task : job.tasks) {
        if (task.worker >= 0) used += job.spec.task;
      }
    }
    return used;
  }

  bool IsDelayed(const TaskId& id) const {
    const WaitReason reason = cell_.WaitReasonOf(id);
    return reason == WaitReason::kRetryBackoff ||
           reason == WaitReason::kRetryBudget;
  }

  // How many tasks of the job the worker could take, by its own state alone.
  int Fits(const JobId& id, const ModelJob& job, int w, int most) const {
    const ModelWorker& worker = workers_[w];
    const JobSpec& spec = job.spec;
    const auto& zones = terms_[job.team].zones;
    const auto zone = std::find_if(
        zones_.begin(), zones_.end(),
        [&](const auto& z) { return z.first == worker.spec.zone; });
    const auto& label = spec.constraints.label;
    if (worker.admission != WorkerAdmission::kOpen || !zone->second ||
        std::count(zones.begin(), zones.end(), worker.spec.zone) == 0 ||
        (!label.empty() && std::count(worker.spec.labels.begin(),
                                      worker.spec.labels.end(), label) == 0) ||
        (spec.constraints.needs_permit &&
         std::count(job.permitted.begin(), job.permitted.end(), w) == 0)) {
      return 0;
    }
    if (spec.scavenger) {
      for (const auto& [other_id, other] : jobs_) {
        for (const ModelTask& task : other.tasks) {
          if (other.spec.perpetual && task.worker == w) return 0;
        }
      }
    }
    if (const int bound = spec.constraints.max_per_worker; bound > 0) {
      most = std::min(
          most, bound - static_cast<int>(std::count_if(
                            job.tasks.begin(), job.tasks.end(),
                            [&](const auto& t) { return t.worker == w; })));
    }
    if (kind_.cautious && !IsOpenTo(id, worker)) return 0;
    const Resources free = worker.spec.capacity - UsedOn(w);
    int fits = 0;
    while (fits < most && (RoomOf(spec) * (fits + 1)).FitsIn(free)) ++fits;
    return fits;
  }

  // By Explain, which looks at reservations, quarantine and probes.
  bool IsOpenTo(const JobId& id, const ModelWorker& worker) const {
    for (const auto& group : cell_.Explain(id, Revision{}, now_).groups) {
      if (group.zone == worker.spec.zone) return group.with_room > 0;
    }
    return false;
  }

  bool CouldStart(const JobId& id, const ModelJob& job) const {
    const bool is_gang = std::holds_alternative<GangPolicy>(job.spec.policy);
    // How much of a worker's room is reserved is not told.
    if (kind_.cautious && is_gang && job.spec.tasks > 1) return false;
    int waiting = 0;
    int delayed = 0;
    int leaving = 0;
    int held = 0;
    for (int t = 0; t < std::ssize(job.tasks); ++t) {
      const Phase phase = job.tasks[t].phase;
      const bool waits = phase == Phase::kWaiting;
      delayed += waits && IsDelayed({id, t}) ? 1 : 0;
      waiting += waits && !IsDelayed({id, t}) ? 1 : 0;
      leaving += phase == Phase::kLeaving ? 1 : 0;
      held += job.tasks[t].worker >= 0 ? 1 : 0;
    }
    if (waiting == 0) return false;
    const bool atomic = is_gang && std::get<GangPolicy>(job.spec.policy).atomic;
    if (is_gang && (delayed > 0 || leaving > 0)) return false;
    if (atomic && held > 0) return false;
    if (job.spec.constraints.needs_permit && now_ >= job.permitted_until) {
      return false;
    }
    const int wanted = is_gang ? waiting : 1;
    if (!(UsedBy(job.team) + job.spec.task * wanted)
             .FitsIn(terms_[job.team].allowance)) {
      return false;
    }
    int fits = 0;
    for (int w = 0; w < std::ssize(workers_); ++w) {
      fits += Fits(id, job, w, wanted);
    }
    return fits >= wanted;
  }

  Random random_;
  Kind kind_;
  Cell cell_;
  MonotonicTime now_ = kStart;
  std::vector<std::pair<ZoneId, bool>> zones_;  // And whether in service.
  std::vector<ModelWorker> workers_;
  std::vector<TeamTerms> terms_;
  std::map<JobId, ModelJob> jobs_;
  int last_job_ = 0;
};

struct Length {
  uint64_t seeds = 150;
  int calls = 400;
};

void Try(const Kind& kind, const Length& length = {}) {
  for (uint64_t seed = 1; seed <= length.seeds; ++seed) {
    CAPTURE(seed);
    const std::string violation = World(seed, kind).Run(length.calls);
    REQUIRE(violation == "");
  }
}

TEST_CASE("whatever could start starts, where nothing is held back") {
  Try({});
}

// So many workers grow that the log of these is begun anew several times.
TEST_CASE("whatever could start starts, over a long time") {
  Try({}, {.seeds = 4, .calls = 12'000});
}

TEST_CASE("whatever could start starts, a few looks at a time") {
  // One look at a kind of job may take 64 workers in each of two zones.
  Try({.budget = {.starts = 3, .candidates = 150}});
}

TEST_CASE("whatever could start starts, reservations and quarantine apart") {
  SUBCASE("without urgent work") { Try({.cautious = true}); }
  SUBCASE("with urgent work") { Try({.cautious = true, .urgent = true}); }
}

const Resources kOne(1, 1, 1'000, 1, 0);
const Resources kFour(4, 4, 4'000, 4, 0);
const TeamId kTeam("a");

void AddWorker(Cell& cell, const char* vm, const Resources& capacity,
               const std::string& label = "") {
  cell.AddWorker({.vm = VmId(vm),
                  .zone = ZoneId("z"),
                  .rack = RackId("r"),
                  .service = ServiceId("s"),
                  .address = "",
                  .capacity = capacity,
                  .labels = {label}},
                 WorkerAdmission::kOpen);
}

void AddJob(Cell& cell, const char* job, const TeamId& team,
            const Policy& policy, int tasks, const Resources& size,
            Priority priority = Priority::kNormal) {
  JobSpec spec;
  spec.queue = QueueId("q");
  spec.policy = policy;
  spec.tasks = tasks;
  spec.task = size;
  spec.priority = priority;
  cell.AddJob(JobId(job), team, spec, kStart);
}

std::vector<JobId> StartedBy(Cell& cell, MonotonicTime now,
                             const DecideBudget& budget = {}) {
  std::vector<JobId> started;
  for (const Decision& decision : cell.Decide(now, budget)) {
    if (const auto* start = std::get_if<Start>(&decision)) {
      started.push_back(start->task.job);
    }
  }
  return started;
}

// Goes on from wake to wake until the job starts. Returns how long it took.
Duration UntilStarted(Cell& cell, const char* job) {
  MonotonicTime now = kStart;
  for (;;) {
    const std::vector<JobId> started = StartedBy(cell, now);
    if (std::count(started.begin(), started.end(), JobId(job)) > 0) {
      return std::chrono::duration_cast<Duration>(now - kStart);
    }
    const auto wake = cell.NextWake();
    REQUIRE(wake.has_value());
    now = std::max(*wake, now + milliseconds(1));
  }
}

TEST_CASE("a gang that the budget put off starts with the next call") {
  Cell cell{Options()};
  cell.SetTeam(kTeam, {1, {ZoneId("z")}, kUnlimited});
  AddWorker(cell, "w0", kFour);
  AddJob(cell, "full", kTeam, BatchPolicy{}, 4, kOne);
  CHECK(StartedBy(cell, kStart).size() == 4);
  AddJob(cell, "gang", kTeam, GangPolicy{}, 3, kOne);
  CHECK(StartedBy(cell, kStart).empty());
  // Room for the gang, and for urgent work that leaves no start for it.
  AddWorker(cell, "w1", kFour);
  AddJob(cell, "urgent", kTeam, BatchPolicy{}, 1, kOne, Priority::kUrgent);
  const DecideBudget budget{.starts = 3};
  CHECK(StartedBy(cell, kStart, budget) == std::vector{JobId("urgent")});
  CHECK(StartedBy(cell, kStart, budget) ==
        std::vector<JobId>(3, JobId("gang")));
}

// Small tasks end and others come, so that no worker is ever empty by itself.
TEST_CASE("a narrow job is not starved by small tasks that keep coming") {
  JobSpec large;
  large.queue = QueueId("q");
  large.task = kFour;
  large.tasks = 2;
  SUBCASE("one that lasts") {
    large.perpetual = true;
    large.policy = ServicePolicy{};
  }
  SUBCASE("one with a label") { large.constraints.label = kLabel; }
  SUBCASE("one with a bound on each worker") {
    large.constraints.max_per_worker = 1;
  }
  SUBCASE("an atomic gang") { large.policy = GangPolicy{.atomic = true}; }
  Cell cell{Options()};
  cell.SetTeam(kTeam, {1, {ZoneId("z")}, kUnlimited});
  for (const char* vm : {"w0", "w1", "w2"}) AddWorker(cell, vm, kFour, kLabel);
  AddJob(cell, "small", kTeam, BatchPolicy{}, 13, kOne);
  std::deque<TaskId> running;
  MonotonicTime now = kStart;
  std::optional<MonotonicTime> started;
  for (int i = 0; i < 600 && !started; ++i, now += milliseconds(100)) {
    if (i == 1) {
      cell.AddJob(JobId("large"), kTeam, large, now);
      AddJob(cell, "later", kTeam, BatchPolicy{}, 10'000, kOne);
    }
    if (!running.empty()) {
      cell.Release(running.front(), AttemptOutcome::kSucceeded, false, now);
      running.pop_front();
    }
    for (const Decision& decision : cell.Decide(now, {})) {
      const TaskId task = std::get<Start>(decision).task;
      running.push_back(task);
      if (task.job == JobId("large") && !started) started = now;
    }
  }
  REQUIRE(started.has_value());
  // The wait for a reservation, the end of backfill and what ran until then.
  CHECK(*started - kStart <= seconds(2 + 10 + 2));
}

TEST_CASE("room reserved for a job that may not start is given back") {
  const TeamId other("b");
  Cell cell{Options()};
  const TeamTerms terms{3, {ZoneId("z")}, kUnlimited};
  cell.SetTeam(kTeam, terms);
  cell.SetTeam(other, terms);
  AddWorker(cell, "w0", kFour);
  AddJob(cell, "gives way", other, BatchPolicy{}, 1, kFour);
  REQUIRE(StartedBy(cell, kStart).size() == 1);
  bool zone_gone = false;
  Duration longest{0};  // Until the other is back.
  SUBCASE("for want of allowance") { longest = Duration(1'000); }
  SUBCASE("in a zone that it may not use any more") { zone_gone = true; }
  JobSpec spec;
  spec.queue = QueueId("q");
  spec.task = kFour;
  spec.priority = Priority::kUrgent;
  cell.AddJob(JobId("urgent"), kTeam, spec, kStart);
  const auto decisions = cell.Decide(kStart, {});
  REQUIRE(decisions.size() == 1);
  REQUIRE(std::holds_alternative<Preempt>(decisions[0]));
  if (zone_gone) {
    cell.SetTeam(kTeam, {3, {}, kUnlimited});
  } else {
    cell.SetTeam(kTeam, {3, {ZoneId("z")}, kOne});
  }
  cell.Release({JobId("gives way"), 0}, AttemptOutcome::kStopped, true, kStart);
  CHECK(UntilStarted(cell, "gives way") <= longest);
}

TEST_CASE("room reserved for a job is given back when that is overdue") {
  const TeamId other("b");
  Cell cell{Options()};
  cell.SetTeam(kTeam, {3, {ZoneId("z")}, kUnlimited});
  cell.SetTeam(other, {1, {ZoneId("z")}, kUnlimited});
  AddWorker(cell, "w0", kFour);
  AddJob(cell, "gives way", other, BatchPolicy{}, 1, kOne * 3);
  REQUIRE(StartedBy(cell, kStart).size() == 1);
  JobSpec spec;
  spec.queue = QueueId("q");
  spec.task = kFour;
  spec.priority = Priority::kUrgent;
  cell.AddJob(JobId("urgent"), kTeam, spec, kStart,
              StartBy{kStart + seconds(1), kStart + seconds(2)});
  REQUIRE(cell.Decide(kStart, {}).size() == 1);  // What is to leave stays.
  AddJob(cell, "small", other, BatchPolicy{}, 1, kOne);
  CHECK(UntilStarted(cell, "small") <= seconds(2));
}

TEST_CASE("reserved room is used though an older job is ahead") {
  const TeamId other("b");
  Cell cell{Options()};
  cell.SetTeam(kTeam, {3, {ZoneId("z")}, kUnlimited});
  cell.SetTeam(other, {1, {ZoneId("z")}, kUnlimited});
  AddWorker(cell, "w0", kFour);
  AddJob(cell, "older", kTeam, BatchPolicy{}, 1, kFour, Priority::kUrgent);
  REQUIRE(StartedBy(cell, kStart).size() == 1);
  AddWorker(cell, "w1", kFour);
  AddJob(cell, "gives way", other, BatchPolicy{}, 1, kFour);
  REQUIRE(StartedBy(cell, kStart).size() == 1);
  AddJob(cell, "newer", kTeam, BatchPolicy{}, 1, kFour, Priority::kUrgent);
  const auto decisions = cell.Decide(kStart, {});
  REQUIRE(decisions.size() == 1);  // Room on its way, reserved for the job.
  REQUIRE(std::holds_alternative<Preempt>(decisions[0]));
  cell.SetAdmission(VmId("w0"), WorkerAdmission::kClosed);
  cell.Release({JobId("older"), 0}, AttemptOutcome::kStopped, true, kStart);
  CHECK(StartedBy(cell, kStart).empty());
  cell.Release({JobId("gives way"), 0}, AttemptOutcome::kStopped, true, kStart);
  CHECK(StartedBy(cell, kStart) == std::vector{JobId("newer")});
}

}  // namespace
}  // namespace azurepass::placement
