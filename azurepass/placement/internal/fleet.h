// Holds the workers, their free room, and the indexes over it. Free room
// changes only here, so that indexes and totals stay consistent with it.

#ifndef AZUREPASS_PLACEMENT_INTERNAL_FLEET_H_
#define AZUREPASS_PLACEMENT_INTERNAL_FLEET_H_

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "azurepass/placement/internal/fit_index.h"
#include "azurepass/placement/internal/growth_log.h"
#include "azurepass/placement/internal/health.h"
#include "azurepass/placement/internal/job.h"

namespace azurepass::placement::internal {

// Invariant: free is capacity less the sizes of `tasks`; it is negative only
// after the capacity was lowered.
struct Worker {
  VmId vm;
  Index zone = kNone;
  Index rack = kNone;
  Resources capacity;
  Resources free;
  WorkerAdmission admission = WorkerAdmission::kClosed;
  bool known = false;    // False after RemoveWorker.
  bool counted = false;  // Included in the open capacity.
  Health health;
  SpeedEstimate speed;  // Of this life of the worker.
  std::vector<TaskRef> tasks;
  std::vector<std::string> labels;
  // Number of perpetual tasks and of scavengers on the worker.
  int32_t perpetual = 0;
  int32_t scavengers = 0;
  // Room reserved for one job.
  Index reserved_by = kNone;
  bool reserved_for_urgent = false;
  Resources reserved;
};

// Invariant: ramp_until is set while starts in the zone are limited after its
// return to service.
struct Zone {
  ZoneId id;
  bool in_service = true;
  bool returned = false;  // Returned to service since the last Advance.
  std::optional<MonotonicTime> ramp_until;
  MonotonicTime ramp_refilled;
  double ramp_tokens = 0;  // Starts allowed now.
  double ramp_rate = 0;    // Starts a second.
  int64_t workers = 0;
  Resources capacity;  // Of its open workers.
};

class Fleet {
 public:
  Fleet(const Packing& packing, const Quarantine& quarantine,
        const WorkerSpeeds& speeds)
      : packing_(packing), health_policy_(quarantine), speeds_(speeds) {}

  // --- Changes.
  Index Add(const WorkerSpec& spec, WorkerAdmission admission);
  void SetAdmission(Index worker, WorkerAdmission admission);
  void Remove(Index worker);
  void SetZoneInService(Index zone, bool in_service);
  void Take(Index worker, const Resources& size);
  void GiveBack(Index worker, const Resources& size);
  void Reserve(Index worker, Index job, const Resources& size, bool urgent);
  void Unreserve(Index worker, const Resources& size);
  // Updates the worker's health; see HealthPolicy.
  void RecordOutcome(Index worker, const Evidence& evidence, MonotonicTime now);
  // Ends quarantine periods and zone ramps that are over.
  void Advance(MonotonicTime now, Duration zone_ramp);
  void TakeRampToken(Index zone);

  // --- Queries.
  Index Find(const VmId& vm) const { return vms_.Find(vm); }
  Index InternZone(const ZoneId& zone);
  Index FindZone(const ZoneId& zone) const { return zone_ids_.Find(zone); }
  const Worker& worker(Index index) const { return workers_[index]; }
  Worker& worker(Index index) { return workers_[index]; }
  const std::vector<Worker>& workers() const { return workers_; }
  const Zone& zone(Index index) const { return zones_[index]; }
  const std::vector<Zone>& zones() const { return zones_; }
  const FitIndex& fit() const { return fit_; }
  const GrowthLog& growth() const { return growth_; }
  const Resources& open_capacity() const { return open_capacity_; }
  const Resources& committed() const { return committed_; }
  const Resources& scale() const { return scale_; }
  const Packing& packing() const { return packing_; }
  const RackId& RackOf(Index rack) const { return racks_.IdOf(rack); }
  int64_t known_workers() const { return known_workers_; }
  int64_t quarantined() const { return quarantined_; }
  // Returns true when the worker may be given tasks, apart from its room and
  // the state of its zone.
  bool IsOpen(const Worker& worker) const;
  // See LearnedSpeeds.
  bool IsSlow(const Worker& worker) const;
  bool MayStartInZone(Index zone) const;
  // Returns true when the zone is in service but its ramp allows no start now.
  bool IsFillingUp(Index zone) const;
  // Returns the next time at which a quarantine period ends or a ramp may allow
  // more starts.
  std::optional<MonotonicTime> NextChange() const;
  // The number of workers of one capacity in one zone.
  struct CapacityClass {
    Index zone = kNone;
    Resources capacity;
    int64_t workers = 0;
  };
  const std::vector<CapacityClass>& capacity_classes() const {
    return capacity_classes_;
  }
  // Returns the worker's key in the packing's order; lower keys are preferred.
  double KeyOf(Index worker) const;
  // Returns a lower bound of the keys of workers with room for `size`.
  double LeastKey(const Resources& size) const;

 private:
  void Unindex(Index worker);
  // Adds the worker to the indexes if it is open. With `grew`, also adds it to
  // the growth log.
  void IndexIfOpen(Index worker, bool grew);
  void Reindex(Index worker, bool grew);
  void CountCapacity(Index zone, const Resources& capacity, int64_t workers);
  void RaiseScale(const Resources& capacity);
  void AdvanceRamp(Zone& zone, MonotonicTime now, Duration zone_ramp);
  bool MayQuarantine() const;

  Packing packing_;
  HealthPolicy health_policy_;
  WorkerSpeeds speeds_;
  Interner<VmId> vms_;
  Interner<RackId> racks_;
  Interner<ZoneId> zone_ids_;
  std::vector<Worker> workers_;
  std::vector<Zone> zones_;
  std::vector<CapacityClass> capacity_classes_;
  FitIndex fit_;  // Contains the open workers that have a free slot.
  GrowthLog growth_;
  Resources open_capacity_;  // Sum over indexed workers of zones in service.
  Resources committed_;      // Sum over all workers.
  Resources scale_;  // Largest capacity seen, per dimension; at least 1.
  int64_t known_workers_ = 0;
  int64_t quarantined_ = 0;       // In kQuarantined or kProbing.
  std::vector<Index> unhealthy_;  // The workers that quarantined_ counts.
};

}  // namespace azurepass::placement::internal

#endif  // AZUREPASS_PLACEMENT_INTERNAL_FLEET_H_
