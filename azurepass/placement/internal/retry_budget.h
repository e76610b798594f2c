// Limits the retries in a cell to a fraction of its first starts, so that jobs
// that fail on every worker cannot fill the fleet with retries. This is a token
// bucket: each first start adds kTokensPerStart, time adds kTokensPerSecond so
// that a cell with few starts still retries, and each retry of a job that is
// subject to the budget takes one token, that of an atomic gang as a whole.
// Exempt are jobs with few failures, jobs that succeed at least as often as
// they fail, and perpetual jobs, of which there are no more than there is room
// for.

#ifndef AZUREPASS_PLACEMENT_INTERNAL_RETRY_BUDGET_H_
#define AZUREPASS_PLACEMENT_INTERNAL_RETRY_BUDGET_H_

#include <algorithm>
#include <cstdint>
#include <optional>

#include "azurepass/core/core.h"
#include "azurepass/placement/internal/job.h"

namespace azurepass::placement::internal {

class RetryBudget {
 public:
  void OnFirstStart() { Add(kTokensPerStart); }

  // Returns whether the job's retries take tokens.
  static bool AppliesTo(const Job& job) {
    const int32_t failures =
        job.is_atomic() ? job.failed_attempts : job.outcomes.failures;
    return !job.spec.perpetual && failures > kFreeFailures &&
           failures > job.outcomes.successes;
  }

  // Takes one token. Returns false when there is none at `now`.
  bool Take(MonotonicTime now) {
    Refill(now);
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

  // Returns the time at which kTokensPerSecond alone has made the next token.
  // Requires an earlier call of Take.
  MonotonicTime NextToken() const {
    const double seconds = std::max(0.0, 1 - tokens_) / kTokensPerSecond;
    return *refilled_ + Duration(static_cast<int64_t>(seconds * 1'000) + 1);
  }

 private:
  // Failures of a job that take no token: a faulty worker may cause this many
  // in a job without faults before the worker is quarantined.
  static constexpr int32_t kFreeFailures = 2;
  static constexpr double kTokensPerStart = 0.1;
  static constexpr double kTokensPerSecond = 2;
  static constexpr double kMaxTokens = 100;

  void Add(double tokens) { tokens_ = std::min(kMaxTokens, tokens_ + tokens); }

  void Refill(MonotonicTime now) {
    if (refilled_.has_value() && now > *refilled_) {
      Add(std::chrono::duration<double>(now - *refilled_).count() *
          kTokensPerSecond);
    }
    refilled_ = refilled_.has_value() ? std::max(*refilled_, now) : now;
  }

  double tokens_ = kMaxTokens;  // 0 <= tokens_ <= kMaxTokens.
  std::optional<MonotonicTime> refilled_;
};

}  // namespace azurepass::placement::internal

#endif  // AZUREPASS_PLACEMENT_INTERNAL_RETRY_BUDGET_H_
