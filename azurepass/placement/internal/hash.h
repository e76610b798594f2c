// Hash functions of integers, based on the finalizer of SplitMix64 (Steele, Lea
// and Flood, "Fast Splittable Pseudorandom Number Generators", OOPSLA 2014).
// The same input gives the same output in every run, which replay relies on.

#ifndef AZUREPASS_PLACEMENT_INTERNAL_HASH_H_
#define AZUREPASS_PLACEMENT_INTERNAL_HASH_H_

#include <cstdint>

namespace azurepass::placement::internal {

constexpr uint64_t MixBits(uint64_t x) {
  x += 0x9e3779b97f4a7c15;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9;
  x = (x ^ (x >> 27)) * 0x94d049bb133111eb;
  return x ^ (x >> 31);
}

// Returns a pseudorandom number in [0, 1) that depends on `x` only.
constexpr double UnitInterval(uint64_t x) {
  return static_cast<double>(MixBits(x) >> 11) * 0x1.0p-53;
}

}  // namespace azurepass::placement::internal

#endif  // AZUREPASS_PLACEMENT_INTERNAL_HASH_H_
