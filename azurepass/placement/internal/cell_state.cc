// Implements the transitions of tasks and the maintenance of the queues.

#include "azurepass/placement/internal/cell_state.h"

#include <algorithm>
#include <utility>

namespace azurepass::placement::internal {

// ---------------------------------------------------------------------------
// Jobs

Index CellState::FindJob(const JobId& id) const {
  auto it = job_ids_.find(id);
  return it == job_ids_.end() ? kNone : it->second;
}

Task* CellState::FindTask(const TaskId& id, TaskRef* ref) {
  const Index job = FindJob(id.job);
  if (job == kNone || id.index < 0 ||
      id.index >= static_cast<int32_t>(jobs[job].tasks.size())) {
    return nullptr;
  }
  *ref = {.job = job, .task = id.index};
  return &jobs[job].tasks[id.index];
}

Index CellState::AddJob(const JobId& id, Index team, const JobSpec& spec,
                        MonotonicTime accepted,
                        std::optional<StartBy> start_by) {
  Index index = kNone;
  if (free_jobs_.empty()) {
    index = static_cast<Index>(jobs.size());
    jobs.emplace_back();
  } else {
    index = free_jobs_.back();
    free_jobs_.pop_back();
  }
  Job& job = jobs[index];
  job.id = id;
  job.team = team;
  job.spec = spec;
  job.number = ++last_number_;
  job.accepted = accepted;
  job.start_by = start_by;
  job.late_order = LateOrderOf(spec);
  if (start_by) lateness_changes_.push({start_by->on_time, index, job.number});
  job.tasks.resize(spec.tasks);
  job.waiting = spec.tasks;
  teams[team].waiting += spec.tasks;
  teams[team].queued += spec.task * spec.tasks;
  queued += spec.tasks;
  job_ids_.emplace(id, index);
  UpdateQueue(index);
  return index;
}

std::optional<int64_t> CellState::LateOrderOf(const JobSpec& spec) const {
  // Bounds the work, so that it does not reach the next class of lateness.
  constexpr double kMostWork = 1e15;
  return std::visit(
      Visitor{[](const EarliestDeadline&) { return std::optional<int64_t>(); },
              [&](const LeastWork&) {
                const double worker_millis =
                    spec.task.DominantShare(fleet.scale()) * spec.tasks *
                    static_cast<double>(spec.declared_run_time.count());
                return std::optional<int64_t>(static_cast<int64_t>(
                    std::min(worker_millis * 1'000, kMostWork)));
              }},
      options.late_order);
}

void CellState::RemoveJob(Index index) {
  Job& job = jobs[index];
  if (job.waiting + job.delayed + job.committed > 0) return;
  DropReservation(index);
  allowance_holds.Drop(index);
  Dequeue(index);
  job_ids_.erase(job.id);
  job = Job{};
  free_jobs_.push_back(index);
}

// ---------------------------------------------------------------------------
// Transitions

int32_t CellState::NextWaiting(Job& job) const {
  const auto waits = [&](int32_t task) {
    return job.tasks[task].phase == TaskPhase::kWaiting;
  };
  while (!job.requeued.empty() && !waits(job.requeued.back()))
    job.requeued.pop_back();
  if (!job.requeued.empty()) return job.requeued.back();
  while (!waits(job.next_unstarted)) ++job.next_unstarted;
  return job.next_unstarted;
}

void CellState::CountSpread(Job& job, Index worker, int32_t tasks) {
  const bool constrained = job.is_constrained();
  if (!job.is_service() && !constrained) return;
  const Worker& w = fleet.worker(worker);
  for (auto [counts, key] :
       {std::pair(&job.in_zone, w.zone), std::pair(&job.in_rack, w.rack),
        std::pair(&job.on_workers, worker)}) {
    auto it = counts->try_emplace(key, 0).first;
    it->second += tasks;
    if (it->second <= 0) counts->erase(it);
  }
}

void CellState::Commit(TaskRef ref, Index worker_index, MonotonicTime at) {
  Job& job = jobs[ref.job];
  Task& task = job.tasks[ref.task];
  Team& team = teams[job.team];
  Worker& worker = fleet.worker(worker_index);
  --(task.phase == TaskPhase::kDelayed ? job.delayed : job.waiting);
  task.phase = TaskPhase::kCommitted;
  task.since = at;
  task.worker = worker_index;
  task.overuses = 0;
  task.on_worker = static_cast<int32_t>(worker.tasks.size());
  worker.tasks.push_back(ref);
  task.on_team = static_cast<int32_t>(team.running.size());
  team.running.push_back(ref);
  team.committed += job.spec.task;
  --team.waiting;
  team.queued -= job.spec.task;
  allowance_holds.OnStarted(ref.job);
  ++job.committed;
  --queued;
  ++committed;
  CountSpread(job, worker_index, 1);
  worker.perpetual += job.spec.perpetual ? 1 : 0;
  worker.scavengers += job.spec.scavenger ? 1 : 0;
  fleet.Take(worker_index, job.room());
  UpdateQueue(ref.job);
}

void CellState::Uncommit(TaskRef ref) {
  Job& job = jobs[ref.job];
  Task& task = job.tasks[ref.task];
  Team& team = teams[job.team];
  std::vector<TaskRef>& on_worker = fleet.worker(task.worker).tasks;
  on_worker[task.on_worker] = on_worker.back();
  const TaskRef moved = on_worker[task.on_worker];
  jobs[moved.job].tasks[moved.task].on_worker = task.on_worker;
  on_worker.pop_back();
  team.running[task.on_team] = team.running.back();
  const TaskRef last = team.running[task.on_team];
  jobs[last.job].tasks[last.task].on_team = task.on_team;
  team.running.pop_back();
  if (task.phase == TaskPhase::kPreempting) {
    team.preempting -= job.spec.task;
    --job.preempting;
  }
  team.committed -= job.spec.task;
  --job.committed;
  --committed;
  CountSpread(job, task.worker, -1);
  Worker& worker = fleet.worker(task.worker);
  worker.perpetual -= job.spec.perpetual ? 1 : 0;
  worker.scavengers -= job.spec.scavenger ? 1 : 0;
  fleet.GiveBack(task.worker, job.room());
  task.phase = TaskPhase::kDone;
  task.worker = kNone;
  UpdateQueue(ref.job);
}

void CellState::Wait(TaskRef ref) {
  Job& job = jobs[ref.job];
  job.tasks[ref.task].phase = TaskPhase::kWaiting;
  job.requeued.push_back(ref.task);
  ++job.waiting;
  ++teams[job.team].waiting;
  teams[job.team].queued += job.spec.task;
  ++queued;
  UpdateQueue(ref.job);
}

void CellState::Delay(TaskRef ref, MonotonicTime until) {
  Job& job = jobs[ref.job];
  Task& task = job.tasks[ref.task];
  task.phase = TaskPhase::kDelayed;
  task.since = until;
  ++job.delayed;
  ++teams[job.team].waiting;
  teams[job.team].queued += job.spec.task;
  ++queued;
  delays_.push({.at = until, .ref = ref, .job_number = job.number});
  UpdateQueue(ref.job);
}

void CellState::Cancel(TaskRef ref) {
  Job& job = jobs[ref.job];
  Task& task = job.tasks[ref.task];
  task.cancelled = true;
  const bool waits = task.phase == TaskPhase::kWaiting;
  if (!waits && task.phase != TaskPhase::kDelayed) return;
  task.phase = TaskPhase::kDone;
  --(waits ? job.waiting : job.delayed);
  --teams[job.team].waiting;
  teams[job.team].queued -= job.spec.task;
  --queued;
  if (job.waiting + job.delayed == 0) DropReservation(ref.job);
  UpdateQueue(ref.job);
}

void CellState::StartPreempting(TaskRef ref, MonotonicTime at) {
  Job& job = jobs[ref.job];
  Task& task = job.tasks[ref.task];
  task.phase = TaskPhase::kPreempting;
  task.since = at;
  ++job.preempting;
  teams[job.team].preempting += job.spec.task;
  checkpoints.push_back({.since = at, .ref = ref, .job_number = job.number});
  UpdateQueue(ref.job);
}

Task* CellState::Delayed(const internal::Delay& delay) {
  Job& job = jobs[delay.ref.job];
  if (job.number != delay.job_number) return nullptr;
  Task& task = job.tasks[delay.ref.task];
  const bool same = task.phase == TaskPhase::kDelayed && task.since == delay.at;
  return same ? &task : nullptr;
}

void CellState::EndDelay(const internal::Delay& delay) {
  Job& job = jobs[delay.ref.job];
  job.tasks[delay.ref.task].needs_token = false;
  --job.delayed;
  --teams[job.team].waiting;
  teams[job.team].queued -= job.spec.task;
  --queued;
  Wait(delay.ref);
}

void CellState::EndDelays(MonotonicTime at) {
  while (!delays_.empty() && delays_.top().at <= at) {
    const internal::Delay due = delays_.top();
    delays_.pop();
    Task* task = Delayed(due);
    if (task == nullptr) continue;
    const Job& job = jobs[due.ref.job];
    // The last of a gang's tasks to be delayed takes the token for all.
    const bool takes_token = !job.is_atomic() || job.delayed == 1;
    if (options.bound_retries && takes_token && RetryBudget::AppliesTo(job)) {
      task->needs_token = true;
      token_waiters_.push_back(due);
    } else {
      EndDelay(due);
    }
  }
  while (!token_waiters_.empty()) {
    const internal::Delay first = token_waiters_.front();
    const bool stale = Delayed(first) == nullptr;
    if (!stale && !retry_budget.Take(at)) return;
    token_waiters_.pop_front();
    if (!stale) EndDelay(first);
  }
}

std::optional<MonotonicTime> CellState::NextDelay() const {
  std::optional<MonotonicTime> next;
  if (!delays_.empty()) next = delays_.top().at;
  if (token_waiters_.empty()) return next;
  const MonotonicTime token = retry_budget.NextToken();
  return next ? std::min(*next, token) : token;
}

void CellState::AdvanceLateness(MonotonicTime at) {
  while (!lateness_changes_.empty() && lateness_changes_.top().at <= at) {
    const End end = lateness_changes_.top();
    lateness_changes_.pop();
    Job& job = jobs[end.job];
    if (job.number != end.job_number || job.lateness == Lateness::kOverdue)
      continue;
    Dequeue(end.job);
    job.lateness = job.lateness == Lateness::kOnTime ? Lateness::kLate
                                                     : Lateness::kOverdue;
    if (job.lateness == Lateness::kOverdue) DropReservation(end.job);
    allowance_holds.Drop(end.job);  // Its rank has changed.
    UpdateQueue(end.job);
    if (job.lateness == Lateness::kLate) {
      lateness_changes_.push({job.start_by->late, end.job, job.number});
    }
  }
}

void CellState::SetPermitted(Index index, MonotonicTime until) {
  Job& job = jobs[index];
  job.permitted_until = until;
  job.permit_valid = !job.permitted.empty() && now < until;
  if (job.permit_valid) permit_ends_.push({until, index, job.number});
  if (!job.permit_valid) {
    allowance_holds.Lapse(index, now);
  } else if (!allowance_holds.IsHeldFor(index)) {
    allowance_holds.Drop(index);  // Need not wait for the end of its pause.
  }
  UpdateQueue(index);
  if (job.lane != kNone) ClearSearchResult(lanes[job.lane]);
}

void CellState::ExpirePermits(MonotonicTime at) {
  while (!permit_ends_.empty() && permit_ends_.top().at <= at) {
    const End end = permit_ends_.top();
    permit_ends_.pop();
    Job& job = jobs[end.job];
    if (job.number != end.job_number || at < job.permitted_until) continue;
    job.permit_valid = false;
    UpdateQueue(end.job);
  }
}

// ---------------------------------------------------------------------------
// Queues

Index CellState::LaneFor(const Job& job) {
  const LaneKey key{.priority = job.priority(),
                    .size = job.spec.task,
                    .policy = job.spec.policy.index(),
                    .gang_job = job.is_gang() ? job.number : 0,
                    .repeatable = job.spec.repeatable,
                    .constrained_job = job.is_constrained() ? job.number : 0};
  auto [it, added] = teams[job.team].lanes.try_emplace(key, kNone);
  if (!added) return it->second;
  if (free_lanes_.empty()) {
    it->second = static_cast<Index>(lanes.size());
    lanes.emplace_back();
  } else {
    it->second = free_lanes_.back();
    free_lanes_.pop_back();
  }
  Lane& lane = lanes[it->second];
  lane = Lane{};
  lane.team = job.team;
  lane.key = key;
  Team::Queue& queue = teams[job.team].queue(key.priority);
  ++queue.lanes_to_search;
  queue.min_size = Resources::Min(queue.min_size, key.size);
  return it->second;
}

void CellState::Resort(Index index, std::optional<int64_t> first_before) {
  Lane& lane = lanes[index];
  Team& team = teams[lane.team];
  Team::Queue& queue = team.queue(lane.key.priority);
  if (!lane.jobs.empty() && first_before == lane.jobs.begin()->first) return;
  if (first_before) queue.lanes.erase({*first_before, index});
  if (!lane.jobs.empty()) {
    queue.lanes.emplace(lane.jobs.begin()->first, index);
    return;
  }
  SetKnownBlocked(lane, true);
  team.lanes.erase(lane.key);
  free_lanes_.push_back(index);
}

void CellState::Enqueue(Index index) {
  Job& job = jobs[index];
  const Index lane_index = LaneFor(job);
  Lane& lane = lanes[lane_index];
  std::optional<int64_t> first;
  if (!lane.jobs.empty()) first = lane.jobs.begin()->first;
  lane.jobs.emplace(job.order(), index);
  job.lane = lane_index;
  Resort(lane_index, first);
}

void CellState::Dequeue(Index index) {
  Job& job = jobs[index];
  if (job.lane == kNone) return;
  const Index lane_index = std::exchange(job.lane, kNone);
  Lane& lane = lanes[lane_index];
  const int64_t first = lane.jobs.begin()->first;
  lane.jobs.erase({job.order(), index});
  Resort(lane_index, first);
}

void CellState::UpdatePermitWaiters(Index index) {
  Job& job = jobs[index];
  std::optional<WaitingRank> rank;
  if (job.spec.constraints.needs_permit && job.waiting + job.delayed > 0) {
    rank = job.rank();
  }
  if (rank == job.permit_rank) return;
  if (job.permit_rank) permit_waiters.erase({*job.permit_rank, index});
  if (rank) permit_waiters.emplace(*rank, index);
  job.permit_rank = rank;
}

void CellState::UpdateUnpermittedGangs(Index index) {
  Job& job = jobs[index];
  std::optional<WaitingRank> rank;
  if (job.is_gang() && job.lacks_permit() && job.is_ready()) rank = job.rank();
  if (rank == job.gang_rank) return;
  auto& gangs = teams[job.team].unpermitted_gangs;
  if (job.gang_rank) gangs.erase({*job.gang_rank, index});
  if (rank) gangs.emplace(*rank, index);
  job.gang_rank = rank;
}

bool CellState::FitsGang(const Job& job) const {
  int32_t missing = job.waiting;
  for (const Worker& worker : fleet.workers()) {
    if (missing <= 0) break;
    if (!fleet.IsOpen(worker)) continue;
    missing -= TimesFits(job.room(), worker.free, missing);
  }
  return missing <= 0;
}

void CellState::UpdateQueue(Index index) {
  UpdatePermitWaiters(index);
  UpdateUnpermittedGangs(index);
  const Job& job = jobs[index];
  const bool startable = job.is_startable();
  if (job.lane != kNone && !startable) Dequeue(index);
  if (startable && job.lane == kNone) Enqueue(index);
  // The remaining tasks of a gang may fit where the whole gang did not.
  if (startable && job.is_gang()) ClearSearchResult(lanes[job.lane]);
}

void CellState::SetKnownBlocked(Lane& lane, bool known_blocked) {
  if (lane.known_blocked == known_blocked) return;
  lane.known_blocked = known_blocked;
  teams[lane.team].queue(lane.key.priority).lanes_to_search +=
      known_blocked ? -1 : 1;
}

void CellState::ClearSearchResult(Lane& lane) {
  lane.checked = GrowthLog::kNever;
  lane.last_blocked_sweep = 0;
  SetKnownBlocked(lane, false);
}

void CellState::ClearSearchResults(Team& team) {
  for (auto& [key, lane] : team.lanes) ClearSearchResult(lanes[lane]);
}

void CellState::DropReservation(Index job) {
  reservations.Drop(fleet, jobs[job], job);
}

}  // namespace azurepass::placement::internal
