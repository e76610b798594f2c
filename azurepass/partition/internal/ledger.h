// The ledger is what the journal says: a fold of its records. Apply is the only
// way to change it, so recovery and live operation cannot disagree on what a
// record means.
//
// An owner keeps two. The committed ledger takes in a batch once it is known
// to be appended; snapshots and final answers come from it. The live ledger is
// ahead of it by the records that are still on their way. Submissions and
// cancellations enter the live ledger when they are committed, everything else
// when it is decided. Apply therefore has to give the same result in either
// order of a cancellation and the starts and ends decided while it was on its
// way:
//   * a start makes a task running even if the job was cancelled before;
//   * a requeued task of a cancelled job is cancelled at once.
// With nothing on its way both ledgers are equal.

#ifndef AZUREPASS_PARTITION_INTERNAL_LEDGER_H_
#define AZUREPASS_PARTITION_INTERNAL_LEDGER_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "azurepass/core/core.h"
#include "azurepass/partition/partition.h"

namespace azurepass::partition::internal {

// States used here: kQueued, kRunning (from the start on) and the final ones.
struct LedgerJob {
  JobSubmitted submitted;
  bool cancelled = false;
  std::vector<TaskSnapshot> tasks;
  int32_t unfinished = 0;  // Tasks that are not final.

  bool operator==(const LedgerJob&) const = default;
};

// What of a team waits.
struct TeamQueue {
  int64_t tasks = 0;
  Resources size;  // Sum over the tasks.
  bool operator==(const TeamQueue&) const = default;
};

// Whether an attempt that ended so counts towards kMaxAttempts.
bool CountsAsFailure(placement::AttemptOutcome outcome, const JobSpec& spec);

class Ledger {
 public:
  using Jobs = std::map<JobId, LedgerJob>;

  void Load(const Snapshot& snapshot);
  Snapshot Take(int64_t through) const;

  void Apply(const Record& record);

  const LedgerJob* Find(const JobId& job) const;
  // Empty when the task does not exist.
  const TaskSnapshot* FindTask(const TaskId& task) const;
  const LedgerJob* FindRequest(const TeamId& team,
                               const RequestId& request) const;
  const Jobs& jobs() const { return jobs_; }
  TeamQueue QueueOf(const TeamId& team) const;
  // Above the number of every job ever submitted.
  int64_t next_job_number() const { return next_job_number_; }

  bool operator==(const Ledger&) const = default;

 private:
  void Add(LedgerJob job);
  void Cancel(LedgerJob& job);
  void SetState(LedgerJob& job, TaskSnapshot& task, TaskState state);
  // The job and task that a record speaks of; null when it is forgotten.
  std::pair<LedgerJob*, TaskSnapshot*> Locate(const TaskId& id);

  Jobs jobs_;
  std::map<std::pair<TeamId, RequestId>, JobId> requests_;
  std::map<TeamId, TeamQueue> queues_;
  int64_t next_job_number_ = 1;
};

}  // namespace azurepass::partition::internal

#endif  // AZUREPASS_PARTITION_INTERNAL_LEDGER_H_
