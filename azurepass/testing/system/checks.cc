// Slow and obvious checks over histories.

#include "azurepass/testing/system/checks.h"

#include <algorithm>
#include <iterator>
#include <map>

namespace azurepass::testing {
namespace {

std::map<TaskId, std::vector<AttemptRun>> ByTask(
    const std::vector<AttemptRun>& history) {
  std::map<TaskId, std::vector<AttemptRun>> tasks;
  for (const AttemptRun& run : history) tasks[run.attempt.task].push_back(run);
  return tasks;
}

bool Overlap(const AttemptRun& a, const AttemptRun& b) {
  return a.started < b.ended && b.started < a.ended;
}

std::string Describe(const AttemptRun& run) {
  return ToString(run.attempt) + " on " + run.vm.value() + " from " +
         std::to_string(run.started.count()) + " ms";
}

}  // namespace

Findings CheckOnePlace(const std::vector<AttemptRun>& history) {
  Findings findings;
  for (const auto& [task, runs] : ByTask(history)) {
    for (size_t i = 0; i < runs.size(); ++i) {
      for (size_t j = i + 1; j < runs.size(); ++j) {
        if (!Overlap(runs[i], runs[j])) continue;
        findings.push_back("two places: " + Describe(runs[i]) + " and " +
                           Describe(runs[j]));
      }
    }
  }
  return findings;
}

Findings CheckRanOnce(const std::vector<AttemptRun>& history, const JobId& job,
                      int tasks) {
  Findings findings;
  const auto by_task = ByTask(history);
  for (int index = 0; index < tasks; ++index) {
    const TaskId task{job, index};
    const auto runs = by_task.find(task);
    const auto succeeded =
        runs == by_task.end()
            ? 0
            : std::count_if(runs->second.begin(), runs->second.end(),
                            [](const AttemptRun& run) {
                              return run.outcome == "succeeded";
                            });
    if (succeeded == 1) continue;
    findings.push_back(ToString(task) + " succeeded " +
                       std::to_string(succeeded) + " times");
  }
  return findings;
}

Findings CheckStartedAtMostOnce(const std::vector<AttemptRun>& history,
                                const JobId& job) {
  Findings findings;
  for (const auto& [task, runs] : ByTask(history)) {
    if (task.job != job || runs.size() <= 1) continue;
    findings.push_back(ToString(task) + " was started " +
                       std::to_string(runs.size()) + " times");
  }
  return findings;
}

int PeakRunning(const std::vector<AttemptRun>& history, Duration from) {
  // Of the same millisecond ends count before starts.
  std::vector<std::pair<Duration, int>> changes;
  for (const AttemptRun& run : history) {
    if (run.ended <= from) continue;
    changes.emplace_back(std::max(run.started, from), 1);
    changes.emplace_back(run.ended, -1);
  }
  std::sort(changes.begin(), changes.end());
  int running = 0;
  int peak = 0;
  for (const auto& [time, change] : changes) {
    running += change;
    peak = std::max(peak, running);
  }
  return peak;
}

std::vector<AttemptRun> Select(
    const std::vector<AttemptRun>& history,
    const std::function<bool(const AttemptRun&)>& keep) {
  std::vector<AttemptRun> kept;
  std::copy_if(history.begin(), history.end(), std::back_inserter(kept), keep);
  return kept;
}

}  // namespace azurepass::testing
