// The fleets and their workers.

#include "azurepass/placement/testing/deployments.h"

#include <cmath>

#include "absl/strings/str_cat.h"
#include "azurepass/placement/internal/hash.h"

namespace azurepass::placement::testing {
namespace {

std::vector<ZoneId> BgSouth() {
  return {ZoneId("plovdiv-a"), ZoneId("plovdiv-b"), ZoneId("pazardzhik")};
}

std::vector<ZoneId> AltiplanoOeste() {
  return {ZoneId("xela-alta"), ZoneId("xela-baja"), ZoneId("toto-plaza"),
          ZoneId("reu-litoral")};
}

}  // namespace

Deployment Intake() {
  return {"intake", BgSouth(), 35, 5, {8, 64, 32'000, 65'536, 0}};
}
Deployment Vision() {
  return {"vision", BgSouth(), 13, 3, {8, 64, 128'000, 262'144, 8}};
}
Deployment RegistroRuta() {
  return {"registro-ruta", AltiplanoOeste(), 35, 4, {8, 64, 16'000, 65'536, 0}};
}
Deployment TallerIa() {
  return {"taller-ia", AltiplanoOeste(), 13, 3, {8, 64, 32'000, 131'072, 8}};
}

Deployment LargeDeployment(int32_t workers) {
  Deployment large{absl::StrCat("large-", workers),
                   {},
                   workers,
                   20,
                   {24, 192, 48'000, 131'072, 2}};
  for (int z = 0; z < 7; ++z)
    large.zones.emplace_back(absl::StrCat("zone-", z));
  return large;
}

std::vector<WorkerSpec> WorkersOf(const Deployment& deployment) {
  std::vector<WorkerSpec> workers;
  for (int32_t w = 0; w < deployment.workers; ++w) {
    const int32_t rack = w / deployment.workers_per_rack;
    workers.push_back({.vm = VmId(absl::StrCat("vm-", w)),
                       .zone = deployment.zones[rack % deployment.zones.size()],
                       .rack = RackId(absl::StrCat("rack-", rack)),
                       .service = ServiceId(deployment.name),
                       .address = "",
                       .capacity = deployment.capacity});
  }
  return workers;
}

uint64_t Random::Next() { return internal::MixBits(state_++); }

double Random::Uniform() { return internal::UnitInterval(Next()); }

double Random::Exponential(double mean) {
  return -mean * std::log(1 - Uniform());
}

}  // namespace azurepass::placement::testing
