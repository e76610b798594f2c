// Implements the public interface of Cell: maps names to indexes, applies the
// caller's reports to the state, and delegates decisions to the Decider.

#include <algorithm>
#include <limits>
#include <utility>

#include "azurepass/placement/internal/cell_state.h"
#include "azurepass/placement/internal/decider.h"
#include "azurepass/placement/internal/explain.h"
#include "azurepass/placement/internal/hash.h"
#include "azurepass/placement/internal/overuse.h"
#include "azurepass/placement/placement.h"

namespace azurepass::placement {

using internal::Index;
using internal::Job;
using internal::kNone;
using internal::Outcomes;
using internal::Task;
using internal::TaskPhase;
using internal::TaskRef;
using internal::Team;

namespace {

constexpr int kMaxDoublings = 6;

// Time after which blocked urgent jobs are tried again if tasks were started
// that they might preempt.
constexpr Duration kUrgentRetry{20};
constexpr uint8_t kMaxCount = 250;  // Counters saturate here.

// Returns the backoff before retry number `retries`: first * 2^(retries-1), at
// most `longest`, less a random part of up to half.
Duration BackoffOf(Duration first, Duration longest, int retries,
                   uint64_t random) {
  const int doublings = std::clamp(retries - 1, 0, kMaxDoublings);
  const Duration full = std::min(longest, first * (1 << doublings));
  const double part = 0.5 + 0.5 * internal::UnitInterval(random);
  return Duration(
      static_cast<int64_t>(static_cast<double>(full.count()) * part));
}

// Returns the size of one start of the job: of one task, or of all waiting
// tasks of a gang.
Resources StartSizeOf(const Job& job) {
  return job.spec.task * (job.is_gang() ? job.waiting : 1);
}

}  // namespace

std::string_view WaitReasonName(WaitReason reason) {
  switch (reason) {
    case WaitReason::kNone:
      return "none";
    case WaitReason::kNoRoom:
      return "no_room";
    case WaitReason::kAllowance:
      return "allowance";
    case WaitReason::kZonesOut:
      return "zones_out";
    case WaitReason::kGangIncomplete:
      return "gang_incomplete";
    case WaitReason::kBehindOthers:
      return "behind_others";
    case WaitReason::kRetryBackoff:
      return "retry_backoff";
    case WaitReason::kRetryBudget:
      return "retry_budget";
    case WaitReason::kNoPermit:
      return "no_permit";
  }
  return "unknown";
}

class Cell::Impl {
 public:
  explicit Impl(const Options& options) : state_(options) {}

  // For calls that report something to the cell.
  internal::CellState& OnReport() {
    state_.started_now.clear();
    return state_;
  }
  const internal::CellState& state() const { return state_; }

  void SetTeam(const TeamId& id, const TeamTerms& terms);
  bool Commit(const TaskId& id, const VmId& vm, bool without_room);
  void Release(const TaskId& id, AttemptOutcome outcome, bool requeue,
               MonotonicTime now);
  std::vector<Decision> Decide(MonotonicTime now, const DecideBudget& budget);
  std::optional<MonotonicTime> NextWake() const;

 private:
  void RecordOutcome(TaskRef ref, AttemptOutcome outcome, MonotonicTime now);
  void LearnSpeed(Job& job, const Task& task, MonotonicTime now);
  void Requeue(TaskRef ref, AttemptOutcome outcome, MonotonicTime now);
  void AdvanceTime(MonotonicTime now) {
    if (now <= state_.now) return;
    state_.now = now;
    state_.started_now.clear();
  }

