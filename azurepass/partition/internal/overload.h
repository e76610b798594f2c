// Overload control: which submissions an owner refuses because it can't serve
// them while they are still useful.
//
// The load it answers: an account sends more than the service can start, for
// seconds or longer. Without a bound, the backlog grows until every job starts
// just before it becomes useless, so that the whole service produces results
// that are late, and callers learn nothing of that.
//
// By Little's law, a submission waits for about as long as the backlog of its
// account and queue takes to drain at the present rate of starts. The rate is
// measured, so it includes whatever limits it: room, the account's upper limit,
// permits. A backlog that drains within the time in which a new job is useful
// is no reason to refuse, however many tasks it has.
//
// Knows no clock, network or encoding; the caller passes the time.

#ifndef AZUREPASS_PARTITION_INTERNAL_OVERLOAD_H_
#define AZUREPASS_PARTITION_INTERNAL_OVERLOAD_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "azurepass/core/core.h"

namespace azurepass::partition::internal {

// The jobs of one account in one queue. They are alike and wait for the same
// resources.
struct Stream {
  TeamId team;
  QueueId queue;
  auto operator<=>(const Stream&) const = default;
};

class OverloadControl {
 public:
  // A job that waits for its start. It is not useful if it starts after
  // `useful_until`, and does not count as backlog from then on, because it
  // delays no other job.
  void OnQueued(const JobId& job, const Stream& stream, int64_t tasks,
                MonotonicTime useful_until);
  // A task of the job has a place.
  void OnStarted(const JobId& job, MonotonicTime now);
  // A task of the job waits again.
  void OnRequeued(const JobId& job);
  // The job waits no longer, for example because it was cancelled.
  void Remove(const JobId& job);

  struct Excess {
    Duration predicted_wait{0};
    // Until a job would be on time again.
    Duration retry_after{0};
  };
  // Returns why a job that would be on time for `on_time_for` from now on, and
  // useful for `useful_for`, can't be served in time. Returns nothing if it
  // can, or if there are too few starts to tell.
  std::optional<Excess> Judge(const Stream& stream, Duration on_time_for,
                              Duration useful_for, MonotonicTime now);

  // Returns the wait that a job submitted now would have, for operators; empty
  // if there are too few starts to tell.
  std::optional<Duration> PredictedWait(const Stream& stream,
                                        MonotonicTime now);

 private:
  struct WaitingJob {
    Stream stream;
    int64_t waiting = 0;  // Tasks.
    MonotonicTime useful_until;
  };
  // Invariant: `waiting` is the sum over the waiting jobs of the stream;
  // `starts` is the sum of the counts in `recent`.
  struct Load {
    int64_t waiting = 0;
    int64_t starts = 0;
    std::deque<std::pair<MonotonicTime, int64_t>>
        recent;  // Start of an interval.
  };

  // Drops jobs that are no longer useful.
  void Expire(MonotonicTime now);
  // Drops starts before the window.
  static void Trim(Load& load, MonotonicTime now);

  std::map<JobId, WaitingJob> jobs_;
  std::set<std::pair<MonotonicTime, JobId>> by_end_;  // All of jobs_.
  std::map<Stream, Load> loads_;
};

}  // namespace azurepass::partition::internal

#endif  // AZUREPASS_PARTITION_INTERNAL_OVERLOAD_H_
