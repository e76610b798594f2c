// A wait's time is told by cause, and lines are bounded.

#include "azurepass/partition/internal/wait_table.h"

#include <doctest/doctest.h>

#include <string>

namespace azurepass::partition::internal {
namespace {

using std::chrono::milliseconds;

constexpr Duration kLonger{2'000};
constexpr Duration kLate{4'000};

MonotonicTime At(int64_t ms) {
  return MonotonicTime{std::chrono::hours(1)} + milliseconds(ms);
}

TaskId Task(int32_t index) { return {JobId("j"), index}; }

TEST_CASE("each reason of the cell has its cause") {
  using placement::WaitReason;
  struct Case {
    WaitReason reason;
    WaitCause cause;
  };
  for (const Case& c : {Case{WaitReason::kRetryBackoff, WaitCause::kBackoff},
                        Case{WaitReason::kRetryBudget, WaitCause::kNoToken},
                        Case{WaitReason::kNoPermit, WaitCause::kNoPermit},
                        Case{WaitReason::kAllowance, WaitCause::kAllowance},
                        Case{WaitReason::kNoRoom, WaitCause::kNoRoom},
                        Case{WaitReason::kBehindOthers, WaitCause::kOther},
                        Case{WaitReason::kNone, WaitCause::kOther}}) {
    CHECK(CauseOf(c.reason) == c.cause);
  }
}

TEST_CASE("the time between samples goes to the cause found at the first") {
  WaitTable table;
  table.Begin(Task(0), "run", WaitCause::kBackoff, At(0));
  const auto sample = [&](WaitCause cause, int64_t ms) {
    return table.Sample([&](const TaskId&) { return std::optional(cause); },
                        kLate, At(ms));
  };
  CHECK(sample(WaitCause::kBackoff, 1'000).empty());
  CHECK(sample(WaitCause::kNoPermit, 1'500).empty());
  table.OnStart(Task(0), At(2'500));
  table.OnSetback(Task(0), "refused: no ticket", WaitCause::kNoRoom, At(2'700));
  table.OnStart(Task(0), At(3'000));
  CHECK(table.End(Task(0), kLonger, At(3'050)) ==
        "waited_ms=3050 since=run starting=250 backoff=1500 no_permit=1000 "
        "no_room=300 setbacks=1 last_setback=refused:_no_ticket");
  CHECK(table.End(Task(0), kLonger, At(9'000)).empty());
}

TEST_CASE("a short wait has no line") {
  WaitTable table;
  table.Begin(Task(0), "queued", WaitCause::kNoRoom, At(0));
  CHECK(table.End(Task(0), kLonger, At(2'000)).empty());
  CHECK_FALSE(table.Contains(Task(0)));
}

TEST_CASE("a wait that goes on is told once, one that is over never") {
  WaitTable table;
  table.Begin(Task(0), "takeover", WaitCause::kNotOwned, At(0));
  table.Begin(Task(1), "takeover", WaitCause::kNotOwned, At(0));
  const auto cause_of = [](const TaskId& task) {
    return task.index == 0 ? std::optional(WaitCause::kNoRoom) : std::nullopt;
  };
  CHECK(table.Sample(cause_of, kLate, At(3'900)).empty());
  const auto findings = table.Sample(cause_of, kLate, At(4'000));
  REQUIRE(findings.size() == 1);
  CHECK(findings[0].task == Task(0));
  CHECK(findings[0].text ==
        "waited_ms=4000 since=takeover not_owned=3900 no_room=100 setbacks=0");
  CHECK(table.Sample(cause_of, kLate, At(9'000)).empty());
}

TEST_CASE("lines and tasks followed are bounded, and those left out counted") {
  WaitTable table;
  const auto most = static_cast<int32_t>(WaitTable::kMostFollowed);
  for (int32_t i = 0; i < most + 5; ++i) {
    table.Begin(Task(i), "run", WaitCause::kNoRoom, At(0));
  }
  CHECK_FALSE(table.Contains(Task(most)));
  const auto cause_of = [](const TaskId&) {
    return std::optional(WaitCause::kNoRoom);
  };
  const auto first = table.Sample(cause_of, kLate, At(4'000));
  REQUIRE(first.size() == WaitTable::kMostLines);
  CHECK(first[0].text.ends_with(" left_out=5"));
  CHECK(first[1].text.find("left_out") == std::string::npos);
  CHECK(table.Sample(cause_of, kLate, At(4'100)).empty());
  CHECK(table.End(Task(100), kLonger, At(4'200)).empty());  // Left out.
  const auto second = table.Sample(cause_of, kLate, At(5'000));
  REQUIRE(second.size() == WaitTable::kMostLines);
  CHECK(second[0].task != first[0].task);
  CHECK(second[0].text.ends_with(" left_out=1"));
}

}  // namespace
}  // namespace azurepass::partition::internal
