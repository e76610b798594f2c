// Implements one call of Cell::Decide.
//
// A call does its work in this order:
//   1. Preempts tasks for lowered allowances and stops slow checkpoints.
//   2. Starts urgent tasks.
//   3. Preempts tasks to free room and allowance for urgent tasks that could
//      not start.
//   4. Starts normal tasks, then tasks of low priority. These leave alone the
//      allowance that is held for urgent tasks, and for gangs before them.
//   5. Plans reservations.
//
// Within a priority the teams take turns by the team order. In its turn a team
// starts the first of its jobs that can start, so that a blocked job does not
// block those behind it. A job that other jobs pass over for reservation_after
// gets a reservation, which prevents starvation.
//
// A lane is skipped without a search while the growth log shows no worker that
// gained room for it; see growth_log.h.

#ifndef AZUREPASS_PLACEMENT_INTERNAL_DECIDER_H_
#define AZUREPASS_PLACEMENT_INTERNAL_DECIDER_H_

#include <cstdint>
#include <utility>
#include <vector>

#include "azurepass/placement/internal/cell_state.h"
#include "azurepass/placement/internal/constrained_search.h"
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
        constrained_search_(state.fleet, search_),
        preemption_(state, search_, constrained_search_) {}

  std::vector<Decision> Run();

  // Returns true when the call ended early because its budget was used up.
  bool has_more() const { return has_more_; }

 private:
  enum class Turn { kStarted, kBlocked, kOutOfBudget };

  // The part of the fleet that the lane's next search has to examine.
  enum class Scope { kNothing, kCandidates, kAll };

  using TurnOf = std::pair<double, Index>;  // Key and team.

  void RunPriority(Priority priority);
  std::vector<TurnOf> Turns(Priority priority);
  double TurnKey(const Team& team, Priority priority) const;
  Turn TakeTurn(Index team, Priority priority);
  Turn TryLane(Index lane);
  // Returns true when the lane's latest search found no room and no worker that
  // gained room since has enough. Does not examine the lane's jobs.
  bool IsStillBlocked(const Lane& lane) const;
  // Returns false when no worker that gained room since `since` has room for
  // `size`.
  bool MayFitOnGrownWorker(const Resources& size,
                           GrowthLog::Position since) const;
  // Returns true when the lane has no stored search result and was searched for
  // without success earlier in this sweep.
  bool WasTriedInSweep(const Lane& lane) const;
  // Records that the lane found no room in this pass.
  void RecordBlocked(Index lane);
  // Returns whether the lane's jobs may get reservations. Constrained jobs may
  // not when they are urgent, since they preempt other tasks instead; when they
  // need permits, which expire before reserved room becomes free; and when they
  // are scavengers, which use only what others leave.
  bool MayReserve(const Lane& lane) const;
  bool WasPassedOver(const Lane& lane) const;
  void ApplyFailedSearch(Lane& lane, const Job& job) const;
  Turn TryJob(Index lane, Index job, Scope scope);
  SearchResult FindPlaces(Index job, Scope scope);
  // Tries to start jobs of the lane, other than `first`, that have
  // reservations. Returns true when one was started.
  bool TryReserved(Index lane, Index first, Scope scope);
  // Returns the scope of the lane's next search. For kCandidates, stores the
  // workers to examine in `candidates_`.
  Scope ScopeOf(Lane& lane);
  Scope ScopeOfGang(Lane& lane) const;
  Scope ScopeOfConstrained(const Lane& lane) const;
  void RecordFailedSearch(Lane& lane, Scope scope, SearchResult& found,
                          GrowthLog::Position end);
  void RecordFailedConstrainedSearch(Lane& lane, const SearchResult& found,
                                     GrowthLog::Position end);
  Turn Block(Index lane, WaitReason reason);
  WaitReason ReasonFor(const Team& team, const SearchResult& found) const;
  void StartAll(Index job, const SearchResult& found);
  void Start(Index job, const Place& place, const SearchResult& found);
  int64_t Record(const Job& job, const SearchResult& found, Index chosen);
  void MakeRoomForUrgent();
  void HoldAllowanceForRoom(Index job);
  void HoldAllowanceForGang(Index job);
  void MakeAllowanceForUrgent();
  void HoldAllowanceForGangs();
  // Returns true for an urgent job that could start with more allowance, and
  // for a gang that the allowance has room for.
  bool MayHoldAllowance(Index job) const;
  void ReviewAllowanceHolds();
  void ReviewReservations();
  // Returns true when the job could start a task if there were room for it.
  bool MayStart(Index job) const;
  // Returns true when the team's jobs may use the worker, apart from its room.
  bool IsUsable(Index worker, const Team& team) const;
  void PlanReservations();
  bool Plan(Index lane);

  CellState& state_;
  DecideBudget budget_;
  int64_t steps_;  // Remaining budget of candidates.
  Search search_;
  ConstrainedSearch constrained_search_;
  Preemption preemption_;
  std::vector<Decision> decisions_;
  std::vector<Index> blocked_urgent_;  // Urgent lanes that found no room.
  std::vector<Index> over_allowance_;  // Urgent lanes blocked by the allowance.
  std::vector<Index> starving_;        // Lanes that are due for a reservation.
  GrowthLog::Position pass_begin_ = 0;  // End of the growth log at pass begin.
  bool full_pass_ = false;              // This pass examines all lanes.
  std::vector<Index> candidates_;
  bool has_more_ = false;
  bool out_of_candidates_ = false;
};

}  // namespace azurepass::placement::internal

#endif  // AZUREPASS_PLACEMENT_INTERNAL_DECIDER_H_
