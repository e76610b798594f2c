// What each team may have, what it has, and how far that is from its share.

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

// Jobs of one team that a search treats alike, so that one search speaks for
// all of them. Invariant: `jobs` is not empty.
struct LaneKey {
  Priority priority = Priority::kNormal;
  Resources size;
  size_t policy = 0;  // Alternative of the Policy variant.
  int64_t gang = 0;   // The job's number; 0 unless a gang, which is alone.
  bool repeatable = true;
  int64_t narrow = 0;  // The job's number; 0 unless narrow, which is alone.
  bool operator==(const LaneKey&) const = default;
  template <class H>
  friend H AbslHashValue(H h, const LaneKey& key) {
    for (Dimension d : kAllDimensions)
      h = H::combine(std::move(h), key.size[d]);
    return H::combine(std::move(h), key.priority, key.policy, key.gang,
                      key.repeatable, key.narrow);
  }
};

struct Lane {
  Index team = kNone;
  LaneKey key;
  // Waiting jobs by their order; see Job::order.
  std::set<std::pair<int64_t, Index>> jobs;
  // What the latest search left, so that the next one looks only at what has
  // changed. It found no place when the growth log ended at `checked`; what
  // lifts a hold on a worker is logged as growth. A verdict taken over from
  // another lane leaves out the workers in `held`, which were held back from
  // that one. A gang lacked `missing` places, and workers that grew since offer
  // at most `gained`.
  int64_t checked = -1;
  std::vector<Index> held;
  int64_t missing = 0;
  int64_t gained = 0;
  // The search found no room and nothing that was held back, so that only
  // growth can change the verdict.
  bool settled = false;
  int64_t stuck_pass = 0;   // The pass in which it last could not start.
  int64_t stuck_sweep = 0;  // The same of sweeps; see CellState::sweep.
  // When and in which pass it first could not, since its last start.
  std::optional<MonotonicTime> blocked_since;
  int64_t blocked_pass = 0;
  WaitReason reason = WaitReason::kBehindOthers;
};

// Invariant: committed is the sum of the sizes of `running`, preempting that
// of those told to leave.
struct Team {
  TeamId id;
  TeamTerms terms;
  std::vector<Index> zones;
  Resources committed;
  Resources preempting;
  std::vector<TaskRef> running;
  int64_t waiting = 0;           // Tasks that wait or are delayed.
  Resources queued;              // The sizes of those.
  double reservation_tag = 0;    // When its next turn for a reservation is.
  bool check_allowance = false;  // Lowered, not yet answered.
  // By priority.
  struct Queue {
    // Lanes by the order of their first job.
    std::set<std::pair<int64_t, Index>> lanes;
    int64_t unsettled = 0;         // Lanes that are not settled.
    Resources least = kUnlimited;  // At most the size of each lane.
    // No worker had room for a settled lane when the growth log ended here.
    int64_t seen = -1;
    // Starts the cell had made when the team's latest turn ended in vain, and
    // the latest pass that saw others start after such a turn, or a job of the
    // team itself before one accepted earlier.
    int64_t stuck_after = kNoTurn;
    int64_t passed_pass = 0;
  };
  static constexpr int64_t kNoTurn = int64_t{1} << 60;
  Queue queues[kPriorities];
  absl::flat_hash_map<LaneKey, Index> lanes;

  Queue& queue(Priority priority) { return queues[static_cast<int>(priority)]; }
  const Queue& queue(Priority priority) const {
    return queues[static_cast<int>(priority)];
  }
  bool active() const { return waiting > 0 || !running.empty(); }
};

// Teams are never forgotten: a removed one has no zones and no allowance.
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

  // The weight of the team against 1 for the sum of all active teams.
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
