// Implements the choice of tasks to preempt.

#include "azurepass/placement/internal/preemption.h"

#include <algorithm>
#include <utility>

namespace azurepass::placement::internal {
namespace {

// Maximum number of a team's running tasks that are examined to make room for
// one urgent task.
constexpr size_t kMaxVictimsExamined = 64;

// Duration of a reservation of preempted room for a constrained job. It is
// short because tasks that keep their progress stop at once, and the job's
// permits expire.
constexpr Duration kConstrainedReservation{1'500};

constexpr char kAllowanceLowered[] = "allowance_lowered";
constexpr char kRoomForUrgent[] = "room_for_urgent";
constexpr char kAllowanceForUrgent[] = "allowance_for_urgent";
constexpr char kCheckpointTooSlow[] = "checkpoint_too_slow";

}  // namespace

void Preemption::PreemptTask(TaskRef ref, const char* reason,
                             std::vector<Decision>& decisions) {
  Job& job = state_.jobs[ref.job];
  Task& task = job.tasks[ref.task];
  decisions.emplace_back(Preempt{.task = {job.id, ref.task},
                                 .vm = state_.fleet.worker(task.worker).vm,
                                 .checkpoint = true,
                                 .reason = reason});
  task.checkpointing = true;
  state_.StartPreempting(ref, state_.now);
}

void Preemption::PreemptWithGang(TaskRef ref, const char* reason,
                                 std::vector<Decision>& decisions) {
  const Job& job = state_.jobs[ref.job];
  if (!job.is_gang()) {
    PreemptTask(ref, reason, decisions);
    return;
  }
  for (int32_t t = 0; t < static_cast<int32_t>(job.tasks.size()); ++t) {
    if (job.tasks[t].phase == TaskPhase::kCommitted) {
      PreemptTask({.job = ref.job, .task = t}, reason, decisions);
    }
  }
}

// ---------------------------------------------------------------------------
// Lowered allowances

void Preemption::EnforceAllowances(std::vector<Decision>& decisions,
                                   int64_t starts) {
  for (Index team = 0; team < state_.teams.size(); ++team) {
    if (!state_.teams[team].check_allowance) continue;
    if (!state_.options.preempt_over_allowance) continue;
    EnforceAllowance(team, decisions, starts);
  }
}

void Preemption::EnforceAllowance(Index index, std::vector<Decision>& decisions,
                                  int64_t starts) {
  Team& team = state_.teams[index];
  const auto is_over = [&] {
    return !(team.committed - team.preempting).FitsIn(team.terms.allowance);
  };
  // Returns true when a task of the job uses a dimension above the allowance.
  const auto frees_excess = [&](const Job& job) {
    for (Dimension d : kAllDimensions) {
      const int64_t kept = team.committed[d] - team.preempting[d];
      if (kept > team.terms.allowance[d] && job.spec.task[d] > 0) return true;
    }
    return false;
  };
  // Repeatable tasks are preempted first; among these, the latest to start.
  for (const bool repeatable : {true, false}) {
    for (size_t i = team.running.size(); i-- > 0;) {
      if (!is_over()) break;
      if (static_cast<int64_t>(decisions.size()) >= starts) return;
      const TaskRef ref = team.running[i];
      const Job& job = state_.jobs[ref.job];
      if (job.tasks[ref.task].phase != TaskPhase::kCommitted) continue;
      if (job.spec.repeatable != repeatable || !frees_excess(job)) continue;
      PreemptWithGang(ref, kAllowanceLowered, decisions);
    }
  }
  team.check_allowance = false;
}

void Preemption::EscalateCheckpoints(std::vector<Decision>& decisions) {
  std::deque<PendingCheckpoint>& pending = state_.checkpoints;
  const MonotonicTime before = state_.now - state_.options.checkpoint_grace;
  while (!pending.empty() && pending.front().since <= before) {
    const PendingCheckpoint timed_out = pending.front();
    pending.pop_front();
    Job& job = state_.jobs[timed_out.ref.job];
    if (job.number != timed_out.job_number) continue;
    Task& task = job.tasks[timed_out.ref.task];
    const bool same = task.phase == TaskPhase::kPreempting &&
                      task.checkpointing && task.since == timed_out.since;
    if (!same) continue;
    task.checkpointing = false;
    decisions.emplace_back(Preempt{.task = {job.id, timed_out.ref.task},
                                   .vm = state_.fleet.worker(task.worker).vm,
                                   .checkpoint = false,
                                   .reason = kCheckpointTooSlow});
  }
}

// ---------------------------------------------------------------------------
// Room for urgent work

std::vector<Index> Preemption::TeamsAboveShare(Index except) const {
  std::vector<std::pair<double, Index>> above;
  double weights = 0;
  for (Index t = 0; t < state_.teams.size(); ++t) {
    const Team& team = state_.teams[t];
    if (team.active()) weights += Teams::WeightOf(team);
  }
  const Resources& capacity = state_.fleet.open_capacity();
  for (Index t = 0; t < state_.teams.size(); ++t) {
    const Team& team = state_.teams[t];
    if (t == except || team.running.empty()) continue;
    const double committed_share =
        (team.committed - team.preempting).DominantShare(capacity);
    const double excess = committed_share - Teams::WeightOf(team) / weights;
    if (excess > 0) above.emplace_back(-excess, t);
  }
  std::sort(above.begin(), above.end());
  std::vector<Index> teams;
  teams.reserve(above.size());
  for (const auto& [excess, team] : above) teams.push_back(team);
  return teams;
}

bool Preemption::IsVictim(TaskRef ref) const {
  const Job& job = state_.jobs[ref.job];
  return std::holds_alternative<BatchPolicy>(job.spec.policy) &&
         !state_.started_now.contains(ref) && !job.is_urgent() &&
         job.spec.repeatable &&
         job.tasks[ref.task].phase == TaskPhase::kCommitted;
}

// Returns the smallest number of the team's youngest tasks on the worker whose
// preemption makes room for a task of the job.
std::optional<Preemption::Eviction> Preemption::EvictionOn(
    Index index, Index victim_team, const Job& job) const {
  const Worker& worker = state_.fleet.worker(index);
  const auto since = [&](TaskRef ref) {
    return state_.jobs[ref.job].tasks[ref.task].since;
  };
  std::vector<TaskRef> victims;
  for (const TaskRef& ref : worker.tasks) {
    if (state_.jobs[ref.job].team == victim_team && IsVictim(ref)) {
      victims.push_back(ref);
    }
  }
  std::stable_sort(victims.begin(), victims.end(),
                   [&](TaskRef a, TaskRef b) { return since(a) > since(b); });
  Resources room = worker.free;
  Eviction eviction{.worker = index, .victims = {}};
  for (const TaskRef& ref : victims) {
    if (job.spec.task.FitsIn(room)) break;
    room += state_.jobs[ref.job].room();
    eviction.victims.push_back(ref);
  }
  if (!job.spec.task.FitsIn(room)) return std::nullopt;
  return eviction;
}

std::optional<Preemption::Eviction> Preemption::FindEviction(Index victim_team,
                                                             const Job& job) {
  const std::vector<TaskRef>& running = state_.teams[victim_team].running;
  const std::vector<Index>& zones = state_.teams[job.team].zones;
  const size_t examined = std::min(running.size(), kMaxVictimsExamined);
  std::optional<Eviction> best;
  for (size_t i = 0; i < examined; ++i) {
    const TaskRef ref = running[running.size() - 1 - i];
    if (!IsVictim(ref)) continue;
    const Index index = state_.jobs[ref.job].tasks[ref.task].worker;
    const Worker& worker = state_.fleet.worker(index);
    if (!state_.fleet.IsOpen(worker) || worker.reserved_by != kNone) continue;
    if (worker.health.state != HealthState::kInService) continue;
    if (!state_.fleet.zone(worker.zone).in_service) continue;
    if (std::find(zones.begin(), zones.end(), worker.zone) == zones.end()) {
      continue;
    }
    std::optional<Eviction> eviction = EvictionOn(index, victim_team, job);
    if (!eviction) continue;
    if (!best || eviction->victims.size() < best->victims.size()) {
      best = std::move(eviction);
    }
    if (best->victims.size() <= 1) break;
  }
  return best;
}

void Preemption::Evict(Index job_index, const Eviction& eviction,
                       Duration expected, Duration overdue,
                       std::vector<Decision>& decisions) {
  state_.reservations.Add(
      state_.fleet, state_.jobs[job_index], job_index,
      {{.at = state_.now + expected, .worker = eviction.worker}}, overdue);
  for (const TaskRef& ref : eviction.victims) {
    PreemptTask(ref, kRoomForUrgent, decisions);
  }
}

bool Preemption::IsPreemptibleFor(const Job& job, TaskRef ref) const {
  const Job& other = state_.jobs[ref.job];
  return MayPreempt(job, other) && !state_.started_now.contains(ref) &&
         other.tasks[ref.task].phase == TaskPhase::kCommitted;
}

// ---------------------------------------------------------------------------
// Allowance for urgent work

int32_t Preemption::CountPlaces(Index job_index,
                                const std::vector<TaskRef>& victims) const {
  const Job& job = state_.jobs[job_index];
  int32_t places = 0;
  for (const Index index :
       constrained_search_.Eligible(job, state_.teams[job.team], state_.now)) {
    const Worker& worker = state_.fleet.worker(index);
    if (worker.health.state != HealthState::kInService) continue;
    Resources room = search_.RoomFor(worker, job, job_index, state_.now);
    for (const TaskRef& ref : worker.tasks) {
      const Job& other = state_.jobs[ref.job];
      const bool ends =
          other.tasks[ref.task].phase == TaskPhase::kPreempting ||
          std::find(victims.begin(), victims.end(), ref) != victims.end();
      if (ends) room += other.room();
    }
    places += constrained_search_.FitsOn(job, index, room);
    if (places >= job.waiting) return job.waiting;
  }
  return places;
}

int32_t Preemption::CountPlacesToMake(Index job_index) const {
  const Job& job = state_.jobs[job_index];
  int32_t places = 0;
  for (const Index index :
       constrained_search_.Eligible(job, state_.teams[job.team], state_.now)) {
    const Index reserved_by = state_.fleet.worker(index).reserved_by;
    const bool makes_room =
        reserved_by == job_index ||
        (reserved_by == kNone && ConstrainedEvictionOn(index, job).has_value());
    places += makes_room ? 1 : 0;
    if (places >= job.waiting) return job.waiting;
  }
  return places;
}

int32_t Preemption::CountAllowed(Index index) const {
  const Job& job = state_.jobs[index];
  const Team& team = state_.teams[job.team];
  const AllowanceHold* own = state_.allowance_holds.Find(index);
  Resources left = team.terms.allowance - team.committed + team.preempting -
                   state_.allowance_holds.HeldForUrgent(job.team);
  if (own != nullptr) left += own->size * own->tasks;
  for (const TaskRef& ref : team.running) {
    if (IsPreemptibleFor(job, ref)) left += state_.jobs[ref.job].spec.task;
  }
  return TimesFits(job.spec.task, left, job.waiting);
}

std::vector<TaskRef> Preemption::AllowanceVictims(
    const Job& job, const Resources& wanted) const {
  const Team& team = state_.teams[job.team];
  Resources kept = team.committed - team.preempting + wanted;
  const auto fits = [&] { return kept.FitsIn(team.terms.allowance); };
  // The latest to start comes first.
  std::vector<TaskRef> victims;
  for (size_t i = team.running.size(); i-- > 0 && !fits();) {
    if (!IsPreemptibleFor(job, team.running[i])) continue;
    kept -= state_.jobs[team.running[i].job].spec.task;
    victims.push_back(team.running[i]);
  }
  // A task whose allowance the later ones made up for would start again.
  std::erase_if(victims, [&](const TaskRef& ref) {
    const Resources& size = state_.jobs[ref.job].spec.task;
    const bool spared = (kept + size).FitsIn(team.terms.allowance);
    if (spared) kept += size;
    return spared;
  });
  return victims;
}

void Preemption::MakeAllowance(Index index, std::vector<Decision>& decisions) {
  const Job& job = state_.jobs[index];
  AllowanceHolds& holds = state_.allowance_holds;
  const int32_t allowed = CountAllowed(index);
  const int32_t enough = job.is_gang() ? job.waiting : 1;
  if (allowed < enough) {
    holds.Lapse(index, state_.now);
    return;
  }
  const AllowanceHold* hold = holds.Find(index);
  const int32_t held = hold == nullptr ? 0 : hold->tasks;
  const bool paused = hold != nullptr && held == 0;
  const auto wanted = [&](int32_t tasks) {
    return holds.HeldForUrgent(job.team) + job.spec.task * (tasks - held);
  };
  int32_t tasks = held;
  if (held < allowed) tasks = std::max(held, CountPlaces(index, {}));
  if (tasks < enough && !paused) {
    if (!job.is_gang()) {
      tasks = CountPlacesToMake(index);
    } else {
      tasks = CountPlaces(index, AllowanceVictims(job, wanted(enough)));
    }
  }
  tasks = std::min(tasks, allowed);
  if (tasks < enough) return;
  holds.Hold(index, job, tasks, state_.now);
  for (const TaskRef& ref :
       AllowanceVictims(job, holds.HeldForUrgent(job.team))) {
    PreemptTask(ref, kAllowanceForUrgent, decisions);
  }
}

// Returns the tasks of lower priority on the worker whose preemption makes room
// for a task of the job; the largest are taken first, so that they are few.
std::optional<Preemption::Eviction> Preemption::ConstrainedEvictionOn(
    Index index, const Job& job) const {
  const Worker& worker = state_.fleet.worker(index);
  if (worker.health.state != HealthState::kInService) return std::nullopt;
  const auto size = [&](TaskRef ref) {
    return state_.jobs[ref.job].room()[Dimension::kMillicores];
  };
  std::vector<TaskRef> victims;
  Resources room = worker.free;
  for (const TaskRef& ref : worker.tasks) {
    const Job& other = state_.jobs[ref.job];
    // Tasks that are already preempting will free their room.
    const TaskPhase phase = other.tasks[ref.task].phase;
    if (phase == TaskPhase::kPreempting) room += other.room();
    if (!other.spec.scavenger && IsPreemptibleFor(job, ref))
      victims.push_back(ref);
  }
  std::stable_sort(victims.begin(), victims.end(),
                   [&](TaskRef a, TaskRef b) { return size(a) > size(b); });
  Eviction eviction{.worker = index, .victims = {}};
  for (const TaskRef& ref : victims) {
    if (job.room().FitsIn(room)) break;
    room += state_.jobs[ref.job].room();
    eviction.victims.push_back(ref);
  }
  if (!job.room().FitsIn(room)) return std::nullopt;
  return eviction;
}

bool Preemption::MakeConstrainedRoom(Index job_index,
                                     std::vector<Decision>& decisions) {
  const Job& job = state_.jobs[job_index];
  std::optional<Eviction> best;
  for (const Index index :
       constrained_search_.Eligible(job, state_.teams[job.team], state_.now)) {
    if (state_.fleet.worker(index).reserved_by != kNone) continue;
    std::optional<Eviction> eviction = ConstrainedEvictionOn(index, job);
    if (!eviction) continue;
    if (!best || eviction->victims.size() < best->victims.size()) {
      best = std::move(eviction);
    }
    if (best->victims.empty()) break;
  }
  if (!best) return false;
  Evict(job_index, *best, kConstrainedReservation, Duration(0), decisions);
  return true;
}

bool Preemption::MakeRoom(Index job_index, std::vector<Decision>& decisions) {
  Job& job = state_.jobs[job_index];
  const bool full = state_.reservations.IsFull(/*urgent=*/true);
  if (job.is_gang() || (!job.reserved && full)) return false;
  if (job.is_constrained()) return MakeConstrainedRoom(job_index, decisions);
  for (Index team : TeamsAboveShare(job.team)) {
    const std::optional<Eviction> eviction = FindEviction(team, job);
    if (!eviction) continue;
    Evict(job_index, *eviction, state_.options.checkpoint_grace,
          Reservations::kDropAfter, decisions);
    return true;
  }
  return false;
}

}  // namespace azurepass::placement::internal
