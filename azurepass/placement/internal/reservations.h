// Reservations for jobs that other jobs keep passing over.
//
// A job that stays blocked while smaller jobs start reserves the workers that
// are expected to have room for it first, by the learned run times of the tasks
// that run there. Room that becomes free on them is kept for the job. Other
// tasks may still start there when they leave the reserved room free, or when
// they are expected to end before the reservation is due (backfill: Lifka, "The
// ANL/IBM SP Scheduling System", JSSPP 1995).
//
// Wrong estimates do no harm in either direction: capacity is committed by
// declared sizes only, and after the due time nothing is backfilled, so that
// the reserved workers only drain. When one of the workers is lost, or the
// reservation is overdue for long, it is dropped and planned again.

#ifndef AZUREPASS_PLACEMENT_INTERNAL_RESERVATIONS_H_
#define AZUREPASS_PLACEMENT_INTERNAL_RESERVATIONS_H_

#include <algorithm>
#include <optional>
#include <vector>

#include "azurepass/placement/internal/fleet.h"
#include "azurepass/placement/internal/run_times.h"
#include "azurepass/placement/internal/teams.h"

namespace azurepass::placement::internal {

// Invariant: workers is not empty; a worker occurs once for each reserved task.
struct Reservation {
  Index job = kNone;
  bool urgent = false;  // Whether the job is urgent.
  MonotonicTime due;    // When all of its room is expected to be free.
  MonotonicTime ends;   // Dropped then, and planned again if still needed.
  std::vector<Index> workers;
  // The time since which the job could not start for reasons other than room.
  std::optional<MonotonicTime> idle_since;

  // An idle reservation is kept for this long, because an allowance may be used
  // up for a moment only. After that, other jobs may use the room.
  static constexpr Duration kMaxIdleTime{1'000};
  MonotonicTime EndsAt() const {
    return idle_since ? std::min(ends, *idle_since + kMaxIdleTime) : ends;
  }
};

// The expected time and worker of one task in a plan.
struct PlannedPlace {
  MonotonicTime at;
  Index worker = kNone;
};

class Reservations {
 public:
  static constexpr size_t kMaxPlanned = 1;
  static constexpr size_t kMaxForUrgent = 64;  // Includes planned ones.
  // By default, a reservation is dropped this long after its due time.
  static constexpr Duration kDropAfter{60'000};

  const Reservation* Find(Index job) const;
  const std::vector<Reservation>& all() const { return all_; }

  // Returns true when no more may be planned for urgent (or other) jobs.
  bool IsFull(bool urgent) const;

  // Reserves room for the given tasks, in addition to what the job has reserved
  // already, for at most `overdue` beyond the time at which the last of it is
  // expected to be free.
  void Add(Fleet& fleet, Job& job, Index job_index,
           const std::vector<PlannedPlace>& places,
           Duration overdue = kDropAfter);
  // Frees the room that was reserved for a task of the job that started on
  // `worker`: on that worker if there is any, else on another one.
  void OnStarted(Fleet& fleet, Job& job, Index job_index, Index worker);
  void Drop(Fleet& fleet, Job& job, Index job_index);
  // Updates idle_since of each reservation. `may_start(job)` returns whether
  // the job could start at `now`, apart from room.
  template <class MayStart>
  void UpdateIdle(MonotonicTime now, MayStart may_start) {
    for (Reservation& reservation : all_) {
      if (may_start(reservation.job)) {
        reservation.idle_since.reset();
      } else if (!reservation.idle_since) {
        reservation.idle_since = now;
      }
    }
  }

 private:
  void Erase(Job& job, Index job_index);

  std::vector<Reservation> all_;
};

// Plans reservations from the expected ends of running tasks.
class ReservationPlanner {
 public:
  ReservationPlanner(const Fleet& fleet, const std::vector<Job>& jobs,
                     const RunTimes& run_times)
      : fleet_(fleet), jobs_(jobs), run_times_(run_times) {}

  // Returns up to `tasks` places on workers that are not reserved, earliest
  // first. Examines a bounded number of workers; with `only`, none but those.
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

// Returns the number of tasks of this size that fit in `room`, at most `limit`.
int32_t TimesFits(const Resources& size, const Resources& room, int32_t limit);

}  // namespace azurepass::placement::internal

#endif  // AZUREPASS_PLACEMENT_INTERNAL_RESERVATIONS_H_
