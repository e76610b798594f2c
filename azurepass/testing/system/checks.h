// The oracle of system tests: what must hold of the workers' histories, told
// from them alone.

#ifndef AZUREPASS_TESTING_SYSTEM_CHECKS_H_
#define AZUREPASS_TESTING_SYSTEM_CHECKS_H_

#include <functional>
#include <string>
#include <vector>

#include "azurepass/testing/system/cluster.h"

namespace azurepass::testing {

// Sentences on what is wrong; empty when nothing is.
using Findings = std::vector<std::string>;

// No task runs in two places at once: of one task, no two attempts overlap.
Findings CheckOnePlace(const std::vector<AttemptRun>& history);

// Each task of the job succeeded exactly once.
Findings CheckRanOnce(const std::vector<AttemptRun>& history, const JobId& job,
                      int tasks);

// No task of the job was started more than once.
Findings CheckStartedAtMostOnce(const std::vector<AttemptRun>& history,
                                const JobId& job);

// The most attempts that ran at the same time, from `from` on.
int PeakRunning(const std::vector<AttemptRun>& history,
                Duration from = Duration(0));

// The attempts that `keep` selects.
std::vector<AttemptRun> Select(
    const std::vector<AttemptRun>& history,
    const std::function<bool(const AttemptRun&)>& keep);

}  // namespace azurepass::testing

#endif  // AZUREPASS_TESTING_SYSTEM_CHECKS_H_
