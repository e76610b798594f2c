// Workflows: their requests, and the release of their steps.
//
// A step is a job like any other. The cell does not know it before it is ready:
// its occurrence is due, and all tasks of the steps that it depends on have
// succeeded. Readiness follows from the ledger and the clock alone, so nothing
// about it is recorded, and a new owner finds the same steps ready.
//
// A task that fails for good ends its workflow: the owner cancels the rest with
// a record of its own. The state stays "failed", because a recorded failure
// takes precedence over a cancellation.

#include <algorithm>
#include <utility>

#include "azurepass/partition/internal/objective.h"
#include "azurepass/partition/internal/owner_impl.h"

namespace azurepass::partition {

using internal::JobTimes;
using internal::LedgerJob;
using internal::LedgerWorkflow;
using internal::Releasing;
using internal::Sequence;
using internal::WaitingRequest;

namespace {

constexpr Duration kBusyRetryAfter{1'000};
constexpr Duration kConfigurationRetryAfter{200};
// Longer than a submission may be on its way, retries included.
constexpr Duration kLateSubmission{30'000};
constexpr size_t kMaxCancelledUnknown = 10'000;

Refusal NotRun(RefusalCode code, std::string message,
               std::optional<Duration> retry_after = std::nullopt) {
  return {code, Effect::kNotRun, std::move(message), retry_after};
}

std::optional<Refusal> RefuseStep(const WorkflowSpec& spec, int32_t position) {
  const WorkflowStep& step = spec.steps[position];
  const bool after_earlier =
      std::all_of(step.after.begin(), step.after.end(),
                  [&](int32_t s) { return s >= 0 && s < position; });
  if (!after_earlier) {
    return NotRun(RefusalCode::kInvalidRequest,
                  "A step may wait for earlier steps only.");
  }
  if (step.job.tasks < 1 || step.job.tasks > kMaxTasksPerJob ||
      !step.job.task.IsNonNegative()) {
    return NotRun(RefusalCode::kInvalidRequest,
                  "A step has between 1 and " +
                      std::to_string(kMaxTasksPerJob) +
                      " tasks, and no amount below 0.");
  }
  const TaskShare& share = step.job.share;
  if (share.part < 0 || share.part >= share.parts ||
      share.parts > step.job.tasks) {
    return NotRun(RefusalCode::kInvalidRequest,
                  "A step has no more parts than tasks.");
  }
  return std::nullopt;
}

std::optional<Refusal> RefuseShape(const SubmitWorkflow& request) {
  const WorkflowSpec& spec = request.spec;
  if (!IsWorkflowRequestId(request.request)) {
    return NotRun(RefusalCode::kInvalidRequest,
                  "A workflow's request id has 1 to 64 letters and digits.");
  }
  if (spec.steps.empty() || std::ssize(spec.steps) > kMaxWorkflowSteps ||
      spec.occurrences < 1 || spec.occurrences > kMaxOccurrences) {
    return NotRun(RefusalCode::kInvalidRequest,
                  "A workflow has between 1 and " +
                      std::to_string(kMaxWorkflowSteps) + " steps.");
  }
  for (int32_t s = 0; s < std::ssize(spec.steps); ++s) {
    if (auto refusal = RefuseStep(spec, s)) return refusal;
  }
  return std::nullopt;
}

// Returns whether the queue `name` has issued permits only since some of its
// jobs were accepted.
bool PermitsHaveBegun(const Configuration& configuration, const QueueId& name) {
  const QueueRecord* queue = FindSuccessor(configuration, name);
  return queue != nullptr && queue->permits &&
         std::any_of(configuration.former_queues.begin(),
                     configuration.former_queues.end(),
                     [&](const FormerQueue& former) {
                       return former.queue == name && !former.permits;
                     });
}

// Returns the number of the part of the workflow that runs here. The caller is
// told about part 0.
int32_t PartOf(const WorkflowSpec& spec) {
  return spec.steps.empty() ? 0 : spec.steps.front().job.share.part;
}

}  // namespace

// ---------------------------------------------------------------------------
// Requests

void Owner::Impl::DispatchTo(RequestToken token, const SubmitWorkflow& r,
                             MonotonicTime deadline) {
  if (AnswerRepeated(token, r.team, r.request, deadline)) return;
  if (std::optional<Refusal> refusal = RefuseWorkflow(r)) {
    Reply(token, *std::move(refusal));
    return;
  }
  if (RefuseWhileStalled(token)) return;
  if (std::optional<Refusal> refusal = RefuseOverload(r)) {
    Reply(token, *std::move(refusal));
    return;
  }
  WorkflowSubmitted submitted{partition_, r.team, r.request, r.spec,
                              ToWall(now_)};
  const Sequence sequence = last_added_ = commit_.Add(submitted);
  requests_.AddRecord(sequence, std::move(submitted));
  WaitForAppend(token, sequence, deadline);
}

// A submission that is being recorded may be acknowledged at any moment, so
// whatever depends on the workflow's team depends on it, too.
const WorkflowSubmitted* Owner::Impl::FindSubmitted(
    const RequestId& request) const {
  if (const LedgerWorkflow* workflow = live_.FindWorkflow(request)) {
    return &workflow->submitted;
  }
  const auto sequence = requests_.FindWorkflowSubmission(request);
  if (!sequence) return nullptr;
  return &std::get<WorkflowSubmitted>(requests_.FindRecord(*sequence)->record);
}

bool Owner::Impl::AnswerRepeated(RequestToken token, const TeamId& team,
                                 const RequestId& request,
                                 MonotonicTime deadline) {
  const WorkflowSubmitted* submitted = FindSubmitted(request);
  if (submitted == nullptr) return false;
  if (submitted->team != team) {
    Refuse(token, RefusalCode::kRequestConflict, Effect::kNotRun,
           "The request id was used by another team.");
  } else if (live_.FindWorkflow(request) != nullptr) {
    Reply(token, ViewWorkflow(request));
  } else {
    WaitForAppend(token, *requests_.FindWorkflowSubmission(request), deadline);
  }
  return true;
}

// "Gone" lets the sender submit the workflow elsewhere. From then on no
// submission is accepted here, because this owner knows that the queue belongs
// to another service.
void Owner::Impl::DispatchTo(RequestToken token, const FindWorkflow& r,
                             MonotonicTime deadline) {
  if (AnswerRepeated(token, r.team, r.request, deadline)) return;
  if (!environment_.Covers(r.revision)) {
    Refuse(token, RefusalCode::kStaleConfiguration, Effect::kNotRun,
           "The owner has not seen this configuration yet.",
           kConfigurationRetryAfter);
    return;
  }
  Refuse(token, RefusalCode::kGone, Effect::kNotRun,
         "There is no such workflow.");
}

std::optional<Refusal> Owner::Impl::RefuseQueue(
    const SubmitWorkflow& request) const {
  const Configuration& configuration = *environment_.configuration;
  // The revisions are not compared if the owner finds what it needs.
  auto queue = configuration.queues.find(request.spec.queue);
  const bool known = queue != configuration.queues.end() &&
                     (!queue->second.needs_key ||
                      configuration.contracts.contains(request.team));
  // The other parts of a workflow follow the first one, which this service has
  // accepted.
  const bool is_served = known && (options_.service.empty() ||
                                   queue->second.service == options_.service ||
                                   PartOf(request.spec) > 0);
  if (is_served) return std::nullopt;
  if (!environment_.Covers(request.revision)) {
    return NotRun(RefusalCode::kStaleConfiguration,
                  "The owner has not seen this configuration yet.",
                  kConfigurationRetryAfter);
  }
  if (known || request.revision < configuration.revision) {
    return NotRun(RefusalCode::kStaleConfiguration,
                  "The queue has changed since the request was routed.",
                  kConfigurationRetryAfter);
  }
  return NotRun(RefusalCode::kNotFound,
                "There is no such queue, or the team has no contract.");
}

std::optional<Refusal> Owner::Impl::RefuseWorkflow(
    const SubmitWorkflow& request) const {
  if (In<Releasing>()) {
    return NotRun(RefusalCode::kShuttingDown, "The owner is shutting down.",
                  kConfigurationRetryAfter);
  }
  if (WasCancelled(request.team, request.request)) {
    return NotRun(RefusalCode::kUnavailable,
                  "The workflow was cancelled before this submission arrived.");
  }
  if (auto refusal = RefuseQueue(request)) return refusal;
  if (auto refusal = RefuseShape(request)) return refusal;
  const int64_t waiting =
      live_.QueueOf(request.team).tasks + requests_.PendingTasks(request.team);
  if (waiting + internal::TasksOf(request.spec) > options_.max_queued_tasks) {
    return NotRun(RefusalCode::kQueueFull,
                  "The team has " + std::to_string(waiting) +
                      " tasks waiting; the bound is " +
                      std::to_string(options_.max_queued_tasks) + ".",
                  kBusyRetryAfter);
  }
  return std::nullopt;
}

bool Owner::Impl::RefuseInaccessible(RequestToken token, const TeamId& team,
                                     const RequestId& request) {
  const WorkflowSubmitted* submitted = FindSubmitted(request);
  if (submitted == nullptr) {
    Refuse(token, RefusalCode::kGone, Effect::kNotRun,
           "There is no such workflow, or it ended long ago.");
    return true;
  }
  if (!team.empty() && submitted->team != team) {
    Refuse(token, RefusalCode::kForbidden, Effect::kNotRun,
           "The workflow belongs to another team.");
    return true;
  }
  return false;
}

// Callers often ask just when the last task has ended, before its worker has
// reported the end and the end is appended. A request that waits for the end is
// answered as soon as the end is appended.
void Owner::Impl::DispatchTo(RequestToken token, const GetWorkflow& r,
                             MonotonicTime deadline) {
  if (RefuseInaccessible(token, r.team, r.request)) return;
  const LedgerWorkflow* workflow = live_.FindWorkflow(r.request);
  if (workflow == nullptr) {
    requests_.Add(token, {internal::UntilSubmitted{r.request, r}, deadline},
                  deadline);
    return;
  }
  const bool waits = options_.completion_wait > Duration(0) &&
                     !In<Releasing>() && IsNearEnd(*workflow);
  if (!waits) {
    Reply(token, ViewWorkflow(r.request));
    return;
  }
  requests_.Add(token, {internal::UntilEnded{r.request}, deadline},
                std::min(deadline, now_ + options_.completion_wait));
}

// Returns true if all remaining tasks are running, or have ended with a record
// that is not appended yet.
bool Owner::Impl::IsNearEnd(const LedgerWorkflow& workflow) const {
  if (!workflow.started || workflow.cancelled || workflow.failed ||
      internal::IsFinal(ViewWorkflow(workflow.submitted.request).state)) {
    return false;
  }
  return std::all_of(
      workflow.jobs.begin(), workflow.jobs.end(), [&](const JobId& id) {
        const LedgerJob* job = live_.Find(id);
        const JobTimes* times = jobs_.Find(id);
        return job != nullptr && times != nullptr && times->released &&
               job->queued == 0 && !job->submitted.spec.perpetual;
      });
}

void Owner::Impl::AnswerEnded(const RequestId& request) {
  const std::vector<RequestToken> tokens =
      requests_.WaitingForWorkflow(request);
  if (tokens.empty()) return;
  const WorkflowView view = ViewWorkflow(request);
  if (!internal::IsFinal(view.state)) return;
  for (const RequestToken token : tokens) Reply(token, view);
}

// The cancellation of a workflow whose submission is being recorded is recorded
// behind it, so that it takes effect whenever the submission does.
void Owner::Impl::DispatchTo(RequestToken token, const CancelWorkflow& r,
                             MonotonicTime deadline) {
  if (FindSubmitted(r.request) == nullptr) RememberCancelled(r.team, r.request);
  if (RefuseInaccessible(token, r.team, r.request)) return;
  const LedgerWorkflow* workflow = live_.FindWorkflow(r.request);
  if (workflow == nullptr) {
    return RecordCancellation(token, r.request, deadline);
  }
  const bool over = internal::IsFinal(ViewWorkflow(r.request).state);
  if (workflow->cancelled || over) {
    Reply(token, ViewWorkflow(r.request));
    return;
  }
  RecordCancellation(token, r.request, deadline);
}

void Owner::Impl::RecordCancellation(RequestToken token,
                                     const RequestId& request,
                                     MonotonicTime deadline) {
  std::optional<Sequence> sequence =
      requests_.FindWorkflowCancellation(request);
  if (!sequence && In<Releasing>()) {
    Refuse(token, RefusalCode::kShuttingDown, Effect::kNotRun,
           "The owner is shutting down.", kConfigurationRetryAfter);
    return;
  }
  if (!sequence) {
    sequence = last_added_ = commit_.Add(WorkflowCancelled{request});
    requests_.AddRecord(*sequence, WorkflowCancelled{request});
  }
  WaitForAppend(token, *sequence, deadline);
}

void Owner::Impl::WithdrawCancellation(const RequestId& request) {
  const std::optional<Sequence> sequence =
      requests_.FindWorkflowCancellation(request);
  if (!sequence || !commit_.IsWaiting(*sequence)) return;
  commit_.Withdraw(*sequence);
  const auto record = requests_.TakeRecord(*sequence);
  for (const RequestToken token : record->tokens) {
    Refuse(token, RefusalCode::kGone, Effect::kNotRun,
           "The workflow's submission was withdrawn.");
  }
}

void Owner::Impl::RememberCancelled(const TeamId& team,
                                    const RequestId& request) {
  while (!cancelled_unknown_order_.empty() &&
         (cancelled_unknown_order_.front().first <= now_ ||
          cancelled_unknown_order_.size() >= kMaxCancelledUnknown)) {
    const auto& [until, oldest] = cancelled_unknown_order_.front();
    const auto found = cancelled_unknown_.find(oldest);
    if (found != cancelled_unknown_.end() && found->second == until) {
      cancelled_unknown_.erase(found);
    }
    cancelled_unknown_order_.pop_front();
  }
  const MonotonicTime until = now_ + kLateSubmission;
  cancelled_unknown_[{team, request}] = until;
  cancelled_unknown_order_.emplace_back(until, std::pair(team, request));
}

bool Owner::Impl::WasCancelled(const TeamId& team,
                               const RequestId& request) const {
  const auto found = cancelled_unknown_.find({team, request});
  return found != cancelled_unknown_.end() && now_ < found->second;
}

void Owner::Impl::AnswerSubmitted(const RequestId& request) {
  for (const RequestToken token : requests_.WaitingForSubmission(request)) {
    WaitingRequest waiting = *requests_.Take(token);
    auto& held = std::get<internal::UntilSubmitted>(waiting.waits_for);
    Dispatch(token, std::move(held.request), waiting.deadline);
  }
}

void Owner::Impl::DispatchTo(RequestToken token, const CountWaiting& r,
                             MonotonicTime /*deadline*/) {
  WaitingCount count;
  for (const auto& [queue, workflows] : unstarted_) {
    // Workflows that were accepted while the queue had another name count too.
    const QueueRecord* successor =
        queue == r.queue ? nullptr
                         : FindSuccessor(*environment_.configuration, queue);
    if (queue == r.queue ||
        (successor != nullptr && successor->queue == r.queue)) {
      count.workflows += std::ssize(workflows);
    }
  }
  Reply(token, count);
}

// An end is shown once its record is appended.
WorkflowView Owner::Impl::ViewWorkflow(const RequestId& request) const {
  WorkflowView view;
  view.request = request;
  const LedgerWorkflow* live = live_.FindWorkflow(request);
  const LedgerWorkflow* committed = committed_.FindWorkflow(request);
  if (live == nullptr || committed == nullptr) return view;
  view.team = live->submitted.team;
  const std::vector<WorkflowStep>& steps = live->submitted.spec.steps;
  view.parts = steps.empty() ? 0 : steps.front().job.share.parts;
  view.state = StateOf(*committed);
  if (!internal::IsFinal(view.state) && live->started) {
    view.state = WorkflowState::kRunning;
  }
  return view;
}

// ---------------------------------------------------------------------------
// Release of steps

void Owner::Impl::OnWorkflowSubmitted(const RequestId& request) {
  const LedgerWorkflow& workflow = *live_.FindWorkflow(request);
  for (const JobId& job : workflow.jobs) {
    jobs_.Add(job, now_, live_.Find(job)->submitted.spec.deadline);
  }
  const WorkflowSubmitted& submitted = workflow.submitted;
  if (!submitted.spec.first && !workflow.started &&
      PartOf(submitted.spec) == 0) {
    unstarted_[submitted.spec.queue].insert(request);
  }
  // A cancellation that is under way was asked for before the acceptance.
  if (!requests_.FindWorkflowCancellation(request)) ReleaseSteps(request);
  Emit(LogDecision{"accept",
                   {JobId(request.value()), 0},
                   0,
                   VmId(),
                   environment_.configuration->revision,
                   "team " + submitted.team.value() + " queue " +
                       submitted.spec.queue.value()});
}

MonotonicTime Owner::Impl::DueTimeOf(const LedgerWorkflow& workflow,
                                     int32_t occurrence) const {
  const WorkflowSpec& spec = workflow.submitted.spec;
  if (!spec.first) return now_;
  return ToMonotonic(*spec.first + occurrence * spec.interval);
}

bool Owner::Impl::IsStepReady(const LedgerWorkflow& workflow,
                              const StepId& step) const {
  const std::vector<WorkflowStep>& steps = workflow.submitted.spec.steps;
  return std::all_of(
      steps[step.step].after.begin(), steps[step.step].after.end(),
      [&](int32_t before) {
        const LedgerJob* job = live_.Find(
            workflow.jobs[step.occurrence * std::ssize(steps) + before]);
        return job != nullptr && job->unfinished == 0;
      });
}

void Owner::Impl::ReleaseSteps(const RequestId& request) {
  const LedgerWorkflow* workflow = live_.FindWorkflow(request);
  if (workflow == nullptr || workflow->jobs.empty()) return;
  if (workflow->cancelled || workflow->failed) return;
  const auto steps =
      static_cast<int32_t>(workflow->submitted.spec.steps.size());
  for (int32_t k = 0; k < workflow->submitted.spec.occurrences; ++k) {
    const MonotonicTime due = DueTimeOf(*workflow, k);
    if (due > now_) {
      due_.insert({due, request});
      return;
    }
    for (int32_t s = 0; s < steps; ++s) {
      const JobId& job = workflow->jobs[k * steps + s];
      const JobTimes* times = jobs_.Find(job);
      if (times == nullptr || times->released) continue;
      if (IsStepReady(*workflow, {request, k, s})) ReleaseJob(job);
    }
  }
}

void Owner::Impl::ReleaseDueSteps() {
  while (!due_.empty() && due_.begin()->first <= now_) {
    const RequestId request = due_.begin()->second;
    due_.erase(due_.begin());
    ReleaseSteps(request);
  }
}

void Owner::Impl::ReleaseJob(const JobId& id) {
  JobTimes* times = jobs_.Find(id);
  const LedgerJob* job = live_.Find(id);
  if (times == nullptr || job == nullptr || times->released) return;
  times->released = true;
  times->accepted = now_;
  JobSpec spec = job->submitted.spec;
  if (PermitsHaveBegun(*environment_.configuration, spec.queue)) {
    spec.constraints.needs_permit = true;
  }
  const std::optional<placement::StartBy> start_by = StartByOf(id);
  cell_.AddJob(id, job->submitted.team, spec, now_, start_by);
  FollowBacklog(id, start_by);
  for (int32_t index = 0; index < std::ssize(job->tasks); ++index) {
    if (azurepass::IsFinal(job->tasks[index].state)) {
      cell_.CancelTask({id, index});
    }
  }
  if (spec.constraints.needs_permit) permits_[id];
  const bool interrupted = std::any_of(
      job->tasks.begin(), job->tasks.end(), [](const TaskSnapshot& task) {
        return task.attempts > 0 && task.state == TaskState::kQueued;
      });
  if (spec.constraints.needs_permit && spec.perpetual && interrupted) {
    interrupted_.insert(id);
  }
  for (int32_t index = 0; index < std::ssize(job->tasks); ++index) {
    if (index > 0 && !spec.perpetual) break;  // The first stands for all.
    if (job->tasks[index].state != TaskState::kQueued) continue;
    FollowWait({id, index}, In<internal::Opening>() ? "takeover" : "queued");
  }
  placement_due_ = true;
}

std::optional<placement::StartBy> Owner::Impl::StartByOf(
    const JobId& id) const {
  const std::optional<StepId> step = StepOf(id);
  const LedgerWorkflow* workflow = live_.WorkflowOf(id);
  if (!step || workflow == nullptr) return std::nullopt;
  const WorkflowSubmitted& submitted = workflow->submitted;
  const QueueRecord* queue =
      FindSuccessor(*environment_.configuration, submitted.spec.queue);
  if (queue == nullptr) return std::nullopt;
  const MonotonicTime origin = submitted.spec.first
                                   ? DueTimeOf(*workflow, step->occurrence)
                                   : ToMonotonic(submitted.accepted);
  return internal::StartByOf(submitted.spec, *queue, step->step, origin);
}

void Owner::Impl::RemoveUnstarted(const JobId& job) {
  const LedgerWorkflow* workflow = live_.WorkflowOf(job);
  if (workflow == nullptr) return;
  auto waiting = unstarted_.find(workflow->submitted.spec.queue);
  if (waiting == unstarted_.end()) return;
  waiting->second.erase(workflow->submitted.request);
  if (waiting->second.empty()) unstarted_.erase(waiting);
}

// ---------------------------------------------------------------------------
// Ends

void Owner::Impl::OnStepTaskEnded(const JobId& id, TaskState state) {
  const LedgerWorkflow* workflow = live_.WorkflowOf(id);
  if (workflow == nullptr) return;
  const RequestId request = workflow->submitted.request;
  const LedgerJob* job = live_.Find(id);
  if (job != nullptr && job->unfinished == 0) {
    DropPermits(id);
    overload_.Remove(id);
  }
  if (workflow->failed && !workflow->cancelled) CancelFailedWorkflow(request);
  if (state == TaskState::kSucceeded) ReleaseSteps(request);
  ScheduleForgetting(request);
}

std::vector<TaskId> Owner::Impl::UnfinishedTasks(
    const LedgerWorkflow& workflow) const {
  std::vector<TaskId> open;
  for (const JobId& job : workflow.jobs) {
    const std::vector<TaskId> tasks = UnfinishedTasks(job);
    open.insert(open.end(), tasks.begin(), tasks.end());
  }
  return open;
}

// The ledger ends queued tasks with the record, and the cell has to be told of
// those, too: it would place them.
void Owner::Impl::CancelFailedWorkflow(const RequestId& request) {
  const std::vector<TaskId> open =
      UnfinishedTasks(*live_.FindWorkflow(request));
  ApplyAndAppend(WorkflowCancelled{request});
  EndOpenTasks(request, open);
}

void Owner::Impl::ApplyCancellation(const RequestId& request) {
  const LedgerWorkflow* workflow = live_.FindWorkflow(request);
  if (workflow == nullptr) return;
  const std::vector<TaskId> open = UnfinishedTasks(*workflow);
  if (!workflow->cancelled) live_.Apply(WorkflowCancelled{request});
  EndOpenTasks(request, open);
}

void Owner::Impl::EndOpenTasks(const RequestId& request,
                               const std::vector<TaskId>& open) {
  const LedgerWorkflow& workflow = *live_.FindWorkflow(request);
  for (const JobId& job : workflow.jobs) {
    DropPermits(job);
    overload_.Remove(job);
  }
  if (!workflow.jobs.empty()) RemoveUnstarted(workflow.jobs.front());
  for (const TaskId& task : open) cell_.CancelTask(task);
  StopTasks(open);
  ScheduleForgetting(request);
}

void Owner::Impl::ScheduleForgetting(const RequestId& request) {
  const LedgerWorkflow* workflow = live_.FindWorkflow(request);
  if (workflow == nullptr || workflow->unfinished_jobs > 0) return;
  forgetting_.insert({now_ + options_.retention_after_end, request});
}

void Owner::Impl::ForgetWorkflows() {
  while (!forgetting_.empty() && forgetting_.begin()->first <= now_) {
    const RequestId request = forgetting_.begin()->second;
    forgetting_.erase(forgetting_.begin());
    const LedgerWorkflow* workflow = live_.FindWorkflow(request);
    if (workflow == nullptr || workflow->unfinished_jobs > 0) continue;
    for (const JobId& job : workflow->jobs) {
      cell_.RemoveJob(job);
      jobs_.Remove(job);
    }
    ApplyAndAppend(WorkflowForgotten{request});
  }
}

}  // namespace azurepass::partition
