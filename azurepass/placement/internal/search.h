// Chooses workers for a job's next task (for a gang, for all of its tasks) by
// the job's policy. Does not change the state.
//
//   * Batch: the first worker in the packing's order, over all allowed zones,
//     that has room.
//   * Service: among the zones with room, the one with the fewest tasks of the
//     job; in it the rack with the fewest; then the packing's order. At most
//     kSpreadCandidates workers of a zone are compared.
//   * Gang: the first zone that fits all tasks, else all zones together.
//     Workers are filled in the packing's order.

#ifndef AZUREPASS_PLACEMENT_INTERNAL_SEARCH_H_
#define AZUREPASS_PLACEMENT_INTERNAL_SEARCH_H_

#include <cstdint>
#include <vector>

#include "azurepass/placement/internal/fleet.h"
#include "azurepass/placement/internal/reservations.h"
#include "azurepass/placement/internal/run_times.h"
#include "azurepass/placement/internal/teams.h"

namespace azurepass::placement::internal {

// Places `tasks` tasks of a job on `worker`.
struct Place {
  Index worker = kNone;
  int32_t tasks = 1;
  double score = 0;  // Score of the first of these tasks.
};

// The result of a search.
struct SearchResult {
  std::vector<Place> places;    // Empty when the job cannot start now.
  std::vector<Index> compared;  // Candidates that were compared.
  int64_t considered = 0;
  int32_t missing = 0;  // Gang tasks without a place.
  // Workers with room that this job may not use now.
  std::vector<Index> held_back;
  // Some zone allows no start while it is filling up.
  bool zone_filling_up = false;
  bool out_of_budget = false;
};

class Search {
 public:
  static constexpr int kSpreadCandidates = 64;

  Search(const Fleet& fleet, const Reservations& reservations,
         const RunTimes& run_times)
      : fleet_(fleet), reservations_(reservations), run_times_(run_times) {}

  // Subtracts the number of visited nodes from `steps`. With `only`, examines
  // none but those workers (ignored for a gang).
  SearchResult Find(const Job& job, Index job_index, const Team& team,
                    MonotonicTime now, int64_t& steps,
                    const std::vector<Index>* only) const;

  // Returns the room on `worker` that the job may use: without room reserved
  // for other jobs, unless the job may backfill it, and none on a probing
  // worker when the job is not suited as a probe.
  Resources RoomFor(const Worker& worker, const Job& job, Index job_index,
                    MonotonicTime now) const;

  // Returns the score of a start of the job's task on `worker`; higher is
  // better.
  double ScoreOf(const Job& job, Index worker) const;

 private:
  struct Query;
  // Calls `visit(worker)` for the workers of the zone that have room, until it
  // returns false. The order is the packing's, unless the query is limited to
  // given workers.
  template <class Visit>
  void ForEachWithRoom(Query& query, Index zone, Visit visit) const;
  bool ZoneMayStart(Query& query, Index zone) const;
  void FindBatch(Query& query) const;
  void FindService(Query& query) const;
  void FindGang(Query& query) const;
  Place BestInZoneForService(Query& query, Index zone, int32_t* rack) const;
  int32_t CollectInZone(Query& query, Index zone, int32_t wanted,
                        std::vector<Place>& places) const;
  bool MayBackfill(const Worker& worker, const Job& job,
                   MonotonicTime now) const;

  const Fleet& fleet_;
  const Reservations& reservations_;
  const RunTimes& run_times_;
};

}  // namespace azurepass::placement::internal

#endif  // AZUREPASS_PLACEMENT_INTERNAL_SEARCH_H_
