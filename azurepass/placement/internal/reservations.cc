// Implements the planning and bookkeeping of reservations.

#include "azurepass/placement/internal/reservations.h"

#include <algorithm>
#include <utility>

namespace azurepass::placement::internal {
namespace {

// Maximum number of workers that one plan examines: the larger of kPlanWorkers
// and kPlanWorkersPerTask times the number of tasks.
constexpr int32_t kPlanWorkers = 256;
constexpr int32_t kPlanWorkersPerTask = 4;

// Estimate for a task without a declared or learned run time.
constexpr Duration kUnknownRunTime{600'000};

}  // namespace

int32_t TimesFits(const Resources& size, const Resources& room, int32_t limit) {
  int64_t times = limit;
  for (Dimension d : kAllDimensions) {
    if (size[d] > 0) times = std::min(times, room[d] / size[d]);
    if (size[d] <= 0 && room[d] < 0) times = 0;
  }
  return static_cast<int32_t>(std::max<int64_t>(0, times));
}

const Reservation* Reservations::Find(Index job) const {
  for (const Reservation& reservation : all_) {
    if (reservation.job == job) return &reservation;
  }
  return nullptr;
}

bool Reservations::IsFull(bool urgent) const {
  if (urgent) return all_.size() >= kMaxForUrgent;
  const auto normal = std::count_if(
      all_.begin(), all_.end(),
      [](const Reservation& reservation) { return !reservation.urgent; });
  return normal >= static_cast<int64_t>(kMaxPlanned);
}

void Reservations::Add(Fleet& fleet, Job& job, Index job_index,
                       const std::vector<PlannedPlace>& places,
                       Duration overdue) {
  if (places.empty()) return;
  if (!job.reserved) {
    job.reserved = true;
    all_.push_back({.job = job_index,
                    .urgent = job.is_urgent(),
                    .due = places[0].at,
                    .ends = places[0].at + overdue,
                    .workers = {},
                    .idle_since = std::nullopt});
  }
  auto it = std::find_if(all_.begin(), all_.end(),
                         [&](const Reservation& reservation) {
                           return reservation.job == job_index;
                         });
  for (const PlannedPlace& place : places) {
    fleet.Reserve(place.worker, job_index, job.spec.task, job.is_urgent());
    it->due = std::max(it->due, place.at);
    it->ends = std::max(it->ends, place.at + overdue);
    it->workers.push_back(place.worker);
  }
}

void Reservations::Erase(Job& job, Index job_index) {
  job.reserved = false;
  std::erase_if(all_, [&](const Reservation& reservation) {
    return reservation.job == job_index;
  });
}

void Reservations::OnStarted(Fleet& fleet, Job& job, Index job_index,
                             Index worker) {
  if (!job.reserved) return;
  auto it = std::find_if(all_.begin(), all_.end(),
                         [&](const Reservation& reservation) {
                           return reservation.job == job_index;
                         });
  auto place = std::find(it->workers.begin(), it->workers.end(), worker);
  if (place == it->workers.end()) --place;
  fleet.Unreserve(*place, job.spec.task);
  it->workers.erase(place);
  if (it->workers.empty()) Erase(job, job_index);
}

void Reservations::Drop(Fleet& fleet, Job& job, Index job_index) {
  const Reservation* reservation = Find(job_index);
  if (reservation == nullptr) return;
  for (Index worker : reservation->workers)
    fleet.Unreserve(worker, job.spec.task);
  Erase(job, job_index);
}

MonotonicTime ReservationPlanner::ExpectedEnd(const Job& job, const Task& task,
                                              MonotonicTime now) const {
  const Duration run_time =
      run_times_.Estimate(job.team, job.spec).value_or(kUnknownRunTime);
  const MonotonicTime end = task.since + run_time;
  if (end > now) return end;
  // The task exceeded its estimate: assume as much again as it has run.
  return now + (now - task.since);
}

void ReservationPlanner::AddPlaces(Index index, const Resources& size,
                                   int32_t tasks, MonotonicTime now,
                                   std::vector<PlannedPlace>& places) const {
  const Worker& worker = fleet_.worker(index);
  std::vector<std::pair<MonotonicTime, Resources>> ends;
  for (const TaskRef& ref : worker.tasks) {
    const Job& job = jobs_[ref.job];
    if (job.is_service() || job.spec.perpetual) continue;
    ends.emplace_back(ExpectedEnd(job, job.tasks[ref.task], now), job.room());
  }
  std::sort(ends.begin(), ends.end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
  Resources room = worker.free;
  int32_t found = 0;
  const auto add_up_to = [&](MonotonicTime at) {
    const int32_t fits = TimesFits(size, room, tasks);
    for (; found < fits; ++found) {
      places.push_back({.at = at, .worker = index});
    }
  };
  add_up_to(now);
  for (const auto& [end, freed] : ends) {
    room += freed;
    add_up_to(end);
  }
}

std::vector<PlannedPlace> ReservationPlanner::Plan(
    const Team& team, const Job& job, int32_t tasks, MonotonicTime now,
    const std::optional<std::vector<Index>>& only) const {
  std::vector<PlannedPlace> places;
  const auto workers =
      static_cast<int64_t>(only ? only->size() : fleet_.workers().size());
  const int64_t budget = std::min<int64_t>(
      workers, std::max(kPlanWorkers, kPlanWorkersPerTask * tasks));
  // Different jobs start at different workers, so that the plans spread over a
  // fleet that is larger than the budget.
  const int64_t first = workers > budget ? (job.number * budget) % workers : 0;
  for (int64_t i = 0; i < budget; ++i) {
    const int64_t position = (first + i) % workers;
    const Index index = only ? (*only)[position] : static_cast<Index>(position);
    const Worker& worker = fleet_.worker(index);
    if (!fleet_.IsOpen(worker) || worker.reserved_by != kNone) continue;
    if (worker.health.state != HealthState::kInService) continue;
    if (!fleet_.zone(worker.zone).in_service) continue;
    if (std::find(team.zones.begin(), team.zones.end(), worker.zone) ==
        team.zones.end()) {
      continue;
    }
    int32_t limit = tasks;
    if (const int32_t bound = job.spec.constraints.max_per_worker; bound > 0) {
      const auto here = job.on_workers.find(index);
      limit = std::min(
          limit, bound - (here == job.on_workers.end() ? 0 : here->second));
    }
    AddPlaces(index, job.spec.task, limit, now, places);
  }
  std::stable_sort(
      places.begin(), places.end(),
      [](const PlannedPlace& a, const PlannedPlace& b) { return a.at < b.at; });
  if (static_cast<int32_t>(places.size()) > tasks) places.resize(tasks);
  return places;
}

}  // namespace azurepass::placement::internal
