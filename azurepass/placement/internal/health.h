// Decides which workers are quarantined because their tasks fail, and when they
// return to service.
//
// A single failure is no evidence: a lost transfer or a bad input looks the
// same as a bad worker, and a rule that excludes a worker permanently at its
// first failure excludes the whole fleet in the end. Failures are therefore
// counted with exponential decay and compared to those of the same jobs on
// other workers. A job that fails everywhere raises its expected failure rate
// and is no evidence against any worker.
//
// A worker whose failure rate exceeds that of its peers by
// `min_excess_failure_rate` is quarantined for a period that doubles with each
// round, up to a bound. After the period it takes one probe task at a time,
// until enough probes have succeeded or a probe fails and it is quarantined
// again. A probing worker that gets no probe returns to service after
// kProbePatience periods.

#ifndef AZUREPASS_PLACEMENT_INTERNAL_HEALTH_H_
#define AZUREPASS_PLACEMENT_INTERNAL_HEALTH_H_

#include <cstdint>
#include <optional>

#include "azurepass/placement/internal/interner.h"
#include "azurepass/placement/placement.h"

namespace azurepass::placement::internal {

enum class HealthState : uint8_t { kInService, kQuarantined, kProbing };

// The health record of one worker. Invariant: `until` is set in kQuarantined
// and kProbing, except in a FirstFailureQuarantine, which never ends.
struct Health {
  HealthState state = HealthState::kInService;
  // These counts are decayed to the time `decayed`.
  double outcomes = 0;
  double failures = 0;
  double expected = 0;  // Failures that its peers would have had.
  std::optional<MonotonicTime> decayed;
  Index last_failed_job = kNone;
  int32_t rounds = 0;  // Quarantines in a row.
  int32_t probe_successes = 0;
  std::optional<MonotonicTime> until;
};

// The outcome of an attempt, as evidence about its worker.
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

  // Updates `health` with the evidence. Puts a worker in service into
  // quarantine only if `may_quarantine`. Returns true when the worker's state
  // changed.
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
