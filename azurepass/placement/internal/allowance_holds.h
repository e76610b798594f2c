// Allowance that is held for jobs that are about to start.
//
// The load that this answers: a client account at its upper limit, with urgent
// work that needs permits, beside wide steps of normal priority. Allowance that
// tasks of the account are preempted for is free before the urgent work can
// take it: some of these tasks had not been ordered yet, others end one by one.
// Without a hold the normal work takes it back in the same pass, and is
// preempted again in the next one, for as long as the urgent work is blocked.
//
// A gang that waits for permits gets a hold too, once the allowance has room
// for it: the broker may have granted that room for the gang, and smaller jobs
// behind it, which need no permits, would use it up meanwhile.
//
// A hold is bounded in time, as a reservation of room is. A job that did not
// start until then, because others took the room that it counted on, gets no
// other hold during a pause that is as long, unless it has room or new permits.

#ifndef AZUREPASS_PLACEMENT_INTERNAL_ALLOWANCE_HOLDS_H_
#define AZUREPASS_PLACEMENT_INTERNAL_ALLOWANCE_HOLDS_H_

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "azurepass/placement/internal/job.h"

namespace azurepass::placement::internal {

// Invariant: `tasks` is positive until the hold has lapsed, then 0.
struct AllowanceHold {
  Index team = kNone;
  Resources size;  // Of one task.
  int32_t tasks = 0;
  MonotonicTime ends;  // Of the hold or, after that, of the pause.
  // Urgent jobs hold from all jobs that are not urgent, gangs from the jobs
  // behind them.
  bool urgent = false;
  WaitingRank rank;

  // Long enough for the preempted tasks to end: they keep their progress, so
  // that they stop at once.
  static constexpr Duration kMaxUrgentTime{1'500};
  // Longer than the permit service may take for an answer.
  static constexpr Duration kMaxGangTime{3'000};
  Duration max_time() const { return urgent ? kMaxUrgentTime : kMaxGangTime; }
};

class AllowanceHolds {
 public:
  // Returns nullptr if the job has neither a hold nor a pause.
  const AllowanceHold* Find(Index job) const {
    const auto found = by_job_.find(job);
    return found == by_job_.end() ? nullptr : &found->second;
  }
  bool IsHeldFor(Index job) const {
    const AllowanceHold* hold = Find(job);
    return hold != nullptr && hold->tasks > 0;
  }

  // Holds allowance for `tasks` of the job's tasks. Does not prolong a hold
  // that the job has. Requires tasks > 0.
  void Hold(Index index, const Job& job, int32_t tasks, MonotonicTime now) {
    AllowanceHold& hold = by_job_[index];
    if (hold.tasks == 0) {
      hold = {.team = job.team,
              .size = job.spec.task,
              .tasks = 0,
              .ends = {},
              .urgent = job.is_urgent(),
              .rank = job.rank()};
      hold.ends = now + hold.max_time();
      if (!hold.urgent) by_team_[job.team].gangs.push_back(index);
    }
    SetTasks(index, hold, tasks);
  }
  // Called when a task of the job starts.
  void OnStarted(Index job) {
    const auto found = by_job_.find(job);
    if (found == by_job_.end() || found->second.tasks == 0) return;
    SetTasks(job, found->second, found->second.tasks - 1);
    if (found->second.tasks == 0) by_job_.erase(found);
  }
  // Ends the job's hold or pause.
  void Drop(Index job) {
    const auto found = by_job_.find(job);
    if (found == by_job_.end()) return;
    SetTasks(job, found->second, 0);
    by_job_.erase(found);
  }
  // Ends the job's hold before its time.
  void Lapse(Index job, MonotonicTime now) {
    const auto found = by_job_.find(job);
    if (found == by_job_.end() || found->second.tasks == 0) return;
    SetTasks(job, found->second, 0);
    found->second.ends = now + found->second.max_time();
  }
  // Ends holds and pauses that are over. `most(job)` returns the number of
  // tasks that the job may hold allowance for; if it is 0, its pause ends too.
  template <class Most>
  void Review(MonotonicTime now, Most most) {
    for (auto it = by_job_.begin(); it != by_job_.end();) {
      const Index job = it->first;
      AllowanceHold& hold = it->second;
      ++it;
      const int32_t limit = most(job);
      const bool over = now >= hold.ends;
      if (limit == 0 || (hold.tasks == 0 && over)) {
        Drop(job);
      } else if (over) {
        Lapse(job, now);
      } else if (hold.tasks > limit) {
        SetTasks(job, hold, limit);
      }
    }
  }

  // Returns the sum of the holds of the team's urgent jobs.
  Resources HeldForUrgent(Index team) const {
    const auto held = by_team_.find(team);
    return held == by_team_.end() ? Resources() : held->second.for_urgent;
  }
  // Returns what is held from the job.
  Resources HeldFrom(const Job& job) const {
    const auto found = by_team_.find(job.team);
    if (job.is_urgent() || found == by_team_.end()) return Resources();
    Resources held = found->second.for_urgent;
    for (const Index gang : found->second.gangs) {
      const AllowanceHold& hold = by_job_.at(gang);
      if (hold.rank < job.rank()) held += hold.size * hold.tasks;
    }
    return held;
  }
  // Returns the next time at which a hold or a pause ends.
  std::optional<MonotonicTime> NextEnd() const {
    std::optional<MonotonicTime> next;
    for (const auto& [job, hold] : by_job_) {
      next = next ? std::min(*next, hold.ends) : hold.ends;
    }
    return next;
  }

 private:
  // Invariants: the sum of size * tasks of the team's urgent jobs; its other
  // jobs with tasks.
  struct TeamHolds {
    Resources for_urgent;
    std::vector<Index> gangs;
  };

  void SetTasks(Index job, AllowanceHold& hold, int32_t tasks) {
    TeamHolds& team = by_team_[hold.team];
    if (hold.urgent) team.for_urgent += hold.size * (tasks - hold.tasks);
    if (tasks == 0) std::erase(team.gangs, job);
    hold.tasks = tasks;
  }

  std::map<Index, AllowanceHold> by_job_;
  absl::flat_hash_map<Index, TeamHolds> by_team_;
};

}  // namespace azurepass::placement::internal

#endif  // AZUREPASS_PLACEMENT_INTERNAL_ALLOWANCE_HOLDS_H_
