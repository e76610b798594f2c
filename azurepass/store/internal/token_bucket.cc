// The arithmetic of the token bucket.

#include "azurepass/store/internal/token_bucket.h"

#include <algorithm>
#include <cmath>

namespace azurepass::store::internal {
namespace {

constexpr double kMillisPerSecond = 1'000;
// Sums of fractions that should make a whole token may fall short by so much.
constexpr double kRounding = 1e-9;

}  // namespace

TokenBucket::TokenBucket(double rate, double burst, MonotonicTime now)
    : rate_(rate), burst_(burst), tokens_(burst), refilled_(now) {}

bool TokenBucket::TryTake(MonotonicTime now) {
  Refill(now);
  if (tokens_ < 1 - kRounding) return false;
  tokens_ = std::max(0.0, tokens_ - 1);
  return true;
}

Duration TokenBucket::Wait(MonotonicTime now) {
  Refill(now);
  if (tokens_ >= 1 - kRounding) return Duration(0);
  const double seconds = (1 - tokens_) / rate_;
  return Duration(
      static_cast<Duration::rep>(std::ceil(seconds * kMillisPerSecond)));
}

void TokenBucket::Refill(MonotonicTime now) {
  if (now <= refilled_) return;
  const std::chrono::duration<double> passed = now - refilled_;
  tokens_ = std::min(burst_, tokens_ + passed.count() * rate_);
  refilled_ = now;
}

}  // namespace azurepass::store::internal
