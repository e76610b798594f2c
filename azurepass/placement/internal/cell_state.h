// The state of a cell and the transitions of its tasks: waiting, delayed,
// committed, preempting, done. Every transition keeps the counts, lists and
// indexes consistent. The decisions that lead to transitions are made in
// decider.h and preemption.h.

#ifndef AZUREPASS_PLACEMENT_INTERNAL_CELL_STATE_H_
#define AZUREPASS_PLACEMENT_INTERNAL_CELL_STATE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <queue>
#include <set>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "azurepass/placement/internal/allowance_holds.h"
#include "azurepass/placement/internal/decision_log.h"
#include "azurepass/placement/internal/failed_searches.h"
#include "azurepass/placement/internal/fleet.h"
#include "azurepass/placement/internal/job.h"
#include "azurepass/placement/internal/reservations.h"
#include "azurepass/placement/internal/retry_budget.h"
#include "azurepass/placement/internal/run_times.h"
#include "azurepass/placement/internal/teams.h"

namespace azurepass::placement::internal {

// A task whose delay ends at `at`. The entry is stale when the job's number
// differs or the task is not delayed until `at`.
struct Delay {
  MonotonicTime at;
  TaskRef ref;
  int64_t job_number = 0;
  bool operator>(const Delay& other) const { return at > other.at; }
};

// A task that was told to checkpoint at `since`. The entry is stale when the
// job's number differs or the task is not preempting since `since`.
struct PendingCheckpoint {
  MonotonicTime since;
  TaskRef ref;
  int64_t job_number = 0;
};

class CellState {
 public:
  explicit CellState(const Options& options)
      : options(options),
        fleet(options.packing, options.quarantine, options.speeds) {}

  // --- Jobs.
  Index AddJob(const JobId& id, Index team, const JobSpec& spec,
               MonotonicTime accepted, std::optional<StartBy> start_by);
  void RemoveJob(Index job);
  Index FindJob(const JobId& id) const;
  // Returns nullptr when there is no such task.
  Task* FindTask(const TaskId& id, TaskRef* ref);

  // --- Transitions.
  // Returns the job's next waiting task. Requires job.waiting > 0.
  int32_t NextWaiting(Job& job) const;
  void Commit(TaskRef ref, Index worker, MonotonicTime now);
  // Ends a commitment; the task is done afterwards.
  void Uncommit(TaskRef ref);
  void Wait(TaskRef ref);                        // From done.
  void Delay(TaskRef ref, MonotonicTime until);  // From done.
  void Cancel(TaskRef ref);
  void StartPreempting(TaskRef ref, MonotonicTime now);
  // Moves delayed tasks whose delay is over back to waiting, as far as retry
  // tokens allow.
  void EndDelays(MonotonicTime now);
  std::optional<MonotonicTime> NextDelay() const;
  // Raises the lateness (on time, late, overdue) of jobs that missed a start
  // deadline.
  void AdvanceLateness(MonotonicTime now);
  // Updates the queues after the job's `permitted` was replaced; the new
  // workers are valid until `until`.
  void SetPermitted(Index job, MonotonicTime until);
  // Removes jobs whose permits have expired from the queues.
  void ExpirePermits(MonotonicTime now);

  // --- Queues.
  // Adds the job to its team's queue when it is startable, else removes it.
  void UpdateQueue(Index job);
  // Sets Lane::known_blocked and keeps Team::Queue::lanes_to_search consistent.
  void SetKnownBlocked(Lane& lane, bool known_blocked);
  // Clears the lane's search result, so that its jobs are searched for again.
  void ClearSearchResult(Lane& lane);
  // Clears the search results of all lanes of the team.
  void ClearSearchResults(Team& team);
  void DropReservation(Index job);
  // Returns whether the open workers have room for all waiting tasks of a gang.
  // Considers room only, none of the gang's constraints.
  bool FitsGang(const Job& job) const;

