// Decides which workers are kept from new work because they fail what they
// start, and when they are tried again.
//
// One failure proves nothing: a lost transfer or a bad input looks the same as
// a bad worker, and a rule that bars a worker for good at the first failure
// bars the fleet in the end. So failures are counted in a window (exponentially
// decayed) and set against what the same jobs failed on other workers: a job
// that fails everywhere raises its own expected rate and accuses nobody. A
// worker above its peers by `least_excess` is quarantined for a period that
// doubles with each round up to a bound; then it takes one probe task at a
// time until enough have succeeded, or it is quarantined again. A probing
// worker that gets no probe comes back by itself after kProbePatience periods.

#ifndef AZUREPASS_PLACEMENT_INTERNAL_HEALTH_H_
#define AZUREPASS_PLACEMENT_INTERNAL_HEALTH_H_

#include <cstdint>
#include <optional>

#include "azurepass/placement/internal/interner.h"
#include "azurepass/placement/placement.h"

namespace azurepass::placement::internal {

enum class HealthState : uint8_t { kInService, kQuarantined, kProbing };

// One worker's record. Invariant: `until` is set unless kInService, except
// that a hair-trigger quarantine never ends.
struct Health {
  HealthState state = HealthState::kInService;
  double outcomes = 0;  // Decayed, as of `decayed`.
  double failures = 0;
  double expected = 0;  // Failures that its peers would have had.
  std::optional<MonotonicTime> decayed;
  Index last_failed_job = kNone;
  int32_t rounds = 0;  // Quarantines in a row.
  int32_t probe_successes = 0;
  std::optional<MonotonicTime> until;
};

// An attempt's end, as evidence about its worker.
struct Evidence {
  bool failed = false;
  Index job = kNone;
  // The job's failure rate on other workers; empty when it ran nowhere else.
  std::optional<double> peer_rate;
};

class HealthPolicy {
 public:
  explicit HealthPolicy(const Quarantine& quarantine)
      : quarantine_(quarantine) {}

  // Takes in the evidence. Quarantines only where `may_quarantine`. Returns
  // true when the worker's state changed.
  bool Record(Health& health, const Evidence& evidence, bool may_quarantine,
              MonotonicTime now) const;

  // Ends periods that are over. Returns true when the state changed.
  bool Advance(Health& health, MonotonicTime now) const;

 private:
  static constexpr int kProbePatience = 4;  // Periods.

  bool RecordWindowed(const WindowedQuarantine& rule, Health& health,
                      const Evidence& evidence, bool may_quarantine,
                      MonotonicTime now) const;

  Quarantine quarantine_;
};

}  // namespace azurepass::placement::internal

#endif  // AZUREPASS_PLACEMENT_INTERNAL_HEALTH_H_
