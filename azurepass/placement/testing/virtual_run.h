// Simulates one Cell under a given load in virtual time, as a loop over a queue
// of events: arrivals, starts, ends, failures and the outage of a zone. Workers
// are ideal otherwise: orders take effect at once, and checkpoints after a
// delay.

#ifndef AZUREPASS_PLACEMENT_TESTING_VIRTUAL_RUN_H_
#define AZUREPASS_PLACEMENT_TESTING_VIRTUAL_RUN_H_

#include <cstdint>
#include <map>
#include <optional>
#include <queue>
#include <set>
#include <vector>

#include "azurepass/placement/testing/deployments.h"

namespace azurepass::placement::testing {

struct Arrival {
  Duration at{0};
  int32_t team = 0;
  JobSpec spec;
  std::vector<Duration> run_times;  // Actual run times of the tasks.
  bool poison = false;              // Its tasks fail wherever they run.
};

struct LoadTrace {
  Deployment deployment;
  std::vector<int64_t> shares;    // By team.
  std::vector<Arrival> arrivals;  // By time.
  Duration length{0};             // When the run ends.
};

struct Faults {
  int32_t bad_workers = 0;  // The first workers; they fail every task.
  double failure_rate = 0;  // Of attempts on the other workers.
  // This zone loses its tasks at `outage_begin` and takes none until
  // `outage_end`.
  std::optional<ZoneId> outage_zone;
  Duration outage_begin{0};
  Duration outage_end{0};
};

struct RunResult {
  // Waits of tasks until their first start, or until the end of the run for
  // tasks that never started.
  std::vector<Duration> urgent_waits;
  std::vector<Duration> normal_waits;
  std::vector<std::vector<Duration>> team_waits;  // Of normal tasks, by team.
  std::vector<Duration> gang_waits;               // Of either priority.
  double work_seconds = 0;  // Run time of tasks that succeeded.
  int64_t succeeded = 0;    // Tasks.
  int64_t failed_attempts = 0;
  int64_t preempted = 0;
  int64_t quarantined_at_end = 0;  // Workers.
  // Largest deviation of a team from its share, in percentage points, sampled
  // once a second when all teams have waiting tasks.
  std::vector<double> share_deviations;
  int64_t max_zone_starts_per_second = 0;  // After the outage, in its zone.
};

class VirtualRun {
 public:
  VirtualRun(const LoadTrace& load, const Options& options,
             const Faults& faults);
  RunResult Run();

 private:
  enum class EventKind : uint8_t {
    kArrival,
    kEnd,
    kCheckpointEnd,
    kWake,
    kSample,
    kZoneOut,
    kZoneBack
  };
  struct Event {
    Duration at{0};
    int64_t number = 0;  // Breaks ties.
    EventKind kind = EventKind::kWake;
    TaskId task;
    int32_t attempt = 0;
    bool operator>(const Event& other) const {
      return std::tie(at, number) > std::tie(other.at, other.number);
    }
  };
  struct RunningTask {
    VmId vm;
    Duration started{0};
    int32_t attempt = 0;
  };

  MonotonicTime TimeAt(Duration at) const;
  void Push(Duration at, EventKind kind, const TaskId& task = {},
            int32_t attempt = 0);
  void Handle(const Event& event);
  void Arrive();
  void EndAttempt(const Event& event);
  void EndCheckpoint(const Event& event);
  void BeginZoneOutage();
  void Decide();
  void OnStart(const Start& start);
  void RecordWait(const TaskId& task);
  void RecordUnstarted();
  void SampleShares();
  const Arrival& ArrivalOf(const TaskId& task) const;
  bool IsBad(const VmId& vm) const;

  const LoadTrace& load_;
  Faults faults_;
  Cell cell_;
  Random random_{99};
  Duration now_{0};
  int64_t events_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> queue_;
  size_t next_arrival_ = 0;
  std::map<JobId, size_t> arrival_of_;
  std::map<TaskId, RunningTask> running_;
  std::map<TaskId, int32_t> attempts_;
  std::map<TaskId, Duration> progress_;  // Saved by checkpoints.
  std::map<VmId, ZoneId> zone_of_;
  std::map<VmId, int32_t> worker_number_;
  std::vector<int64_t> team_waiting_;
  std::map<int64_t, int64_t> zone_starts_;  // By second.
  std::optional<Duration> wake_at_;
  RunResult result_;
};

}  // namespace azurepass::placement::testing

#endif  // AZUREPASS_PLACEMENT_TESTING_VIRTUAL_RUN_H_
