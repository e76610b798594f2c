// Chooses workers for a job's next task (a gang: for all of its tasks), by the
// job's policy. Reads the state and changes nothing.
//
//   * Batch: over all allowed zones, the first worker of the packing's order
//     that has room.
//   * Service: the zone with the fewest tasks of the job that has room; in it
//     the rack with the fewest; then the packing's order. At most
//     kSpreadCandidates workers of a zone are weighed.
//   * Gang: the first zone that takes all tasks, else all zones together, each
//     worker in the packing's order taking as many as it has room for.

#ifndef AZUREPASS_PLACEMENT_INTERNAL_SEARCH_H_
#define AZUREPASS_PLACEMENT_INTERNAL_SEARCH_H_

#include <cstdint>
#include <vector>

#include "azurepass/placement/internal/fleet.h"
#include "azurepass/placement/internal/reservations.h"
#include "azurepass/placement/internal/run_times.h"
#include "azurepass/placement/internal/teams.h"

namespace azurepass::placement::internal {

// `tasks` tasks go to this worker.
struct Place {
  Index worker = kNone;
  int32_t tasks = 1;
  double score = 0;  // Of the first of them.
};

struct Found {
  std::vector<Place> places;   // Empty when the job cannot start now.
  std::vector<Index> weighed;  // Candidates that were compared.
  int64_t considered = 0;
  int32_t missing = 0;      // Gang tasks without a place.
  std::vector<Index> held;  // Have room, but not for this job now.
  bool zone_held = false;   // A zone is still filling up.
  bool out_of_budget = false;
};

class Search {
 public:
  static constexpr int kSpreadCandidates = 64;

  Search(const Fleet& fleet, const Reservations& reservations,
         const RunTimes& run_times)
      : fleet_(fleet), reservations_(reservations), run_times_(run_times) {}

  // Takes the nodes looked at from `steps`. With `only`, looks at those workers
  // and no others (for a gang, `only` does nothing).
  Found Find(const Job& job, Index job_index, const Team& team,
             MonotonicTime now, int64_t& steps,
             const std::vector<Index>* only) const;

  // The room on `worker` that is open to the job: less what is reserved for
  // others, and none where only probes may go and this is no probe.
  Resources RoomFor(const Worker& worker, const Job& job, Index job_index,
                    MonotonicTime now) const;

  // Higher is better. What a start of the job's task on `worker` scores.
  double ScoreOf(const Job& job, Index worker) const;

 private:
  struct Query;
  // Calls `weigh(worker)` for the workers of the zone that have room, in the
  // packing's order unless the query is limited, until it returns false.
  template <class Weigh>
  void ForEachWithRoom(Query& query, Index zone, Weigh weigh) const;
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
