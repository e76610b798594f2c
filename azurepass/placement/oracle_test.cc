// Compares Cell with the oracle, a reference model, on every sequence of five
// calls to a cell of two workers and on random sequences to larger cells. CTest
// sets a fixed seed in RC_PARAMS. To run with random seeds:
//
//   RC_PARAMS="max_success=20000" oracle_test

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>

#include "azurepass/placement/testing/trial.h"

namespace azurepass::placement::testing {
namespace {

void CheckSequence(const TrialOptions& options,
                   const std::vector<Call>& calls) {
  Trial trial(options);
  const auto violation = trial.Run(calls);
  if (!violation) return;
  std::string text;
  for (const Call& call : calls) text += ToString(call);
  FAIL(*violation << " after " << text);
}

// The calls of the exhaustive test, chosen so that they interact on a small
// cell.
const Call kCallChoices[] = {
    {CallKind::kAddJob, 0, 0, 2},     {CallKind::kAddJob, 4, 3, 1},
    {CallKind::kAddJob, 2, 2, 2},     {CallKind::kAddJob, 8, 4, 0},
    {CallKind::kDecide, 2, 0, 0},     {CallKind::kRelease, 0, 1, 1},
    {CallKind::kRelease, 1, 0, 0},    {CallKind::kSetZone, 0, 0, 0},
    {CallKind::kSetZone, 0, 1, 0},    {CallKind::kSetTeam, 0, 3, 3},
    {CallKind::kCancelTask, 0, 0, 0},
};

constexpr int kSequenceLength = 5;  // Calls in a sequence.

TEST_CASE("all sequences of five calls on two workers") {
  const TrialOptions options{.zones = 2,
                             .racks = 1,
                             .workers = 1,
                             .teams = 3,
                             .max_tasks = 3,
                             .check_preferences = true,
                             .urgent = false};
  const auto choices = static_cast<int>(std::size(kCallChoices));
  int total = 1;
  for (int i = 0; i < kSequenceLength; ++i) total *= choices;
  for (int number = 0; number < total; ++number) {
    std::vector<Call> calls;
    for (int i = 0, rest = number; i < kSequenceLength; ++i, rest /= choices) {
      calls.push_back(kCallChoices[rest % choices]);
    }
    calls.push_back({CallKind::kDecide, 0, 0, 0});
    CheckSequence(options, calls);
  }
}

rc::Gen<Call> RandomCall() {
  const auto number = rc::gen::inRange<uint32_t>(0, 1'000);
  const auto kind = rc::gen::weightedElement<CallKind>({
      {6, CallKind::kAddJob},
      {8, CallKind::kDecide},
      {8, CallKind::kRelease},
      {1, CallKind::kSetZone},
      {1, CallKind::kSetAdmission},
      {1, CallKind::kSetTeam},
      {1, CallKind::kCancelTask},
      {1, CallKind::kRecover},
      {1, CallKind::kResizeWorker},
      {1, CallKind::kRemoveJob},
  });
  return rc::gen::build<Call>(
      rc::gen::set(&Call::kind, kind), rc::gen::set(&Call::a, number),
      rc::gen::set(&Call::b, number), rc::gen::set(&Call::c, number));
}

void CheckRandomSequences(const TrialOptions& options) {
  const bool ok = rc::check([&] {
    const auto calls = *rc::gen::container<std::vector<Call>>(RandomCall());
    Trial trial(options);
    const auto violation = trial.Run(calls);
    if (!violation) return;
    for (const Call& call : calls) RC_LOG() << ToString(call) << ",";
    RC_FAIL(*violation);
  });
  CHECK(ok);
}

// Regression tests: sequences that failed in the past.
TEST_CASE("a task that waits for its retry may be committed by recovery") {
  CheckSequence({}, {{CallKind::kAddJob, 0, 0, 1},
                     {CallKind::kDecide, 0, 0, 0},
                     {CallKind::kRelease, 0, 61, 1},
                     {CallKind::kRelease, 0, 1, 1},
                     {CallKind::kRecover, 0, 0, 0},
                     {CallKind::kDecide, 2, 0, 0}});
}

TEST_CASE("the rest of a gang that was recovered in part starts when it fits") {
  CheckSequence({.urgent = false}, {{CallKind::kSetZone, 0, 0, 0},
                                    {CallKind::kAddJob, 17, 2, 268},
                                    {CallKind::kDecide, 0, 0, 0},
                                    {CallKind::kRecover, 0, 0, 0},
                                    {CallKind::kDecide, 0, 0, 0}});
}

TEST_CASE("random calls, with preferences checked") {
  CheckRandomSequences({.urgent = false});
}

TEST_CASE("random calls with urgent work") {
  CheckRandomSequences({.zones = 3, .racks = 3, .workers = 3, .max_tasks = 20});
}

TEST_CASE("random calls with reservations, quarantine and ramps") {
  CheckRandomSequences({.zones = 3,
                        .racks = 2,
                        .workers = 2,
                        .max_tasks = 20,
                        .check_preferences = false});
}

}  // namespace
}  // namespace azurepass::placement::testing
