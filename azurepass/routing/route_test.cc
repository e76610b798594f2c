// Tests the choice of a partition and the bound on retries.

#include <doctest/doctest.h>

#include "azurepass/routing/routing.h"

namespace azurepass::routing {
namespace {

std::vector<PartitionId> Partitions(int count) {
  std::vector<PartitionId> partitions;
  partitions.reserve(count);
  for (int i = 0; i < count; ++i) {
    partitions.emplace_back("intake-" + std::to_string(i));
  }
  return partitions;
}

RequestId Request(int i) { return RequestId("r" + std::to_string(i)); }

TEST_CASE("a request always maps to the same partition, in every release") {
  const std::vector<PartitionId> four = Partitions(4);
  CHECK(ChoosePartition({}, TeamId("t"), Request(1)).empty());
  const std::vector<PartitionId> reversed(four.rbegin(), four.rend());
  for (int i = 0; i < 100; ++i) {
    CHECK(ChoosePartition(four, TeamId("t"), Request(i)) ==
          ChoosePartition(reversed, TeamId("t"), Request(i)));
  }
  const std::string chosen[] = {"intake-1", "intake-2", "intake-2", "intake-1"};
  for (int i = 0; i < 4; ++i) {
    CHECK(ChoosePartition(four, TeamId("rilapak"), Request(i)).value() ==
          chosen[i]);
  }
}

TEST_CASE("requests are spread evenly; a new partition takes only its share") {
  constexpr int kRequests = 10'000;
  std::map<PartitionId, int> counts;
  int moved = 0;
  for (int i = 0; i < kRequests; ++i) {
    const PartitionId before =
        ChoosePartition(Partitions(4), TeamId("t"), Request(i));
    const PartitionId after =
        ChoosePartition(Partitions(5), TeamId("t"), Request(i));
    ++counts[before];
    if (before == after) continue;
    ++moved;
    CHECK(after == PartitionId("intake-4"));
  }
  for (const auto& [partition, count] : counts) {
    CHECK(count > kRequests / 4 - 300);
    CHECK(count < kRequests / 4 + 300);
  }
  CHECK(moved > kRequests / 5 - 300);
  CHECK(moved < kRequests / 5 + 300);
}

TEST_CASE("the retry budget limits retries to a fraction of the requests") {
  const MonotonicTime start{};
  RetryBudget budget({.per_request = 0.1, .per_second = 2, .burst = 5}, start);
  int taken = 0;
  for (int second = 0; second < 100; ++second) {
    for (int i = 0; i < 20; ++i) budget.OnRequest();
    const MonotonicTime now = start + std::chrono::seconds(second);
    while (budget.TryTake(now)) ++taken;
  }
  // The burst, a tenth of 2,000 requests, and two for each of 99 seconds.
  CHECK(taken <= 5 + 200 + 198);
  CHECK(taken >= 390);
  // Without elapsed time the budget is not refilled.
  CHECK_FALSE(budget.TryTake(start + std::chrono::seconds(99)));
}

}  // namespace
}  // namespace azurepass::routing
