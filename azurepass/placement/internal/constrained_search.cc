// Implements the candidates of constrained jobs and their costs.

#include "azurepass/placement/internal/constrained_search.h"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

namespace azurepass::placement::internal {
namespace {

int32_t CountIn(const absl::flat_hash_map<Index, int32_t>& counts, Index key) {
  auto it = counts.find(key);
  return it == counts.end() ? 0 : it->second;
}

}  // namespace

bool ConstrainedSearch::MayTake(const Job& job, const Worker& worker,
                                const Team& team) const {
  const std::string& label = job.spec.constraints.label;
  const bool allowed_zone = std::find(team.zones.begin(), team.zones.end(),
                                      worker.zone) != team.zones.end();
  return fleet_.IsOpen(worker) && allowed_zone &&
         fleet_.MayStartInZone(worker.zone) &&
         (label.empty() || std::find(worker.labels.begin(), worker.labels.end(),
                                     label) != worker.labels.end()) &&
         !(job.spec.scavenger && worker.perpetual > 0);
}

int32_t ConstrainedSearch::FitsOn(const Job& job, Index worker,
                                  const Resources& room) const {
  int32_t limit = job.waiting;
  const int32_t bound = job.spec.constraints.max_per_worker;
  if (bound > 0)
    limit = std::min(limit, bound - CountIn(job.on_workers, worker));
  return limit <= 0 ? 0 : TimesFits(job.room(), room, limit);
}

int32_t ConstrainedSearch::SpeedCost(const Job& job, const Worker& worker,
                                     MonotonicTime now) const {
  const bool slow = fleet_.IsSlow(worker);
  if (job.is_urgent() || job.is_gang()) return slow ? 1 : 0;
  return job.has_slack(now) && !slow ? 1 : 0;
}

ConstrainedSearch::Cost ConstrainedSearch::CostOf(const Job& job, Index index,
                                                  MonotonicTime now) const {
  const Worker& worker = fleet_.worker(index);
  if (job.is_service()) {
    // Scavengers on a worker count as one more task of the job in its zone.
    return {CountIn(job.in_zone, worker.zone) + (worker.scavengers > 0 ? 1 : 0),
            CountIn(job.in_rack, worker.rack), CountIn(job.on_workers, index),
            fleet_.KeyOf(index), index};
  }
  const RackId& data = job.spec.constraints.data_rack;
  const int32_t away =
      !data.empty() && fleet_.RackOf(worker.rack) != data ? 1 : 0;
  if (job.spec.scavenger) {
    const auto spare = static_cast<double>(worker.free[Dimension::kMillicores]);
    return {away, 0, 0, -spare / (1 + worker.scavengers), index};
  }
  return {away, SpeedCost(job, worker, now), 0, fleet_.KeyOf(index), index};
}

template <class Visit>
void ConstrainedSearch::ForEachPermitted(const Job& job, MonotonicTime now,
                                         Visit visit) const {
  if (!job.spec.constraints.needs_permit) {
    const auto workers = static_cast<Index>(fleet_.workers().size());
    for (Index index = 0; index < workers; ++index) visit(index);
  } else if (now < job.permitted_until) {
    for (Index index : job.permitted) visit(index);
  }
}

std::vector<ConstrainedSearch::Candidate> ConstrainedSearch::Candidates(
    const Job& job, Index job_index, const Team& team, MonotonicTime now,
    int64_t& steps, SearchResult& found) const {
  std::vector<Candidate> candidates;
  const auto visit = [&](Index index) {
    --steps;
    const Worker& worker = fleet_.worker(index);
    // A zone that is filling up may allow a start later without a growth log
    // entry, so the result of this search must not be kept.
    found.zone_filling_up =
        found.zone_filling_up || fleet_.IsFillingUp(worker.zone);
    if (!MayTake(job, worker, team)) return;
    ++found.considered;
    const int32_t fits =
        FitsOn(job, index, search_.RoomFor(worker, job, job_index, now));
    if (fits > 0) candidates.push_back({index, fits, CostOf(job, index, now)});
  };
  ForEachPermitted(job, now, visit);
  return candidates;
}

std::vector<Index> ConstrainedSearch::Eligible(const Job& job, const Team& team,
                                               MonotonicTime now) const {
  std::vector<Index> eligible;
  const int32_t bound = job.spec.constraints.max_per_worker;
  const auto visit = [&](Index index) {
    const bool bounded = bound > 0 && CountIn(job.on_workers, index) >= bound;
    if (!bounded && MayTake(job, fleet_.worker(index), team)) {
      eligible.push_back(index);
    }
  };
  ForEachPermitted(job, now, visit);
  return eligible;
}

void ConstrainedSearch::PlaceGang(const Fleet& fleet, const Job& job,
                                  std::vector<Candidate> candidates,
                                  SearchResult& found) {
  std::sort(
      candidates.begin(), candidates.end(),
      [](const Candidate& a, const Candidate& b) { return a.cost < b.cost; });
  std::map<Index, int32_t> by_rack;
  for (const Candidate& c : candidates) {
    by_rack[fleet.worker(c.worker).rack] += c.fits;
  }
  std::optional<Index> rack;
  for (const auto& [candidate, fits] : by_rack) {
    if (fits < job.waiting) continue;
    if (!rack || fits < by_rack.at(*rack)) rack = candidate;
  }
  int32_t missing = job.waiting;
  std::vector<Place> places;
  for (const Candidate& c : candidates) {
    if (missing == 0) break;
    if (rack && fleet.worker(c.worker).rack != *rack) continue;
    const int32_t tasks = std::min(missing, c.fits);
    places.push_back({.worker = c.worker, .tasks = tasks});
    missing -= tasks;
  }
  found.missing = missing;
  if (missing == 0) found.places = std::move(places);
}

SearchResult ConstrainedSearch::Find(const Job& job, Index job_index,
                                     const Team& team, MonotonicTime now,
                                     int64_t& steps) const {
  SearchResult found;
  std::vector<Candidate> candidates =
      Candidates(job, job_index, team, now, steps, found);
  found.out_of_budget = steps < 0;
  if (found.out_of_budget || candidates.empty()) return found;
  if (job.is_gang()) {
    PlaceGang(fleet_, job, std::move(candidates), found);
  } else {
    const auto best = std::min_element(
        candidates.begin(), candidates.end(),
        [](const Candidate& a, const Candidate& b) { return a.cost < b.cost; });
    found.places.push_back({.worker = best->worker});
  }
  for (Place& place : found.places) {
    place.score = search_.ScoreOf(job, place.worker);
  }
  return found;
}

}  // namespace azurepass::placement::internal
