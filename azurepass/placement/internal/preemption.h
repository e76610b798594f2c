// Chooses which running tasks have to leave: for a lowered allowance, and for
// urgent work that finds no room. A task told to leave keeps its room until the
// worker has confirmed that it is gone; a checkpoint comes first, and a plain
// stop only when it does not end within the grace period.
//
// Room for urgent work is taken only from teams above their fair share, from
// normal tasks that may be repeated and belong to no gang or service, the
// youngest first because they lose least; the room is reserved for the urgent
// job. A lowered allowance may take any task of its own team.
//
// A narrow job takes room only where it may run, from tasks of lower priority
// that keep their progress by themselves, whosever they are: they lose little
// more than the time until they start again.

#ifndef AZUREPASS_PLACEMENT_INTERNAL_PREEMPTION_H_
#define AZUREPASS_PLACEMENT_INTERNAL_PREEMPTION_H_

#include <optional>
#include <string>
#include <vector>

#include "azurepass/placement/internal/cell_state.h"
#include "azurepass/placement/internal/narrow_search.h"

namespace azurepass::placement::internal {

class Preemption {
 public:
  Preemption(CellState& state, const NarrowSearch& narrow)
      : state_(state), narrow_(narrow) {}

  // Answers lowered allowances.
  void EnforceAllowances(std::vector<Decision>& decisions, int64_t starts);

  // Follows up checkpoints that did not end.
  void EscalateCheckpoints(std::vector<Decision>& decisions);

  // Makes room for one task of an urgent job; false when it cannot.
  bool MakeRoom(Index job, std::vector<Decision>& decisions);

  // Takes tasks of lower priority that keep their progress off the workers,
  // until the limit of the job's team allows `wanted` more.
  void MakeAllowance(const Job& job, const Resources& wanted,
                     std::vector<Decision>& decisions);

 private:
  struct Eviction {
    Index worker = kNone;
    std::vector<TaskRef> victims;
  };

  void EnforceAllowance(Index team, std::vector<Decision>& decisions,
                        int64_t starts);
  void PreemptTask(TaskRef ref, const char* reason,
                   std::vector<Decision>& decisions);
  // With the whole gang when it belongs to one.
  void PreemptWhole(TaskRef ref, const char* reason,
                    std::vector<Decision>& decisions);
  std::vector<Index> TeamsAboveShare(Index but) const;
  bool IsVictim(TaskRef ref) const;
  std::optional<Eviction> FindEviction(Index victim_team, const Job& job);
  std::optional<Eviction> EvictionOn(Index worker, Index victim_team,
                                     const Job& job) const;

  // True for a task that leaves for `job` and keeps its progress.
  bool IsCheapFor(const Job& job, TaskRef ref) const;
  bool MakeNarrowRoom(Index job, std::vector<Decision>& decisions);
  std::optional<Eviction> CheapestOn(Index worker, const Job& job) const;
  // Reserves the room, expected to be free in that time.
  void Evict(Index job, const Eviction& eviction, Duration expected,
             Duration overdue, std::vector<Decision>& decisions);

  CellState& state_;
  const NarrowSearch& narrow_;
};

}  // namespace azurepass::placement::internal

#endif  // AZUREPASS_PLACEMENT_INTERNAL_PREEMPTION_H_
