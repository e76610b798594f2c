// A worker in memory, of those that carry out calls late: what it runs, what
// has ended there, and its clock. Who calls it, and when, is the simulation's.

#ifndef AZUREPASS_ENDPOINT_TESTING_LATE_WORKER_H_
#define AZUREPASS_ENDPOINT_TESTING_LATE_WORKER_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "azurepass/core/core.h"

namespace azurepass::endpoint::testing {

// A worker as the users' platform has them.
struct Worker {
  int64_t life = 1;
  MonotonicTime born{};
  MonotonicTime lease_until{};
  std::map<AttemptId, MonotonicTime> running;  // Until when.
  std::map<TaskId, int32_t> over;  // The highest attempt ended or stopped.
  std::vector<WorkerEvent> ends;   // Not acknowledged.
  int64_t last_end = 0;

  Duration Clock(MonotonicTime now) const {
    return std::chrono::duration_cast<Duration>(now - born);
  }
  std::string Token(int64_t of_life, MonotonicTime now) const {
    return std::to_string(of_life) + "." + std::to_string(Clock(now).count());
  }
  void End(const AttemptId& attempt, WorkerEventKind kind) {
    running.erase(attempt);
    int32_t& latest = over[attempt.task];
    latest = std::max(latest, attempt.attempt);
    ends.push_back({++last_end, attempt, kind, ""});
  }
  void Advance(MonotonicTime now) {
    std::vector<AttemptId> ended;
    for (const auto& [attempt, until] : running) {
      if (std::min(until, lease_until) <= now) ended.push_back(attempt);
    }
    for (const AttemptId& attempt : ended) {
      End(attempt, WorkerEventKind::kStopped);
    }
  }
};

struct ParsedToken {
  int64_t life = 0;
  Duration clock{0};
};
inline ParsedToken Parse(const std::string& token) {
  const size_t dot = token.find('.');
  return {std::stoll(token.substr(0, dot)),
          Duration(std::stoll(token.substr(dot + 1)))};
}

}  // namespace azurepass::endpoint::testing

#endif  // AZUREPASS_ENDPOINT_TESTING_LATE_WORKER_H_
