// Tests which requests may draw on the budget of bytes, and which give way.

#include "azurepass/httpserver/internal/body_budget.h"

#include <doctest/doctest.h>

namespace azurepass::httpserver::internal {
namespace {

MonotonicTime At(int64_t ms) { return MonotonicTime{} + Duration(ms); }

// Guards against a crowd that holds back the ends of its bodies and thereby
// keeps an ordinary request out.
TEST_CASE("the body that has stood still for longest gives way") {
  BodyBudget budget(100);
  budget.Reserve(ExchangeId{1}, 40, At(0));
  budget.Reserve(ExchangeId{2}, 40, At(1));
  CHECK(budget.Fits(20));
  CHECK_FALSE(budget.Fits(21));
  CHECK(budget.LeastRecentlyActive() == ExchangeId{1});
  budget.OnProgress(ExchangeId{1}, At(2));
  CHECK(budget.LeastRecentlyActive() == ExchangeId{2});
  budget.Release(ExchangeId{2});
  CHECK(budget.Fits(60));
  CHECK(budget.LeastRecentlyActive() == ExchangeId{1});
}

// Guards against the end of a request that was read whole and may have run.
TEST_CASE("a request that was read keeps its bytes and does not give way") {
  BodyBudget budget(100);
  budget.Reserve(ExchangeId{1}, 80, At(0));
  budget.OnRead(ExchangeId{1});
  CHECK_FALSE(budget.LeastRecentlyActive().has_value());
  CHECK_FALSE(budget.Fits(21));
  budget.OnProgress(ExchangeId{1}, At(1));
  CHECK_FALSE(budget.LeastRecentlyActive().has_value());
  budget.Release(ExchangeId{1});
  budget.Release(ExchangeId{1});
  CHECK(budget.reserved() == 0);
}

TEST_CASE("requests without a reservation change nothing") {
  BodyBudget budget(100);
  budget.OnProgress(ExchangeId{7}, At(0));
  budget.OnRead(ExchangeId{7});
  budget.Release(ExchangeId{7});
  CHECK(budget.reserved() == 0);
  CHECK(budget.Fits(100));
}

}  // namespace
}  // namespace azurepass::httpserver::internal
