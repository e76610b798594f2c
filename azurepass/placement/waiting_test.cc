// Tests that Decide starts every task that could start. Random calls are made
// on random cells. Whenever Decide has nothing more to do, a model of the rules
// checks each waiting job against all workers. Unlike Cell, the model remembers
// nothing of earlier searches.
//
// There are two kinds of cells:
//   * Plain cells withhold no room. They have neither quarantine nor
//     reservations. Every task that the model could start has to be started.
//   * Other cells have quarantine and reservations, and one worker in each
//     zone, so that Explain tells for each worker whether it has room for the
//     job now. A task may wait for room that a reservation, a quarantine or a
//     probe withholds.
//
// No cell limits how fast a zone fills up after its return to service.
//
// The simulation also checks the decisions that are made at one time, between
// two groups of random calls: no task is preempted after it was started, and
// none is started or preempted twice. Some starts are withdrawn as soon as they
// are preempted, as an owner does with those that it has not ordered yet.

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <set>
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
constexpr int kMaxJobs = 40;            // At once.
constexpr int kMaxDecideCalls = 2'000;  // Until nothing is left to do.

enum class Phase { kWaiting, kRunning, kPreempting, kDone };

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
  std::optional<StartBy> start_by;
};

struct ModelWorker {
  WorkerSpec spec;
  WorkerAdmission admission = WorkerAdmission::kOpen;
};

struct CellKind {
  bool withholds_room = false;
  bool urgent = false;
  DecideBudget budget{};
  bool withdraws_starts = false;
  // Of plain cells, those with urgent work are not checked: it reserves room.
  bool checks_waiting = true;
};

class Simulation {
 public:
  Simulation(uint64_t seed, const CellKind& kind)
      : random_(seed), kind_(kind), cell_(OptionsFor(kind)) {
    const int zones = kind.withholds_room ? 6 : 2;
    for (int z = 0; z < zones; ++z) {
      zones_.push_back({ZoneId(absl::StrCat("z", z)), true});
    }
    const int workers = kind.withholds_room ? zones : 4 + Below(5);
    for (int w = 0; w < workers; ++w) {
      workers_.emplace_back();
      RandomizeWorker(w);
      cell_.AddWorker(workers_[w].spec, WorkerAdmission::kOpen);
    }
    terms_.resize(kTeams);
    for (int t = 0; t < kTeams; ++t) SetTeam(t);
  }

