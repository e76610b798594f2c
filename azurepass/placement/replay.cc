// Recomputes a recorded decision without the indexes and shortcuts of the
// search: scores every candidate and chooses the one with the highest score.

#include <absl/strings/str_cat.h>

#include "azurepass/placement/internal/score.h"
#include "azurepass/placement/placement.h"

namespace azurepass::placement {
namespace {

// A candidate's sort key, from the first field to the last. Greater is better.
struct Rank {
  int64_t zone_tasks = 0;  // Negated: fewer is better.
  int64_t rack_tasks = 0;  // Negated: fewer is better.
  double packing = 0;
};

Rank RankOf(const DecisionInput& input, const CandidateInput& candidate) {
  const bool spread = std::holds_alternative<ServicePolicy>(input.policy);
  return {.zone_tasks = spread ? -candidate.zone_tasks : 0,
          .rack_tasks = spread ? -candidate.rack_tasks : 0,
          .packing =
              internal::PackingScore(input.packing, candidate.free - input.size,
                                     input.scale, candidate.order)};
}

// Adding the same numbers in another order may change the last bits of the sum.
constexpr double kRounding = 1e-9;

bool IsBetter(const Rank& a, const Rank& b) {
  if (a.zone_tasks != b.zone_tasks) return a.zone_tasks > b.zone_tasks;
  if (a.rack_tasks != b.rack_tasks) return a.rack_tasks > b.rack_tasks;
  return a.packing > b.packing + kRounding;
}

double ScoreOf(const DecisionInput& input, const CandidateInput& candidate) {
  return internal::SpreadScore(input.policy, candidate.zone_tasks,
                               candidate.rack_tasks) +
         RankOf(input, candidate).packing;
}

}  // namespace

ReplayResult Replay(const DecisionInput& input) {
  const CandidateInput* best = nullptr;
  const CandidateInput* recorded = nullptr;
  for (const CandidateInput& candidate : input.candidates) {
    if (!input.size.FitsIn(candidate.free)) continue;
    if (candidate.vm == input.outcome.vm) recorded = &candidate;
    if (best == nullptr ||
        IsBetter(RankOf(input, candidate), RankOf(input, *best))) {
      best = &candidate;
    }
  }
  ReplayResult result;
  if (best == nullptr || recorded == nullptr) {
    result.difference = absl::StrCat("The task does not fit on ",
                                     input.outcome.vm.value(), ".");
    return result;
  }
  result.vm = best->vm;
  result.score = ScoreOf(input, *best);
  const Resources after = input.team_committed + input.size;
  if (!after.FitsIn(input.team_allowance)) {
    result.difference = "The start passed the team's allowance.";
  } else if (IsBetter(RankOf(input, *best), RankOf(input, *recorded))) {
    result.difference = absl::StrCat(best->vm.value(), " scores higher than ",
                                     recorded->vm.value(), ".");
  } else {
    result.vm = recorded->vm;
    result.score = ScoreOf(input, *recorded);
    result.agrees = true;
  }
  return result;
}

}  // namespace azurepass::placement
