// Racks are placed one by one. Each goes to the partition that has the fewest
// racks of its zone so far and, among those, the least capacity. Within a zone,
// the largest rack is placed first, as in the longest-processing-time rule
// (Graham, "Bounds on Multiprocessing Timing Anomalies", 1969). Spreading each
// zone has precedence over balance, because a partition whose racks are all in
// one zone would be lost with that zone.

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

#include "azurepass/layout/layout.h"

namespace azurepass::layout {
namespace {

// Returns the number of partitions. A service smaller than one and a half times
// the usual size of a partition is not divided: dividing it costs more, in jobs
// that find no room in their partition, than it saves.
int64_t PartitionCountFor(int64_t workers, int64_t partition_workers) {
  if (2 * workers < 3 * partition_workers) return 1;
  return (workers + partition_workers / 2) / partition_workers;
}

struct Rack {
  ZoneId zone;
  Resources capacity;
};

// Returns the size by which racks are compared. Only processors count, because
// all workers have some and they limit the number of starts.
int64_t SizeOf(const Resources& capacity) {
  return capacity[Dimension::kMillicores];
}

std::map<RackId, Rack> RacksOf(const Workers& workers) {
  std::map<RackId, Rack> racks;
  for (const WorkerSpec& worker : workers) {
    if (worker.rack.empty()) continue;
    Rack& rack = racks[worker.rack];
    rack.zone = worker.zone;
    rack.capacity += worker.capacity;
  }
  return racks;
}

// The racks placed in a partition so far.
struct PartitionLoad {
  int64_t size = 0;
  std::map<ZoneId, int64_t> racks_by_zone;
};

}  // namespace

Layout Plan(const ServiceId& service, const Workers& workers,
            int64_t partition_workers) {
  const int64_t wanted =
      PartitionCountFor(std::ssize(workers), partition_workers);
  const auto racks = std::ssize(RacksOf(workers));
  Layout layout;
  layout.service = service;
  layout.partitions = std::max<int64_t>(1, std::min<int64_t>(wanted, racks));
  return Extend(std::move(layout), workers);
}

Layout Extend(Layout layout, const Workers& workers) {
  std::vector<PartitionLoad> loads(layout.partitions);
  std::vector<std::tuple<ZoneId, int64_t, RackId>> unplaced;
  for (const auto& [id, rack] : RacksOf(workers)) {
    const int64_t size = SizeOf(rack.capacity);
    const auto placed = layout.racks.find(id);
    if (placed == layout.racks.end()) {
      unplaced.emplace_back(rack.zone, -size, id);
      continue;
    }
    PartitionLoad& load = loads[placed->second];
    load.size += size;
    ++load.racks_by_zone[rack.zone];
  }
  std::sort(unplaced.begin(), unplaced.end());
  for (const auto& [zone, negative_size, id] : unplaced) {
    const auto least_loaded =
        std::min_element(loads.begin(), loads.end(),
                         [&zone = zone](PartitionLoad& a, PartitionLoad& b) {
                           return std::pair(a.racks_by_zone[zone], a.size) <
                                  std::pair(b.racks_by_zone[zone], b.size);
                         });
    layout.racks[id] = least_loaded - loads.begin();
    least_loaded->size -= negative_size;
    ++least_loaded->racks_by_zone[zone];
  }
  return layout;
}

PartitionId PartitionOf(const ServiceId& service, int64_t index) {
  if (index == 0) return PartitionOfService(service);
  return PartitionId(service.value() + "~" + std::to_string(index));
}

bool Covers(const Layout& layout, const Workers& workers) {
  return std::all_of(
      workers.begin(), workers.end(), [&](const WorkerSpec& worker) {
        return worker.rack.empty() || layout.racks.contains(worker.rack);
      });
}

std::optional<PartitionId> PartitionOf(const Layout& layout,
                                       const WorkerSpec& worker) {
  if (worker.rack.empty()) return PartitionOf(layout.service, 0);
  const auto found = layout.racks.find(worker.rack);
  if (found == layout.racks.end()) return std::nullopt;
  return PartitionOf(layout.service, found->second);
}

std::vector<PartitionId> PartitionsOf(const Layout& layout) {
  std::vector<PartitionId> partitions;
  for (int64_t i = 0; i < layout.partitions; ++i) {
    partitions.push_back(PartitionOf(layout.service, i));
  }
  return partitions;
}

}  // namespace azurepass::layout