  internal::CellState state_;
  bool has_more_ = false;  // The latest Decide ended early.
};

void Cell::Impl::SetTeam(const TeamId& id, const TeamTerms& terms) {
  state_.started_now.clear();
  Team& team = state_.teams[state_.teams.Intern(id)];
  team.terms = terms;
  team.zones.clear();
  for (const ZoneId& zone : terms.zones) {
    const Index index = state_.fleet.InternZone(zone);
    if (std::count(team.zones.begin(), team.zones.end(), index) == 0) {
      team.zones.push_back(index);
    }
  }
  team.check_allowance = true;
  state_.ClearSearchResults(team);
}

bool Cell::Impl::Commit(const TaskId& id, const VmId& vm, bool without_room) {
  TaskRef ref;
  const Task* task = state_.FindTask(id, &ref);
  const Index worker = state_.fleet.Find(vm);
  if (task == nullptr || worker == kNone) return false;
  const bool waits =
      task->phase == TaskPhase::kWaiting || task->phase == TaskPhase::kDelayed;
  const internal::Worker& w = state_.fleet.worker(worker);
  const Job& job = state_.jobs[ref.job];
  state_.started_now.clear();
  if (!waits || !w.known) return false;
  if (!without_room && !job.room().FitsIn(w.free)) return false;
  state_.Commit(ref, worker, std::max(state_.now, job.accepted));
  state_.teams[job.team].check_allowance = true;
  return true;
}

// The tasks of a gang end together, and those of a perpetual job by chance.
void Cell::Impl::LearnSpeed(Job& job, const Task& task, MonotonicTime now) {
  if (task.queued_again || job.is_gang() || job.spec.perpetual) return;
  const auto run_time = std::chrono::duration_cast<Duration>(now - task.since);
  for (const internal::SpeedSample& sample :
       job.run_times.Add(task.worker, run_time)) {
    state_.fleet.worker(sample.worker).speed.Learn(sample.ratio);
  }
}

// Records an attempt's outcome for its worker and its job, and its run time.
void Cell::Impl::RecordOutcome(TaskRef ref, AttemptOutcome outcome,
                               MonotonicTime now) {
  const bool failed = outcome == AttemptOutcome::kFailed;
  if (!failed && outcome != AttemptOutcome::kSucceeded) return;
  Job& job = state_.jobs[ref.job];
  const Task& task = job.tasks[ref.task];
  if (!failed) {
    state_.run_times.Learn(
        job.team, job.spec,
        std::chrono::duration_cast<Duration>(now - task.since));
    LearnSpeed(job, task, now);
  }
  // The worker's own outcomes are left out of the peer rate: the failures of a
  // worker that fails fast would soon dominate the rate, and the worker would
  // no longer stand out.
  Outcomes& here = job.outcomes_by_worker[task.worker];
  const int32_t elsewhere = job.outcomes.total() - here.total();
  internal::Evidence evidence{
      .failed = failed, .job = ref.job, .peer_rate = std::nullopt};
  if (elsewhere > 0) {
    evidence.peer_rate =
        static_cast<double>(job.outcomes.failures - here.failures) / elsewhere;
  }
  job.outcomes.Count(failed);
  here.Count(failed);
  if (failed && job.is_atomic() && job.failed_attempt_start != task.since) {
    ++job.failed_attempts;
    job.failed_attempt_start = task.since;
  }
  state_.fleet.RecordOutcome(task.worker, evidence, now);
}

void Cell::Impl::Requeue(TaskRef ref, AttemptOutcome outcome,
                         MonotonicTime now) {
  Job& job = state_.jobs[ref.job];
  Task& task = job.tasks[ref.task];
  task.queued_again = true;
  const Options& options = state_.options;
  const bool counts_as_failure =
      outcome == AttemptOutcome::kFailed || outcome == AttemptOutcome::kLost;
  if (counts_as_failure && job.spec.perpetual &&
      now - task.since >= options.backoff_reset_after) {
    task.failures = 0;
    task.losses = 0;
  }
  if (outcome == AttemptOutcome::kFailed && task.failures < kMaxCount) {
    ++task.failures;
  }
  if (outcome == AttemptOutcome::kLost && task.losses < kMaxCount) {
    ++task.losses;
  }
  // The first loss is no evidence against the task, so it causes no backoff.
  const int retries = task.failures + std::max(0, task.losses - 1);
  if (!counts_as_failure || retries == 0) {
    state_.Wait(ref);
    return;
  }
  task.needs_token = false;
  const Duration longest =
      job.spec.perpetual
          ? std::min(options.max_backoff, options.max_perpetual_backoff)
          : options.max_backoff;
  const uint64_t random = internal::MixBits(options.seed) ^
                          static_cast<uint64_t>(job.number) << 24 ^
                          static_cast<uint64_t>(ref.task) << 8 ^
                          static_cast<uint64_t>(retries);
  state_.Delay(
      ref, now + BackoffOf(options.initial_backoff, longest, retries, random));
}

void Cell::Impl::Release(const TaskId& id, AttemptOutcome outcome, bool requeue,
                         MonotonicTime now) {
  AdvanceTime(now);
  TaskRef ref;
  Task* task = state_.FindTask(id, &ref);
  if (task == nullptr) return;
  if (task->phase != TaskPhase::kCommitted &&
      task->phase != TaskPhase::kPreempting) {
    return;
  }
  // The end of a preempted task follows from a decision.
  if (task->phase == TaskPhase::kCommitted) state_.started_now.clear();
  task->ended = now;
  const bool again = requeue && !task->cancelled;
  RecordOutcome(ref, outcome, now);
  state_.Uncommit(ref);
  if (again) Requeue(ref, outcome, now);
}

std::vector<Decision> Cell::Impl::Decide(MonotonicTime now,
                                         const DecideBudget& budget) {
  AdvanceTime(now);
  state_.fleet.Advance(state_.now, state_.options.zone_ramp);
  state_.EndDelays(state_.now);
  state_.AdvanceLateness(state_.now);
  state_.ExpirePermits(state_.now);
  internal::Decider decider(state_, budget);
  std::vector<Decision> decisions = decider.Run();
  has_more_ = decider.has_more();
  return decisions;
}

std::optional<MonotonicTime> Cell::Impl::NextWake() const {
  if (has_more_) return state_.now;
  std::optional<MonotonicTime> next;
  const auto add = [&next](std::optional<MonotonicTime> at) {
    if (at) next = next ? std::min(*next, *at) : *at;
  };
  add(state_.NextDelay());
  add(state_.fleet.NextChange());
  for (const internal::Reservation& reservation : state_.reservations.all()) {
    add(reservation.EndsAt());
    // The reservation is dropped when its job becomes overdue.
    const Job& job = state_.jobs[reservation.job];
    if (job.start_by && job.lateness != internal::Lateness::kOverdue) {
      add(job.start_by->late);
    }
  }
  add(state_.allowance_holds.NextEnd());
  if (state_.urgent_blocked && !state_.started_now.empty()) {
    add(state_.now + kUrgentRetry);
  }
  if (!state_.checkpoints.empty()) {
    add(state_.checkpoints.front().since + state_.options.checkpoint_grace);
  }
  return next;
}

// ---------------------------------------------------------------------------
// Cell

Cell::Cell(Options options) : impl_(std::make_unique<Impl>(options)) {}
Cell::~Cell() = default;
Cell::Cell(Cell&&) noexcept = default;
Cell& Cell::operator=(Cell&&) noexcept = default;

void Cell::AddWorker(const WorkerSpec& worker, WorkerAdmission admission) {
  impl_->OnReport().fleet.Add(worker, admission);
}

void Cell::SetAdmission(const VmId& vm, WorkerAdmission admission) {
  internal::Fleet& fleet = impl_->OnReport().fleet;
  const Index worker = fleet.Find(vm);
  if (worker != kNone) fleet.SetAdmission(worker, admission);
}

void Cell::RemoveWorker(const VmId& vm) {
  internal::Fleet& fleet = impl_->OnReport().fleet;
  const Index worker = fleet.Find(vm);
  if (worker != kNone) fleet.Remove(worker);
}

void Cell::SetZoneInService(const ZoneId& zone, bool in_service) {
  internal::Fleet& fleet = impl_->OnReport().fleet;
  fleet.SetZoneInService(fleet.InternZone(zone), in_service);
}

void Cell::SetTeam(const TeamId& team, const TeamTerms& terms) {
  impl_->SetTeam(team, terms);
}

void Cell::RemoveTeam(const TeamId& team) {
  impl_->SetTeam(team, {.share = 1, .zones = {}, .allowance = Resources()});
}

std::optional<std::string> Cell::NeverFits(const TeamId& team,
                                           const JobSpec& spec) const {
  return internal::FindNeverFits(impl_->state(), team, spec);
}

void Cell::AddJob(const JobId& job, const TeamId& team, const JobSpec& spec,
                  MonotonicTime accepted, std::optional<StartBy> start_by) {
  internal::CellState& state = impl_->OnReport();
  if (state.FindJob(job) != kNone) return;
  state.AddJob(job, state.teams.Intern(team), spec, accepted, start_by);
}

void Cell::CancelTask(const TaskId& task) {
  TaskRef ref;
  internal::CellState& state = impl_->OnReport();
  if (state.FindTask(task, &ref) != nullptr) {
    state.Cancel(ref);
  }
}

void Cell::RemoveJob(const JobId& job) {
  internal::CellState& state = impl_->OnReport();
  const Index index = state.FindJob(job);
  if (index != kNone) state.RemoveJob(index);
}

void Cell::SetPermitted(const JobId& id, const std::vector<VmId>& workers,
                        MonotonicTime until) {
  internal::CellState& state = impl_->OnReport();
  const Index index = state.FindJob(id);
  if (index == kNone) return;
  Job& job = state.jobs[index];
  job.permitted.clear();
  for (const VmId& vm : workers) {
    const Index worker = state.fleet.Find(vm);
    if (worker != kNone) job.permitted.push_back(worker);
  }
  std::sort(job.permitted.begin(), job.permitted.end());
  state.SetPermitted(index, until);
}

bool Cell::Commit(const TaskId& task, const VmId& vm, bool without_room) {
  return impl_->Commit(task, vm, without_room);
}

void Cell::Release(const TaskId& task, AttemptOutcome outcome, bool requeue,
                   MonotonicTime now) {
  impl_->Release(task, outcome, requeue, now);
}

std::vector<Decision> Cell::Decide(MonotonicTime now,
                                   const DecideBudget& budget) {
  return impl_->Decide(now, budget);
}

std::vector<OveruseAction> Cell::OnUsage(
    const std::vector<UsageSample>& samples, MonotonicTime now) {
  return internal::HandleOveruse(impl_->OnReport(), samples, now);
}

std::optional<MonotonicTime> Cell::NextWake() const {
  return impl_->NextWake();
}

Explanation Cell::Explain(const JobId& job, Revision revision,
                          MonotonicTime now) const {
  return internal::ExplainJob(impl_->state(), job, revision, now);
}

WaitReason Cell::WaitReasonOf(const TaskId& id) const {
  const internal::CellState& state = impl_->state();
  const Index job = state.FindJob(id.job);
  if (job == kNone || id.index < 0 ||
      id.index >= static_cast<int32_t>(state.jobs[job].tasks.size())) {
    return WaitReason::kNone;
  }
  return internal::ReasonOf(state, state.jobs[job],
                            state.jobs[job].tasks[id.index]);
}

WaitingRank Cell::RankOf(const JobId& id) const {
  const internal::CellState& state = impl_->state();
  const Index index = state.FindJob(id);
  if (index == kNone) {
    return {std::numeric_limits<int>::max(),
            std::numeric_limits<int64_t>::max()};
  }
  return state.jobs[index].rank();
}

std::optional<PermitWaiter> Cell::VisitPermitWaiters(
    const PermitWaiter& from,
    const std::function<bool(const JobId&)>& visit) const {
  const internal::CellState& state = impl_->state();
  const auto& waiters = state.permit_waiters;
  for (auto it = waiters.lower_bound({from.rank, from.slot});
       it != waiters.end();) {
    const internal::Index index = it->second;
    ++it;
    if (visit(state.jobs[index].id)) continue;
    if (it == waiters.end()) return std::nullopt;
    return PermitWaiter{it->first, it->second};
  }
  return std::nullopt;
}

CellStatus Cell::Status() const {
  const internal::CellState& state = impl_->state();
  CellStatus status;
  status.workers = state.fleet.known_workers();
  for (const internal::Worker& worker : state.fleet.workers()) {
    const bool open =
        state.fleet.IsOpen(worker) && state.fleet.zone(worker.zone).in_service;
    status.open_workers += open ? 1 : 0;
    status.slow_workers += open && state.fleet.IsSlow(worker) ? 1 : 0;
  }
  status.quarantined_workers = state.fleet.quarantined();
  status.queued_tasks = state.queued;
  status.committed_tasks = state.committed;
  status.capacity = state.fleet.open_capacity();
  status.committed = state.fleet.committed();
  return status;
}

std::map<WaitReason, int64_t> Cell::WaitingByReason() const {
  const internal::CellState& state = impl_->state();
  std::map<WaitReason, int64_t> waiting;
  for (const Job& job : state.jobs) {
    if (job.delayed > 0) waiting[WaitReason::kRetryBackoff] += job.delayed;
    if (job.lacks_permit()) waiting[WaitReason::kNoPermit] += job.waiting;
    if (job.waiting == 0 || job.lane == kNone) continue;
    waiting[state.lanes[job.lane].reason] += job.waiting;
  }
  return waiting;
}

std::vector<LongWait> Cell::LongestWaits(size_t limit) const {
  const internal::CellState& state = impl_->state();
  std::vector<LongWait> waits;
  for (const Job& job : state.jobs) {
    if (job.waiting + job.delayed == 0) continue;
    const Team& team = state.teams[job.team];
    LongWait wait;
    wait.team = team.id;
    wait.since = MonotonicTime::max();
    wait.waiting = job.waiting;
    wait.delayed = job.delayed;
    wait.size = job.spec.task;
    wait.committed = team.committed;
    wait.allowance = team.terms.allowance;
    for (size_t t = 0; t < job.tasks.size(); ++t) {
      const Task& task = job.tasks[t];
      const WaitReason reason = internal::ReasonOf(state, job, task);
      const MonotonicTime since = std::max(job.accepted, task.ended);
      if (reason == WaitReason::kNone || since >= wait.since) continue;
      wait.task = {job.id, static_cast<int32_t>(t)};
      wait.since = since;
      wait.reason = reason;
    }
    waits.push_back(std::move(wait));
  }
  limit = std::min(limit, waits.size());
  std::partial_sort(
      waits.begin(), waits.begin() + static_cast<std::ptrdiff_t>(limit),
      waits.end(),
      [](const LongWait& a, const LongWait& b) { return a.since < b.since; });
  waits.resize(limit);
  return waits;
}

Resources Cell::QueuedOf(const TeamId& team) const {
  const internal::CellState& state = impl_->state();
  const Index index = state.teams.Find(team);
  return index == kNone ? Resources() : state.teams[index].queued;
}

Resources Cell::NextStartSizeOf(const TeamId& id, const Resources& room) const {
  const internal::CellState& state = impl_->state();
  const Index team = state.teams.Find(id);
  if (team == kNone) return Resources();
  std::optional<WaitingRank> first;
  Resources start_size;
  // Returns false when neither this job nor any behind it in the same list can
  // have a lower rank than `first`.
  const auto consider = [&](const Job& job) {
    if (first && *first <= job.rank()) return false;
    if (job.team != team || job.waiting == 0) return true;
    const Resources size = StartSizeOf(job);
    if (!size.FitsIn(room)) return true;
    if (job.is_gang() && !state.FitsGang(job)) return true;
    first = job.rank();
    start_size = size;
    return false;
  };
  for (const internal::Team::Queue& queue : state.teams[team].queues) {
    for (const auto& [order, lane] : queue.lanes) {
      // The lane is known to have found no room, so the allowance is not what
      // blocks it.
      if (state.lanes[lane].known_blocked) continue;
      const Index job = state.lanes[lane].jobs.begin()->second;
      if (!consider(state.jobs[job])) break;
    }
  }
  for (const auto& [rank, job] : state.permit_waiters) {
    if (state.jobs[job].lacks_permit() && !consider(state.jobs[job])) break;
  }
  return start_size;
}

Resources Cell::AllowanceLeftOf(const TeamId& team) const {
  const internal::CellState& state = impl_->state();
  const Index index = state.teams.Find(team);
  if (index == kNone) return Resources();
  return state.teams[index].terms.allowance - state.teams[index].committed;
}

Resources Cell::PreemptibleAllowanceOf(const JobId& id) const {
  const internal::CellState& state = impl_->state();
  const Index index = state.FindJob(id);
  Resources preemptible;
  if (index == kNone) return preemptible;
  const Job& job = state.jobs[index];
  if (!job.is_urgent() || job.lateness != internal::Lateness::kOnTime) {
    return preemptible;
  }
  for (const TaskRef& ref : state.teams[job.team].running) {
    const Job& other = state.jobs[ref.job];
    const bool ends = other.tasks[ref.task].phase == TaskPhase::kPreempting;
    if (ends || internal::MayPreempt(job, other))
      preemptible += other.spec.task;
  }
  return preemptible;
}

Resources Cell::AllowanceHeldFor(const JobId& job) const {
  const internal::CellState& state = impl_->state();
  const internal::AllowanceHold* hold =
      state.allowance_holds.Find(state.FindJob(job));
  return hold == nullptr ? Resources() : hold->size * hold->tasks;
}

Resources Cell::CommittedOf(const TeamId& team) const {
  const internal::CellState& state = impl_->state();
  const Index index = state.teams.Find(team);
  return index == kNone ? Resources() : state.teams[index].committed;
}

Resources Cell::CommittedOn(const VmId& vm) const {
  const internal::CellState& state = impl_->state();
  const Index index = state.fleet.Find(vm);
  if (index == kNone) return Resources();
  const internal::Worker& worker = state.fleet.worker(index);
  return worker.capacity - worker.free;
}

}  // namespace azurepass::placement
