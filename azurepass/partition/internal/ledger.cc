// The fold of the journal's records.

#include "azurepass/partition/internal/ledger.h"

#include <algorithm>
#include <charconv>
#include <string_view>

namespace azurepass::partition::internal {
namespace {

// The number in "PARTITION.NUMBER"; 0 when there is none.
int64_t NumberOf(const JobId& job) {
  const std::string_view text = job.value();
  const size_t dot = text.rfind('.');
  if (dot == std::string_view::npos) return 0;
  int64_t number = 0;
  std::from_chars(text.data() + dot + 1, text.data() + text.size(), number);
  return number;
}

}  // namespace

// A lost attempt of a service is the machine's doing: services outlive many
// machines. For all else it counts, so that a task that takes its worker down
// does not do so for ever.
bool CountsAsFailure(placement::AttemptOutcome outcome, const JobSpec& spec) {
  if (outcome == placement::AttemptOutcome::kFailed) return true;
  return outcome == placement::AttemptOutcome::kLost &&
         !std::holds_alternative<ServicePolicy>(spec.policy);
}

void Ledger::Load(const Snapshot& snapshot) {
  *this = Ledger();
  for (const JobSnapshot& job : snapshot.jobs) {
    Add({job.submitted, job.cancelled, job.tasks, 0});
  }
  next_job_number_ = std::max(next_job_number_, snapshot.next_job_number);
}

Snapshot Ledger::Take(int64_t through) const {
  Snapshot snapshot{through, next_job_number_, {}};
  snapshot.jobs.reserve(jobs_.size());
  for (const auto& [id, job] : jobs_) {
    snapshot.jobs.push_back({job.submitted, job.cancelled, job.tasks});
  }
  return snapshot;
}

void Ledger::Apply(const Record& record) {
  std::visit(
      Visitor{[&](const JobSubmitted& r) {
                Add({r, false, std::vector<TaskSnapshot>(r.spec.tasks), 0});
              },
              [&](const TaskStarted& r) {
                auto [job, task] = Locate(r.attempt.task);
                if (task == nullptr) return;
                SetState(*job, *task, TaskState::kRunning);
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
                if (CountsAsFailure(r.outcome, job->submitted.spec)) {
                  ++task->failures;
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
              }},
      record);
}

void Ledger::Add(LedgerJob job) {
  job.unfinished = static_cast<int32_t>(
      std::count_if(job.tasks.begin(), job.tasks.end(),
                    [](const auto& task) { return !IsFinal(task.state); }));
  const int64_t queued = std::count_if(
      job.tasks.begin(), job.tasks.end(),
      [](const auto& task) { return task.state == TaskState::kQueued; });
  TeamQueue& queue = queues_[job.submitted.team];
  queue.tasks += queued;
  queue.size += job.submitted.spec.task * queued;
  const JobSubmitted& submitted = job.submitted;
  next_job_number_ = std::max(next_job_number_, NumberOf(submitted.job) + 1);
  requests_[{submitted.team, submitted.request}] = submitted.job;
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
  job.unfinished += (IsFinal(task.state) ? 1 : 0) - (IsFinal(state) ? 1 : 0);
  const int64_t queued = (state == TaskState::kQueued ? 1 : 0) -
                         (task.state == TaskState::kQueued ? 1 : 0);
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
