// Tests the rules by which a service is divided: the number of partitions, the
// partition of each rack, and that racks never move.

#include "azurepass/layout/layout.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

namespace azurepass::layout {
namespace {

const ServiceId kService("intake");
constexpr int64_t kPartitionWorkers = 64;

WorkerSpec Worker(const std::string& vm, const std::string& zone,
                  const std::string& rack, int64_t millicores = 32'000) {
  WorkerSpec worker;
  worker.vm = VmId(vm);
  worker.zone = ZoneId(zone);
  worker.rack = RackId(rack);
  worker.service = kService;
  worker.capacity[Dimension::kMillicores] = millicores;
  return worker;
}

// Returns workers in racks of `per_rack`, distributed over the zones.
Workers Fleet(int64_t workers, int64_t zones, int64_t per_rack) {
  Workers fleet;
  for (int64_t i = 0; i < workers; ++i) {
    const int64_t zone = i % zones;
    const int64_t rack = i / zones / per_rack;
    fleet.push_back(
        Worker("vm-" + std::to_string(i), "z" + std::to_string(zone),
               "r" + std::to_string(zone) + "-" + std::to_string(rack)));
  }
  return fleet;
}

std::vector<int64_t> WorkersByPartition(const Layout& layout,
                                        const Workers& workers) {
  const std::vector<PartitionId> ids = PartitionsOf(layout);
  std::vector<int64_t> counts(ids.size());
  for (const WorkerSpec& worker : workers) {
    const auto id = PartitionOf(layout, worker);
    REQUIRE(id.has_value());
    const auto at = std::find(ids.begin(), ids.end(), *id);
    REQUIRE(at != ids.end());
    ++counts[at - ids.begin()];
  }
  return counts;
}

// Guards against a single owner for a service that is too large for it.
TEST_CASE("the number of partitions follows from the number of workers") {
  const struct {
    int64_t workers;
    int64_t zones;
    int64_t per_rack;
    int64_t partitions;
  } cases[] = {
      {0, 1, 20, 1},     {13, 3, 3, 1},    {35, 3, 6, 1},   {95, 3, 20, 1},
      {96, 3, 12, 2},    {98, 3, 12, 2},   {160, 3, 8, 3},  {252, 3, 20, 4},
      {1024, 3, 20, 16}, {252, 1, 252, 1}, {252, 3, 84, 3},
  };
  for (const auto& c : cases) {
    CAPTURE(c.workers);
    CAPTURE(c.per_rack);
    const Workers fleet = Fleet(c.workers, c.zones, c.per_rack);
    const Layout layout = Plan(kService, fleet, kPartitionWorkers);
    CHECK(layout.partitions == c.partitions);
    CHECK(PartitionsOf(layout).size() == c.partitions);
    CHECK(PartitionsOf(layout)[0] == PartitionOfService(kService));
    CHECK(Covers(layout, fleet));
  }
}

TEST_CASE("partitions are of similar size and have racks of every zone") {
  const Workers fleet = Fleet(252, 3, 20);
  const Layout layout = Plan(kService, fleet, kPartitionWorkers);
  for (const int64_t count : WorkersByPartition(layout, fleet)) {
    CHECK(count >= 40);
    CHECK(count <= 84);
  }
  std::map<PartitionId, std::set<ZoneId>> zones;
  for (const WorkerSpec& worker : fleet) {
    zones[*PartitionOf(layout, worker)].insert(worker.zone);
  }
  for (const auto& [id, of] : zones) CHECK(of.size() == 3);
}

TEST_CASE(
    "a worker without a rack has a partition; one in an unknown rack has "
    "none") {
  const Layout layout = Plan(kService, Fleet(252, 3, 20), kPartitionWorkers);
  CHECK(PartitionOf(layout, Worker("odd", "z0", "")).has_value());
  CHECK_FALSE(PartitionOf(layout, Worker("new", "z0", "r0-99")).has_value());
  CHECK(Covers(layout, {Worker("odd", "z0", "")}));
  CHECK_FALSE(Covers(layout, {Worker("new", "z0", "r0-99")}));
}

TEST_CASE("a layout can be decoded, a damaged one is rejected") {
  const Layout layout = Plan(kService, Fleet(252, 3, 20), kPartitionWorkers);
  CHECK(Decode(Encode(layout)) == layout);
  for (const char* damaged :
       {"", "{}", R"({"service":"intake","partitions":0,"racks":[]})",
        R"({"service":"intake","partitions":1,)"
        R"("racks":[{"rack":"r","partition":1}]})"}) {
    CAPTURE(damaged);
    CHECK_FALSE(Decode(damaged).has_value());
  }
}

Workers AnyFleet() {
  Workers fleet;
  const int64_t count = *rc::gen::inRange(0, 400);
  for (int64_t i = 0; i < count; ++i) {
    const auto zone = std::to_string(*rc::gen::inRange(0, 4));
    const auto rack = std::to_string(*rc::gen::inRange(0, 12));
    std::string rack_id = "r" + zone;
    rack_id += "-" + rack;
    fleet.push_back(Worker("vm-" + std::to_string(i), "z" + zone, rack_id,
                           *rc::gen::element(16'000, 32'000, 64'000)));
  }
  return fleet;
}

// Guards against a rack that has two owners with independent epochs.
TEST_CASE("an extension moves no rack and keeps the number of partitions") {
  const bool ok = rc::check([] {
    const Workers before = AnyFleet();
    const Workers after = AnyFleet();
    const Layout planned = Plan(kService, before, kPartitionWorkers);
    const Layout extended = Extend(planned, after);
    RC_ASSERT(extended.partitions == planned.partitions);
    RC_ASSERT(Covers(planned, before));
    RC_ASSERT(Covers(extended, after));
    for (const auto& [rack, index] : planned.racks) {
      RC_ASSERT(extended.racks.at(rack) == index);
    }
    for (const auto& [rack, index] : extended.racks) {
      RC_ASSERT(index >= 0);
      RC_ASSERT(index < extended.partitions);
    }
    RC_ASSERT(Extend(extended, after) == extended);
    Workers shuffled = before;
    std::reverse(shuffled.begin(), shuffled.end());
    RC_ASSERT(Plan(kService, shuffled, kPartitionWorkers) == planned);
  });
  CHECK(ok);
}

}  // namespace
}  // namespace azurepass::layout
