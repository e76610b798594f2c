// All that a cell knows, and the transitions of its tasks: waiting, delayed,
// committed, preempting, done. Every transition keeps the counts, lists and
// indexes in step; who decides on transitions is elsewhere (decider.h,
// preemption.h).

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
#include "azurepass/placement/internal/decision_log.h"
#include "azurepass/placement/internal/fleet.h"
#include "azurepass/placement/internal/job.h"
#include "azurepass/placement/internal/known_failures.h"
#include "azurepass/placement/internal/reservations.h"
#include "azurepass/placement/internal/retry_budget.h"
#include "azurepass/placement/internal/run_times.h"
#include "azurepass/placement/internal/teams.h"

namespace azurepass::placement::internal {

// A task that may wait again at `at`. Stale when the job's number differs or
// the task is not delayed until then.
struct Delay {
  MonotonicTime at;
  TaskRef ref;
  int64_t job_number = 0;
  bool operator>(const Delay& other) const { return at > other.at; }
};

// A task told to checkpoint at `since`; stale like a Delay.
struct PendingCheckpoint {
  MonotonicTime since;
  TaskRef ref;
  int64_t job_number = 0;
};

class CellState {
 public:
  explicit CellState(const Options& options)
      : options(options), fleet(options.packing, options.quarantine) {}

  // --- Jobs.
  Index AddJob(const JobId& id, Index team, const JobSpec& spec,
               MonotonicTime accepted, std::optional<StartBy> start_by);
  void RemoveJob(Index job);
  Index FindJob(const JobId& id) const;
  // Returns nullptr when there is no such task.
  Task* FindTask(const TaskId& id, TaskRef* ref);

  // --- Transitions.
  // The job's next waiting task; requires job.waiting > 0.
  int32_t NextWaiting(Job& job) const;
  void Commit(TaskRef ref, Index worker, MonotonicTime now);
  // Ends a commitment; the task is done afterwards.
  void Uncommit(TaskRef ref);
  void Wait(TaskRef ref);                        // From done.
  void Delay(TaskRef ref, MonotonicTime until);  // From done.
  void Cancel(TaskRef ref);
  void StartPreempting(TaskRef ref, MonotonicTime now);
  // Lets delayed tasks wait again whose time has come.
  void EndDelays(MonotonicTime now);
  std::optional<MonotonicTime> NextDelay() const;
  // Moves jobs back whose time to start was missed.
  void EndTiers(MonotonicTime now);
  // The job's `permitted` were replaced, and hold until then.
  void SetPermitted(Index job, MonotonicTime until);
  // Takes jobs out of the queues whose permits are over.
  void EndPermits(MonotonicTime now);

  // --- Queues.
  // Puts the job into its team's queue, or takes it out, as it can start.
  void UpdateQueue(Index job);
  void Settle(Lane& lane, bool settled);
  // Forgets what blocked the lane's jobs, or all of the team's.
  void Forget(Lane& lane);
  void Unblock(Team& team);
  void DropReservation(Index job);

  Options options;
  Fleet fleet;
  Teams teams;
  std::vector<Job> jobs;  // By slot; a free slot has team kNone.
  std::vector<Lane> lanes;
  // Jobs that need permits and have tasks that wait or are delayed. Invariant:
  // the ranks are those in Job::permit_rank.
  std::set<std::pair<WaitingRank, Index>> permit_waiters;
  Reservations reservations;
  double reservation_time = 0;  // Virtual time of the latest one planned.
  RunTimes run_times;
  RetryBudget retry_budget;
  DecisionLog log;
  KnownFailures known_failures;
  std::deque<PendingCheckpoint> checkpoints;  // In order of `since`.
  int64_t queued = 0;                         // Tasks that wait or are delayed.
  int64_t committed = 0;                      // Tasks.
  MonotonicTime now;  // The latest time that was passed in.
  // Of the passes over the queues, one for each priority in each call.
  int64_t passes = 0;
  int64_t starts = 0;  // Made so far.
  // Calls of Decide that ran out of candidates, and the one that follows them,
  // are one sweep. It looks once at each lane of which nothing is remembered,
  // so that the first of these do not use up the candidates of every call.
  int64_t sweep = 1;
  // Starts made by the end of the latest pass of a priority, and when a pass
  // last looked at all lanes.
  struct PassEnd {
    int64_t starts = 0;
    MonotonicTime full_at;
  };
  PassEnd pass_end[kPriorities];

 private:
  // The task whose delay this is; nullptr when it is stale.
  Task* Delayed(const internal::Delay& delay);
  void EndDelay(const internal::Delay& delay);
  void UpdatePermitWaiters(Index job);
  void Enqueue(Index job);
  void Dequeue(Index job);
  Index LaneFor(const Job& job);
  // Re-sorts the lane among its team's after its first job changed.
  void Resort(Index lane, std::optional<int64_t> first_before);
  void CountSpread(Job& job, Index worker, int32_t tasks);

  absl::flat_hash_map<JobId, Index> job_ids_;
  std::vector<Index> free_jobs_;
  std::vector<Index> free_lanes_;
  int64_t last_number_ = 0;
  std::priority_queue<internal::Delay, std::vector<internal::Delay>,
                      std::greater<>>
      delays_;
  // Delays that are over but for a retry token, the first to be due in front.
  // Invariant: the budget was asked for a token since the last one was added.
  std::deque<internal::Delay> token_waiters_;
  // Something of a job ends; stale when the job's number differs.
  struct End {
    MonotonicTime at;
    Index job = kNone;
    int64_t job_number = 0;
    bool operator>(const End& other) const { return at > other.at; }
  };
  using Ends = std::priority_queue<End, std::vector<End>, std::greater<>>;
  Ends tier_ends_;
  Ends permit_ends_;  // Stale also when the job has later ones.
};

}  // namespace azurepass::placement::internal

#endif  // AZUREPASS_PLACEMENT_INTERNAL_CELL_STATE_H_
