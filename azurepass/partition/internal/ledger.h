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
#include <optional>
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
  std::vector<TaskSnapshot> tasks{};
  int32_t unfinished = 0;  // Tasks that are not final.
  int32_t queued = 0;      // Tasks in kQueued.

  bool operator==(const LedgerJob&) const = default;
};

// Invariants: `jobs` holds occurrence K's step S at K * steps + S;
// unfinished_jobs counts those with unfinished tasks. A workflow that had ended
// when a snapshot was taken has `ended` and no jobs.
struct LedgerWorkflow {
  WorkflowSubmitted submitted;
  bool cancelled = false;
  bool failed = false;   // A task failed for good.
  bool started = false;  // A task was started.
  std::optional<WorkflowState> ended;
  std::vector<JobId> jobs;
  int32_t unfinished_jobs = 0;

  bool operator==(const LedgerWorkflow&) const = default;
};
WorkflowState StateOf(const LedgerWorkflow& workflow);
bool IsFinal(WorkflowState state);

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
  using Workflows = std::map<RequestId, LedgerWorkflow>;

  void Load(const Snapshot& snapshot);
  Snapshot Take(int64_t through) const;

  void Apply(const Record& record);

  const LedgerJob* Find(const JobId& job) const;
  // Empty when the task does not exist.
  const TaskSnapshot* FindTask(const TaskId& task) const;
  const LedgerJob* FindRequest(const TeamId& team,
                               const RequestId& request) const;
  const Jobs& jobs() const { return jobs_; }
  const LedgerWorkflow* FindWorkflow(const RequestId& request) const;
  // The workflow that the job is a step of; null when it is none.
  const LedgerWorkflow* WorkflowOf(const JobId& job) const;
  const Workflows& workflows() const { return workflows_; }
  TeamQueue QueueOf(const TeamId& team) const;
  // Above the number of every job ever submitted.
  int64_t next_job_number() const { return next_job_number_; }

  bool operator==(const Ledger&) const = default;

 private:
  void Add(LedgerJob job);
  // Adds the workflow without its jobs.
  LedgerWorkflow& AddWorkflow(const WorkflowSubmitted& submitted);
  void AddJobsOf(const LedgerWorkflow& workflow);
  void Forget(const RequestId& request);
  LedgerWorkflow* MutableWorkflowOf(const JobId& job);
  void Cancel(LedgerJob& job);
  void SetState(LedgerJob& job, TaskSnapshot& task, TaskState state);
  // The job and task that a record speaks of; null when it is forgotten.
  std::pair<LedgerJob*, TaskSnapshot*> Locate(const TaskId& id);

  Jobs jobs_;
  Workflows workflows_;
  std::map<std::pair<TeamId, RequestId>, JobId> requests_;
  std::map<TeamId, TeamQueue> queues_;
  int64_t next_job_number_ = 1;
};

}  // namespace azurepass::partition::internal

#endif  // AZUREPASS_PARTITION_INTERNAL_LEDGER_H_
