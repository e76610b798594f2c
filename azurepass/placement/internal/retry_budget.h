// Bounds the retries of the whole cell to a fraction of its first starts, so
// that jobs which fail wherever they run cannot fill the fleet with their own
// repetitions. A bucket of tokens: each first start adds kTokensPerStart, time
// adds a trickle so that a cell with little traffic still retries, and each
// retry of such a job takes one. Others retry without: a job that failed little
// or succeeds more often than not, and work that lasts, of which there is no
// more than there is room for.

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

  // Whether the job's retries take tokens.
  static bool Bounds(const Job& job) {
    return !job.spec.perpetual && job.outcomes.failures > kFreeFailures &&
           job.outcomes.failures > job.outcomes.successes;
  }

  // Takes one token; false when there is none at `now`.
  bool Take(MonotonicTime now) {
    Refill(now);
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

  // When the trickle alone has made the next token. Requires a Take before.
  MonotonicTime Next() const {
    const double seconds = std::max(0.0, 1 - tokens_) / kTokensPerSecond;
    return *refilled_ + Duration(static_cast<int64_t>(seconds * 1'000) + 1);
  }

 private:
  // Of a job: what a bad worker may do to a sound one before it is found out.
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
