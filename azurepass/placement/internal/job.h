// Jobs and tasks as the cell keeps them. A task takes 48 bytes here, and 8
// more in each of the lists of its worker and its team while it is committed.

#ifndef AZUREPASS_PLACEMENT_INTERNAL_JOB_H_
#define AZUREPASS_PLACEMENT_INTERNAL_JOB_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "azurepass/placement/internal/interner.h"
#include "azurepass/placement/placement.h"

namespace azurepass::placement::internal {

// Task `task` of the job in slot `job`.
struct TaskRef {
  Index job = kNone;
  int32_t task = 0;
  bool operator==(const TaskRef&) const = default;
};

enum class TaskPhase : uint8_t {
  kWaiting,
  kDelayed,     // Waits for a backoff or a retry token.
  kCommitted,   // Holds its size on a worker.
  kPreempting,  // Committed, and told to leave.
  kDone,        // Ended or cancelled.
};

// Invariant: worker, on_worker and on_team are valid exactly in kCommitted and
// kPreempting.
struct Task {
  TaskPhase phase = TaskPhase::kWaiting;
  bool cancelled = false;      // Not to be queued again.
  bool no_token = false;       // Delayed for want of a retry token.
  bool checkpointing = false;  // Preempted by checkpoint so far.
  uint8_t failures = 0;
  uint8_t losses = 0;
  uint8_t overuses = 0;  // Usage reports in a row above the declared size.
  Index worker = kNone;
  int32_t on_worker = 0;  // Position in the worker's list.
  int32_t on_team = 0;    // Position in the team's list.
  MonotonicTime since;    // Start; end of the delay; order to leave.
  MonotonicTime ended;    // When its latest attempt ended.
};

// What a start is still good for; see StartBy.
enum class Tier : uint8_t { kOnTime, kLate, kOverdue };

// The place of a priority among the others.
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
  int64_t recorded = 0;  // Number of its input in the decision log.
};

// How attempts ended by themselves.
struct Outcomes {
  int32_t successes = 0;
  int32_t failures = 0;

  int32_t total() const { return successes + failures; }
  void Count(bool failed) { ++(failed ? failures : successes); }
};

// Invariants: waiting, delayed, committed and preempting count the tasks in
// these phases; tasks before next_fresh were started or cancelled once.
struct Job {
  JobId id;
  Index team = kNone;
  JobSpec spec;
  int64_t number = 0;  // Grows with each job accepted; never used twice.
  MonotonicTime accepted;
  std::optional<StartBy> start_by;
  Tier tier = Tier::kOnTime;
  std::vector<Task> tasks;
  int32_t next_fresh = 0;
  std::vector<int32_t> again;  // Tasks that wait after having been started.
  int32_t waiting = 0;
  int32_t delayed = 0;
  int32_t committed = 0;
  int32_t preempting = 0;
  Index lane = kNone;     // Where it queues while it is startable.
  bool reserved = false;  // Has a reservation.
  // Where a service's tasks are.
  absl::flat_hash_map<Index, int32_t> in_zone;
  absl::flat_hash_map<Index, int32_t> in_rack;
  // For the comparison of workers. Invariant: `outcomes` is the sum of
  // `outcomes_by_worker`.
  Outcomes outcomes;
  absl::flat_hash_map<Index, Outcomes> outcomes_by_worker;
  std::optional<LatestStart> latest;
  // See Cell::SetPermitted. Invariant: `permitted` is sorted.
  std::vector<Index> permitted;
  MonotonicTime permitted_until{};
  bool permit_valid = false;  // Until CellState::EndPermits finds it over.
  // Its place in CellState::permit_waiters, if it is there.
  std::optional<WaitingRank> permit_rank;
  // Tasks on each worker; kept for narrow jobs.
  absl::flat_hash_map<Index, int32_t> on_workers;

  bool is_service() const {
    return std::holds_alternative<ServicePolicy>(spec.policy);
  }
  bool is_gang() const {
    return std::holds_alternative<GangPolicy>(spec.policy);
  }
  // One attempt of all tasks together; see GangPolicy::atomic.
  bool is_atomic() const {
    const auto* gang = std::get_if<GangPolicy>(&spec.policy);
    return gang != nullptr && gang->atomic;
  }
  // Not every worker with room may take it, so that what is found out about a
  // size says nothing about it; see narrow_search.h.
  bool is_narrow() const {
    return spec.constraints != Constraints{} || spec.scavenger ||
           spec.perpetual || is_atomic();
  }
  // What a task takes of a worker's capacity.
  Resources room() const {
    Resources room = spec.task;
    if (spec.scavenger) room[Dimension::kMillicores] = 0;
    return room;
  }
  // As it counts now: what is overdue holds nobody up.
  Priority priority() const {
    return tier == Tier::kOverdue ? Priority::kLow : spec.priority;
  }
  bool is_urgent() const { return priority() == Priority::kUrgent; }
  // Where it waits among the jobs of its team and priority.
  int64_t order() const {
    if (!start_by) return number;
    const MonotonicTime by =
        tier == Tier::kOnTime ? start_by->on_time : start_by->late;
    constexpr int64_t kTierSpan = int64_t{1} << 56;  // Microseconds.
    return (static_cast<int64_t>(tier) + 1) * kTierSpan +
           std::chrono::duration_cast<std::chrono::microseconds>(
               by.time_since_epoch())
               .count();
  }
  // Where it waits among all jobs.
  WaitingRank rank() const { return {RankOf(priority()), order()}; }
  bool is_expired(MonotonicTime now) const {
    return spec.deadline.has_value() && now >= accepted + *spec.deadline;
  }
  // Waits, and cannot start before it has permits: it does not queue. Urgent
  // jobs do, because allowance is made for them meanwhile.
  bool lacks_permit() const {
    return spec.constraints.needs_permit && !permit_valid && waiting > 0 &&
           !is_urgent();
  }
  // A gang starts only when none of its tasks is on its way back; an atomic one
  // only when none is committed either.
  bool is_startable() const {
    return waiting > 0 && !lacks_permit() &&
           (!is_gang() || (delayed == 0 && preempting == 0)) &&
           (!is_atomic() || committed == 0);
  }
};

}  // namespace azurepass::placement::internal

#endif  // AZUREPASS_PLACEMENT_INTERNAL_JOB_H_
