// Implements changes of workers and the maintenance of totals and indexes.

#include "azurepass/placement/internal/fleet.h"

#include <algorithm>

namespace azurepass::placement::internal {
namespace {

// Bound of the rounding error between sums of the same numbers that are added
// in different orders.
constexpr double kRounding = 1e-9;

// At most one in this many workers is quarantined at once, but always at least
// one may be. When more workers than that fail, the cause is unlikely to be the
// workers.
constexpr int64_t kQuarantineDivisor = 5;

// Fraction of its slots that a zone may fill at once when it returns to
// service.
constexpr double kRampBurst = 0.1;

// Time between two attempts to start tasks in a zone that is filling up.
constexpr Duration kRampStep{100};

}  // namespace

bool Fleet::IsOpen(const Worker& worker) const {
  return worker.known && worker.admission == WorkerAdmission::kOpen &&
         worker.health.state != HealthState::kQuarantined;
}

bool Fleet::IsSlow(const Worker& worker) const {
  return std::visit(
      Visitor{[](const UniformSpeeds&) { return false; },
              [&](const LearnedSpeeds& learned) {
                const std::optional<double> ratio = worker.speed.Median();
                return ratio.has_value() && *ratio >= learned.slow_factor;
              }},
      speeds_);
}

bool Fleet::MayStartInZone(Index zone) const {
  const Zone& z = zones_[zone];
  return z.in_service && (!z.ramp_until || z.ramp_tokens >= 1);
}

bool Fleet::IsFillingUp(Index zone) const {
  const Zone& z = zones_[zone];
  return z.in_service && z.ramp_until && z.ramp_tokens < 1;
}

double Fleet::KeyOf(Index index) const {
  return std::visit(
      Visitor{[&](const BestFit&) {
                double sum = 0;
                for (Dimension d : kAllDimensions) {
                  sum += static_cast<double>(workers_[index].free[d]) /
                         static_cast<double>(scale_[d]);
                }
                return sum;
              },
              [&](const FirstFit&) { return static_cast<double>(index); }},
      packing_);
}

double Fleet::LeastKey(const Resources& size) const {
  return std::visit(Visitor{[&](const BestFit&) {
                              double sum = 0;
                              for (Dimension d : kAllDimensions) {
                                sum += static_cast<double>(size[d]) /
                                       static_cast<double>(scale_[d]);
                              }
                              return sum - kRounding;
                            },
                            [&](const FirstFit&) { return -1.0; }},
                    packing_);
}

Index Fleet::InternZone(const ZoneId& zone) {
  const Index index = zone_ids_.Intern(zone);
  if (index == static_cast<Index>(zones_.size())) {
    zones_.emplace_back().id = zone;
  }
  return index;
}

void Fleet::CountCapacity(Index zone, const Resources& capacity,
                          int64_t workers) {
  zones_[zone].workers += workers;
  known_workers_ += workers;
  for (CapacityClass& capacity_class : capacity_classes_) {
    if (capacity_class.zone == zone && capacity_class.capacity == capacity) {
      capacity_class.workers += workers;
      return;
    }
  }
  capacity_classes_.push_back(
      {.zone = zone, .capacity = capacity, .workers = workers});
}

void Fleet::RaiseScale(const Resources& capacity) {
  const Resources raised =
      Resources::Max(Resources::Max(scale_, capacity), Resources::Uniform(1));
  if (raised == scale_) return;
  scale_ = raised;
  for (Index w = 0; w < static_cast<Index>(workers_.size()); ++w) {
    if (fit_.Contains(w)) Reindex(w, /*grew=*/false);
  }
}

Index Fleet::Add(const WorkerSpec& spec, WorkerAdmission admission) {
  const Index index = vms_.Intern(spec.vm);
  if (index == static_cast<Index>(workers_.size())) workers_.emplace_back();
  Unindex(index);
  Worker& worker = workers_[index];
  if (worker.known) {
    CountCapacity(worker.zone, worker.capacity, -1);
  } else {
    worker.speed = SpeedEstimate();
  }
  const Resources used = worker.capacity - worker.free;
  worker.vm = spec.vm;
  worker.zone = InternZone(spec.zone);
  worker.rack = racks_.Intern(spec.rack);
  worker.capacity = spec.capacity;
  worker.labels = spec.labels;
  worker.free = spec.capacity - used;
  worker.admission = admission;
  worker.known = true;
  CountCapacity(worker.zone, worker.capacity, 1);
  RaiseScale(spec.capacity);
  IndexIfOpen(index, /*grew=*/true);
  return index;
}

void Fleet::SetAdmission(Index worker, WorkerAdmission admission) {
  if (workers_[worker].admission == admission) return;
  Unindex(worker);
  workers_[worker].admission = admission;
  IndexIfOpen(worker, /*grew=*/true);
}

void Fleet::Remove(Index index) {
  Unindex(index);
  Worker& worker = workers_[index];
  if (!worker.known) return;
  CountCapacity(worker.zone, worker.capacity, -1);
  if (worker.health.state != HealthState::kInService) {
    --quarantined_;
    std::erase(unhealthy_, index);
  }
  worker.known = false;
  worker.health = Health{};
}

void Fleet::SetZoneInService(Index index, bool in_service) {
  Zone& zone = zones_[index];
  if (zone.in_service == in_service) return;
  zone.in_service = in_service;
  zone.returned = in_service;
  zone.ramp_until.reset();
  if (in_service) {
    open_capacity_ += zone.capacity;
  } else {
    open_capacity_ -= zone.capacity;
    return;
  }
  for (Index w = 0; w < static_cast<Index>(workers_.size()); ++w) {
    if (workers_[w].zone == index && fit_.Contains(w)) growth_.Add(w);
  }
}

void Fleet::Unindex(Index index) {
  Worker& worker = workers_[index];
  if (!worker.counted) return;
  worker.counted = false;
  fit_.Erase(worker.zone, index);
  zones_[worker.zone].capacity -= worker.capacity;
  if (zones_[worker.zone].in_service) open_capacity_ -= worker.capacity;
}

void Fleet::IndexIfOpen(Index index, bool grew) {
  Worker& worker = workers_[index];
  if (!IsOpen(worker)) return;
  worker.counted = true;
  // Every task takes a slot.
  if (worker.free[Dimension::kSlots] > 0) {
    fit_.Insert(worker.zone, index, KeyOf(index), worker.free);
  }
  zones_[worker.zone].capacity += worker.capacity;
  if (zones_[worker.zone].in_service) open_capacity_ += worker.capacity;
  if (grew) growth_.Add(index);
}

void Fleet::Reindex(Index index, bool grew) {
  Unindex(index);
  IndexIfOpen(index, grew);
}

void Fleet::Take(Index index, const Resources& size) {
  Worker& worker = workers_[index];
  worker.free -= size;
  committed_ += size;
  Reindex(index, /*grew=*/false);
}

void Fleet::GiveBack(Index index, const Resources& size) {
  Worker& worker = workers_[index];
  worker.free += size;
  committed_ -= size;
  Reindex(index, /*grew=*/true);
}

void Fleet::Reserve(Index index, Index job, const Resources& size,
                    bool urgent) {
  Worker& worker = workers_[index];
  worker.reserved_by = job;
  worker.reserved_for_urgent = urgent;
  worker.reserved += size;
}

void Fleet::Unreserve(Index index, const Resources& size) {
  Worker& worker = workers_[index];
  worker.reserved -= size;
  if (worker.reserved == Resources()) worker.reserved_by = kNone;
  if (fit_.Contains(index)) growth_.Add(index);
}

bool Fleet::MayQuarantine() const {
  return quarantined_ <
         std::max<int64_t>(1, known_workers_ / kQuarantineDivisor);
}

void Fleet::RecordOutcome(Index index, const Evidence& evidence,
                          MonotonicTime now) {
  Worker& worker = workers_[index];
  if (!worker.known) return;
  const HealthState before = worker.health.state;
  const HealthPolicy& policy = health_policy_;
  if (!policy.Record(worker.health, evidence, MayQuarantine(), now)) return;
  if (before == HealthState::kInService) {
    ++quarantined_;
    unhealthy_.push_back(index);
  } else if (worker.health.state == HealthState::kInService) {
    --quarantined_;
    std::erase(unhealthy_, index);
  }
  Reindex(index, /*grew=*/true);
}

void Fleet::AdvanceRamp(Zone& zone, MonotonicTime now, Duration zone_ramp) {
  if (zone.returned) {
    zone.returned = false;
    if (zone_ramp.count() <= 0) return;
    const auto slots = static_cast<double>(zone.capacity[Dimension::kSlots]);
    zone.ramp_until = now + zone_ramp;
    zone.ramp_refilled = now;
    zone.ramp_tokens = std::max(1.0, slots * kRampBurst);
    zone.ramp_rate =
        std::max(1.0, slots / std::chrono::duration<double>(zone_ramp).count());
    return;
  }
  if (!zone.ramp_until) return;
  if (now >= *zone.ramp_until) {
    zone.ramp_until.reset();
    return;
  }
  const std::chrono::duration<double> elapsed = now - zone.ramp_refilled;
  zone.ramp_tokens += std::max(0.0, elapsed.count()) * zone.ramp_rate;
  zone.ramp_refilled = std::max(now, zone.ramp_refilled);
}

void Fleet::Advance(MonotonicTime now, Duration zone_ramp) {
  for (Zone& zone : zones_) AdvanceRamp(zone, now, zone_ramp);
  for (size_t i = 0; i < unhealthy_.size();) {
    const Index index = unhealthy_[i];
    Health& health = workers_[index].health;
    if (!health_policy_.Advance(health, now)) {
      ++i;
      continue;
    }
    if (health.state == HealthState::kInService) {
      --quarantined_;
      unhealthy_.erase(unhealthy_.begin() + static_cast<int64_t>(i));
    } else {
      ++i;
    }
    Reindex(index, /*grew=*/true);
  }
}

void Fleet::TakeRampToken(Index zone) {
  if (zones_[zone].ramp_until) zones_[zone].ramp_tokens -= 1;
}

std::optional<MonotonicTime> Fleet::NextChange() const {
  std::optional<MonotonicTime> next;
  const auto add = [&next](MonotonicTime at) {
    next = next ? std::min(*next, at) : at;
  };
  for (Index index : unhealthy_) {
    if (workers_[index].health.until) add(*workers_[index].health.until);
  }
  for (const Zone& zone : zones_) {
    if (zone.ramp_until) {
      add(std::min(*zone.ramp_until, zone.ramp_refilled + kRampStep));
    }
  }
  return next;
}

}  // namespace azurepass::placement::internal
