// Tests which submissions are refused under an overload. Times and rates are
// those of the load that each test names; nothing runs.

#include "azurepass/partition/internal/overload.h"

#include <doctest/doctest.h>

#include <deque>
#include <string>

namespace azurepass::partition::internal {
namespace {

const Stream kHot{TeamId("hot"), QueueId("check")};
const Stream kCalm{TeamId("calm"), QueueId("check")};

constexpr Duration kOnTime{1'000};
constexpr Duration kUseful{3'000};
constexpr Duration kStep{100};

MonotonicTime At(Duration since_start) {
  return MonotonicTime{} + std::chrono::hours(1) + since_start;
}

// One account of a service that starts tasks at a fixed rate, the first
// accepted job first. Each job has one task and arrives with kOnTime and
// kUseful left.
struct FixedRate {
  void Arrive(const Stream& stream, int count, Duration now, bool control) {
    for (int i = 0; i < count; ++i) {
      ++arrived;
      const auto excess = overload.Judge(stream, kOnTime, kUseful, At(now));
      if (control && excess) {
        ++refused;
        continue;
      }
      const JobId job("j" + std::to_string(arrived));
      overload.OnQueued(job, stream, 1, At(now + kUseful));
      waiting.emplace_back(job, now);
    }
  }
  void Start(int count, Duration now) {
    for (; count > 0 && !waiting.empty(); --count) {
      const auto [job, since] = waiting.front();
      waiting.pop_front();
      overload.OnStarted(job, At(now));
      if (now - since <= kUseful) ++useful;
    }
  }

  OverloadControl overload;
  std::deque<std::pair<JobId, Duration>> waiting;
  int64_t arrived = 0;
  int64_t refused = 0;
  int64_t useful = 0;
};

// Guards against congestion collapse: without control, from the time at which
// the backlog reaches the useful time on, no started job is useful.
TEST_CASE("a minute at twice the capacity leaves the goodput at the capacity") {
  constexpr int kCapacityPerStep = 10;
  const auto goodput = [](bool control) {
    FixedRate load;
    for (Duration now{0}; now < std::chrono::minutes(1); now += kStep) {
      load.Arrive(kHot, 2 * kCapacityPerStep, now, control);
      load.Start(kCapacityPerStep, now);
    }
    return load.useful;
  };
  const int64_t capacity = kCapacityPerStep * std::chrono::minutes(1) / kStep;
  CHECK(goodput(true) >= capacity * 9 / 10);
  CHECK(goodput(false) < capacity / 4);
}

// Guards against refusals of accounts that are served as before.
TEST_CASE("of two accounts only the one with the backlog is refused") {
  FixedRate load;
  for (Duration now{0}; now < std::chrono::seconds(10); now += kStep) {
    load.Arrive(kCalm, 2, now, true);
    load.Start(2, now);
  }
  CHECK(load.refused == 0);
  for (Duration now = std::chrono::seconds(10); now < std::chrono::seconds(20);
       now += kStep) {
    load.Arrive(kHot, 20, now, true);
    load.Start(5, now);
  }
  CHECK(load.refused > 0);
  CHECK_FALSE(
      load.overload.Judge(kCalm, kOnTime, kUseful, At(std::chrono::seconds(20)))
          .has_value());
}

// Guards against refusals that go on after their reason has ended.
TEST_CASE("after an overload has ended nothing is refused within seconds") {
  FixedRate load;
  Duration now{0};
  for (; now < std::chrono::seconds(20); now += kStep) {
    load.Arrive(kHot, 30, now, true);
    load.Start(10, now);
  }
  REQUIRE(load.refused > 0);
  const Duration over = now;
  for (; now < over + kUseful; now += kStep) {
    load.Arrive(kHot, 5, now, true);
    load.Start(10, now);
  }
  load.refused = 0;
  for (; now < over + 3 * kUseful; now += kStep) {
    load.Arrive(kHot, 5, now, true);
    load.Start(10, now);
  }
  CHECK(load.refused == 0);
}

// Guards against advice that brings callers back into the same overload, or
// keeps them away for longer than it lasts.
TEST_CASE("the advice is the time until a job would be on time again") {
  FixedRate load;
  Duration now{0};
  for (; now < std::chrono::seconds(4); now += kStep) {
    load.Arrive(kHot, 30, now, false);
    load.Start(10, now);
  }
  const auto excess = load.overload.Judge(kHot, kOnTime, kUseful, At(now));
  REQUIRE(excess.has_value());
  CHECK(excess->predicted_wait > kUseful);
  CHECK(excess->retry_after == excess->predicted_wait - kOnTime);
}

// Guards against a new owner, or one that may start nothing for a while, that
// refuses work for lack of starts.
TEST_CASE("without starts to tell the rate nothing is refused") {
  FixedRate load;
  load.Arrive(kHot, 10'000, Duration(0), true);
  load.Start(10, Duration(0));
  CHECK(load.refused == 0);
  CHECK_FALSE(load.overload.PredictedWait(kHot, At(kStep)).has_value());
}

// Guards against a backlog that never shrinks, because jobs that are cancelled
// or no longer useful count in it.
TEST_CASE("jobs that no longer delay others do not count") {
  FixedRate load;
  load.Arrive(kHot, 100, Duration(0), false);
  load.Start(20, kStep);
  REQUIRE(load.overload.PredictedWait(kHot, At(kStep)) == Duration(8'000));
  SUBCASE("cancelled") {
    for (const auto& [job, since] : load.waiting) load.overload.Remove(job);
    CHECK(load.overload.PredictedWait(kHot, At(kStep)) == Duration(0));
  }
  SUBCASE("no longer useful") {
    load.Arrive(kHot, 20, kUseful - kStep, false);
    load.Start(0, kUseful);
    for (const auto& [job, since] : load.waiting) {
      load.overload.OnStarted(job, At(kUseful));
      if (job == JobId("j40")) break;
    }
    CHECK(load.overload.PredictedWait(kHot, At(kUseful)) == Duration(2'000));
  }
  SUBCASE("a task that waits again counts again") {
    load.overload.OnRequeued(JobId("j1"));
    CHECK(load.overload.PredictedWait(kHot, At(kStep)) == Duration(8'100));
  }
}

}  // namespace
}  // namespace azurepass::partition::internal
