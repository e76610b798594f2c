// Chooses which running tasks are preempted for a lowered allowance and for
// urgent tasks that find no room. A preempted task keeps its room until the
// worker has confirmed that it ended. It is first asked to checkpoint, and is
// stopped only when the checkpoint does not end within the grace period.
//
// Room for urgent tasks is taken only from teams above their fair share. Their
// repeatable batch tasks that are not urgent are preempted, the youngest first
// because they lose the least work. The room is reserved for the urgent job.
// For a lowered allowance, any task of the team itself may be preempted.
//
// A constrained job gets room only on workers that it may use. It preempts
// batch tasks of lower priority, of any team, that checkpoint by themselves:
// these lose little more than the time until they start again.

#ifndef AZUREPASS_PLACEMENT_INTERNAL_PREEMPTION_H_
#define AZUREPASS_PLACEMENT_INTERNAL_PREEMPTION_H_

#include <optional>
#include <string>
#include <vector>

#include "azurepass/placement/internal/cell_state.h"
#include "azurepass/placement/internal/constrained_search.h"

namespace azurepass::placement::internal {

class Preemption {
 public:
  Preemption(CellState& state, const Search& search,
             const ConstrainedSearch& constrained_search)
      : state_(state),
        search_(search),
        constrained_search_(constrained_search) {}

  // Preempts tasks of teams that are above a lowered allowance. Stops when
  // there are `starts` decisions.
  void EnforceAllowances(std::vector<Decision>& decisions, int64_t starts);

  // Stops tasks whose checkpoints did not end within the grace period.
  void EscalateCheckpoints(std::vector<Decision>& decisions);

  // Makes room for one task of an urgent job. Returns false when it cannot.
  bool MakeRoom(Index job, std::vector<Decision>& decisions);

  // Preempts tasks of the constrained job's team that have lower priority and
  // keep their progress, as far as the job can start with their allowance, and
  // holds that allowance for it. Preempts none where that isn't enough.
  void MakeAllowance(Index job, std::vector<Decision>& decisions);

  // Returns how many of the constrained job's waiting tasks there is room for
  // once the victims, and all tasks that were preempted before, have ended.
  int32_t CountPlaces(Index job, const std::vector<TaskRef>& victims) const;

 private:
  struct Eviction {
    Index worker = kNone;
    std::vector<TaskRef> victims;
  };

  void EnforceAllowance(Index team, std::vector<Decision>& decisions,
                        int64_t starts);
  void PreemptTask(TaskRef ref, const char* reason,
                   std::vector<Decision>& decisions);
  // Preempts the task, and the rest of its gang if it belongs to one.
  void PreemptWithGang(TaskRef ref, const char* reason,
                       std::vector<Decision>& decisions);
  std::vector<Index> TeamsAboveShare(Index except) const;
  bool IsVictim(TaskRef ref) const;
  std::optional<Eviction> FindEviction(Index victim_team, const Job& job);
  std::optional<Eviction> EvictionOn(Index worker, Index victim_team,
                                     const Job& job) const;

  // Returns how many of the job's waiting tasks room was reserved for, or can
  // be made for.
  int32_t CountPlacesToMake(Index job) const;
  // Returns the number of the job's tasks for which allowance can be made.
  int32_t CountAllowed(Index job) const;
  // Returns tasks that the job may preempt, whose preemption leaves `wanted` of
  // the team's allowance. None of them can be spared.
  std::vector<TaskRef> AllowanceVictims(const Job& job,
                                        const Resources& wanted) const;
  // Returns true for a running task that `job` may preempt and that keeps its
  // progress.
  bool IsPreemptibleFor(const Job& job, TaskRef ref) const;
  bool MakeConstrainedRoom(Index job, std::vector<Decision>& decisions);
  std::optional<Eviction> ConstrainedEvictionOn(Index worker,
                                                const Job& job) const;
  // Preempts the victims and reserves their worker for the job. The room is
  // expected to be free after `expected`; the reservation ends `overdue` later.
  void Evict(Index job, const Eviction& eviction, Duration expected,
             Duration overdue, std::vector<Decision>& decisions);

  CellState& state_;
  const Search& search_;
  const ConstrainedSearch& constrained_search_;
};

}  // namespace azurepass::placement::internal

#endif  // AZUREPASS_PLACEMENT_INTERNAL_PREEMPTION_H_
