// How the tasks that wait for a start have spent their wait, for the log.
//
// A wait begins with the end of a task's run, or when the task is first queued
// here, and ends when a worker runs the task. A start that is withdrawn or
// refused is a setback within the same wait. Each sample adds the time since
// the sample before to the cause that it found then, so a cause that comes and
// goes between two samples is not seen.

#ifndef AZUREPASS_PARTITION_INTERNAL_WAIT_TABLE_H_
#define AZUREPASS_PARTITION_INTERNAL_WAIT_TABLE_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "azurepass/core/core.h"
#include "azurepass/placement/placement.h"

namespace azurepass::partition::internal {

enum class WaitCause {
  kNotOwned,  // The takeover is not complete.
  kNotFresh,  // The configuration is not fresh.
  kJournal,   // Too many records are not yet appended.
  kStarting,  // Started: until its record, its order and the worker's answer.
  // Reasons of placement::WaitReason.
  kBackoff,
  kNoToken,
  kNoPermit,
  kAllowance,
  kNoRoom,
  kOther,  // Behind others, an incomplete gang, zones out of service.
};
inline constexpr size_t kWaitCauses = 10;

// The cause for a reason of the cell.
WaitCause CauseOf(placement::WaitReason reason);

class WaitTable {
 public:
  // Tasks followed at a time, and lines in a second. What is beyond either is
  // counted, and the next line tells how many they were.
  static constexpr size_t kMostFollowed = 256;
  static constexpr int64_t kMostLines = 8;

  struct Finding {
    TaskId task;
    std::string text;  // What a line tells of the wait.
  };

  // The task waits from `now` on. `origin` tells from what: "run", "queued" or
  // "takeover" (it waited before, for a former owner).
  void Begin(const TaskId& task, std::string origin, WaitCause cause,
             MonotonicTime now);
  size_t size() const { return waits_.size(); }
  bool Contains(const TaskId& task) const { return waits_.contains(task); }
  // A start was decided.
  void OnStart(const TaskId& task, MonotonicTime now);
  // The start did not lead to a run.
  void OnSetback(const TaskId& task, const std::string& reason, WaitCause cause,
                 MonotonicTime now);
  // A worker runs the task. The text of a line about the wait; empty unless it
  // took `longer_than`.
  std::string End(const TaskId& task, Duration longer_than, MonotonicTime now);
  // The task does not wait any more; nothing is told.
  void Drop(const TaskId& task) { waits_.erase(task); }

  // Takes a sample of all. `cause_of` returns nothing for a task that does not
  // wait any more. Returns tasks that have waited for `late` and were not
  // returned before; those above the bound of lines come with later samples.
  std::vector<Finding> Sample(
      const std::function<std::optional<WaitCause>(const TaskId&)>& cause_of,
      Duration late, MonotonicTime now);

 private:
  struct Wait {
    std::string origin;
    MonotonicTime since;
    MonotonicTime sampled;  // The time up to here is in `spent`.
    WaitCause cause = WaitCause::kOther;
    std::array<std::chrono::nanoseconds, kWaitCauses> spent{};
    int32_t setbacks = 0;
    std::string last_setback;
    bool told = false;
  };

  static void Advance(Wait& wait, WaitCause cause, MonotonicTime now);
  bool TakeLine(MonotonicTime now);
  std::string Text(const Wait& wait, MonotonicTime now);

  // Invariant: at most kMostFollowed.
  std::map<TaskId, Wait> waits_;
  MonotonicTime second_at_{};
  int64_t lines_ = 0;  // Since second_at_.
  int64_t left_out_ = 0;
};

}  // namespace azurepass::partition::internal

#endif  // AZUREPASS_PARTITION_INTERNAL_WAIT_TABLE_H_
