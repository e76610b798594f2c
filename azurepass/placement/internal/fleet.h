// The workers, their free room and the indexes over it. The only place where
// free room changes, so that indexes and totals follow every change.

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
  bool counted = false;  // In the open capacity.
  Health health;
  std::vector<TaskRef> tasks;
  std::vector<std::string> labels;
  // Tasks here that last, and that take what others leave unused.
  int32_t perpetual = 0;
  int32_t scavengers = 0;
  // Room kept for one job's reservation.
  Index reserved_by = kNone;
  bool reserved_for_urgent = false;
  Resources reserved;
};

// Invariant: ramp_until is set while the zone fills up after its return.
struct Zone {
  ZoneId id;
  bool in_service = true;
  bool returned = false;  // Since the last Decide.
  std::optional<MonotonicTime> ramp_until;
  MonotonicTime ramp_refilled;
  double ramp_tokens = 0;  // Starts allowed now.
  double ramp_rate = 0;    // Starts a second.
  int64_t workers = 0;
  Resources capacity;  // Of its open workers.
};

class Fleet {
 public:
  Fleet(const Packing& packing, const Quarantine& quarantine)
      : packing_(packing), health_policy_(quarantine) {}

  // --- Changes.
  Index Add(const WorkerSpec& spec, WorkerAdmission admission);
  void SetAdmission(Index worker, WorkerAdmission admission);
  void Remove(Index worker);
  void SetZoneInService(Index zone, bool in_service);
  void Take(Index worker, const Resources& size);
  void GiveBack(Index worker, const Resources& size);
  void Reserve(Index worker, Index job, const Resources& size, bool urgent);
  void Unreserve(Index worker, const Resources& size);
  // Evidence about the worker; see HealthPolicy.
  void RecordOutcome(Index worker, const Evidence& evidence, MonotonicTime now);
  // Ends quarantine periods and zone ramps that are over.
  void Advance(MonotonicTime now, Duration zone_ramp);
  void TakeRampToken(Index zone);

  // --- Answers.
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
  // True when new tasks may go there, room and zone apart.
  bool IsOpen(const Worker& worker) const;
  bool MayStartInZone(Index zone) const;
  // In service, but no task may start there at this moment.
  bool IsFillingUp(Index zone) const;
  // The earliest end of a quarantine period or ramp.
  std::optional<MonotonicTime> NextChange() const;
  // How many workers there are of each capacity in each zone.
  struct Model {
    Index zone = kNone;
    Resources capacity;
    int64_t workers = 0;
  };
  const std::vector<Model>& models() const { return models_; }
  // The packing's order: a lower key is preferred.
  double KeyOf(Index worker) const;
  // No worker with a lower key has room for `size`.
  double LeastKey(const Resources& size) const;

 private:
  void Unindex(Index worker);
  // Indexes the worker where it is open; `grew` also logs its room.
  void IndexIfOpen(Index worker, bool grew);
  void Reindex(Index worker, bool grew);
  void CountModel(Index zone, const Resources& capacity, int64_t workers);
  void RaiseScale(const Resources& capacity);
  void AdvanceRamp(Zone& zone, MonotonicTime now, Duration zone_ramp);
  bool MayQuarantine() const;

  Packing packing_;
  HealthPolicy health_policy_;
  Interner<VmId> vms_;
  Interner<RackId> racks_;
  Interner<ZoneId> zone_ids_;
  std::vector<Worker> workers_;
  std::vector<Zone> zones_;
  std::vector<Model> models_;
  FitIndex fit_;  // Of the workers that are IsOpen, those with a free slot.
  GrowthLog growth_;
  Resources open_capacity_;  // Sum over indexed workers of zones in service.
  Resources committed_;      // Sum over all workers.
  Resources scale_;  // Largest capacity seen, per dimension; at least 1.
  int64_t known_workers_ = 0;
  int64_t quarantined_ = 0;       // In kQuarantined or kProbing.
  std::vector<Index> unhealthy_;  // The same, listed.
};

}  // namespace azurepass::placement::internal

#endif  // AZUREPASS_PLACEMENT_INTERNAL_FLEET_H_
