// Tests the steps of the limit.

#include "azurepass/permit/internal/backlog_limit.h"

#include <doctest/doctest.h>

#include <vector>

namespace azurepass::permit::internal {
namespace {

using std::chrono::seconds;

constexpr Duration kMax{600};
constexpr MonotonicTime kStart{seconds(100)};

TEST_CASE("failures halve the limit, successes raise it step by step") {
  enum class Step { kSuccess, kFailure, kStaleFailure };
  using S = Step;
  const struct {
    std::vector<Step> steps;
    Duration limit;
  } rows[] = {
      {{}, kMax},
      {{S::kSuccess}, kMax},
      {{S::kFailure}, Duration(300)},
      // It was sent before the limit was lowered.
      {{S::kFailure, S::kStaleFailure}, Duration(300)},
      {{S::kFailure, S::kFailure}, Duration(150)},
      {{S::kFailure, S::kSuccess, S::kSuccess}, Duration(374)},
      {{S::kFailure, S::kSuccess, S::kFailure}, Duration(168)},
  };
  for (const auto& row : rows) {
    BacklogLimit limit(kMax);
    MonotonicTime now = kStart;
    for (const Step step : row.steps) {
      now += seconds(1);
      if (step == Step::kSuccess) limit.OnSuccess();
      if (step == Step::kFailure) limit.OnFailure(now, now);
      if (step == Step::kStaleFailure) limit.OnFailure(kStart, now);
    }
    CAPTURE(row.steps.size());
    CHECK(limit.current() == row.limit);
  }
}

TEST_CASE("the limit falls to nothing and comes back to its maximum") {
  BacklogLimit limit(kMax);
  MonotonicTime now = kStart;
  for (int i = 0; i < 20; ++i) {
    now += seconds(1);
    limit.OnFailure(now, now);
  }
  CHECK(limit.current() == Duration(0));
  for (int i = 0; i < 20; ++i) limit.OnSuccess();
  CHECK(limit.current() == kMax);
}

}  // namespace
}  // namespace azurepass::permit::internal
