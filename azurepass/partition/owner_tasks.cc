// Starts, ends and stops of attempts.

#include <algorithm>
#include <utility>

#include "azurepass/partition/internal/attempt_numbers.h"
#include "azurepass/partition/internal/owner_impl.h"

namespace azurepass::partition {

using internal::AttemptStage;
using internal::LedgerJob;
using internal::LiveAttempt;
using internal::Owning;
using internal::Worker;
using placement::AttemptOutcome;

namespace {

constexpr Duration kExpiryRetryDelay{100};

}  // namespace

void Owner::Impl::PlaceTasks() {
  if (!environment_.may_start && !options_.testing.start_while_not_fresh) {
    return;
  }
  if (!MayRecordStarts()) return;
  const std::optional<MonotonicTime> wake = cell_.NextWake();
  if (!placement_due_ && !(wake && *wake <= now_)) return;
  const placement::DecideBudget budget;
  const std::vector<placement::Decision> decisions = cell_.Decide(now_, budget);
  placement_due_ = !decisions.empty();
  for (const placement::Decision& decision : decisions) {
    std::visit([this](const auto& d) { Execute(d); }, decision);
  }
}

// Usage lags behind; samples of earlier attempts are left out.
void Owner::Impl::HandleUsage(const std::vector<Usage>& usage) {
  std::vector<placement::UsageSample> samples;
  for (const Usage& measured : usage) {
    const LiveAttempt* attempt = workers_.FindAttempt(measured.attempt.task);
    if (attempt != nullptr && attempt->id == measured.attempt) {
      samples.push_back({measured.attempt.task, measured.used});
    }
  }
  if (samples.empty()) return;
  for (const placement::OveruseAction& action : cell_.OnUsage(samples, now_)) {
    std::visit([this](const auto& a) { Execute(a); }, action);
  }
}

void Owner::Impl::Execute(const placement::Throttle& throttle) {
  const LiveAttempt* attempt = workers_.FindAttempt(throttle.task);
  if (attempt == nullptr) return;
  orders_[throttle.vm].push_back(ThrottleTask{attempt->id, throttle.permille});
  Log("throttle", throttle.task, attempt->id.attempt, throttle.vm,
      std::to_string(throttle.permille) + " permille");
}

void Owner::Impl::Execute(const placement::Start& start) {
  const LedgerJob& job = *live_.Find(start.task.job);
  const TaskSnapshot& task = job.tasks[start.task.index];
  const AttemptId id{start.task, internal::NextAttempt(epoch_, task.attempt)};
  const bool record_first = options_.record_starts_first ||
                            !job.submitted.spec.repeatable ||
                            internal::NeedsRecordFirst(epoch_, id.attempt);
  if (internal::JobTimes* times = jobs_.Find(id.task.job)) {
    times->waited[id.task.index] =
        std::chrono::duration_cast<Duration>(now_ - times->accepted);
  }
  const internal::Sequence sequence = ApplyAndAppend(TaskStarted{id, start.vm});
  RemoveUnstarted(id.task.job);
  workers_.AddAttempt(LiveAttempt(id, start.vm, AttemptStage::kHeld));
  waits_.OnStart(id.task, now_);
  overload_.OnStarted(id.task.job, now_);
  if (record_first && !options_.testing.start_without_append) {
    held_starts_[sequence] = id.task;
  } else {
    OrderStart(*workers_.FindAttempt(id.task));
  }
  OnTaskChanged(id.task);
  Log("start", id.task, id.attempt, start.vm,
      "score " + std::to_string(start.score) + " of " +
          std::to_string(start.considered));
}

void Owner::Impl::Execute(const placement::Preempt& preempt) {
  LiveAttempt* attempt = workers_.FindAttempt(preempt.task);
  if (attempt == nullptr) return;
  Log("preempt", preempt.task, attempt->id.attempt, preempt.vm, preempt.reason);
  if (attempt->stage == AttemptStage::kHeld) {
    ++unordered_preempted_;
    WithdrawStart(preempt.task, preempt.reason);
  } else {
    OrderStop(*attempt,
              preempt.checkpoint ? StopKind::kCheckpoint : StopKind::kStop);
  }
}

void Owner::Impl::OrderStart(LiveAttempt& attempt) {
  const LedgerJob& job = *live_.Find(attempt.id.task.job);
  const JobSpec& spec = job.submitted.spec;
  attempt.stage = AttemptStage::kOrdered;
  workers_.SetLostAt(attempt, now_ + options_.worker_lease);
  const TaskSnapshot& task = job.tasks[attempt.id.task.index];
  const internal::LedgerWorkflow* workflow =
      live_.WorkflowOf(attempt.id.task.job);
  orders_[attempt.vm].push_back(StartTask{
      attempt.id, job.submitted.team, spec.task, spec.declared_run_time,
      task.from_checkpoint, task.checkpoint,
      workflow == nullptr ? std::string() : workflow->submitted.spec.payload,
      PermitFor(attempt.id.task.job, attempt.vm)});
}

// Conditions may have changed while the record of a start was being appended.
// Such a start was never ordered, so the task can be queued again even if it
// must not be repeated. The tasks of an atomic gang are ordered together or not
// at all.
void Owner::Impl::OrderAppendedStarts() {
  for (const AttemptId& id : std::exchange(appended_starts_, {})) {
    LiveAttempt* attempt = workers_.FindAttempt(id.task);
    if (attempt == nullptr || attempt->id != id ||
        attempt->stage != AttemptStage::kHeld) {
      continue;
    }
    const std::vector<TaskId> members = OtherMembers(id.task);
    bool allowed = WhyNotOrdered(*attempt).empty();
    bool complete = true;
    for (const TaskId& member : members) {
      const LiveAttempt& other = *workers_.FindAttempt(member);
      allowed = allowed && WhyNotOrdered(other).empty();
      complete = complete && !AwaitsAppend(other);
    }
    // The record of another member is not appended yet. This function runs
    // again once that record is appended.
    if (allowed && !complete) continue;
    for (const TaskId& member : members) OrderOrWithdraw(member, allowed);
    OrderOrWithdraw(id.task, allowed);
  }
}

// Returns true for a held start whose record is not appended.
bool Owner::Impl::AwaitsAppend(const LiveAttempt& attempt) const {
  return attempt.stage == AttemptStage::kHeld &&
         std::any_of(
             held_starts_.begin(), held_starts_.end(),
             [&](const auto& held) { return held.second == attempt.id.task; });
}

std::string_view Owner::Impl::WhyNotOrdered(const LiveAttempt& attempt) const {
  const JobId& job = attempt.id.task.job;
  const Worker& worker = *workers_.Find(attempt.vm);
  const auto permits = permits_.find(job);
  if (!In<Owning>()) return "releasing";
  if (!environment_.may_start) return "configuration not fresh";
  if (internal::WorkerTable::AdmissionOf(worker) !=
      placement::WorkerAdmission::kOpen) {
    return "worker closed";
  }
  if (!ZoneInService(worker.spec.zone)) return "zone out of service";
  if (jobs_.Expired(job, now_)) return "deadline passed";
  const bool permitted =
      permits == permits_.end() || now_ < permits->second.valid_until;
  return permitted ? "" : "permit lapsed";
}

void Owner::Impl::OrderOrWithdraw(const TaskId& task, bool order) {
  LiveAttempt* attempt = workers_.FindAttempt(task);
  if (attempt == nullptr || attempt->stage != AttemptStage::kHeld) return;
  if (order) {
    OrderStart(*attempt);
  } else {
    const std::string_view reason = WhyNotOrdered(*attempt);
    WithdrawStart(
        task, "not ordered: " +
                  std::string(reason.empty() ? "not all of its gang" : reason));
  }
}

void Owner::Impl::OrderStop(LiveAttempt& attempt, StopKind kind) {
  attempt.stopping = kind;
  orders_[attempt.vm].push_back(StopTask{attempt.id, kind});
  changed_.insert(attempt.id.task.job);
}

void Owner::Impl::HandleWorkerEvent(Worker& worker, const WorkerEvent& event) {
  const bool started = event.kind == WorkerEventKind::kStarted;
  LiveAttempt* attempt = workers_.FindAttempt(event.attempt.task);
  const bool current = attempt != nullptr && attempt->id == event.attempt &&
                       attempt->vm == worker.spec.vm &&
                       attempt->stage != AttemptStage::kHeld;
  if (!started && worker.draining.erase(event.attempt) > 0) {
    SetAdmission(worker);
  }
  // The answer to an order may arrive after the end of the attempt that the
  // order led to.
  const bool late_answer = event.number == 0;
  if (!current) {
    if (started && !late_answer) StopOrphan(worker, event.attempt);
    return;
  }
  // An end without a number is the worker's refusal of the order.
  if (started || event.number > 0) EndWait(*attempt);
  if (!started) {
    OnEnd(event.attempt.task, event);
    return;
  }
  attempt->stage = AttemptStage::kConfirmed;
  workers_.SetLostAt(*attempt, std::nullopt);
  changed_.insert(event.attempt.task.job);
}

void Owner::Impl::OnEnd(const TaskId& task, const WorkerEvent& event) {
  const LedgerJob& job = *live_.Find(task.job);
  const JobSpec& spec = job.submitted.spec;
  if (event.kind == WorkerEventKind::kSucceeded && !spec.perpetual) {
    Finish(task, TaskState::kSucceeded, event.detail,
           AttemptOutcome::kSucceeded);
    if (IsAtomicGang(spec)) FinishGang(task.job);
    return;
  }
  StopTasks(OtherMembers(task));
  const bool failed = event.kind == WorkerEventKind::kFailed;
  const AttemptOutcome outcome =
      failed ? AttemptOutcome::kFailed : AttemptOutcome::kStopped;
  if (job.cancelled) {
    Finish(task, TaskState::kCancelled, "cancelled", outcome);
  } else if (!spec.repeatable) {
    Finish(task, TaskState::kFailed,
           failed ? event.detail : "stopped before it finished", outcome);
  } else {
    Requeue(task, outcome,
            event.kind == WorkerEventKind::kCheckpointed ||
                !event.checkpoint.empty(),
            event.detail, event.checkpoint);
  }
}

void Owner::Impl::Finish(const TaskId& task, TaskState state,
                         std::string reason, AttemptOutcome outcome) {
  const LiveAttempt* attempt = workers_.FindAttempt(task);
  if (attempt == nullptr) return;
  Log("end", task, attempt->id.attempt, attempt->vm,
      std::string(TaskStateName(state)) + ": " + reason);
  ApplyAndAppend(TaskEnded{task, state, std::move(reason)});
  if (attempt->fits) cell_.Release(task, outcome, /*requeue=*/false, now_);
  workers_.RemoveAttempt(task);
  waits_.Drop(task);
  OnTaskChanged(task);
  OnStepTaskEnded(task.job, state);
}

// The success of one task is that of the whole gang. Some tasks may be queued
// by then, because their worker was lost before it could report the end.
void Owner::Impl::FinishGang(const JobId& job) {
  const std::string reason = "succeeded with its gang";
  for (const TaskId& task : UnfinishedTasks(job)) {
    if (workers_.FindAttempt(task) != nullptr) {
      Finish(task, TaskState::kSucceeded, reason, AttemptOutcome::kSucceeded);
    } else {
      FinishQueued(task, TaskState::kSucceeded, reason);
      OnStepTaskEnded(job, TaskState::kSucceeded);
    }
  }
}

void Owner::Impl::FinishQueued(const TaskId& task, TaskState state,
                               std::string reason) {
  cell_.CancelTask(task);
  ApplyAndAppend(TaskEnded{task, state, std::move(reason)});
  waits_.Drop(task);
  OnTaskChanged(task);
}

std::vector<TaskId> Owner::Impl::OtherMembers(const TaskId& task) const {
  const LedgerJob& job = *live_.Find(task.job);
  std::vector<TaskId> members;
  if (!IsAtomicGang(job.submitted.spec)) return members;
  for (int32_t index = 0; index < std::ssize(job.tasks); ++index) {
    const TaskId member{task.job, index};
    if (member != task && workers_.FindAttempt(member) != nullptr) {
      members.push_back(member);
    }
  }
  return members;
}

void Owner::Impl::Requeue(const TaskId& task, AttemptOutcome outcome,
                          bool from_checkpoint, const std::string& reason,
                          const std::string& checkpoint) {
  const LedgerJob& job = *live_.Find(task.job);
  const LiveAttempt* attempt = workers_.FindAttempt(task);
  if (attempt == nullptr) return;
  const JobSpec& spec = job.submitted.spec;
  const bool counts =
      internal::CountsAsFailure(outcome, spec) && !spec.perpetual;
  const int32_t failures =
      counts ? internal::FailuresWith(job, attempt->id) : 0;
  const std::string counted =
      counts ? " failures=" + std::to_string(failures) +
                   " limit=" + std::to_string(spec.max_attempts)
             : "";
  if (job.cancelled) {
    Finish(task, TaskState::kCancelled, "cancelled", outcome);
  } else if (jobs_.Expired(task.job, now_)) {
    Finish(task, TaskState::kExpired, "not started again before its deadline",
           outcome);
  } else if (!attempt->fits) {
    Finish(task, TaskState::kFailed, "the worker had no room for it", outcome);
  } else if (counts && failures >= spec.max_attempts) {
    Finish(task, TaskState::kFailed, "too many attempts: " + reason + counted,
           outcome);
  } else {
    Log("requeue", task, attempt->id.attempt, attempt->vm, reason + counted);
    ApplyAndAppend(
        TaskRequeued{attempt->id, outcome, from_checkpoint, checkpoint});
    cell_.Release(task, outcome, /*requeue=*/true, now_);
    overload_.OnRequeued(task.job);
    workers_.RemoveAttempt(task);
    if (spec.perpetual && permits_.contains(task.job)) {
      interrupted_.insert(task.job);
    }
    if (waits_.Contains(task)) {
      waits_.OnSetback(task, reason,
                       WaitCauseOf(task).value_or(internal::WaitCause::kOther),
                       now_);
    } else {
      FollowWait(task, "run");
    }
    OnTaskChanged(task);
  }
}

// Handles an attempt that has certainly ended with an unknown outcome.
void Owner::Impl::HandleLostAttempt(const TaskId& task,
                                    const std::string& reason) {
  const LedgerJob& job = *live_.Find(task.job);
  if (!job.submitted.spec.repeatable) {
    Finish(task, TaskState::kUnknown, reason, AttemptOutcome::kLost);
    return;
  }
  Requeue(task, AttemptOutcome::kLost, job.tasks[task.index].from_checkpoint,
          reason);
}

void Owner::Impl::WithdrawStart(const TaskId& task, const std::string& reason) {
  const TaskSnapshot& snapshot = *live_.FindTask(task);
  Requeue(task, AttemptOutcome::kStopped, snapshot.from_checkpoint, reason);
}

void Owner::Impl::CancelTasks(const JobId& id) {
  const std::vector<TaskId> open = UnfinishedTasks(id);
  live_.Apply(JobCancelled{id});
  for (const TaskId& task : open) cell_.CancelTask(task);
  StopTasks(open);
}

std::vector<TaskId> Owner::Impl::UnfinishedTasks(const JobId& id) const {
  std::vector<TaskId> open;
  const LedgerJob* job = live_.Find(id);
  if (job == nullptr) return open;
  for (int32_t index = 0; index < std::ssize(job->tasks); ++index) {
    if (!IsFinal(job->tasks[index].state)) open.push_back({id, index});
  }
  return open;
}

void Owner::Impl::StopTasks(const std::vector<TaskId>& tasks) {
  for (const TaskId& task : tasks) {
    LiveAttempt* attempt = workers_.FindAttempt(task);
    if (attempt == nullptr) continue;
    if (attempt->stage == AttemptStage::kHeld) {
      WithdrawStart(task, "stopped before its order");
    } else if (!attempt->stopping) {
      OrderStop(*attempt, StopKind::kStop);
    }
  }
  if (!tasks.empty()) OnTaskChanged(tasks.front());
}

void Owner::Impl::ExpireJobs() {
  for (const JobId& id : jobs_.TakeExpired(now_)) {
    const LedgerJob* job = live_.Find(id);
    if (job == nullptr) continue;
    // Once appended, the cancellation ends the queued tasks, and two different
    // ends must not be pending at the same time.
    if (requests_.FindCancellation(id)) {
      jobs_.PostponeExpiry(id, now_ + kExpiryRetryDelay);
      continue;
    }
    for (int32_t index = 0; index < std::ssize(job->tasks); ++index) {
      if (job->tasks[index].state != TaskState::kQueued) continue;
      FinishQueued({id, index}, TaskState::kExpired,
                   "not started before its deadline");
    }
  }
}

void Owner::Impl::ForgetJobs() {
  for (const JobId& id : jobs_.TakeForgotten(now_)) {
    const LedgerJob* job = live_.Find(id);
    if (job == nullptr || job->unfinished > 0) continue;
    ApplyAndAppend(JobForgotten{id});
    cell_.RemoveJob(id);
    jobs_.Remove(id);
  }
}

void Owner::Impl::OnTaskChanged(const TaskId& task) {
  changed_.insert(task.job);
  placement_due_ = true;
  const LedgerJob* job = live_.Find(task.job);
  if (job != nullptr && job->unfinished == 0 && !StepOf(task.job)) {
    jobs_.SetEnded(task.job, now_ + options_.retention_after_end);
  }
}

void Owner::Impl::Log(std::string kind, const TaskId& task, int32_t attempt,
                      VmId vm, std::string reason) {
  Emit(LogDecision{std::move(kind), task, attempt, std::move(vm),
                   environment_.configuration->revision, std::move(reason)});
}

}  // namespace azurepass::partition
