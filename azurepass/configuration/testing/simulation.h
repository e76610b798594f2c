// Members that start work under a store that fails and links that are cut, on
// a virtual clock: what a rule for starting costs in work, and whether it lets
// work start in a zone that was taken out. Pure; the same seed gives the same
// run.

#ifndef AZUREPASS_CONFIGURATION_TESTING_SIMULATION_H_
#define AZUREPASS_CONFIGURATION_TESTING_SIMULATION_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "azurepass/configuration/configuration.h"

namespace azurepass::configuration::testing {

// Starts whatever is known.
struct BlindContinuation {};
// Starts only while the store itself confirms.
struct AlwaysStop {};
// Freshness, with the evidence of an outage.
struct FreshnessRule {};
using StartRule = std::variant<BlindContinuation, AlwaysStop, FreshnessRule>;

// A fault between two moments of the run.
struct StoreDown {};  // For everybody.
// These members reach neither the store nor each other nor anybody else.
struct CutOff {
  std::vector<int64_t> members;
};
// These members do not reach the store, but each other and everybody else.
struct CutFromStore {
  std::vector<int64_t> members;
};
// These members reach each other, but neither the store nor anybody else.
struct Split {
  std::vector<int64_t> members;
};
// What the store answers arrives late, for everybody; writes do not.
struct SlowAnswers {
  Duration delay{0};
};
// These members do nothing and answer nothing.
struct Frozen {
  std::vector<int64_t> members;
};
struct Fault {
  std::variant<StoreDown, CutOff, CutFromStore, Split, SlowAnswers, Frozen>
      kind;
  Duration from{0};
  Duration until{0};
};

struct Scenario {
  int64_t members = 7;
  Duration length{300'000};
  Duration change_interval{10'000};  // Between attempts to change a zone.
  std::vector<Fault> faults;
  uint64_t seed = 1;
};

struct Outcome {
  int64_t wanted = 0;      // Starts that would have been possible.
  int64_t started = 0;     // Those made.
  int64_t violations = 0;  // In a zone out for longer than kMaxAge.
  Duration latest{0};      // Of a start after its zone was taken out.
  int64_t changes = 0;     // Accepted.
};

Outcome Simulate(const Scenario& scenario, const StartRule& rule);

}  // namespace azurepass::configuration::testing

#endif  // AZUREPASS_CONFIGURATION_TESTING_SIMULATION_H_
