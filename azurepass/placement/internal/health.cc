// Implements the quarantine rules.

#include "azurepass/placement/internal/health.h"

#include <algorithm>
#include <cmath>

namespace azurepass::placement::internal {
namespace {

constexpr int kMaxDoublings = 10;
// Tolerance of the comparison with min_failures: decay reduces the count even
// of failures in quick succession.
constexpr double kDecayTolerance = 0.2;
// Expected failure rate of a job without outcomes on other workers.
constexpr double kPriorFailureRate = 0.05;

void Decay(const WindowedQuarantine& rule, Health& health, MonotonicTime now) {
  if (health.decayed.has_value() && now > *health.decayed) {
    const std::chrono::duration<double, std::milli> age = now - *health.decayed;
    const double factor =
        std::exp2(-age.count() / static_cast<double>(rule.half_life.count()));
    health.outcomes *= factor;
    health.failures *= factor;
    health.expected *= factor;
  }
  health.decayed = now;
}

void Count(Health& health, const Evidence& evidence) {
  // Consecutive failures of one job that ran on no other worker are counted
  // once, since the job may be their cause.
  const bool may_be_the_job = evidence.failed && !evidence.peer_rate &&
                              health.last_failed_job == evidence.job;
  if (evidence.failed) health.last_failed_job = evidence.job;
  if (may_be_the_job) return;
  health.outcomes += 1;
  health.failures += evidence.failed ? 1 : 0;
  health.expected += evidence.peer_rate.value_or(kPriorFailureRate);
}

bool IsAbovePeers(const WindowedQuarantine& rule, const Health& health) {
  return health.failures >= rule.min_failures - kDecayTolerance &&
         health.failures - health.expected >=
             rule.min_excess_failure_rate * health.outcomes;
}

Duration PeriodOf(const WindowedQuarantine& rule, int32_t rounds) {
  const int doublings = std::clamp(rounds - 1, 0, kMaxDoublings);
  return std::min(rule.max_period, rule.initial_period * (1 << doublings));
}

void StartQuarantine(const WindowedQuarantine& rule, Health& health,
                     MonotonicTime now) {
  health.state = HealthState::kQuarantined;
  ++health.rounds;
  health.probe_successes = 0;
  health.until = now + PeriodOf(rule, health.rounds);
}

void Reinstate(Health& health) { health = Health{}; }

}  // namespace

bool HealthPolicy::RecordWindowed(const WindowedQuarantine& rule,
                                  Health& health, const Evidence& evidence,
                                  bool may_quarantine,
                                  MonotonicTime now) const {
  Decay(rule, health, now);
  Count(health, evidence);
  switch (health.state) {
    case HealthState::kInService:
      if (!may_quarantine || !IsAbovePeers(rule, health)) return false;
      StartQuarantine(rule, health, now);
      return true;
    case HealthState::kQuarantined:
      return false;  // The task was started before the quarantine.
    case HealthState::kProbing:
      break;
  }
  if (evidence.failed) {
    StartQuarantine(rule, health, now);
    return true;
  }
  if (++health.probe_successes < rule.probe_successes) return false;
  Reinstate(health);
  return true;
}

bool HealthPolicy::Record(Health& health, const Evidence& evidence,
                          bool may_quarantine, MonotonicTime now) const {
  return std::visit(Visitor{[&](const WindowedQuarantine& rule) {
                              return RecordWindowed(rule, health, evidence,
                                                    may_quarantine, now);
                            },
                            [&](const FirstFailureQuarantine&) {
                              if (!evidence.failed) return false;
                              health.state = HealthState::kQuarantined;
                              return true;
                            },
                            [](const NoQuarantine&) { return false; }},
                    quarantine_);
}

bool HealthPolicy::Advance(Health& health, MonotonicTime now) const {
  const auto* rule = std::get_if<WindowedQuarantine>(&quarantine_);
  if (rule == nullptr || !health.until || now < *health.until) return false;
  if (health.state == HealthState::kQuarantined) {
    health.state = HealthState::kProbing;
    health.until = now + PeriodOf(*rule, health.rounds) * kProbePatience;
  } else {
    Reinstate(health);
  }
  return true;
}

}  // namespace azurepass::placement::internal
