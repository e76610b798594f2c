// The choice of workers for narrow jobs: those that not every worker with room
// may take. What one of them finds out about the fleet says nothing about
// another, so that nothing is remembered from search to search; each looks at
// all workers that come into question, which the permits of its job keep few.
//
//   * Batch: the worker with the lowest cost. Away from the data costs most,
//     then a part in several racks, then the packing's order.
//   * Service: the zone with the fewest tasks of the job, then the rack, then
//     the worker, then the packing's order.
//   * Gang: all tasks in the rack that is left with the least room, where one
//     takes them all; else over the workers in the packing's order.
//   * A scavenger takes the worker with the most processors to spare for each
//     of its scavengers, and none with tasks that last, which it would disturb;
//     a task that lasts prefers workers without scavengers.

#ifndef AZUREPASS_PLACEMENT_INTERNAL_NARROW_SEARCH_H_
#define AZUREPASS_PLACEMENT_INTERNAL_NARROW_SEARCH_H_

#include <tuple>
#include <vector>

#include "azurepass/placement/internal/search.h"

namespace azurepass::placement::internal {

class NarrowSearch {
 public:
  NarrowSearch(const Fleet& fleet, const Search& rooms)
      : fleet_(fleet), rooms_(rooms) {}

  Found Find(const Job& job, Index job_index, const Team& team,
             MonotonicTime now, int64_t& steps) const;

  // The workers that may take tasks of the job, whether they have room or not.
  std::vector<Index> Eligible(const Job& job, const Team& team,
                              MonotonicTime now) const;

 private:
  // Lower is better, from left to right.
  using Cost = std::tuple<int32_t, int32_t, int32_t, double, Index>;
  // A worker that may take tasks, and how many.
  struct Candidate {
    Index worker = kNone;
    int32_t fits = 0;
    Cost cost;
  };

  // Looks at the workers that the job's permits name, or at all without any.
  template <class Look>
  void ForEachNamed(const Job& job, MonotonicTime now, Look look) const;
  std::vector<Candidate> Candidates(const Job& job, Index job_index,
                                    const Team& team, MonotonicTime now,
                                    int64_t& steps, Found& found) const;
  bool MayTake(const Job& job, const Worker& worker, const Team& team) const;
  int32_t FitsOn(const Job& job, Index worker, const Resources& room) const;
  Cost CostOf(const Job& job, Index worker) const;
  static void PlaceGang(const Fleet& fleet, const Job& job,
                        std::vector<Candidate> candidates, Found& found);

  const Fleet& fleet_;
  const Search& rooms_;
};

}  // namespace azurepass::placement::internal

#endif  // AZUREPASS_PLACEMENT_INTERNAL_NARROW_SEARCH_H_
