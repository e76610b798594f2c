// Reservations for jobs that others keep passing over.
//
// A job that stays blocked while smaller ones start gets workers set aside:
// those that are expected to have room for it first, by the learned run times
// of what runs there. Room that comes free on them is kept for the job. Others
// may still start there when they leave the reserved room alone, or when they
// are expected to end before the reservation is due (backfill: Lifka, "The
// ANL/IBM SP Scheduling System", JSSPP 1995). Estimates may be wrong in either
// way without harm: capacity is held by declared sizes alone, and once the due
// time has passed nothing is backfilled any more, so that the reserved workers
// can only drain. When one of them goes away, or the reservation is overdue
// for long, it is planned anew.

#ifndef AZUREPASS_PLACEMENT_INTERNAL_RESERVATIONS_H_
#define AZUREPASS_PLACEMENT_INTERNAL_RESERVATIONS_H_

#include <algorithm>
#include <optional>
#include <vector>

#include "azurepass/placement/internal/fleet.h"
#include "azurepass/placement/internal/run_times.h"
#include "azurepass/placement/internal/teams.h"

namespace azurepass::placement::internal {

// Invariant: workers is not empty; it names a worker once for each task.
struct Reservation {
  Index job = kNone;
  bool urgent = false;  // The job is.
  MonotonicTime due;    // When all of its room is expected to be free.
  MonotonicTime ends;   // Given up then, to be planned anew.
  std::vector<Index> workers;
  // Since when the job could not start whatever room it has.
  std::optional<MonotonicTime> idle_since;

  // An allowance may be gone for a moment; longer, and others use the room.
  static constexpr Duration kLongestIdle{1'000};
  MonotonicTime EndsAt() const {
    return idle_since ? std::min(ends, *idle_since + kLongestIdle) : ends;
  }
};

// Where a task of a plan would go, and when.
struct PlannedPlace {
  MonotonicTime at;
  Index worker = kNone;
};

class Reservations {
 public:
  static constexpr size_t kMaxPlanned = 1;
  static constexpr size_t kMaxForUrgent = 64;      // Planned ones included.
  static constexpr Duration kReplanAfter{60'000};  // Overdue.

  const Reservation* Find(Index job) const;
  const std::vector<Reservation>& all() const { return all_; }

  // True when no more may be planned for jobs of this urgency.
  bool IsFull(bool urgent) const;

  // Sets room for the given tasks aside, besides what the job has already, for
  // at most `overdue` beyond the time at which the last of it is expected.
  void Add(Fleet& fleet, Job& job, Index job_index,
           const std::vector<PlannedPlace>& places,
           Duration overdue = kReplanAfter);
  // One task of the job started on `worker`: gives back the room that was set
  // aside for it, there when there is some, else elsewhere.
  void OnStarted(Fleet& fleet, Job& job, Index job_index, Index worker);
  void Drop(Fleet& fleet, Job& job, Index job_index);
  // Notes for each whether its job could start at `now`, room apart.
  template <class MayStart>
  void NoteIdle(MonotonicTime now, MayStart may_start) {
    for (Reservation& held : all_) {
      if (may_start(held.job)) {
        held.idle_since.reset();
      } else if (!held.idle_since) {
        held.idle_since = now;
      }
    }
  }

 private:
  void Forget(Job& job, Index job_index);

  std::vector<Reservation> all_;
};

// Finds `tasks` places on workers that are not reserved, earliest first;
// fewer when there are not so many. Looks at a bounded number of workers.
class ReservationPlanner {
 public:
  ReservationPlanner(const Fleet& fleet, const std::vector<Job>& jobs,
                     const RunTimes& run_times)
      : fleet_(fleet), jobs_(jobs), run_times_(run_times) {}

  // With `only`, looks at those workers and no others.
  std::vector<PlannedPlace> Plan(
      const Team& team, const Job& job, int32_t tasks, MonotonicTime now,
      const std::optional<std::vector<Index>>& only) const;

 private:
  // Adds the times at which `worker` has room for one, two, ... more tasks.
  void AddPlaces(Index worker, const Resources& size, int32_t tasks,
                 MonotonicTime now, std::vector<PlannedPlace>& places) const;
  MonotonicTime ExpectedEnd(const Job& job, const Task& task,
                            MonotonicTime now) const;

  const Fleet& fleet_;
  const std::vector<Job>& jobs_;
  const RunTimes& run_times_;
};

// How many tasks of this size fit in `room`, at most `most`.
int32_t TimesFits(const Resources& size, const Resources& room, int32_t most);

}  // namespace azurepass::placement::internal

#endif  // AZUREPASS_PLACEMENT_INTERNAL_RESERVATIONS_H_
