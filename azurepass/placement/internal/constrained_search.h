// Chooses workers for constrained jobs: jobs that not every worker with room
// may take. Search results of one constrained job do not apply to another, so
// they are not shared between jobs. Each search examines all workers that the
// job may use; permits keep their number small.
//
//   * Batch: the worker with the lowest cost: a worker in the rack of the job's
//     data before others, then the packing's order.
//   * Service: the zone with the fewest tasks of the job, then the rack, then
//     the worker, then the packing's order.
//   * Gang: the rack with the least room among those that fit all tasks; if
//     there is none, workers of any rack, in the order of the batch rule.
//
// Batch jobs and gangs that need speed avoid slow workers, and low-priority
// jobs with slack prefer them (LearnedSpeeds); the rack of the job's data comes
// first.
//
//   * Scavenger: the worker with the most free processors per scavenger.
//     Workers with perpetual tasks are excluded, since a scavenger would
//     disturb those; perpetual services prefer workers without scavengers.

#ifndef AZUREPASS_PLACEMENT_INTERNAL_CONSTRAINED_SEARCH_H_
#define AZUREPASS_PLACEMENT_INTERNAL_CONSTRAINED_SEARCH_H_

#include <tuple>
#include <vector>

#include "azurepass/placement/internal/search.h"

namespace azurepass::placement::internal {

class ConstrainedSearch {
 public:
  ConstrainedSearch(const Fleet& fleet, const Search& search)
      : fleet_(fleet), search_(search) {}

  SearchResult Find(const Job& job, Index job_index, const Team& team,
                    MonotonicTime now, int64_t& steps) const;

  // Returns how many of the job's waiting tasks `room` on the worker fits.
  int32_t FitsOn(const Job& job, Index worker, const Resources& room) const;

  // Returns the workers that may take tasks of the job, whether or not they
  // have room.
  std::vector<Index> Eligible(const Job& job, const Team& team,
                              MonotonicTime now) const;

 private:
  // Compared lexicographically; lower is better.
  using Cost = std::tuple<int32_t, int32_t, int32_t, double, Index>;
  // A worker that may take tasks of the job, and the number that fits.
  struct Candidate {
    Index worker = kNone;
    int32_t fits = 0;
    Cost cost;
  };

  // Calls `visit` for the workers that the job's valid permits name; for all
  // workers when the job needs no permits.
  template <class Visit>
  void ForEachPermitted(const Job& job, MonotonicTime now, Visit visit) const;
  std::vector<Candidate> Candidates(const Job& job, Index job_index,
                                    const Team& team, MonotonicTime now,
                                    int64_t& steps, SearchResult& found) const;
  bool MayTake(const Job& job, const Worker& worker, const Team& team) const;
  Cost CostOf(const Job& job, Index worker, MonotonicTime now) const;
  // Returns 1 for a worker whose speed does not suit the job, else 0.
  int32_t SpeedCost(const Job& job, const Worker& worker,
                    MonotonicTime now) const;
  static void PlaceGang(const Fleet& fleet, const Job& job,
                        std::vector<Candidate> candidates, SearchResult& found);

  const Fleet& fleet_;
  const Search& search_;
};

}  // namespace azurepass::placement::internal

#endif  // AZUREPASS_PLACEMENT_INTERNAL_CONSTRAINED_SEARCH_H_
