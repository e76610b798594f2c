// The cell's records of jobs and tasks. A task takes 48 bytes here, and 8 more
// in each of the lists of its worker and its team while it is committed.

#ifndef AZUREPASS_PLACEMENT_INTERNAL_JOB_H_
#define AZUREPASS_PLACEMENT_INTERNAL_JOB_H_

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "azurepass/placement/internal/interner.h"
#include "azurepass/placement/internal/speed_estimate.h"
#include "azurepass/placement/placement.h"

namespace azurepass::placement::internal {

// Refers to task `task` of the job in slot `job` of CellState::jobs.
struct TaskRef {
  Index job = kNone;
  int32_t task = 0;
  bool operator==(const TaskRef&) const = default;
  template <class H>
  friend H AbslHashValue(H h, const TaskRef& ref) {
    return H::combine(std::move(h), ref.job, ref.task);
  }
};

enum class TaskPhase : uint8_t {
  kWaiting,
  kDelayed,     // Waits for a backoff or a retry token.
  kCommitted,   // Holds its size on a worker.
  kPreempting,  // Committed, and told to stop.
  kDone,        // Ended or cancelled.
};

// Invariant: worker, on_worker and on_team are valid if and only if the phase
// is kCommitted or kPreempting.
struct Task {
  TaskPhase phase = TaskPhase::kWaiting;
  bool cancelled = false;      // Not to be queued again.
  bool needs_token = false;    // Delayed until there is a retry token.
  bool checkpointing = false;  // Preempted by a checkpoint, not yet by a stop.
  bool queued_again = false;   // Later attempts may continue an earlier one.
  uint8_t failures = 0;
  uint8_t losses = 0;
  uint8_t overuses = 0;  // Consecutive usage reports above the declared size.
  Index worker = kNone;
  int32_t on_worker = 0;  // Position in the worker's list.
  int32_t on_team = 0;    // Position in the team's list.
  // The time of the start, of the end of the delay, or of the preemption,
  // depending on the phase.
  MonotonicTime since;
  MonotonicTime ended;  // When its latest attempt ended.
};

// Tells which of a job's start deadlines have passed; see StartBy.
enum class Lateness : uint8_t { kOnTime, kLate, kOverdue };

// Returns the rank of a priority; lower ranks come first.
inline int RankOf(Priority priority) {
  switch (priority) {
    case Priority::kUrgent:
      return 0;
    case Priority::kNormal:
      return 1;
    case Priority::kLow:
      return 2;
  }
  return 2;
}

struct LatestStart {
  int32_t task = 0;
  Index worker = kNone;
  double score = 0;
  int64_t considered = 0;
  int64_t record_number = 0;  // Number of its input in the decision log.
};

// Counts the attempts that ended without being stopped or lost.
struct Outcomes {
  int32_t successes = 0;
  int32_t failures = 0;

  int32_t total() const { return successes + failures; }
  void Count(bool failed) { ++(failed ? failures : successes); }
};

// Invariants: waiting, delayed, committed and preempting count tasks by phase
// (committed includes preempting ones); every task before next_unstarted was
// started or cancelled before.
struct Job {
  JobId id;
  Index team = kNone;
  JobSpec spec;
  int64_t number = 0;  // Ascending in the order of AddJob; never reused.
  MonotonicTime accepted;
  std::optional<StartBy> start_by;
  Lateness lateness = Lateness::kOnTime;
  // Its position among late jobs, if the work decides it; see LeastWork.
  std::optional<int64_t> late_order;
  std::vector<Task> tasks;
  int32_t next_unstarted = 0;
  std::vector<int32_t> requeued;  // Waiting tasks that were started before.
  int32_t waiting = 0;
  int32_t delayed = 0;
  int32_t committed = 0;
  int32_t preempting = 0;
  Index lane = kNone;     // The lane it is in while it is startable.
  bool reserved = false;  // Has a reservation.
  // Committed tasks by zone and rack; kept for services and constrained jobs.
  absl::flat_hash_map<Index, int32_t> in_zone;
  absl::flat_hash_map<Index, int32_t> in_rack;
  // Used to compare workers. Invariant: `outcomes` is the sum of
  // `outcomes_by_worker`.
  Outcomes outcomes;
  absl::flat_hash_map<Index, Outcomes> outcomes_by_worker;
  // Of an atomic gang: its failed attempts, each counted once, and the start of
  // the latest.
  int32_t failed_attempts = 0;
  MonotonicTime failed_attempt_start{};
  PeerRunTimes run_times;
  std::optional<LatestStart> latest;
  // See Cell::SetPermitted. Invariant: `permitted` is sorted.
  std::vector<Index> permitted;
  MonotonicTime permitted_until{};
  bool permit_valid = false;  // Cleared by CellState::ExpirePermits.
  // Its rank in CellState::permit_waiters, if it is there.
  std::optional<WaitingRank> permit_rank;
  // Its rank in Team::unpermitted_gangs, if it is there.
  std::optional<WaitingRank> gang_rank;
  // The workers are examined for room for the gang at this time at the
  // earliest.
  MonotonicTime next_gang_check{};
  // Committed tasks by worker; kept for services and constrained jobs.
  absl::flat_hash_map<Index, int32_t> on_workers;

