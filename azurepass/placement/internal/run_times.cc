// Implements the histograms of run times by team and queue.

#include "azurepass/placement/internal/run_times.h"

#include <algorithm>
#include <cmath>

namespace azurepass::placement::internal {
namespace {

// Reference run time of kinds without a declared one, in milliseconds.
constexpr double kUndeclaredUnitMillis = 1'000;

}  // namespace

RunTimes::Kind RunTimes::KindOf(Index team, const JobSpec& spec) {
  return {.team = team,
          .queue = spec.queue,
          .declared = spec.declared_run_time.count() > 0};
}

// Returns the denominator of the ratio, in milliseconds.
double RunTimes::UnitOf(const JobSpec& spec) {
  const double declared = static_cast<double>(spec.declared_run_time.count());
  return declared > 0 ? declared : kUndeclaredUnitMillis;
}

void RunTimes::Learn(Index team, const JobSpec& spec, Duration actual) {
  const double ratio =
      std::max(1.0, static_cast<double>(actual.count())) / UnitOf(spec);
  const int bucket =
      kZeroBucket +
      static_cast<int>(std::ceil(std::log2(ratio) * kBucketsPerOctave));
  Histogram& histogram = kinds_[KindOf(team, spec)];
  ++histogram.counts[std::clamp(bucket, 0, kBuckets - 1)];
  if (++histogram.total < kHalveAt) return;
  histogram.total = 0;
  for (uint32_t& count : histogram.counts) {
    count /= 2;
    histogram.total += count;
  }
}

std::optional<Duration> RunTimes::Estimate(Index team,
                                           const JobSpec& spec) const {
  if (std::holds_alternative<ServicePolicy>(spec.policy)) return std::nullopt;
  auto it = kinds_.find(KindOf(team, spec));
  if (it == kinds_.end() || it->second.total < kMinSamples) {
    if (spec.declared_run_time.count() <= 0) return std::nullopt;
    return spec.declared_run_time * kUnlearnedFactor;
  }
  const Histogram& histogram = it->second;
  const uint32_t rank = histogram.total - histogram.total / 10;
  uint32_t below = 0;
  int bucket = 0;
  while (bucket < kBuckets - 1 && (below += histogram.counts[bucket]) < rank) {
    ++bucket;
  }
  const double ratio =
      std::exp2(static_cast<double>(bucket - kZeroBucket) / kBucketsPerOctave);
  return Duration(static_cast<int64_t>(std::ceil(ratio * UnitOf(spec))));
}

}  // namespace azurepass::placement::internal
