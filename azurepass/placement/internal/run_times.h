// Learned run times. Declared run times are far off, but those of one team and
// queue are off in much the same way, so what is learned is the ratio of the
// actual to the declared run time (the run time itself where none is declared),
// as a histogram over powers of two whose counts are halved now and then.
//
// Used for reservations and backfill only; a wrong estimate delays, and never
// breaks a promise.

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
  // Takes in that a task of this kind ran for `actual`.
  void Learn(Index team, const JobSpec& spec, Duration actual);

  // The run time that nine of ten tasks of this kind stay within; empty for a
  // service, and when nothing is declared or learned.
  std::optional<Duration> Estimate(Index team, const JobSpec& spec) const;

 private:
  static constexpr int kBucketsPerOctave = 4;
  static constexpr int kBuckets = 40 * kBucketsPerOctave;
  static constexpr int kZeroBucket = 20 * kBucketsPerOctave;  // Ratio 1.
  static constexpr uint32_t kEnough = 8;          // Run times before it counts.
  static constexpr uint32_t kHalveAt = 512;       // Counts are halved here.
  static constexpr int64_t kUnlearnedFactor = 2;  // On a declared run time.

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
