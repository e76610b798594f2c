#include "azurepass/testing/system/measure_table.h"

#include <doctest/doctest.h>

namespace azurepass::testing {
namespace {

TEST_CASE("a line is found through its points") {
  struct Case {
    std::vector<double> x, y;
    double at_zero, slope, explained;
  };
  const std::vector<Case> cases = {
      {{1, 2, 4}, {5, 7, 11}, 3, 2, 1},
      {{0, 10, 20}, {4, 4, 4}, 4, 0, 1},
      {{0, 1, 2}, {0, 3, 0}, 1, 0, 0},
      {{3, 3, 3}, {1, 2, 3}, 0, 0, 0},
      {{1}, {1}, 0, 0, 0},
  };
  for (const Case& c : cases) {
    const Line line = FitLine(c.x, c.y);
    CHECK(line.at_zero == doctest::Approx(c.at_zero));
    CHECK(line.slope == doctest::Approx(c.slope));
    CHECK(line.explained == doctest::Approx(c.explained));
  }
}

}  // namespace
}  // namespace azurepass::testing
