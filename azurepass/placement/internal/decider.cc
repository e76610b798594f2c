// Implements the turns of teams, the searches for lanes, starts, and the
// planning of reservations.

#include "azurepass/placement/internal/decider.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <tuple>

namespace azurepass::placement::internal {
namespace {

// Maximum number of attempts to make room for an urgent task in one call.
constexpr int kMaxEvictionsPerCall = 32;

// Maximum number of constrained jobs in one call for which no room was made.
constexpr int kMaxFailedEvictionsPerCall = 8;

// Maximum number of workers with gained room that are examined to show that a
// size is still blocked.
constexpr int64_t kMaxGrownWorkersExamined = 64;

// A pass may skip teams whose jobs are all known to be blocked, but for no
// longer than this.
constexpr Duration kTimeBetweenFullPasses{500};

// Backfill into a reservation's workers ends at most this long after the
// reservation was planned.
constexpr Duration kMaxBackfillTime{10'000};

// Maximum number of reservations planned in one call.
constexpr int kMaxPlansPerCall = 1;

// Maximum number of a team's gangs that are examined for a hold in one call.
constexpr int kMaxGangsExamined = 4;

// Time between two examinations of all workers for room for one gang.
constexpr Duration kTimeBetweenGangChecks{100};

// Maximum number of workers examined one by one; above it, the index is
// searched.
constexpr size_t kMaxCandidates = 64;

bool IsLackOfRoom(WaitReason reason) {
  return reason == WaitReason::kNoRoom || reason == WaitReason::kGangIncomplete;
}

}  // namespace

std::vector<Decision> Decider::Run() {
  preemption_.EnforceAllowances(decisions_, budget_.decisions);
  preemption_.EscalateCheckpoints(decisions_);
  ReviewReservations();
  ReviewAllowanceHolds();
  RunPriority(Priority::kUrgent);
  if (!has_more_) MakeRoomForUrgent();
  if (!has_more_) MakeAllowanceForUrgent();
  HoldAllowanceForGangs();
  if (!has_more_) RunPriority(Priority::kNormal);
  if (!has_more_) RunPriority(Priority::kLow);
  PlanReservations();
  if (!out_of_candidates_) ++state_.sweep;
  state_.urgent_blocked = !blocked_urgent_.empty() || !over_allowance_.empty();
  return std::move(decisions_);
}

// ---------------------------------------------------------------------------
// Turns

double Decider::TurnKey(const Team& team, Priority priority) const {
  return std::visit(
      Visitor{
          [&](const FairOrder&) {
            return team.committed.DominantShare(state_.fleet.open_capacity()) /
                   Teams::WeightOf(team);
          },
          [&](const SubmissionOrder&) {
            const auto& lanes = team.queue(priority).lanes;
            return lanes.empty() ? 0.0
                                 : static_cast<double>(lanes.begin()->first);
          }},
      state_.options.order);
}

// Returns the teams that have jobs of this priority, as a heap whose front is
// the team with the next turn.
std::vector<Decider::TurnOf> Decider::Turns(Priority priority) {
  const int64_t starts_before =
      state_.pass_end[static_cast<int>(priority)].starts;
  std::vector<TurnOf> turns;
  for (Index t = 0; t < state_.teams.size(); ++t) {
    Team& team = state_.teams[t];
    Team::Queue& queue = team.queue(priority);
    if (queue.lanes.empty()) continue;
    if (queue.starts_when_blocked < starts_before)
      queue.passed_over_pass = state_.passes;
    turns.emplace_back(TurnKey(team, priority), t);
  }
  std::make_heap(turns.begin(), turns.end(), std::greater<>());
  return turns;
}

void Decider::RunPriority(Priority priority) {
  ++state_.passes;
  CellState::PassEnd& end = state_.pass_end[static_cast<int>(priority)];
  full_pass_ = state_.now - end.full_at >= kTimeBetweenFullPasses;
  pass_begin_ = state_.fleet.growth().end();
  std::vector<TurnOf> turns = Turns(priority);
  while (!turns.empty() && !has_more_) {
    std::pop_heap(turns.begin(), turns.end(), std::greater<>());
    const Index index = turns.back().second;
    turns.pop_back();
    const Turn turn = TakeTurn(index, priority);
    Team& team = state_.teams[index];
    Team::Queue& queue = team.queue(priority);
    has_more_ = turn == Turn::kOutOfBudget;
    queue.starts_when_blocked =
        turn == Turn::kBlocked ? state_.starts : Team::kNoTurn;
    if (turn != Turn::kStarted || queue.lanes.empty()) continue;
    turns.emplace_back(TurnKey(team, priority), index);
    std::push_heap(turns.begin(), turns.end(), std::greater<>());
  }
  end.starts = state_.starts;
  if (full_pass_ && !has_more_) end.full_at = state_.now;
}

Decider::Turn Decider::TakeTurn(Index team, Priority priority) {
  if (static_cast<int64_t>(decisions_.size()) >= budget_.decisions) {
    return Turn::kOutOfBudget;
  }
  Team::Queue& queue = state_.teams[team].queue(priority);
  if (queue.lanes_to_search == 0 && !full_pass_ &&
      !MayFitOnGrownWorker(queue.min_size, queue.checked)) {
    queue.checked = pass_begin_;
    return Turn::kBlocked;
  }
  Resources min_size = kUnlimited;
  bool passes_over = false;  // Jobs earlier in the queue are blocked.
  for (const auto& [number, index] : queue.lanes) {
    const Lane& lane = state_.lanes[index];
    min_size = Resources::Min(min_size, lane.key.size);
    const bool tried = lane.last_blocked_pass == state_.passes;
    if (tried || IsStillBlocked(lane)) {
      if (!tried) RecordBlocked(index);
      passes_over = true;
      continue;
    }
    if (WasTriedInSweep(lane)) {
      Block(index, lane.reason);
      passes_over = true;
      continue;
    }
    const Turn turn = TryLane(index);  // kStarted invalidates the iterators.
    if (turn == Turn::kStarted && passes_over) {
      queue.passed_over_pass = state_.passes;
    }
    if (turn != Turn::kBlocked) return turn;
    passes_over = true;
  }
  queue.min_size = min_size;
  queue.checked = pass_begin_;
  return Turn::kBlocked;
}

// ---------------------------------------------------------------------------
// Searches

bool Decider::MayFitOnGrownWorker(const Resources& size,
                                  GrowthLog::Position since) const {
  const GrowthLog& growth = state_.fleet.growth();
  if (!growth.Covers(since) ||
      growth.end() - since > kMaxGrownWorkersExamined) {
    return true;
  }
  bool fits = false;
  growth.ForEachSince(since, [&](Index w) {
    fits |= size.FitsIn(state_.fleet.worker(w).free);
  });
  return fits;
}

bool Decider::IsStillBlocked(const Lane& lane) const {
  if (!lane.known_blocked) return false;
  const Team::Queue& queue = state_.teams[lane.team].queue(lane.key.priority);
  return !MayFitOnGrownWorker(lane.key.size,
                              std::max(lane.checked, queue.checked));
}

bool Decider::WasTriedInSweep(const Lane& lane) const {
  return lane.checked == GrowthLog::kNever &&
         lane.last_blocked_sweep == state_.sweep;
}

void Decider::RecordBlocked(Index index) {
  Lane& lane = state_.lanes[index];
  lane.last_blocked_pass = state_.passes;
  if (lane.checked != GrowthLog::kNever) {
    lane.checked = state_.fleet.growth().end();
  }
  state_.SetKnownBlocked(
      lane, lane.checked != GrowthLog::kNever && lane.held_back.empty());
  if (!lane.blocked_since) {
    lane.blocked_since = state_.now;
    lane.first_blocked_pass = state_.passes;
  }
  if (MayReserve(lane) && WasPassedOver(lane) &&
      state_.now - *lane.blocked_since >= state_.options.reservation_after) {
    starving_.push_back(index);
  }
  if (lane.key.priority == Priority::kUrgent) blocked_urgent_.push_back(index);
}

bool Decider::MayReserve(const Lane& lane) const {
  if (lane.key.constrained_job == 0) return true;
  const JobSpec& spec = state_.jobs[lane.jobs.begin()->second].spec;
  return lane.key.priority != Priority::kUrgent &&
         !spec.constraints.needs_permit && !spec.scavenger;
}

bool Decider::WasPassedOver(const Lane& lane) const {
  const Team::Queue& queue = state_.teams[lane.team].queue(lane.key.priority);
  return lane.blocked_since && queue.passed_over_pass > lane.first_blocked_pass;
}

// Applies the result of a failed search for a size that is no larger.
void Decider::ApplyFailedSearch(Lane& lane, const Job& job) const {
  const FailedSearch* failed = state_.failed_searches.Find(
      lane.key.size, state_.teams[lane.team].zones, state_.fleet.growth());
  if (failed == nullptr) return;
  // Workers that were held back may have room for some of the gang's tasks.
  if (job.is_gang() && !failed->held_back.empty()) return;
  lane.checked = failed->at;
  lane.held_back = failed->held_back;
  lane.missing = job.waiting;
  lane.gained = 0;
  lane.reason = WaitReason::kNoRoom;
}

// Adds up an upper bound of the gang's tasks that fit on workers that gained
// room. No search is needed until the bound reaches the missing tasks.
Decider::Scope Decider::ScopeOfGang(Lane& lane) const {
  const GrowthLog& growth = state_.fleet.growth();
  growth.ForEachSince(lane.checked, [&](Index w) {
    const Worker& worker = state_.fleet.worker(w);
    if (!state_.fleet.IsOpen(worker)) return;
    lane.gained += TimesFits(lane.key.size, worker.free, kMaxTasksPerJob);
  });
  lane.checked = growth.end();
  if (lane.gained < lane.missing) return Scope::kNothing;
  // The lane has to be searched for, which the budget may defer to a later
  // call.
  state_.SetKnownBlocked(lane, false);
  return Scope::kAll;
}

// A constrained job that found no room needs a new search only when a worker
// that it may use gained enough room.
Decider::Scope Decider::ScopeOfConstrained(const Lane& lane) const {
  const Job& job = state_.jobs[lane.jobs.begin()->second];
  const bool needs_permit = job.spec.constraints.needs_permit;
  if (needs_permit && !job.permit_valid) return Scope::kAll;
  bool fits = false;
  state_.fleet.growth().ForEachSince(lane.checked, [&](Index w) {
    fits =
        fits || (lane.key.size.FitsIn(state_.fleet.worker(w).free) &&
                 (!needs_permit || std::binary_search(job.permitted.begin(),
                                                      job.permitted.end(), w)));
  });
  return fits ? Scope::kAll : Scope::kNothing;
}

Decider::Scope Decider::ScopeOf(Lane& lane) {
  const GrowthLog& growth = state_.fleet.growth();
  if (!growth.Covers(lane.checked)) return Scope::kAll;
  if (lane.key.constrained_job != 0) return ScopeOfConstrained(lane);
  if (lane.key.gang_job != 0) return ScopeOfGang(lane);
  const std::vector<Index>& zones = state_.teams[lane.team].zones;
  candidates_ = lane.held_back;
  growth.ForEachSince(lane.checked, [&](Index w) {
    const Worker& worker = state_.fleet.worker(w);
    if (!lane.key.size.FitsIn(worker.free) || !state_.fleet.IsOpen(worker) ||
        std::find(zones.begin(), zones.end(), worker.zone) == zones.end()) {
      return;
    }
    candidates_.push_back(w);
  });
  if (candidates_.size() > kMaxCandidates) return Scope::kAll;
  return candidates_.empty() ? Scope::kNothing : Scope::kCandidates;
}

// Stores the result of a search that found no place. `end` is the end of the
// growth log at the time of the search.
void Decider::RecordFailedSearch(Lane& lane, Scope scope, SearchResult& found,
                                 GrowthLog::Position end) {
  if (lane.key.constrained_job != 0) {
    RecordFailedConstrainedSearch(lane, found, end);
    return;
  }
  lane.checked = found.zone_filling_up ? GrowthLog::kNever : end;
  lane.missing = found.missing;
  lane.gained = 0;
  std::vector<Index> held_back = std::move(found.held_back);
  std::sort(held_back.begin(), held_back.end());
  held_back.erase(std::unique(held_back.begin(), held_back.end()),
                  held_back.end());
  lane.held_back.clear();
  const bool conclusive = scope == Scope::kAll && !found.zone_filling_up &&
                          held_back.size() <= kMaxCandidates;
  if (!conclusive || lane.key.gang_job != 0) return;
  state_.failed_searches.Add({.size = lane.key.size,
                              .zones = state_.teams[lane.team].zones,
                              .at = end,
                              .held_back = std::move(held_back)});
}

// The search result of a constrained job that is no gang and no scavenger holds
// until a worker gains room or another change clears it (see
// Cell::SetPermitted).
void Decider::RecordFailedConstrainedSearch(Lane& lane,
                                            const SearchResult& found,
                                            GrowthLog::Position end) {
  const Job& job = state_.jobs[lane.jobs.begin()->second];
  const bool conclusive =
      !job.is_gang() && !job.spec.scavenger && !found.zone_filling_up;
  lane.checked = conclusive ? end : GrowthLog::kNever;
}

Decider::Turn Decider::TryLane(Index index) {
  Lane& lane = state_.lanes[index];
  // Jobs past their deadline are not started; the caller cancels them.
  for (const auto& [number, job] : lane.jobs) {
    if (state_.jobs[job].is_expired(state_.now)) continue;
    if (lane.known_blocked) {
      const Team& team = state_.teams[lane.team];
      lane.checked =
          std::max(lane.checked, team.queue(lane.key.priority).checked);
    }
    if (lane.key.constrained_job == 0 &&
        !state_.fleet.growth().Covers(lane.checked)) {
      ApplyFailedSearch(lane, state_.jobs[job]);
    }
    const Scope scope = ScopeOf(lane);
    if (scope != Scope::kNothing) return TryJob(index, job, scope);
    return Block(index,
                 IsLackOfRoom(lane.reason) ? lane.reason : WaitReason::kNoRoom);
  }
  lane.last_blocked_pass = state_.passes;
  return Turn::kBlocked;
}

Decider::Turn Decider::Block(Index index, WaitReason reason) {
  Lane& lane = state_.lanes[index];
  lane.reason = reason;
  lane.last_blocked_pass = state_.passes;
  lane.last_blocked_sweep = state_.sweep;
  if (reason == WaitReason::kAllowance && lane.key.constrained_job != 0 &&
      lane.key.priority == Priority::kUrgent) {
    over_allowance_.push_back(index);
  }
  // Others can use what is held for a gang that has permits but can't start.
  if (lane.key.gang_job != 0 && lane.key.priority != Priority::kUrgent) {
    state_.allowance_holds.Drop(lane.jobs.begin()->second);
  }
  if (IsLackOfRoom(reason)) {
    RecordBlocked(index);
  } else {
    state_.SetKnownBlocked(lane, false);
  }
  return Turn::kBlocked;
}

SearchResult Decider::FindPlaces(Index job_index, Scope scope) {
  const Job& job = state_.jobs[job_index];
  const Team& team = state_.teams[job.team];
  if (job.is_constrained()) {
    return constrained_search_.Find(job, job_index, team, state_.now, steps_);
  }
  return search_.Find(job, job_index, team, state_.now, steps_,
                      scope == Scope::kCandidates ? &candidates_ : nullptr);
}

bool Decider::TryReserved(Index lane, Index first, Scope scope) {
  for (const Reservation& reservation : state_.reservations.all()) {
    const Job& job = state_.jobs[reservation.job];
    if (reservation.job == first || job.lane != lane) continue;
    if (job.is_expired(state_.now)) continue;
    const Index index = reservation.job;
    const SearchResult found = FindPlaces(index, scope);
    if (found.places.empty()) continue;
    StartAll(index, found);  // Ends the reservation.
    return true;
  }
  return false;
}

WaitReason Decider::ReasonFor(const Team& team,
                              const SearchResult& found) const {
  const bool any_open =
      std::any_of(team.zones.begin(), team.zones.end(), [&](Index zone) {
        const Zone& z = state_.fleet.zone(zone);
        return z.in_service && z.capacity[Dimension::kSlots] > 0;
      });
  if (!any_open) return WaitReason::kZonesOut;
  if (found.missing > 0 && found.considered > 0) {
    return WaitReason::kGangIncomplete;
  }
  return WaitReason::kNoRoom;
}

Decider::Turn Decider::TryJob(Index lane_index, Index job_index, Scope scope) {
  Job& job = state_.jobs[job_index];
  const Team& team = state_.teams[job.team];
  const int32_t tasks = job.is_gang() ? job.waiting : 1;
  if (static_cast<int64_t>(decisions_.size()) + tasks > budget_.decisions &&
      !decisions_.empty()) {
    return Turn::kOutOfBudget;
  }
  const Resources held = state_.allowance_holds.HeldFrom(job);
  if (!(team.committed + held + job.spec.task * tasks)
           .FitsIn(team.terms.allowance)) {
    return Block(lane_index, WaitReason::kAllowance);
  }
  const GrowthLog::Position end = state_.fleet.growth().end();
  SearchResult found = FindPlaces(job_index, scope);
  if (!found.places.empty()) {
    StartAll(job_index, found);
    return Turn::kStarted;
  }
  if (!found.out_of_budget && TryReserved(lane_index, job_index, scope)) {
    return Turn::kStarted;
  }
  if (found.out_of_budget) {
    out_of_candidates_ = true;
    return Turn::kOutOfBudget;
  }
  const WaitReason reason = ReasonFor(team, found);
  RecordFailedSearch(state_.lanes[lane_index], scope, found, end);
  return Block(lane_index, reason);
}

// ---------------------------------------------------------------------------
// Starts

int64_t Decider::Record(const Job& job, const SearchResult& found,
                        Index chosen) {
  const Team& team = state_.teams[job.team];
  RecordedDecision& record = state_.log.Next();
  record.team_committed = team.committed;
  record.team_allowance = team.terms.allowance;
  const auto add = [&](Index w) {
    const Worker& worker = state_.fleet.worker(w);
    const auto zone = job.in_zone.find(worker.zone);
    const auto rack = job.in_rack.find(worker.rack);
    record.candidates.push_back(
        {.worker = w,
         .free = worker.free,
         .zone_tasks = zone == job.in_zone.end() ? 0 : zone->second,
         .rack_tasks = rack == job.in_rack.end() ? 0 : rack->second});
  };
  add(chosen);
  for (Index w : found.compared) {
    if (record.candidates.size() >= DecisionLog::kMaxCandidates) break;
    if (w != chosen) add(w);
  }
  return record.number;
}

void Decider::Start(Index job_index, const Place& place,
                    const SearchResult& found) {
  Job& job = state_.jobs[job_index];
  const int32_t t = state_.NextWaiting(job);
  const Task& task = job.tasks[t];
  if (task.failures == 0 && task.losses == 0) {
    state_.retry_budget.OnFirstStart();
  }
  const Worker& worker = state_.fleet.worker(place.worker);
  const double score = search_.ScoreOf(job, place.worker);
  job.latest = LatestStart{.task = t,
                           .worker = place.worker,
                           .score = score,
                           .considered = found.considered,
                           .record_number = Record(job, found, place.worker)};
  decisions_.emplace_back(placement::Start{.task = {job.id, t},
                                           .vm = worker.vm,
                                           .score = score,
                                           .considered = found.considered});
  ++state_.starts;
  state_.fleet.TakeRampToken(worker.zone);
  state_.reservations.OnStarted(state_.fleet, job, job_index, place.worker);
  state_.Commit({.job = job_index, .task = t}, place.worker, state_.now);
  state_.started_now.insert({.job = job_index, .task = t});
}

void Decider::StartAll(Index job_index, const SearchResult& found) {
  Job& job = state_.jobs[job_index];
  if (job.lane != kNone) {
    Lane& lane = state_.lanes[job.lane];
    lane.blocked_since.reset();
    state_.SetKnownBlocked(lane, false);
    lane.reason = WaitReason::kBehindOthers;
  }
  for (const Place& place : found.places) {
    for (int32_t i = 0; i < place.tasks; ++i) Start(job_index, place, found);
  }
}

// ---------------------------------------------------------------------------
// Making room

void Decider::MakeRoomForUrgent() {
  int evictions = 0;
  int failed_evictions = 0;
  for (Index lane : blocked_urgent_) {
    for (const auto& [number, index] : state_.lanes[lane].jobs) {
      const Job& job = state_.jobs[index];
      if (job.is_constrained() && job.lateness != Lateness::kOnTime) continue;
      if (job.is_gang()) HoldAllowanceForGang(index);
      const Reservation* reservation = state_.reservations.Find(index);
      auto wanted = static_cast<int64_t>(
          TimesFits(job.spec.task,
                    state_.teams[job.team].terms.allowance -
                        state_.teams[job.team].committed,
                    job.waiting));
      if (reservation != nullptr)
        wanted -= static_cast<int64_t>(reservation->workers.size());
      for (; wanted > 0; --wanted) {
        if (++evictions > kMaxEvictionsPerCall) return;
        if (preemption_.MakeRoom(index, decisions_)) {
          HoldAllowanceForRoom(index);
          continue;
        }
        // That no room can be made for a constrained job says nothing about
        // other jobs, so these are still tried, up to a limit of failures.
        if (!job.is_constrained() ||
            ++failed_evictions >= kMaxFailedEvictionsPerCall)
          return;
        break;
      }
    }
  }
}

// Holds allowance for the tasks of the constrained job that room is reserved
// for, so that lower work does not use it before they start.
void Decider::HoldAllowanceForRoom(Index index) {
  const Job& job = state_.jobs[index];
  const Reservation* reservation = state_.reservations.Find(index);
  if (!job.is_constrained() || reservation == nullptr ||
      !MayHoldAllowance(index)) {
    return;
  }
  const auto reserved = static_cast<int32_t>(reservation->workers.size());
  state_.allowance_holds.Hold(index, job, std::min(reserved, job.waiting),
                              state_.now);
}

// The same for a gang that has room once the tasks that were preempted end.
void Decider::HoldAllowanceForGang(Index index) {
  const Job& job = state_.jobs[index];
  if (job.is_constrained() && MayHoldAllowance(index) &&
      state_.allowance_holds.Find(index) == nullptr &&
      preemption_.CountPlaces(index, {}) >= job.waiting) {
    state_.allowance_holds.Hold(index, job, job.waiting, state_.now);
  }
}

// Preempts less urgent tasks of teams that are at their allowance and have
// urgent jobs waiting.
void Decider::MakeAllowanceForUrgent() {
  for (Index index : over_allowance_) {
    const Lane& lane = state_.lanes[index];
    if (lane.jobs.empty()) continue;
    const Index job = lane.jobs.begin()->second;
    if (MayHoldAllowance(job)) preemption_.MakeAllowance(job, decisions_);
  }
}

bool Decider::MayHoldAllowance(Index index) const {
  const Job& job = state_.jobs[index];
  if (job.is_expired(state_.now)) return false;
  if (!job.is_urgent()) {
    const Team& team = state_.teams[job.team];
    return job.is_gang() && job.is_ready() &&
           (team.committed + job.spec.task * job.waiting)
               .FitsIn(team.terms.allowance);
  }
  const bool permitted = !job.spec.constraints.needs_permit || job.permit_valid;
  return job.lane != kNone && permitted && job.lateness == Lateness::kOnTime;
}

// Holds the allowance of each team for the first of its gangs that would start
// if it had permits, one at a time.
void Decider::HoldAllowanceForGangs() {
  AllowanceHolds& holds = state_.allowance_holds;
  for (Index t = 0; t < state_.teams.size(); ++t) {
    const Team& team = state_.teams[t];
    int examined = 0;
    for (const auto& [rank, index] : team.unpermitted_gangs) {
      if (holds.IsHeldFor(index) || ++examined > kMaxGangsExamined) break;
      Job& job = state_.jobs[index];
      const Resources size = job.spec.task * job.waiting;
      const bool paused =
          holds.Find(index) != nullptr || state_.now < job.next_gang_check;
      if (paused || !MayHoldAllowance(index) ||
          !(team.committed + holds.HeldFrom(job) + size)
               .FitsIn(team.terms.allowance)) {
        continue;
      }
      if (!state_.FitsGang(job)) {
        job.next_gang_check = state_.now + kTimeBetweenGangChecks;
        continue;
      }
      holds.Hold(index, job, job.waiting, state_.now);
      break;
    }
  }
}

void Decider::ReviewAllowanceHolds() {
  state_.allowance_holds.Review(state_.now, [&](Index job) {
    return MayHoldAllowance(job) ? state_.jobs[job].waiting : 0;
  });
}

bool Decider::MayStart(Index index) const {
  const Job& job = state_.jobs[index];
  if (job.lane == kNone || job.is_expired(state_.now)) return false;
  const Team& team = state_.teams[job.team];
  const int32_t tasks = job.is_gang() ? job.waiting : 1;
  return (team.committed + job.spec.task * tasks).FitsIn(team.terms.allowance);
}

bool Decider::IsUsable(Index index, const Team& team) const {
  const Worker& worker = state_.fleet.worker(index);
  return state_.fleet.IsOpen(worker) &&
         state_.fleet.zone(worker.zone).in_service &&
         std::find(team.zones.begin(), team.zones.end(), worker.zone) !=
             team.zones.end();
}

// Drops reservations with a worker that is no longer usable, reservations that
// their jobs cannot use, and reservations that are long overdue.
void Decider::ReviewReservations() {
  state_.reservations.UpdateIdle(state_.now,
                                 [&](Index job) { return MayStart(job); });
  std::vector<Index> to_drop;
  for (const Reservation& reservation : state_.reservations.all()) {
    const Team& team = state_.teams[state_.jobs[reservation.job].team];
    const bool usable =
        std::all_of(reservation.workers.begin(), reservation.workers.end(),
                    [&](Index w) { return IsUsable(w, team); });
    if (!usable || state_.now >= reservation.EndsAt())
      to_drop.push_back(reservation.job);
  }
  for (Index job : to_drop) state_.DropReservation(job);
}

// Plans a reservation for the lane's first job. Returns false when there is not
// enough room to reserve or the job already has a reservation.
bool Decider::Plan(Index lane_index) {
  Lane& lane = state_.lanes[lane_index];
  const Index index = lane.jobs.begin()->second;
  Job& job = state_.jobs[index];
  if (job.reserved) return false;
  const ReservationPlanner planner(state_.fleet, state_.jobs, state_.run_times);
  const int32_t tasks = job.is_gang() ? job.waiting : 1;
  const Team& job_team = state_.teams[job.team];
  std::optional<std::vector<Index>> only;
  if (job.is_constrained()) {
    only = constrained_search_.Eligible(job, job_team, state_.now);
  }
  std::vector<PlannedPlace> places =
      planner.Plan(job_team, job, tasks, state_.now, only);
  if (static_cast<int32_t>(places.size()) < tasks) {
    lane.blocked_since = state_.now;  // Retries after reservation_after.
    return false;
  }
  // Run time estimates may be far too long, so the time of backfill is bounded.
  for (PlannedPlace& place : places) {
    place.at = std::min(place.at, state_.now + kMaxBackfillTime);
  }
  state_.reservations.Add(state_.fleet, job, index, places);
  Team& team = state_.teams[job.team];
  state_.reservation_time =
      std::max(state_.reservation_time, team.reservation_tag);
  team.reservation_tag = state_.reservation_time + 1 / Teams::WeightOf(team);
  return true;
}

// Plans reservations for urgent jobs first. Teams take turns by share
// (start-time fair queueing: Goyal, Vin and Cheng, SIGCOMM 1996), so that a
// team above its share does not starve, and its jobs do not delay those of
// other teams however many they are. Within a team, the job that has been
// blocked for longest comes first.
void Decider::PlanReservations() {
  const auto rank = [&](Index index) {
    const Lane& lane = state_.lanes[index];
    return std::tuple(lane.key.priority != Priority::kUrgent,
                      std::max(state_.teams[lane.team].reservation_tag,
                               state_.reservation_time),
                      lane.blocked_since.value_or(state_.now));
  };
  std::stable_sort(starving_.begin(), starving_.end(),
                   [&](Index a, Index b) { return rank(a) < rank(b); });
  int plans = 0;
  for (Index index : starving_) {
    const Lane& lane = state_.lanes[index];
    const bool still_blocked = !lane.jobs.empty() && WasPassedOver(lane);
    if (!still_blocked || state_.jobs[lane.jobs.begin()->second].reserved) {
      continue;
    }
    if (state_.reservations.IsFull(lane.key.priority == Priority::kUrgent)) {
      continue;
    }
    if (++plans > kMaxPlansPerCall) return;
    Plan(index);
  }
}

}  // namespace azurepass::placement::internal