  Options options;
  Fleet fleet;
  Teams teams;
  std::vector<Job> jobs;  // By slot; a free slot has team kNone.
  std::vector<Lane> lanes;
  // Jobs that need permits and have waiting or delayed tasks. Invariant: the
  // ranks equal Job::permit_rank.
  std::set<std::pair<WaitingRank, Index>> permit_waiters;
  Reservations reservations;
  AllowanceHolds allowance_holds;
  // The tasks that were started since the latest report to the cell or change
  // of `now`. Urgent jobs do not preempt them: they had their turn before.
  absl::flat_hash_set<TaskRef> started_now;
  bool urgent_blocked = false;  // An urgent job lacked room or allowance.
  // Virtual time of the fair queueing of reservations: the start tag of the
  // latest one; see Decider::PlanReservations.
  double reservation_time = 0;
  RunTimes run_times;
  RetryBudget retry_budget;
  DecisionLog log;
  FailedSearches failed_searches;
  std::deque<PendingCheckpoint> checkpoints;  // In order of `since`.
  int64_t queued = 0;                         // Tasks that wait or are delayed.
  int64_t committed = 0;                      // Tasks.
  MonotonicTime now;  // The latest time that a caller passed in.
  // Number of passes over the queues so far: one per priority in each call of
  // Decide.
  int64_t passes = 0;
  int64_t starts = 0;  // Number of starts so far.
  // Number of the current sweep. A sweep consists of consecutive calls of
  // Decide that ran out of candidates and the call after them. Each sweep
  // searches once for each lane without a stored search result. Otherwise the
  // first of these lanes would use up the candidates of every call.
  int64_t sweep = 1;
  // The value of `starts` at the end of the latest pass of a priority, and the
  // time of the latest pass that examined all lanes.
  struct PassEnd {
    int64_t starts = 0;
    MonotonicTime full_at;
  };
  PassEnd pass_end[kPriorities];

 private:
  // Returns the delayed task; nullptr when the entry is stale.
  Task* Delayed(const internal::Delay& delay);
  void EndDelay(const internal::Delay& delay);
  void UpdatePermitWaiters(Index job);
  void UpdateUnpermittedGangs(Index job);
  void Enqueue(Index job);
  void Dequeue(Index job);
  Index LaneFor(const Job& job);
  // Updates the lane's position in its team's queue after its first job may
  // have changed. `first_before` is the order of the first job before the
  // change; empty when the lane had no jobs. Frees the lane when it is empty.
  void Resort(Index lane, std::optional<int64_t> first_before);
  // Returns the position of such a job among late jobs; empty if its deadline
  // decides.
  std::optional<int64_t> LateOrderOf(const JobSpec& spec) const;
  // Adds `tasks` to the job's task counts by zone, rack and worker.
  void CountSpread(Job& job, Index worker, int32_t tasks);

  absl::flat_hash_map<JobId, Index> job_ids_;
  std::vector<Index> free_jobs_;
  std::vector<Index> free_lanes_;
  int64_t last_number_ = 0;
  std::priority_queue<internal::Delay, std::vector<internal::Delay>,
                      std::greater<>>
      delays_;
  // Delays that are over whose tasks still need a retry token, ordered by the
  // end of the delay. Invariant: RetryBudget::Take was called after the last
  // entry was added, which RetryBudget::Next requires.
  std::deque<internal::Delay> token_waiters_;
  // The end of a job's lateness or permits. Stale when the job's number
  // differs.
  struct End {
    MonotonicTime at;
    Index job = kNone;
    int64_t job_number = 0;
    bool operator>(const End& other) const { return at > other.at; }
  };
  using Ends = std::priority_queue<End, std::vector<End>, std::greater<>>;
  Ends lateness_changes_;
  Ends permit_ends_;  // Stale also when the job has permits that end later.
};

}  // namespace azurepass::placement::internal

#endif  // AZUREPASS_PLACEMENT_INTERNAL_CELL_STATE_H_
