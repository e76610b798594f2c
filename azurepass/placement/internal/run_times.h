// Estimates run times from earlier ones. Declared run times are inaccurate, but
// those of one team and queue have similar errors. RunTimes therefore learns
// the ratio of the actual to the declared run time (the run time itself where
// none is declared), as a histogram on a logarithmic scale. The counts are
// halved when they reach kHalveAt, so that newer run times have more weight.
//
// The estimates are used for reservations and backfill only. A wrong estimate
// delays tasks and never violates a guarantee.

#ifndef AZUREPASS_PLACEMENT_INTERNAL_RUN_TIMES_H_
#define AZUREPASS_PLACEMENT_INTERNAL_RUN_TIMES_H_

#include <array>
#include <cstdint>
#include <optional>

#include "absl/container/flat_hash_map.h"
#include "azurepass/core/core.h"
#include "azurepass/placement/internal/interner.h"

namespace azurepass::placement::internal {

class RunTimes {
 public:
  // Records that a task of this team and spec ran for `actual`.
  void Learn(Index team, const JobSpec& spec, Duration actual);

  // Returns the 90th percentile of the run time of such tasks; empty for a
  // service, and when nothing is declared or learned.
  std::optional<Duration> Estimate(Index team, const JobSpec& spec) const;

 private:
  static constexpr int kBucketsPerOctave = 4;
  static constexpr int kBuckets = 40 * kBucketsPerOctave;
  static constexpr int kZeroBucket = 20 * kBucketsPerOctave;  // Ratio 1.
  static constexpr uint32_t kMinSamples = 8;  // Samples needed for an estimate.
  static constexpr uint32_t kHalveAt = 512;   // Sum at which counts halve.
  // Factor on the declared run time while there are too few samples.
  static constexpr int64_t kUnlearnedFactor = 2;

  struct Kind {
    Index team = kNone;
    QueueId queue;
    bool declared = false;
    bool operator==(const Kind&) const = default;
    template <class H>
    friend H AbslHashValue(H h, const Kind& kind) {
      return H::combine(std::move(h), kind.team, kind.queue, kind.declared);
    }
  };
  struct Histogram {
    uint32_t total = 0;  // Sum of counts.
    std::array<uint32_t, kBuckets> counts{};
  };

  static Kind KindOf(Index team, const JobSpec& spec);
  static double UnitOf(const JobSpec& spec);

  absl::flat_hash_map<Kind, Histogram> kinds_;
};

}  // namespace azurepass::placement::internal

#endif  // AZUREPASS_PLACEMENT_INTERNAL_RUN_TIMES_H_
