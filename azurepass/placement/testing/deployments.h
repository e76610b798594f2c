// Fleets for benchmarks and experiments: the four services of the two
// deployments at their present sizes, and larger fleets. Also random numbers
// for tests.

#ifndef AZUREPASS_PLACEMENT_TESTING_DEPLOYMENTS_H_
#define AZUREPASS_PLACEMENT_TESTING_DEPLOYMENTS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "azurepass/placement/placement.h"

namespace azurepass::placement::testing {

// A fleet of workers of the same capacity. Each rack is filled before the next
// one, and the racks are assigned to the zones in turn.
struct Deployment {
  std::string name;
  std::vector<ZoneId> zones;
  int32_t workers = 0;
  int32_t workers_per_rack = 1;
  Resources capacity;
};

Deployment Intake();        // Rilapak: 35 workers.
Deployment Vision();        // Rilapak: 13 workers with accelerators.
Deployment RegistroRuta();  // Presión Viva: 35 workers.
Deployment TallerIa();      // Presión Viva: 13 workers with accelerators.
// Returns a fleet of seven zones. Each worker has 24 slots and two
// accelerators.
Deployment LargeDeployment(int32_t workers);

std::vector<WorkerSpec> WorkersOf(const Deployment& deployment);

// A pseudorandom number generator that yields the same numbers on every
// machine.
class Random {
 public:
  explicit Random(uint64_t seed) : state_(seed) {}
  uint64_t Next();
  // Returns a number in [0, bound).
  int64_t Below(int64_t bound) {
    return static_cast<int64_t>(Next() % static_cast<uint64_t>(bound));
  }
  double Uniform();                 // In [0, 1).
  double Exponential(double mean);  // In the unit of `mean`.

 private:
  uint64_t state_;
};

}  // namespace azurepass::placement::testing

#endif  // AZUREPASS_PLACEMENT_TESTING_DEPLOYMENTS_H_
