// The ledger is the state that results from applying the journal's records in
// order. Apply is the only way to change it, so that recovery and live
// operation cannot disagree on the meaning of a record.
//
// An owner keeps two ledgers. A batch is applied to the committed ledger once
// it is known to be appended; snapshots and final answers are taken from there.
// The live ledger is ahead of it by the records that are not yet appended.
// Submissions and cancellations are applied to the live ledger when they are
// committed, all other records when they are decided. Apply therefore has to
// give the same result for a cancellation and the starts and ends that were
// decided while it was being appended, in either order:
//   * a start makes a task running even if the job was cancelled before;
//   * a requeued task of a cancelled job is cancelled at once.
// If no records are pending, both ledgers are equal.

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

// A job and its tasks, which are kQueued, kRunning (from the start on) or in a
// final state.
struct LedgerJob {
  JobSubmitted submitted;
  bool cancelled = false;
  std::vector<TaskSnapshot> tasks{};
  int32_t unfinished = 0;  // Tasks that are not final.
  int32_t queued = 0;      // Tasks in kQueued.
  // Of an atomic gang, the latest attempt that counts as failed; 0: none.
  // Invariant: it is one of those in the sum of the tasks' failures.
  int32_t failed_attempt = 0;

  bool operator==(const LedgerJob&) const = default;
};

// A workflow and its jobs. Invariants: `jobs` holds the job of step S in
// occurrence K at K * steps + S; unfinished_jobs is the number of jobs with
// unfinished tasks. A workflow that had ended when a snapshot was taken has
// `ended` and no jobs.
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

// The queued tasks of a team.
struct TeamQueue {
  int64_t tasks = 0;
  Resources size;  // Sum over the tasks.
  bool operator==(const TeamQueue&) const = default;
};

// Returns true if an attempt with this outcome counts towards the job's
// max_attempts.
bool CountsAsFailure(placement::AttemptOutcome outcome, const JobSpec& spec);
// Returns how many attempts of the task, or of its whole atomic gang, count as
// failed once the attempt `last` has failed, too.
int32_t FailuresWith(const LedgerJob& job, const AttemptId& last);

class Ledger {
 public:
  using Jobs = std::map<JobId, LedgerJob>;
  using Workflows = std::map<RequestId, LedgerWorkflow>;

  // Replaces the content by that of the snapshot.
  void Load(const Snapshot& snapshot);
  // Returns a snapshot that covers the batches up to `through`.
  Snapshot TakeSnapshot(int64_t through) const;

  void Apply(const Record& record);

  const LedgerJob* Find(const JobId& job) const;
  // Returns null if the task does not exist.
  const TaskSnapshot* FindTask(const TaskId& task) const;
  const LedgerJob* FindRequest(const TeamId& team,
                               const RequestId& request) const;
  const Jobs& jobs() const { return jobs_; }
  const LedgerWorkflow* FindWorkflow(const RequestId& request) const;
  // Returns the workflow of which the job is a step, or null if there is none.
  const LedgerWorkflow* WorkflowOf(const JobId& job) const;
  const Workflows& workflows() const { return workflows_; }
  TeamQueue QueueOf(const TeamId& team) const;
  // Returns a number above that of every job ever submitted.
  int64_t next_job_number() const { return next_job_number_; }

  bool operator==(const Ledger&) const = default;

 private:
  void Add(LedgerJob job);
  // Adds the workflow without its jobs.
  LedgerWorkflow& AddWorkflow(const WorkflowSubmitted& submitted);
  // Adds the jobs by occurrence and step, in the states `kept`, otherwise as
  // they are at first.
  void AddJobsOf(const LedgerWorkflow& workflow,
                 const std::map<JobId, const JobSnapshot*>& kept = {});
  void Forget(const RequestId& request);
  LedgerWorkflow* MutableWorkflowOf(const JobId& job);
  void Cancel(LedgerJob& job);
  void SetState(LedgerJob& job, TaskSnapshot& task, TaskState state);
  // Returns the job and the task that a record refers to, or null if they were
  // forgotten.
  std::pair<LedgerJob*, TaskSnapshot*> Locate(const TaskId& id);

  Jobs jobs_;
  Workflows workflows_;
  std::map<std::pair<TeamId, RequestId>, JobId> requests_;
  std::map<TeamId, TeamQueue> queues_;
  int64_t next_job_number_ = 1;
};

}  // namespace azurepass::partition::internal

#endif  // AZUREPASS_PARTITION_INTERNAL_LEDGER_H_
