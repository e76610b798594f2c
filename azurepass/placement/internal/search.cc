// Implements the searches of the three policies.

#include "azurepass/placement/internal/search.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "azurepass/placement/internal/score.h"

namespace azurepass::placement::internal {
namespace {

int32_t CountIn(const absl::flat_hash_map<Index, int32_t>& counts, Index key) {
  auto it = counts.find(key);
  return it == counts.end() ? 0 : it->second;
}

}  // namespace

struct Search::Query {
  const Job& job;
  Index job_index;
  const Team& team;
  MonotonicTime now;
  int64_t& steps;
  const std::vector<Index>* only;
  SearchResult found;

  const Resources& size() const { return job.spec.task; }
};

bool Search::MayBackfill(const Worker& worker, const Job& job,
                         MonotonicTime now) const {
  const Reservation* reservation = reservations_.Find(worker.reserved_by);
  if (reservation == nullptr || now >= reservation->due) return false;
  const auto run_time = run_times_.Estimate(job.team, job.spec);
  return run_time.has_value() && now + *run_time <= reservation->due;
}

Resources Search::RoomFor(const Worker& worker, const Job& job, Index job_index,
                          MonotonicTime now) const {
  if (worker.health.state == HealthState::kProbing) {
    const bool may_probe = job.spec.repeatable && !job.is_urgent() &&
                           !job.is_gang() && worker.tasks.empty();
    if (!may_probe) return Resources();
  }
  // Urgent jobs are held back only by reservations of urgent jobs.
  const bool reserved = worker.reserved_by != kNone &&
                        worker.reserved_by != job_index &&
                        (!job.is_urgent() || worker.reserved_for_urgent);
  if (!reserved || MayBackfill(worker, job, now)) return worker.free;
  return worker.free - worker.reserved;
}

double Search::ScoreOf(const Job& job, Index index) const {
  const Worker& worker = fleet_.worker(index);
  return SpreadScore(job.spec.policy, CountIn(job.in_zone, worker.zone),
                     CountIn(job.in_rack, worker.rack)) +
         PackingScore(fleet_.packing(), worker.free - job.spec.task,
                      fleet_.scale(), index);
}

bool Search::ZoneMayStart(Query& query, Index zone) const {
  if (fleet_.MayStartInZone(zone)) return true;
  query.found.zone_filling_up |= fleet_.zone(zone).in_service;
  return false;
}

template <class Visit>
void Search::ForEachWithRoom(Query& query, Index zone, Visit visit) const {
  const auto examine = [&](Index w) {
    ++query.found.considered;
    const Resources room =
        RoomFor(fleet_.worker(w), query.job, query.job_index, query.now);
    if (query.size().FitsIn(room)) return visit(w);
    query.found.held_back.push_back(w);
    return true;
  };
  if (query.only == nullptr) {
    fleet_.fit().Walk(zone, query.size(), fleet_.LeastKey(query.size()),
                      query.steps, examine);
    return;
  }
  for (Index w : *query.only) {
    --query.steps;
    const Worker& worker = fleet_.worker(w);
    const bool fits = worker.zone == zone && fleet_.IsOpen(worker) &&
                      query.size().FitsIn(worker.free);
    if (fits && !examine(w)) return;
  }
}

void Search::FindBatch(Query& query) const {
  Place best;
  double best_key = std::numeric_limits<double>::infinity();
  for (Index zone : query.team.zones) {
    if (!ZoneMayStart(query, zone)) continue;
    Place here;
    double here_key = std::numeric_limits<double>::infinity();
    ForEachWithRoom(query, zone, [&](Index w) {
      const double key = fleet_.KeyOf(w);
      if (std::pair(key, w) < std::pair(here_key, here.worker)) {
        here_key = key;
        here.worker = w;
      }
      // In the packing's order, the first worker is the best one.
      return query.only != nullptr;
    });
    if (here.worker == kNone) continue;
    query.found.compared.push_back(here.worker);
    if (std::pair(here_key, here.worker) < std::pair(best_key, best.worker)) {
      best_key = here_key;
      best = here;
    }
  }
  if (best.worker != kNone) query.found.places.push_back(best);
}

// Returns the best worker of the zone, and in `rack_tasks` the number of the
// job's tasks in its rack.
Place Search::BestInZoneForService(Query& query, Index zone,
                                   int32_t* rack_tasks) const {
  Place best;
  double best_key = 0;
  int compared = 0;
  ForEachWithRoom(query, zone, [&](Index w) {
    const int32_t here = CountIn(query.job.in_rack, fleet_.worker(w).rack);
    const double key = fleet_.KeyOf(w);
    if (best.worker == kNone ||
        std::pair(here, key) < std::pair(*rack_tasks, best_key)) {
      best.worker = w;
      best_key = key;
      *rack_tasks = here;
      query.found.compared.push_back(w);
    }
    if (query.only != nullptr) return true;
    return here > 0 && ++compared < kSpreadCandidates;
  });
  return best;
}

void Search::FindService(Query& query) const {
  std::vector<std::pair<int32_t, Index>> zones;
  for (Index zone : query.team.zones) {
    if (!ZoneMayStart(query, zone)) continue;
    zones.emplace_back(CountIn(query.job.in_zone, zone), zone);
  }
  std::sort(zones.begin(), zones.end());
  Place best;
  int32_t best_count = 0;
  std::pair<int32_t, double> best_rank;
  for (const auto& [count, zone] : zones) {
    if (best.worker != kNone && count > best_count) break;
    int32_t rack_tasks = 0;
    const Place place = BestInZoneForService(query, zone, &rack_tasks);
    if (place.worker == kNone) continue;
    const std::pair rank(rack_tasks, fleet_.KeyOf(place.worker));
    if (best.worker != kNone && best_rank <= rank) continue;
    best = place;
    best_count = count;
    best_rank = rank;
  }
  if (best.worker != kNone) query.found.places.push_back(best);
}

// Adds places for up to `wanted` tasks to `places`. Returns the number of
// tasks.
int32_t Search::CollectInZone(Query& query, Index zone, int32_t wanted,
                              std::vector<Place>& places) const {
  int32_t collected = 0;
  if (!ZoneMayStart(query, zone)) return 0;
  ForEachWithRoom(query, zone, [&](Index w) {
    const Resources room =
        RoomFor(fleet_.worker(w), query.job, query.job_index, query.now);
    const int32_t fits = TimesFits(query.size(), room, wanted - collected);
    places.push_back({.worker = w, .tasks = fits});
    collected += fits;
    return collected < wanted;
  });
  return collected;
}

void Search::FindGang(Query& query) const {
  const int32_t tasks = query.job.waiting;
  std::vector<Place> across;
  int32_t total = 0;
  for (Index zone : query.team.zones) {
    std::vector<Place> within;
    const int32_t collected = CollectInZone(query, zone, tasks, within);
    if (collected == tasks) {
      query.found.places = std::move(within);
      return;
    }
    for (Place place : within) {
      if (total == tasks) break;
      place.tasks = std::min(place.tasks, tasks - total);
      total += place.tasks;
      across.push_back(place);
    }
  }
  query.found.missing = tasks - total;
  if (query.found.missing == 0) query.found.places = std::move(across);
}

SearchResult Search::Find(const Job& job, Index job_index, const Team& team,
                          MonotonicTime now, int64_t& steps,
                          const std::vector<Index>* only) const {
  Query query{.job = job,
              .job_index = job_index,
              .team = team,
              .now = now,
              .steps = steps,
              .only = job.is_gang() ? nullptr : only,
              .found = {}};
  std::visit(Visitor{[&](const ServicePolicy&) { FindService(query); },
                     [&](const BatchPolicy&) { FindBatch(query); },
                     [&](const GangPolicy&) { FindGang(query); }},
             job.spec.policy);
  query.found.out_of_budget = steps < 0;
  for (Place& place : query.found.places) {
    place.score = ScoreOf(job, place.worker);
  }
  return std::move(query.found);
}

}  // namespace azurepass::placement::internal
