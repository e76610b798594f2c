// Identifiers and resource vectors.

#include "azurepass/core/core.h"

#include <doctest/doctest.h>

namespace azurepass {
namespace {

TEST_CASE("an attempt id survives its text form") {
  const AttemptId id{{MakeJobId(PartitionId("intake-0"), 42), 7}, 3};
  CHECK(ToString(id) == "intake-0.42/7#3");
  CHECK(ParseAttemptId(ToString(id)) == id);
}

TEST_CASE("texts that are no attempt id are refused") {
  for (const char* text : {"", "/", "#", "a/1", "a#1", "/1#1", "a/x#1", "a/1#",
                           "a/1#1x", "a/99999999999#1", "a#1/2"}) {
    CAPTURE(text);
    CHECK_FALSE(ParseAttemptId(text).has_value());
  }
}

TEST_CASE("a job id names its partition") {
  CHECK(PartitionOf(JobId("vision-3.10")) == PartitionId("vision-3"));
  for (const char* text : {"", "vision", ".1", "vision.", "vision.x"}) {
    CAPTURE(text);
    CHECK_FALSE(PartitionOf(JobId(text)).has_value());
  }
}

TEST_CASE("resources fit dimension by dimension") {
  const Resources room(8, 64, 32'000, 65'536, 0);
  CHECK(Resources(1, 2, 4'000, 8'192, 0).FitsIn(room));
  CHECK(Resources(1, 0, 0, 0, 1).FirstExcess(room) == Dimension::kAccelerators);
  CHECK(Resources(9, 65, 0, 0, 0).FirstExcess(room) == Dimension::kSlots);
  CHECK((room - room * 2).IsNonNegative() == false);
}

TEST_CASE("the dominant share ignores what the cell has none of") {
  const Resources cell(100, 0, 1'000, 1'000, 0);
  CHECK(Resources(10, 5, 500, 200, 3).DominantShare(cell) ==
        doctest::Approx(0.5));
}

}  // namespace
}  // namespace azurepass