  // Makes `calls` random calls. Returns an empty string, or a description of
  // the first job that could have started but was not.
  std::string Run(int calls) {
    for (int i = 0; i < calls; ++i) {
      MakeRandomCall();
      if (Below(3) != 0) continue;
      now_ += milliseconds(Below(4) == 0 ? Below(3'000) : Below(50));
      const std::string violation = DecideAll();
      if (!violation.empty()) return absl::StrCat("call ", i, ": ", violation);
    }
    return "";
  }

 private:
  static Options OptionsFor(const CellKind& kind) {
    Options options;
    options.max_backoff = seconds(1);
    options.bound_retries = false;
    options.zone_ramp = Duration(0);
    if (kind.withholds_room) {
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
  void RandomizeWorker(int w) {
    WorkerSpec& spec = workers_[w].spec;
    const int zone = kind_.withholds_room ? w : w % 2;
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
    if (jobs_.size() >= kMaxJobs) return;
    const JobId id(absl::StrCat("j", ++last_job_));
    ModelJob job;
    job.team = Below(kTeams);
    JobSpec& spec = job.spec;
    // With a queue of its own the job has no estimated run time, so that it is
    // not used for backfill.
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
    job.start_by = by;
    cell_.AddJob(id, TeamId(absl::StrCat("t", job.team)), spec, now_, by);
    jobs_[id] = std::move(job);
  }

  void SetPermitted() {
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

  std::vector<TaskId> CommittedTasks() const {
    std::vector<TaskId> committed;
    for (const auto& [id, job] : jobs_) {
      for (int t = 0; t < std::ssize(job.tasks); ++t) {
        const Phase phase = job.tasks[t].phase;
        if (phase == Phase::kRunning || phase == Phase::kPreempting) {
          committed.push_back({id, t});
        }
      }
    }
    return committed;
  }

  void Release() {
    const std::vector<TaskId> committed = CommittedTasks();
    if (committed.empty()) return;
    const TaskId& id = committed[Below(static_cast<int>(committed.size()))];
    ModelJob& job = jobs_[id.job];
    ModelTask& task = job.tasks[id.index];
    constexpr AttemptOutcome kOutcomes[] = {
        AttemptOutcome::kSucceeded, AttemptOutcome::kFailed,
        AttemptOutcome::kStopped, AttemptOutcome::kLost};
    const AttemptOutcome outcome = kOutcomes[Below(4)];
    const bool requeue =
        job.spec.perpetual || outcome != AttemptOutcome::kSucceeded;
    task.phase = requeue ? Phase::kWaiting : Phase::kDone;
    task.worker = -1;
    cell_.Release(id, outcome, requeue, now_);
    const bool all_done =
        std::all_of(job.tasks.begin(), job.tasks.end(),
                    [](const ModelTask& t) { return t.phase == Phase::kDone; });
    if (!all_done) return;
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
        if (task.worker == w) used += RoomNeeded(job.spec);
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

  void MakeRandomCall() {
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
        RandomizeWorker(w);
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
        SetPermitted();
        break;
      case 10:
      case 11:
      case 12:
      case 13:
      case 14:
        Release();
        break;
      default:
        AddJob();
    }
  }

  // --- Decisions.
  void Apply(const Start& start) {
    const int w = static_cast<int>(
        std::find_if(workers_.begin(), workers_.end(),
                     [&](const auto& e) { return e.spec.vm == start.vm; }) -
        workers_.begin());
    jobs_[start.task.job].tasks[start.task.index] = {.phase = Phase::kRunning,
                                                     .worker = w};
    if (!started_now_.insert(start.task).second) {
      violation_ = absl::StrCat(Name(start.task), " was started twice");
    }
  }
  void Apply(const Preempt& preempt) {
    ModelTask& task = jobs_[preempt.task.job].tasks[preempt.task.index];
    task.phase = Phase::kPreempting;
    if (!preempt.checkpoint) return;
    if (started_now_.contains(preempt.task)) {
      violation_ = absl::StrCat(Name(preempt.task),
                                " was started and preempted: ", preempt.reason);
    }
    if (!preempted_now_.insert(preempt.task).second) {
      violation_ = absl::StrCat(Name(preempt.task), " was preempted twice");
    }
    if (!kind_.withdraws_starts || OneIn(2)) return;
    task = {};
    cell_.Release(preempt.task, AttemptOutcome::kStopped, true, now_);
  }

  static std::string Name(const TaskId& task) {
    return absl::StrCat(task.job.value(), "/", task.index);
  }

  std::string DecideAll() {
    started_now_.clear();
    preempted_now_.clear();
    for (int i = 0; i < kMaxDecideCalls; ++i) {
      const auto decisions = cell_.Decide(now_, kind_.budget);
      for (const Decision& decision : decisions) {
        std::visit([this](const auto& d) { Apply(d); }, decision);
      }
      if (!violation_.empty()) return violation_;
      if (!decisions.empty()) continue;
      const auto wake = cell_.NextWake();
      if (wake && *wake <= now_) continue;
      for (const auto& [id, job] : jobs_) {
        if (!kind_.checks_waiting) break;
        if (CouldStart(id, job)) return DescribeMissedStart(id, job);
      }
      return "";
    }
    return "Decide always has more to do";
  }

  std::string DescribeMissedStart(const JobId& id, const ModelJob& job) const {
    return absl::StrCat(
        id.value(), " could start but waits; reason ",
        std::string(
            WaitReasonName(cell_.Explain(id, Revision{}, now_).waiting)),
        "; policy ", job.spec.policy.index(), ", tasks ", job.spec.tasks,
        ", millicores ", job.spec.task[Dimension::kMillicores], ", label '",
        job.spec.constraints.label, "', limit per worker ",
        job.spec.constraints.max_per_worker, ", permit ",
        static_cast<int>(job.spec.constraints.needs_permit), ", perpetual ",
        static_cast<int>(job.spec.perpetual), ", scavenger ",
        static_cast<int>(job.spec.scavenger), ", priority ",
        static_cast<int>(job.spec.priority));
  }

  // --- The model's rules.
  static Resources RoomNeeded(const JobSpec& spec) {
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

  // Returns how many tasks of the job the worker could take, at most `limit`.
  int CountFits(const JobId& id, const ModelJob& job, int w, int limit) const {
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
      limit = std::min(
          limit, bound - static_cast<int>(std::count_if(
                             job.tasks.begin(), job.tasks.end(),
                             [&](const auto& t) { return t.worker == w; })));
    }
    if (kind_.withholds_room && !ExplainFindsRoom(id, worker)) return 0;
    const Resources free = worker.spec.capacity - UsedOn(w);
    int fits = 0;
    while (fits < limit && (RoomNeeded(spec) * (fits + 1)).FitsIn(free)) ++fits;
    return fits;
  }

  // Returns whether Explain, which considers reservations, quarantine and
  // probes, finds room for the job in the worker's zone.
  bool ExplainFindsRoom(const JobId& id, const ModelWorker& worker) const {
    for (const auto& group : cell_.Explain(id, Revision{}, now_).groups) {
      if (group.zone == worker.spec.zone) return group.with_room > 0;
    }
    return false;
  }

  // Returns whether allowance may be held for the job: it is urgent, can still
  // be on time and has permits, or it is a gang that the allowance has room for
  // and that waits for permits.
  bool MayHoldAllowance(const ModelJob& job) const {
    const bool permitted =
        !job.spec.constraints.needs_permit ||
        (!job.permitted.empty() && now_ < job.permitted_until);
    const bool overdue = job.start_by && now_ >= job.start_by->late;
    if (job.spec.priority == Priority::kUrgent && !overdue) {
      return permitted && (!job.start_by || now_ < job.start_by->on_time);
    }
    return std::holds_alternative<GangPolicy>(job.spec.policy) && !permitted &&
           (UsedBy(job.team) + job.spec.task * CountWaiting(job))
               .FitsIn(terms_[job.team].allowance);
  }

  static int CountWaiting(const ModelJob& job) {
    return static_cast<int>(std::count_if(
        job.tasks.begin(), job.tasks.end(),
        [](const ModelTask& t) { return t.phase == Phase::kWaiting; }));
  }

  // Returns the allowance that is held for other jobs of the team: for urgent
  // ones, and for gangs that come first.
  Resources HeldFrom(const JobId& id, const ModelJob& job) const {
    Resources held;
    for (const auto& [other_id, other] : jobs_) {
      if (other.team != job.team || !MayHoldAllowance(other) ||
          cell_.RankOf(other_id) > cell_.RankOf(id)) {
        continue;
      }
      held += Resources::Min(cell_.AllowanceHeldFor(other_id),
                             other.spec.task * CountWaiting(other));
    }
    return held;
  }

  bool CouldStart(const JobId& id, const ModelJob& job) const {
    const bool is_gang = std::holds_alternative<GangPolicy>(job.spec.policy);
    // Explain does not tell how much of a worker's room is reserved.
    if (kind_.withholds_room && is_gang && job.spec.tasks > 1) return false;
    int waiting = 0;
    int delayed = 0;
    int preempting = 0;
    int committed = 0;
    for (int t = 0; t < std::ssize(job.tasks); ++t) {
      const Phase phase = job.tasks[t].phase;
      const bool waits = phase == Phase::kWaiting;
      delayed += waits && IsDelayed({id, t}) ? 1 : 0;
      waiting += waits && !IsDelayed({id, t}) ? 1 : 0;
      preempting += phase == Phase::kPreempting ? 1 : 0;
      committed += job.tasks[t].worker >= 0 ? 1 : 0;
    }
    if (waiting == 0) return false;
    const bool atomic = is_gang && std::get<GangPolicy>(job.spec.policy).atomic;
    if (is_gang && (delayed > 0 || preempting > 0)) return false;
    if (atomic && committed > 0) return false;
    if (job.spec.constraints.needs_permit && now_ >= job.permitted_until) {
      return false;
    }
    const int wanted = is_gang ? waiting : 1;
    const bool urgent = job.spec.priority == Priority::kUrgent &&
                        (!job.start_by || now_ < job.start_by->late);
    const Resources held = urgent ? Resources() : HeldFrom(id, job);
    if (!(UsedBy(job.team) + held + job.spec.task * wanted)
             .FitsIn(terms_[job.team].allowance)) {
      return false;
    }
    int fits = 0;
    for (int w = 0; w < std::ssize(workers_); ++w) {
      fits += CountFits(id, job, w, wanted);
    }
    return fits >= wanted;
  }

  Random random_;
  CellKind kind_;
  Cell cell_;
  MonotonicTime now_ = kStart;
  std::vector<std::pair<ZoneId, bool>> zones_;  // The flag: in service.
  std::vector<ModelWorker> workers_;
  std::vector<TeamTerms> terms_;
  std::map<JobId, ModelJob> jobs_;
  int last_job_ = 0;
  // Since the latest group of random calls.
  std::set<TaskId> started_now_;
  std::set<TaskId> preempted_now_;
  std::string violation_;
};

struct RunLength {
  uint64_t seeds = 150;
  int calls = 400;
};

void CheckSeeds(const CellKind& kind, const RunLength& length = {}) {
  for (uint64_t seed = 1; seed <= length.seeds; ++seed) {
    CAPTURE(seed);
    const std::string violation = Simulation(seed, kind).Run(length.calls);
    REQUIRE(violation == "");
  }
}

TEST_CASE("every task that could start is started where no room is withheld") {
  CheckSeeds({});
}

// So many workers gain room that the growth log is cleared several times.
TEST_CASE("every task that could start is started over a long time") {
  CheckSeeds({}, {.seeds = 4, .calls = 12'000});
}

TEST_CASE("every task that could start is started with a small budget") {
  // A search for one kind of job may examine 64 workers in each of two zones,
  // 128 in all.
  CheckSeeds({.budget = {.decisions = 3, .candidates = 150}});
}

TEST_CASE(
    "every task that could start is started unless its room is withheld") {
  SUBCASE("without urgent work") { CheckSeeds({.withholds_room = true}); }
  SUBCASE("with urgent work") {
    CheckSeeds({.withholds_room = true, .urgent = true});
  }
}

// Guards against work that is preempted and started again, over and over,
// while the urgent work that it gives way to stays blocked.
TEST_CASE("no task is started and preempted in the same moment") {
  const RunLength length{.seeds = 600};
  SUBCASE("room is withheld") {
    CheckSeeds(
        {.withholds_room = true, .urgent = true, .withdraws_starts = true},
        length);
  }
  SUBCASE("plain cells") {
    CheckSeeds(
        {.urgent = true, .withdraws_starts = true, .checks_waiting = false},
        length);
  }
  SUBCASE("with a small budget") {
    CheckSeeds({.urgent = true,
                .budget = {.decisions = 3, .candidates = 150},
                .withdraws_starts = true,
                .checks_waiting = false},
               length);
  }
}

const Resources kOneCore(1, 1, 1'000, 1, 0);
const Resources kFourCores(4, 4, 4'000, 4, 0);
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

std::vector<JobId> DecideStarts(Cell& cell, MonotonicTime now,
                                const DecideBudget& budget = {}) {
  std::vector<JobId> started;
  for (const Decision& decision : cell.Decide(now, budget)) {
    if (const auto* start = std::get_if<Start>(&decision)) {
      started.push_back(start->task.job);
    }
  }
  return started;
}

// Calls Decide at each NextWake until the job starts. Returns the time it took.
Duration TimeUntilStarted(Cell& cell, const char* job) {
  MonotonicTime now = kStart;
  for (;;) {
    const std::vector<JobId> started = DecideStarts(cell, now);
    if (std::count(started.begin(), started.end(), JobId(job)) > 0) {
      return std::chrono::duration_cast<Duration>(now - kStart);
    }
    const auto wake = cell.NextWake();
    REQUIRE(wake.has_value());
    now = std::max(*wake, now + milliseconds(1));
  }
}

TEST_CASE(
    "a gang that exceeds the rest of the budget starts with the next call") {
  Cell cell{Options()};
  cell.SetTeam(kTeam, {1, {ZoneId("z")}, kUnlimited});
  AddWorker(cell, "w0", kFourCores);
  AddJob(cell, "full", kTeam, BatchPolicy{}, 4, kOneCore);
  CHECK(DecideStarts(cell, kStart).size() == 4);
  AddJob(cell, "gang", kTeam, GangPolicy{}, 3, kOneCore);
  CHECK(DecideStarts(cell, kStart).empty());
  // There is room for the gang and for the urgent job, whose start leaves fewer
  // decisions in the budget than the gang has tasks.
  AddWorker(cell, "w1", kFourCores);
  AddJob(cell, "urgent", kTeam, BatchPolicy{}, 1, kOneCore, Priority::kUrgent);
  const DecideBudget budget{.decisions = 3};
  CHECK(DecideStarts(cell, kStart, budget) == std::vector{JobId("urgent")});
  CHECK(DecideStarts(cell, kStart, budget) ==
        std::vector<JobId>(3, JobId("gang")));
}

// Small tasks end and others replace them, so that no worker becomes empty
// unless its room is reserved.
TEST_CASE(
    "a constrained job is not starved by small tasks that keep arriving") {
  JobSpec large;
  large.queue = QueueId("q");
  large.task = kFourCores;
  large.tasks = 2;
  SUBCASE("a perpetual job") {
    large.perpetual = true;
    large.policy = ServicePolicy{};
  }
  SUBCASE("a job with a label") { large.constraints.label = kLabel; }
  SUBCASE("a job with a limit per worker") {
    large.constraints.max_per_worker = 1;
  }
  SUBCASE("an atomic gang") { large.policy = GangPolicy{.atomic = true}; }
  Cell cell{Options()};
  cell.SetTeam(kTeam, {1, {ZoneId("z")}, kUnlimited});
  for (const char* vm : {"w0", "w1", "w2"})
    AddWorker(cell, vm, kFourCores, kLabel);
  AddJob(cell, "small", kTeam, BatchPolicy{}, 13, kOneCore);
  std::deque<TaskId> running;
  MonotonicTime now = kStart;
  std::optional<MonotonicTime> started;
  for (int i = 0; i < 600 && !started; ++i, now += milliseconds(100)) {
    if (i == 1) {
      cell.AddJob(JobId("large"), kTeam, large, now);
      AddJob(cell, "later", kTeam, BatchPolicy{}, 10'000, kOneCore);
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
  // 2 s until the reservation, 10 s until backfill ends, and 2 s until the
  // tasks that run then have ended.
  CHECK(*started - kStart <= seconds(2 + 10 + 2));
}

TEST_CASE("room reserved for a job is released when it may no longer start") {
  const TeamId other("b");
  Cell cell{Options()};
  const TeamTerms terms{3, {ZoneId("z")}, kUnlimited};
  cell.SetTeam(kTeam, terms);
  cell.SetTeam(other, terms);
  AddWorker(cell, "w0", kFourCores);
  AddJob(cell, "gives way", other, BatchPolicy{}, 1, kFourCores);
  REQUIRE(DecideStarts(cell, kStart).size() == 1);
  bool zone_gone = false;
  Duration max_wait{0};  // Until the preempted job starts again.
  SUBCASE("for lack of allowance") { max_wait = Duration(1'000); }
  SUBCASE("because its team may no longer use the zone") { zone_gone = true; }
  JobSpec spec;
  spec.queue = QueueId("q");
  spec.task = kFourCores;
  spec.priority = Priority::kUrgent;
  cell.AddJob(JobId("urgent"), kTeam, spec, kStart);
  const auto decisions = cell.Decide(kStart, {});
  REQUIRE(decisions.size() == 1);
  REQUIRE(std::holds_alternative<Preempt>(decisions[0]));
  if (zone_gone) {
    cell.SetTeam(kTeam, {3, {}, kUnlimited});
  } else {
    cell.SetTeam(kTeam, {3, {ZoneId("z")}, kOneCore});
  }
  cell.Release({JobId("gives way"), 0}, AttemptOutcome::kStopped, true, kStart);
  CHECK(TimeUntilStarted(cell, "gives way") <= max_wait);
}

TEST_CASE("room reserved for a job is released when the job is overdue") {
  const TeamId other("b");
  Cell cell{Options()};
  cell.SetTeam(kTeam, {3, {ZoneId("z")}, kUnlimited});
  cell.SetTeam(other, {1, {ZoneId("z")}, kUnlimited});
  AddWorker(cell, "w0", kFourCores);
  AddJob(cell, "gives way", other, BatchPolicy{}, 1, kOneCore * 3);
  REQUIRE(DecideStarts(cell, kStart).size() == 1);
  JobSpec spec;
  spec.queue = QueueId("q");
  spec.task = kFourCores;
  spec.priority = Priority::kUrgent;
  cell.AddJob(JobId("urgent"), kTeam, spec, kStart,
              StartBy{kStart + seconds(1), kStart + seconds(2)});
  REQUIRE(cell.Decide(kStart, {}).size() == 1);  // The preempted task stays.
  AddJob(cell, "small", other, BatchPolicy{}, 1, kOneCore);
  CHECK(TimeUntilStarted(cell, "small") <= seconds(2));
}

TEST_CASE("a job uses its reserved room although an older job is ahead of it") {
  const TeamId other("b");
  Cell cell{Options()};
  cell.SetTeam(kTeam, {3, {ZoneId("z")}, kUnlimited});
  cell.SetTeam(other, {1, {ZoneId("z")}, kUnlimited});
  AddWorker(cell, "w0", kFourCores);
  AddJob(cell, "older", kTeam, BatchPolicy{}, 1, kFourCores, Priority::kUrgent);
  REQUIRE(DecideStarts(cell, kStart).size() == 1);
  AddWorker(cell, "w1", kFourCores);
  AddJob(cell, "gives way", other, BatchPolicy{}, 1, kFourCores);
  REQUIRE(DecideStarts(cell, kStart).size() == 1);
  AddJob(cell, "newer", kTeam, BatchPolicy{}, 1, kFourCores, Priority::kUrgent);
  const auto decisions = cell.Decide(kStart, {});
  // The preemption frees room that is reserved for "newer".
  REQUIRE(decisions.size() == 1);
  REQUIRE(std::holds_alternative<Preempt>(decisions[0]));
  cell.SetAdmission(VmId("w0"), WorkerAdmission::kClosed);
  cell.Release({JobId("older"), 0}, AttemptOutcome::kStopped, true, kStart);
  CHECK(DecideStarts(cell, kStart).empty());
  cell.Release({JobId("gives way"), 0}, AttemptOutcome::kStopped, true, kStart);
  CHECK(DecideStarts(cell, kStart) == std::vector{JobId("newer")});
}

}  // namespace
}  // namespace azurepass::placement
