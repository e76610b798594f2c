// The promise of freshness under random faults: no member starts work in a zone
// more than kMaxAge after it was taken out. Blind continuation breaks it, which
// shows that the check can fail.

#include "azurepass/configuration/testing/simulation.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace azurepass::configuration::testing {
namespace {

constexpr int64_t kLengthSeconds = 60;

std::vector<int64_t> SomeMembers(int64_t members) {
  std::vector<int64_t> some;
  for (int64_t i = 0; i < members; ++i) {
    if (*rc::gen::inRange(0, 2) == 1) some.push_back(i);
  }
  return some;
}

Fault RandomFault(int64_t members) {
  Fault fault;
  fault.from = Duration(1'000 * *rc::gen::inRange<int64_t>(0, kLengthSeconds));
  fault.until = fault.from + Duration(100 * *rc::gen::inRange<int64_t>(1, 300));
  switch (*rc::gen::inRange(0, 6)) {
    case 0:
      fault.kind = StoreDown{};
      break;
    case 1:
      fault.kind = CutOff{SomeMembers(members)};
      break;
    case 2:
      fault.kind = CutFromStore{SomeMembers(members)};
      break;
    case 3:
      fault.kind = Split{SomeMembers(members)};
      break;
    case 4:
      fault.kind = SlowAnswers{Duration(100 * *rc::gen::inRange(1, 40))};
      break;
    default:
      fault.kind = Frozen{SomeMembers(members)};
  }
  return fault;
}

Scenario RandomScenario() {
  Scenario scenario;
  scenario.members = *rc::gen::inRange(2, 7);
  scenario.length = Duration(1'000 * kLengthSeconds);
  scenario.change_interval = Duration(1'000);
  const int faults = *rc::gen::inRange(0, 8);
  for (int i = 0; i < faults; ++i) {
    scenario.faults.push_back(RandomFault(scenario.members));
  }
  scenario.seed = *rc::gen::arbitrary<uint64_t>();
  return scenario;
}

TEST_CASE("with freshness no start is late, whatever the faults") {
  const bool ok = rc::check([] {
    const Outcome outcome = Simulate(RandomScenario(), FreshnessRule{});
    RC_ASSERT(outcome.violations == 0);
  });
  CHECK(ok);
}

TEST_CASE("each rule costs and risks what it is said to") {
  Scenario outage;
  outage.faults = {{StoreDown{}, Duration(60'000), Duration(240'000)}};
  Scenario cut;
  cut.faults = {{CutOff{{0}}, Duration(60'000), Duration(240'000)}};
  CHECK(Simulate(cut, BlindContinuation{}).violations > 0);
  CHECK(Simulate(cut, FreshnessRule{}).violations == 0);
  const Outcome stopped = Simulate(outage, AlwaysStop{});
  const Outcome fresh = Simulate(outage, FreshnessRule{});
  CHECK(stopped.started * 2 < stopped.wanted);
  CHECK(fresh.started * 100 > fresh.wanted * 99);
  CHECK(fresh.violations == 0);
}

}  // namespace
}  // namespace azurepass::configuration::testing
