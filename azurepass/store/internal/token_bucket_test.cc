// The bucket against its definition.

#include "azurepass/store/internal/token_bucket.h"

#include <doctest/doctest.h>

namespace azurepass::store::internal {
namespace {

TEST_CASE("never more than burst plus rate times time, and no less") {
  struct Case {
    double rate;
    double burst;
    Duration step;
    int steps;
    int expected;
  };
  const Case cases[] = {
      {10, 1, Duration(100), 50, 50},   // A step earns exactly one.
      {10, 1, Duration(50), 100, 50},   // Every second step.
      {10, 5, Duration(50), 100, 54},   // The burst on top.
      {1'000, 3, Duration(1), 20, 20},  // One a millisecond.
      {10, 2, Duration(10'000), 4, 4},  // Idle time earns only the burst.
  };
  for (const Case& c : cases) {
    CAPTURE(c.rate);
    CAPTURE(c.step.count());
    MonotonicTime now{};
    TokenBucket bucket(c.rate, c.burst, now);
    int taken = 0;
    for (int i = 0; i < c.steps; ++i) {
      taken += bucket.TryTake(now) ? 1 : 0;
      now += c.step;
    }
    CHECK(taken == c.expected);
  }
}

TEST_CASE("the announced wait is enough and not too long") {
  MonotonicTime now{};
  TokenBucket bucket(3, 1, now);
  CHECK(bucket.Wait(now) == Duration(0));
  CHECK(bucket.TryTake(now));
  const Duration wait = bucket.Wait(now);
  CHECK(wait == Duration(334));
  CHECK(!bucket.TryTake(now + wait - Duration(2)));
  CHECK(bucket.TryTake(now + wait));
}

}  // namespace
}  // namespace azurepass::store::internal
