// Tests the periods of ejections: which VM may be sent a request, and when.

#include "azurepass/permit/internal/outlier_ejection.h"

#include <doctest/doctest.h>

namespace azurepass::permit::internal {
namespace {

MonotonicTime At(int64_t ms) { return MonotonicTime{} + Duration(ms); }

constexpr Duration kInitial{500};
constexpr Duration kMax{2'000};

// Guards against a VM that is cut off and is sent request after request because
// it has the smallest backlog.
TEST_CASE("a VM that fails is left out, then probed with one request") {
  OutlierEjection ejection(kInitial, kMax);
  CHECK(ejection.IsUsable("vm", At(0)));
  ejection.OnSent("vm", At(0));
  ejection.OnFailure("vm", At(0), At(1'000));
  CHECK_FALSE(ejection.IsUsable("vm", At(1'499)));
  CHECK(ejection.IsUsable("other", At(1'000)));
  REQUIRE(ejection.IsUsable("vm", At(1'500)));
  ejection.OnSent("vm", At(1'500));
  CHECK_FALSE(ejection.IsUsable("vm", At(1'600)));
  SUBCASE("the probe succeeds") {
    ejection.OnSuccess("vm");
    CHECK(ejection.IsUsable("vm", At(1'601)));
  }
  SUBCASE("each probe that fails doubles the period, up to the bound") {
    int64_t now = 1'500;
    for (const int64_t period : {1'000, 2'000, 2'000}) {
      ejection.OnFailure("vm", At(now), At(now + 100));
      now += 100 + period;
      CHECK_FALSE(ejection.IsUsable("vm", At(now - 1)));
      REQUIRE(ejection.IsUsable("vm", At(now)));
      ejection.OnSent("vm", At(now));
    }
  }
}

// Guards against a short loss of contact that is taken for a long one, because
// several requests were under way when it began.
TEST_CASE("requests sent before an ejection do not prolong it") {
  OutlierEjection ejection(kInitial, kMax);
  for (int i = 0; i < 3; ++i) ejection.OnSent("vm", At(i));
  ejection.OnFailure("vm", At(0), At(1'000));
  ejection.OnFailure("vm", At(1), At(1'001));
  ejection.OnFailure("vm", At(2), At(1'600));
  CHECK(ejection.EjectedUntil("vm") == At(1'500));
  CHECK(ejection.IsUsable("vm", At(1'600)));
}

TEST_CASE("without a period nothing is ejected") {
  OutlierEjection ejection(Duration(0), kMax);
  ejection.OnFailure("vm", At(0), At(10));
  CHECK(ejection.IsUsable("vm", At(10)));
}

}  // namespace
}  // namespace azurepass::permit::internal
