// Implementation of the ledger.

#include "azurepass/partition/internal/ledger.h"

#include <algorithm>
#include <charconv>
#include <string_view>

namespace azurepass::partition::internal {
namespace {

// Returns NUMBER of a job id "PARTITION.NUMBER", or 0 if the id has none.
int64_t NumberOf(const JobId& job) {
  const std::string_view text = job.value();
  const size_t dot = text.rfind('.');
  if (dot == std::string_view::npos) return 0;
  int64_t number = 0;
  std::from_chars(text.data() + dot + 1, text.data() + text.size(), number);
  return number;
}

// Returns true for a final state after which a workflow cannot complete.
bool IsFailure(TaskState state) {
  return state == TaskState::kFailed || state == TaskState::kExpired ||
         state == TaskState::kUnknown;
}

// All tasks of a gang have the same attempt, and its number rises from one to
// the next. A failure that is learned only after a later attempt has counted
// does not count any more.
bool IsCounted(const LedgerJob& gang, int32_t attempt) {
  return attempt <= gang.failed_attempt;
}

void CountFailure(LedgerJob& job, TaskSnapshot& task, int32_t attempt) {
  if (IsAtomicGang(job.submitted.spec)) {
    if (IsCounted(job, attempt)) return;
    job.failed_attempt = attempt;
  }
  ++task.failures;
}

// Snapshots of versions that did not keep a gang's `failed_attempt` count each
// task that failed in an attempt. A gang cannot have failed more often than it
// was started.
void LimitFailures(LedgerJob& job) {
  if (!IsAtomicGang(job.submitted.spec) || job.failed_attempt > 0) return;
  int32_t left = 0;
  for (const TaskSnapshot& task : job.tasks) {
    left = std::max(left, task.attempts);
  }
  for (TaskSnapshot& task : job.tasks) {
    task.failures = std::min(task.failures, left);
    left -= task.failures;
  }
}

LedgerJob FromSnapshot(const JobSnapshot& kept, JobSubmitted submitted) {
  LedgerJob job{std::move(submitted), kept.cancelled, kept.tasks};
  job.failed_attempt = kept.failed_attempt;
  LimitFailures(job);
  return job;
}

// Tasks that run in another partition are final from the beginning.
std::vector<TaskSnapshot> InitialTasks(const JobSpec& spec) {
  std::vector<TaskSnapshot> tasks(spec.tasks);
  for (int32_t index = 0; index < spec.tasks; ++index) {
    if (spec.share.Contains(index)) continue;
    tasks[index].state = TaskState::kCancelled;
    tasks[index].reason = "in another partition";
  }
  return tasks;
}

}  // namespace

// A lost attempt of a service is attributed to the machine, because services
// outlive many machines. For all other tasks a lost attempt counts, so that a
// task that crashes its worker is not repeated forever.
bool CountsAsFailure(placement::AttemptOutcome outcome, const JobSpec& spec) {
  if (outcome == placement::AttemptOutcome::kFailed) return true;
  return outcome == placement::AttemptOutcome::kLost && spec.counts_losses &&
         !std::holds_alternative<ServicePolicy>(spec.policy);
}

int32_t FailuresWith(const LedgerJob& job, const AttemptId& last) {
  if (!IsAtomicGang(job.submitted.spec)) {
    return job.tasks[last.task.index].failures + 1;
  }
  int32_t failures = IsCounted(job, last.attempt) ? 0 : 1;
  for (const TaskSnapshot& task : job.tasks) failures += task.failures;
  return failures;
}

bool IsFinal(WorkflowState state) {
  return state != WorkflowState::kQueued && state != WorkflowState::kRunning;
}

WorkflowState StateOf(const LedgerWorkflow& workflow) {
  if (workflow.ended) return *workflow.ended;
  // The owner itself cancels a workflow that has failed, which does not make it
  // a cancelled one.
  if (workflow.failed) return WorkflowState::kFailed;
  if (workflow.cancelled) return WorkflowState::kCancelled;
  if (workflow.unfinished_jobs == 0) return WorkflowState::kCompleted;
  return workflow.started ? WorkflowState::kRunning : WorkflowState::kQueued;
}

void Ledger::Load(const Snapshot& snapshot) {
  *this = Ledger();
  for (const WorkflowSnapshot& kept : snapshot.workflows) {
    LedgerWorkflow& workflow = AddWorkflow(kept.submitted);
    workflow.cancelled = kept.cancelled;
    workflow.ended = kept.ended;
  }
  std::map<JobId, const JobSnapshot*> steps;
  for (const JobSnapshot& job : snapshot.jobs) {
    if (WorkflowOf(job.submitted.job) != nullptr) {
      steps[job.submitted.job] = &job;
    } else {
      Add(FromSnapshot(job, job.submitted));
    }
  }
  for (const auto& [request, workflow] : workflows_) {
    if (!workflow.ended) AddJobsOf(workflow, steps);
  }
  next_job_number_ = std::max(next_job_number_, snapshot.next_job_number);
}

Snapshot Ledger::TakeSnapshot(int64_t through) const {
  Snapshot snapshot;
  snapshot.through = through;
  snapshot.next_job_number = next_job_number_;
  for (const auto& [request, workflow] : workflows_) {
    WorkflowSnapshot kept{workflow.submitted, workflow.cancelled,
                          workflow.ended};
    if (workflow.unfinished_jobs == 0) {
      kept.ended = StateOf(workflow);
      kept.submitted.spec.payload.clear();
      kept.submitted.spec.steps.clear();
    }
    snapshot.workflows.push_back(std::move(kept));
  }
  for (const auto& [id, job] : jobs_) {
    if (WorkflowOf(id) != nullptr) continue;
    snapshot.jobs.push_back(
        {job.submitted, job.cancelled, job.tasks, job.failed_attempt});
  }
  // Older readers take the jobs of a workflow to be in the order of their
  // positions.
  for (const auto& [request, workflow] : workflows_) {
    if (workflow.unfinished_jobs == 0) continue;
    for (const JobId& id : workflow.jobs) {
      const LedgerJob& job = jobs_.at(id);
      JobSubmitted submitted;
      submitted.job = id;
      // The reader of snapshots rejects a task without a slot.
      submitted.spec.task[Dimension::kSlots] = 1;
      snapshot.jobs.push_back(
          {std::move(submitted), job.cancelled, job.tasks, job.failed_attempt});
    }
  }
  return snapshot;
}

void Ledger::Apply(const Record& record) {
  std::visit(
      Visitor{[&](const JobSubmitted& r) {
                Add({r, false, std::vector<TaskSnapshot>(r.spec.tasks)});
              },
              [&](const TaskStarted& r) {
                auto [job, task] = Locate(r.attempt.task);
                if (task == nullptr) return;
                SetState(*job, *task, TaskState::kRunning);
                if (LedgerWorkflow* w = MutableWorkflowOf(r.attempt.task.job)) {
                  w->started = true;
                }
                task->vm = r.vm;
                task->attempt = r.attempt.attempt;
                ++task->attempts;
              },
              [&](const TaskRequeued& r) {
                auto [job, task] = Locate(r.attempt.task);
                if (task == nullptr) return;
                SetState(*job, *task,
                         job->cancelled ? TaskState::kCancelled
                                        : TaskState::kQueued);
                task->from_checkpoint = r.from_checkpoint;
                if (!r.checkpoint.empty()) task->checkpoint = r.checkpoint;
                if (CountsAsFailure(r.outcome, job->submitted.spec)) {
                  CountFailure(*job, *task, r.attempt.attempt);
                }
              },
              [&](const TaskEnded& r) {
                auto [job, task] = Locate(r.task);
                if (task == nullptr) return;
                SetState(*job, *task, r.state);
                task->reason = r.reason;
              },
              [&](const JobCancelled& r) {
                auto found = jobs_.find(r.job);
                if (found != jobs_.end()) Cancel(found->second);
              },
              [&](const JobForgotten& r) {
                auto found = jobs_.find(r.job);
                if (found == jobs_.end()) return;
                const JobSubmitted& submitted = found->second.submitted;
                requests_.erase({submitted.team, submitted.request});
                jobs_.erase(found);
              },
              [&](const WorkflowSubmitted& r) { AddJobsOf(AddWorkflow(r)); },
              [&](const WorkflowCancelled& r) {
                auto found = workflows_.find(r.request);
                if (found == workflows_.end()) return;
                found->second.cancelled = true;
                for (const JobId& id : found->second.jobs) {
                  auto job = jobs_.find(id);
                  if (job != jobs_.end()) Cancel(job->second);
                }
              },
              [&](const WorkflowForgotten& r) { Forget(r.request); }},
      record);
}

LedgerWorkflow& Ledger::AddWorkflow(const WorkflowSubmitted& submitted) {
  LedgerWorkflow workflow;
  workflow.submitted = submitted;
  return workflows_.insert_or_assign(submitted.request, std::move(workflow))
      .first->second;
}

void Ledger::AddJobsOf(const LedgerWorkflow& workflow,
                       const std::map<JobId, const JobSnapshot*>& kept) {
  const WorkflowSubmitted submitted = workflow.submitted;
  const auto steps = static_cast<int32_t>(submitted.spec.steps.size());
  for (int32_t k = 0; k < submitted.spec.occurrences; ++k) {
    for (int32_t s = 0; s < steps; ++s) {
      const JobSpec& spec = submitted.spec.steps[s].job;
      JobSubmitted job;
      job.job = MakeJobId(submitted.partition, {submitted.request, k, s});
      job.team = submitted.team;
      job.spec = spec;
      job.accepted = submitted.accepted;
      const auto found = kept.find(job.job);
      if (found == kept.end()) {
        Add({std::move(job), false, InitialTasks(spec)});
      } else {
        Add(FromSnapshot(*found->second, std::move(job)));
      }
    }
  }
}

void Ledger::Forget(const RequestId& request) {
  auto found = workflows_.find(request);
  if (found == workflows_.end()) return;
  for (const JobId& job : found->second.jobs) jobs_.erase(job);
  workflows_.erase(found);
}

const LedgerWorkflow* Ledger::FindWorkflow(const RequestId& request) const {
  auto found = workflows_.find(request);
  return found == workflows_.end() ? nullptr : &found->second;
}

const LedgerWorkflow* Ledger::WorkflowOf(const JobId& job) const {
  const std::optional<StepId> step = StepOf(job);
  return step ? FindWorkflow(step->request) : nullptr;
}

LedgerWorkflow* Ledger::MutableWorkflowOf(const JobId& job) {
  return const_cast<LedgerWorkflow*>(std::as_const(*this).WorkflowOf(job));
}

void Ledger::Add(LedgerJob job) {
  job.unfinished = static_cast<int32_t>(
      std::count_if(job.tasks.begin(), job.tasks.end(),
                    [](const auto& task) { return !IsFinal(task.state); }));
  const int64_t queued = std::count_if(
      job.tasks.begin(), job.tasks.end(),
      [](const auto& task) { return task.state == TaskState::kQueued; });
  job.queued = static_cast<int32_t>(queued);
  TeamQueue& queue = queues_[job.submitted.team];
  queue.tasks += queued;
  queue.size += job.submitted.spec.task * queued;
  const JobSubmitted& submitted = job.submitted;
  next_job_number_ = std::max(next_job_number_, NumberOf(submitted.job) + 1);
  if (!submitted.request.empty()) {
    requests_[{submitted.team, submitted.request}] = submitted.job;
  }
  if (LedgerWorkflow* workflow = MutableWorkflowOf(submitted.job)) {
    workflow->jobs.push_back(submitted.job);
    workflow->unfinished_jobs += job.unfinished > 0 ? 1 : 0;
    for (const TaskSnapshot& task : job.tasks) {
      workflow->started |= task.attempts > 0;
      workflow->failed |= IsFailure(task.state);
    }
  }
  JobId id = submitted.job;
  jobs_.insert_or_assign(std::move(id), std::move(job));
}

void Ledger::Cancel(LedgerJob& job) {
  job.cancelled = true;
  for (TaskSnapshot& task : job.tasks) {
    if (task.state == TaskState::kQueued) {
      SetState(job, task, TaskState::kCancelled);
    }
  }
}

void Ledger::SetState(LedgerJob& job, TaskSnapshot& task, TaskState state) {
  const bool was_unfinished = job.unfinished > 0;
  job.unfinished += (IsFinal(task.state) ? 1 : 0) - (IsFinal(state) ? 1 : 0);
  if (LedgerWorkflow* workflow = MutableWorkflowOf(job.submitted.job)) {
    workflow->unfinished_jobs +=
        (job.unfinished > 0 ? 1 : 0) - (was_unfinished ? 1 : 0);
    workflow->failed |= IsFailure(state);
  }
  const int64_t queued = (state == TaskState::kQueued ? 1 : 0) -
                         (task.state == TaskState::kQueued ? 1 : 0);
  job.queued += static_cast<int32_t>(queued);
  if (queued != 0) {
    TeamQueue& queue = queues_[job.submitted.team];
    queue.tasks += queued;
    queue.size += job.submitted.spec.task * queued;
  }
  task.state = state;
}

std::pair<LedgerJob*, TaskSnapshot*> Ledger::Locate(const TaskId& id) {
  auto found = jobs_.find(id.job);
  if (found == jobs_.end()) return {nullptr, nullptr};
  LedgerJob& job = found->second;
  if (id.index < 0 || id.index >= std::ssize(job.tasks)) {
    return {nullptr, nullptr};
  }
  return {&job, &job.tasks[id.index]};
}

TeamQueue Ledger::QueueOf(const TeamId& team) const {
  auto found = queues_.find(team);
  return found == queues_.end() ? TeamQueue{} : found->second;
}

const LedgerJob* Ledger::Find(const JobId& job) const {
  auto found = jobs_.find(job);
  return found == jobs_.end() ? nullptr : &found->second;
}

const TaskSnapshot* Ledger::FindTask(const TaskId& task) const {
  const LedgerJob* job = Find(task.job);
  if (job == nullptr || task.index < 0 ||
      task.index >= std::ssize(job->tasks)) {
    return nullptr;
  }
  return &job->tasks[task.index];
}

const LedgerJob* Ledger::FindRequest(const TeamId& team,
                                     const RequestId& request) const {
  auto found = requests_.find({team, request});
  return found == requests_.end() ? nullptr : Find(found->second);
}

}  // namespace azurepass::partition::internal
