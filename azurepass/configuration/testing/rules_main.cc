// Prints, as a table, what each rule for starting costs and risks in each
// scenario. Usage: configuration_rules

#include <cstdio>
#include <string_view>

#include "azurepass/configuration/testing/simulation.h"

namespace azurepass::configuration::testing {
namespace {

constexpr Duration kFrom{60'000};
constexpr Duration kUntil{240'000};
constexpr uint64_t kSeeds = 20;

struct NamedScenario {
  std::string_view name;
  std::vector<Fault> faults;
};
struct NamedRule {
  std::string_view name;
  StartRule rule;
};

Fault During(decltype(Fault::kind) kind) {
  return {std::move(kind), kFrom, kUntil};
}

Outcome Sum(const NamedScenario& named, const StartRule& rule) {
  Outcome sum;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Scenario scenario;
    scenario.faults = named.faults;
    scenario.seed = seed;
    const Outcome outcome = Simulate(scenario, rule);
    sum.wanted += outcome.wanted;
    sum.started += outcome.started;
    sum.violations += outcome.violations;
    sum.latest = std::max(sum.latest, outcome.latest);
    sum.changes += outcome.changes;
  }
  return sum;
}

void Print(const NamedScenario& scenario, const NamedRule& rule) {
  const Outcome sum = Sum(scenario, rule.rule);
  const double done = 100.0 * static_cast<double>(sum.started) /
                      static_cast<double>(sum.wanted);
  std::printf("| %s | %s | %.1f%% | %lld | %.2f s | %lld |\n",
              scenario.name.data(), rule.name.data(), done,
              static_cast<long long>(sum.violations),
              static_cast<double>(sum.latest.count()) / 1e3,
              static_cast<long long>(sum.changes));
}

void PrintAll() {
  const NamedScenario scenarios[] = {
      {"no fault", {}},
      {"store out for all", {During(StoreDown{})}},
      {"one member cut off", {During(CutOff{{0}})}},
      {"three members split off", {During(Split{{0, 1, 2}})}},
      {"one member without the store", {During(CutFromStore{{0}})}},
      {"all but one without the store",
       {During(CutFromStore{{0, 1, 2, 3, 4, 5}})}},
      {"store out for all, one member cut off",
       {During(StoreDown{}), During(CutOff{{0}})}},
      {"one member frozen for a minute",
       {{Frozen{{0}}, kFrom, kFrom + Duration(60'000)}}}};
  const NamedRule rules[] = {{"blind continuation", BlindContinuation{}},
                             {"always stop", AlwaysStop{}},
                             {"freshness", FreshnessRule{}}};
  std::printf(
      "| scenario | rule | starts made | late starts | latest | changes |\n"
      "|---|---|---|---|---|---|\n");
  for (const NamedScenario& scenario : scenarios) {
    for (const NamedRule& rule : rules) Print(scenario, rule);
  }
}

}  // namespace
}  // namespace azurepass::configuration::testing

int main() {
  azurepass::configuration::testing::PrintAll();
  return 0;
}