  bool is_service() const {
    return std::holds_alternative<ServicePolicy>(spec.policy);
  }
  bool is_gang() const {
    return std::holds_alternative<GangPolicy>(spec.policy);
  }
  bool is_atomic() const { return IsAtomicGang(spec); }
  // Returns whether some workers with room may not take the job's tasks. Search
  // results for a size do not apply to such a job; see constrained_search.h.
  bool is_constrained() const {
    return spec.constraints != Constraints{} || spec.scavenger ||
           spec.perpetual || is_atomic();
  }
  // Returns what a task takes of a worker's capacity.
  Resources room() const {
    Resources room = spec.task;
    if (spec.scavenger) room[Dimension::kMillicores] = 0;
    return room;
  }
  // Returns the effective priority. Overdue jobs have the lowest one, so that
  // they do not delay others.
  Priority priority() const {
    return lateness == Lateness::kOverdue ? Priority::kLow : spec.priority;
  }
  bool is_urgent() const { return priority() == Priority::kUrgent; }
  // Returns the position among the waiting jobs of its team and priority.
  int64_t order() const {
    if (!start_by) return number;
    const MonotonicTime by =
        lateness == Lateness::kOnTime ? start_by->on_time : start_by->late;
    constexpr int64_t kLatenessSpan = int64_t{1} << 56;  // Microseconds.
    if (lateness == Lateness::kLate && late_order) {
      return (static_cast<int64_t>(lateness) + 1) * kLatenessSpan + *late_order;
    }
    return (static_cast<int64_t>(lateness) + 1) * kLatenessSpan +
           std::chrono::duration_cast<std::chrono::microseconds>(
               by.time_since_epoch())
               .count();
  }
  // Returns the position among all waiting jobs.
  WaitingRank rank() const { return {RankOf(priority()), order()}; }
  // Returns whether the job can run at half the usual speed and still be on
  // time.
  bool has_slack(MonotonicTime now) const {
    return priority() == Priority::kLow && lateness == Lateness::kOnTime &&
           start_by && now + spec.declared_run_time <= start_by->on_time;
  }
  bool is_expired(MonotonicTime now) const {
    return spec.deadline.has_value() && now >= accepted + *spec.deadline;
  }
  // Returns whether the job waits for permits. Such a job is not queued, unless
  // it is urgent: allowance is freed for urgent jobs while they lack permits.
  bool lacks_permit() const {
    return spec.constraints.needs_permit && !permit_valid && waiting > 0 &&
           !is_urgent();
  }
  // Returns whether the job can start tasks if there is room and it has
  // permits. A gang can start only when none of its tasks is delayed or
  // preempting; an atomic gang only when none is committed either.
  bool is_ready() const {
    return waiting > 0 && (!is_gang() || (delayed == 0 && preempting == 0)) &&
           (!is_atomic() || committed == 0);
  }
  bool is_startable() const { return is_ready() && !lacks_permit(); }
};

// Returns whether `job` may preempt tasks of `other`: they have lower priority
// and keep their progress.
inline bool MayPreempt(const Job& job, const Job& other) {
  return RankOf(other.priority()) > RankOf(job.priority()) &&
         std::holds_alternative<BatchPolicy>(other.spec.policy) &&
         other.spec.repeatable && other.spec.checkpoints;
}

}  // namespace azurepass::placement::internal

#endif  // AZUREPASS_PLACEMENT_INTERNAL_JOB_H_
