// Holds the teams: their terms, their commitments, and their queues.

#ifndef AZUREPASS_PLACEMENT_INTERNAL_TEAMS_H_
#define AZUREPASS_PLACEMENT_INTERNAL_TEAMS_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "azurepass/placement/internal/job.h"

namespace azurepass::placement::internal {

inline constexpr int kPriorities = 3;

// Identifies the jobs of one team for which every search has the same result.
struct LaneKey {
  Priority priority = Priority::kNormal;
  Resources size;
  size_t policy = 0;     // Alternative of the Policy variant.
  int64_t gang_job = 0;  // The number of a job that is a gang, else 0.
  bool repeatable = true;
  int64_t constrained_job = 0;  // The number of a constrained job, else 0.
  bool operator==(const LaneKey&) const = default;
  template <class H>
  friend H AbslHashValue(H h, const LaneKey& key) {
    for (Dimension d : kAllDimensions)
      h = H::combine(std::move(h), key.size[d]);
    return H::combine(std::move(h), key.priority, key.policy, key.gang_job,
                      key.repeatable, key.constrained_job);
  }
};

// A queue of the startable jobs with the same LaneKey. One search applies to
// all of them. Gangs and constrained jobs have a lane of their own. Invariant:
// `jobs` is not empty.
struct Lane {
  Index team = kNone;
  LaneKey key;
  // Startable jobs by their order; see Job::order.
  std::set<std::pair<int64_t, Index>> jobs;
  // The result of the latest search, so that the next one examines only what
  // has changed. The search found no place when the growth log ended at
  // `checked`. The end of a reservation or quarantine is logged as growth too.
  // A result taken from failed_searches.h does not cover the workers in
  // `held_back`: they had room that was held back from the other lane. A gang
  // lacked `missing` places; workers that gained room since offer at most
  // `gained`.
  int64_t checked = -1;
  std::vector<Index> held_back;
  int64_t missing = 0;
  int64_t gained = 0;
  // The search found no room and no worker that was held back, so that only
  // growth can change the result.
  bool known_blocked = false;
  // The latest pass and the latest sweep in which no job of the lane could
  // start; see CellState::passes and CellState::sweep.
  int64_t last_blocked_pass = 0;
  int64_t last_blocked_sweep = 0;
  // Time and pass in which it first found no room since its latest start.
  std::optional<MonotonicTime> blocked_since;
  int64_t first_blocked_pass = 0;
  WaitReason reason = WaitReason::kBehindOthers;
};

// Invariant: committed is the sum of the sizes of `running`; preempting is the
// sum over those of them that are in kPreempting.
struct Team {
  TeamId id;
  TeamTerms terms;
  std::vector<Index> zones;
  Resources committed;
  Resources preempting;
  std::vector<TaskRef> running;
  int64_t waiting = 0;           // Tasks that wait or are delayed.
  Resources queued;              // Sum of the sizes of the waiting tasks.
  double reservation_tag = 0;    // Virtual time of its next reservation.
  bool check_allowance = false;  // It may be above its allowance.
  // The team's lanes of one priority.
  struct Queue {
    // Lanes by the order of their first job.
    std::set<std::pair<int64_t, Index>> lanes;
    int64_t lanes_to_search = 0;      // Lanes that are not known_blocked.
    Resources min_size = kUnlimited;  // Lower bound of the sizes of the lanes.
    // Position in the growth log: only workers that gained room after it can
    // have room for a known_blocked lane.
    int64_t checked = -1;
    // CellState::starts when the team's latest turn ended without a start;
    // kNoTurn when it ended otherwise.
    int64_t starts_when_blocked = kNoTurn;
    // The latest pass that found that other teams had started jobs after such a
    // turn, or that started a job of the team before an earlier one.
    int64_t passed_over_pass = 0;
  };
  static constexpr int64_t kNoTurn = int64_t{1} << 60;
  Queue queues[kPriorities];
  absl::flat_hash_map<LaneKey, Index> lanes;
  // Gangs that could start if they had permits. Invariant: the ranks equal
  // Job::gang_rank.
  std::set<std::pair<WaitingRank, Index>> unpermitted_gangs;

  Queue& queue(Priority priority) { return queues[static_cast<int>(priority)]; }
  const Queue& queue(Priority priority) const {
    return queues[static_cast<int>(priority)];
  }
  bool active() const { return waiting > 0 || !running.empty(); }
};

// Teams are never erased: a removed team has no zones and no allowance.
class Teams {
 public:
  Index Intern(const TeamId& id) {
    const Index index = ids_.Intern(id);
    if (index == static_cast<Index>(teams_.size())) {
      teams_.emplace_back().id = id;
    }
    return index;
  }
  Index Find(const TeamId& id) const { return ids_.Find(id); }
  Team& operator[](Index index) { return teams_[index]; }
  const Team& operator[](Index index) const { return teams_[index]; }
  Index size() const { return static_cast<Index>(teams_.size()); }

  // Returns the team's weight as a fraction of the weights of all active teams.
  double FairShare(Index index) const {
    double weights = 0;
    for (const Team& team : teams_) {
      if (team.active()) weights += WeightOf(team);
    }
    return weights > 0 ? WeightOf(teams_[index]) / weights : 1;
  }
  static double WeightOf(const Team& team) {
    return static_cast<double>(std::max<int64_t>(1, team.terms.share));
  }

 private:
  Interner<TeamId> ids_;
  std::vector<Team> teams_;
};

}  // namespace azurepass::placement::internal

#endif  // AZUREPASS_PLACEMENT_INTERNAL_TEAMS_H_
