// One call of Cell::Decide.
//
// Order of work: what must leave (lowered allowances, slow checkpoints), then
// urgent tasks, then room and allowance for those urgent tasks that found none,
// then normal tasks, then low ones. Within a priority the teams take turns by
// the team order; a team whose turn it is starts the first of its jobs that can
// start, so that a blocked job holds nobody up. A job that others keep passing
// over for reservation_after gets a reservation, which is what keeps it from
// starving.
//
// A lane is skipped without a search while the growth log shows no worker that
// gained room for it; see growth_log.h.

#ifndef AZUREPASS_PLACEMENT_INTERNAL_DECIDER_H_
#define AZUREPASS_PLACEMENT_INTERNAL_DECIDER_H_

#include <cstdint>
#include <utility>
#include <vector>

#include "azurepass/placement/internal/cell_state.h"
#include "azurepass/placement/internal/narrow_search.h"
#include "azurepass/placement/internal/preemption.h"
#include "azurepass/placement/internal/search.h"

namespace azurepass::placement::internal {

class Decider {
 public:
  Decider(CellState& state, const DecideBudget& budget)
      : state_(state),
        budget_(budget),
        steps_(budget.candidates),
        search_(state.fleet, state.reservations, state.run_times),
        narrow_(state.fleet, search_),
        preemption_(state, narrow_) {}

  std::vector<Decision> Run();

  // True when the budget ended the call before the work was done.
  bool has_more() const { return has_more_; }

 private:
  enum class Turn { kStarted, kStuck, kOutOfBudget };

  // How much of the fleet the lane's next search has to look at.
  enum class Scope { kNothing, kCandidates, kAll };

  using TurnOf = std::pair<double, Index>;  // Key and team.

  void RunPriority(Priority priority);
  std::vector<TurnOf> Turns(Priority priority);
  double TurnKey(const Team& team, Priority priority) const;
  Turn TakeTurn(Index team, Priority priority);
  Turn TryLane(Index lane);
  // True when the lane found no room before and no worker that grew since has
  // enough; found without a look at the lane's jobs.
  bool IsSurelyBlocked(const Lane& lane) const;
  // False when no worker that grew since has room for `size`.
  bool MayFitGrown(const Resources& size, GrowthLog::Position since) const;
  // True when an earlier call of this sweep looked at it in vain.
  bool IsSwept(const Lane& lane) const;
  void NoteBlocked(Index lane);
  // Of narrow jobs not those that make room for themselves, whose permits end
  // sooner than room drains, or that take what others leave.
  bool MayReserve(const Lane& lane) const;
  bool WasPassedOver(const Lane& lane) const;
  void Inherit(Lane& lane, const Job& job) const;
  Turn TryJob(Index lane, Index job, Scope scope);
  Found Look(Index job, Scope scope);
  // Starts a job of the lane that is not its first, in room reserved for it.
  bool TryReserved(Index lane, Index first, Scope scope);
  // Puts the workers to look at into `candidates_`.
  Scope ScopeOf(Lane& lane);
  Scope ScopeOfGang(Lane& lane) const;
  Scope ScopeOfNarrow(const Lane& lane) const;
  void Remember(Lane& lane, Scope scope, Found& found, GrowthLog::Position end);
  void RememberNarrow(Lane& lane, const Found& found, GrowthLog::Position end);
  Turn Block(Index lane, WaitReason reason);
  WaitReason ReasonFor(const Team& team, const Found& found) const;
  void StartAll(Index job, const Found& found);
  void Start(Index job, const Place& place, const Found& found);
  int64_t Record(const Job& job, const Found& found, Index chosen);
  void MakeRoomForUrgent();
  void MakeAllowanceForUrgent();
  void ReviewReservations();
  // True when the job could start a task if there were room for it.
  bool MayStart(Index job) const;
  // True when the job may use the worker, its room apart.
  bool IsUsable(Index worker, const Team& team) const;
  void PlanReservations();
  bool Plan(Index lane);

  CellState& state_;
  DecideBudget budget_;
  int64_t steps_;  // Left of the candidates.
  Search search_;
  NarrowSearch narrow_;
  Preemption preemption_;
  std::vector<Decision> decisions_;
  std::vector<Index> stuck_urgent_;     // Lanes without room.
  std::vector<Index> over_allowance_;   // Urgent lanes, of their team's.
  std::vector<Index> starving_;         // Lanes that are due for a reservation.
  GrowthLog::Position pass_begin_ = 0;  // End of the growth log at its begin.
  bool full_pass_ = false;              // This pass looks at all lanes.
  std::vector<Index> candidates_;
  bool has_more_ = false;
  bool out_of_candidates_ = false;
};

}  // namespace azurepass::placement::internal

#endif  // AZUREPASS_PLACEMENT_INTERNAL_DECIDER_H_
