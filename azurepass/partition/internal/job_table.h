// Data about jobs that is not in the journal: when they were accepted and ended
// on the owner's clock, and the version that callers compare.
//
// Versions of different epochs come from disjoint, rising ranges, so that a
// caller that saw a version from a former owner does not wait for that version
// indefinitely.

#ifndef AZUREPASS_PARTITION_INTERNAL_JOB_TABLE_H_
#define AZUREPASS_PARTITION_INTERNAL_JOB_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "azurepass/core/core.h"

namespace azurepass::partition::internal {

struct JobTimes {
  MonotonicTime accepted;
  std::optional<MonotonicTime> expires;  // No starts from then on.
  int64_t version = 0;
  std::map<int32_t, Duration> waited;  // Until the latest start, by task.
  // True once the job is added to the cell. A workflow's step is added only
  // when it is ready to run.
  bool released = false;
};

class JobTable {
 public:
  // The versions of jobs start in the range of this epoch.
  explicit JobTable(Epoch epoch) : first_version_(epoch.value << 24) {}

  void Add(const JobId& job, MonotonicTime accepted,
           std::optional<Duration> deadline) {
    JobTimes times{accepted, std::nullopt, first_version_ + 1, {}, false};
    if (deadline) {
      times.expires = accepted + *deadline;
      expiring_.insert({*times.expires, job});
    }
    jobs_.insert_or_assign(job, std::move(times));
  }
  JobTimes* Find(const JobId& job) {
    auto found = jobs_.find(job);
    return found == jobs_.end() ? nullptr : &found->second;
  }
  const JobTimes* Find(const JobId& job) const {
    auto found = jobs_.find(job);
    return found == jobs_.end() ? nullptr : &found->second;
  }
  bool Expired(const JobId& job, MonotonicTime now) const {
    const JobTimes* times = Find(job);
    return times != nullptr && times->expires && *times->expires <= now;
  }
  // Reports the job as expired again at `until`.
  void PostponeExpiry(const JobId& job, MonotonicTime until) {
    expiring_.insert({until, job});
  }
  // Schedules the job, which is final, to be forgotten at `forget`.
  void SetEnded(const JobId& job, MonotonicTime forget) {
    forgetting_.insert({forget, job});
  }
  void Remove(const JobId& job) {
    const JobTimes* times = Find(job);
    if (times != nullptr && times->expires) {
      expiring_.erase({*times->expires, job});
    }
    jobs_.erase(job);
  }

  // Return the jobs whose deadline has passed, or that are to be forgotten.
  // Each job is returned once.
  std::vector<JobId> TakeExpired(MonotonicTime now) {
    return TakeDue(expiring_, now);
  }
  std::vector<JobId> TakeForgotten(MonotonicTime now) {
    return TakeDue(forgetting_, now);
  }
  std::optional<MonotonicTime> NextWake() const {
    std::optional<MonotonicTime> next;
    if (!expiring_.empty()) next = expiring_.begin()->first;
    if (!forgetting_.empty() && (!next || forgetting_.begin()->first < *next)) {
      next = forgetting_.begin()->first;
    }
    return next;
  }

 private:
  using Timeline = std::set<std::pair<MonotonicTime, JobId>>;

  static std::vector<JobId> TakeDue(Timeline& timeline, MonotonicTime now) {
    std::vector<JobId> due;
    while (!timeline.empty() && timeline.begin()->first <= now) {
      due.push_back(timeline.begin()->second);
      timeline.erase(timeline.begin());
    }
    return due;
  }

  int64_t first_version_;
  std::map<JobId, JobTimes> jobs_;
  Timeline expiring_;
  Timeline forgetting_;
};

}  // namespace azurepass::partition::internal

#endif  // AZUREPASS_PARTITION_INTERNAL_JOB_TABLE_H_
