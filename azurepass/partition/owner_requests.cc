// Requests of callers and their answers.

#include <algorithm>
#include <utility>

#include "azurepass/partition/internal/owner_impl.h"

namespace azurepass::partition {

using internal::AttemptStage;
using internal::LedgerJob;
using internal::Releasing;
using internal::Sequence;
using internal::UntilAppended;
using internal::UntilChanged;
using internal::UntilOwning;
using internal::WaitingRequest;

namespace {

constexpr int64_t kMaxWaitingRequests = 20'000;
constexpr Duration kBusyRetryAfter{1'000};
constexpr Duration kConfigurationRetryAfter{500};

Refusal NotRun(RefusalCode code, std::string message,
               std::optional<Duration> retry_after = std::nullopt) {
  return {code, Effect::kNotRun, std::move(message), retry_after};
}

bool IsCancellation(const Record& record) {
  return std::holds_alternative<JobCancelled>(record) ||
         std::holds_alternative<WorkflowCancelled>(record);
}

std::optional<Refusal> RefuseSpec(const JobSpec& spec) {
  if (spec.tasks < 1 || spec.tasks > kMaxTasksPerJob) {
    return NotRun(RefusalCode::kInvalidRequest,
                  "A job has between 1 and " + std::to_string(kMaxTasksPerJob) +
                      " tasks.");
  }
  if (spec.share != TaskShare{}) {
    return NotRun(RefusalCode::kInvalidRequest,
                  "Only workflows are divided over partitions.");
  }
  if (!spec.task.IsNonNegative() || spec.task[Dimension::kSlots] < 1) {
    return NotRun(RefusalCode::kInvalidRequest,
                  "A task needs at least one slot, and no amount below 0.");
  }
  return std::nullopt;
}

// Refuses a job that can never fit into the team's contract.
std::optional<Refusal> RefuseSize(const Contract& contract,
                                  const JobSpec& spec) {
  const bool gang = std::holds_alternative<GangPolicy>(spec.policy);
  const Resources at_once = spec.task * (gang ? spec.tasks : 1);
  const std::optional<Dimension> excess =
      at_once.FirstExcess(contract.upper_limit);
  if (!excess) return std::nullopt;
  return NotRun(RefusalCode::kNeverFits,
                "The contract's upper limit of " +
                    std::string(DimensionName(*excess)) + " is below what " +
                    (gang ? "the gang" : "a task") + " needs at once.");
}

}  // namespace

void Owner::Impl::On(RequestReceived event) {
  const RequestToken token = event.token;
  if (event.deadline <= now_) {
    Refuse(token, RefusalCode::kDeadlineExceeded, Effect::kNotRun,
           "The request's time was over when it arrived.");
    return;
  }
  if (requests_.size() >= kMaxWaitingRequests) {
    Refuse(token, RefusalCode::kUnavailable, Effect::kNotRun,
           "Too many requests are waiting for answers.", kBusyRetryAfter);
    return;
  }
  if (In<internal::Idle>()) {
    Refuse(token, RefusalCode::kNotOwner, Effect::kNotRun,
           "This process does not own the partition.");
    return;
  }
  if (owns()) {
    Dispatch(token, std::move(event.request), event.deadline);
    return;
  }
  requests_.Add(token, {UntilOwning{std::move(event.request)}, event.deadline},
                event.deadline);
}

void Owner::Impl::Dispatch(RequestToken token, JobRequest request,
                           MonotonicTime deadline) {
  std::visit([&](const auto& r) { DispatchTo(token, r, deadline); }, request);
}

void Owner::Impl::DispatchTo(RequestToken token, const SubmitJob& r,
                             MonotonicTime deadline) {
  if (const LedgerJob* job = live_.FindRequest(r.team, r.request)) {
    if (job->submitted.spec == r.spec) {
      Reply(token, View(job->submitted.job));
    } else {
      Refuse(token, RefusalCode::kRequestConflict, Effect::kNotRun,
             "The request id was used for another job.");
    }
    return;
  }
  if (const auto sequence = requests_.FindSubmission(r.team, r.request)) {
    const Record& record = requests_.FindRecord(*sequence)->record;
    if (std::get<JobSubmitted>(record).spec == r.spec) {
      WaitForAppend(token, *sequence, deadline);
    } else {
      Refuse(token, RefusalCode::kRequestConflict, Effect::kNotRun,
             "The request id is in use for another job.");
    }
    return;
  }
  if (std::optional<Refusal> refusal = RefuseSubmission(r)) {
    Reply(token, *std::move(refusal));
    return;
  }
  if (RefuseWhileStalled(token)) return;
  JobSubmitted submitted{MakeJobId(partition_, next_job_number_++), r.team,
                         r.request, r.spec, ToWall(now_)};
  const Sequence sequence = last_added_ = commit_.Add(submitted);
  requests_.AddRecord(sequence, std::move(submitted));
  WaitForAppend(token, sequence, deadline);
}

std::optional<Refusal> Owner::Impl::RefuseSubmission(
    const SubmitJob& request) const {
  const Configuration& configuration = *environment_.configuration;
  if (In<Releasing>()) {
    return NotRun(RefusalCode::kShuttingDown, "The owner is shutting down.",
                  kConfigurationRetryAfter);
  }
  if (!environment_.Covers(request.revision)) {
    return NotRun(RefusalCode::kStaleConfiguration,
                  "The owner has not seen this configuration yet.",
                  kConfigurationRetryAfter);
  }
  auto contract = configuration.contracts.find(request.team);
  if (contract == configuration.contracts.end()) {
    return NotRun(RefusalCode::kNotFound, "The team has no contract.");
  }
  const std::vector<QueueSpec>& queues = contract->second.queues;
  if (std::none_of(queues.begin(), queues.end(), [&](const QueueSpec& queue) {
        return queue.name == request.spec.queue;
      })) {
    return NotRun(RefusalCode::kNotFound, "The team has no such queue.");
  }
  if (auto refusal = RefuseSpec(request.spec)) return refusal;
  if (auto refusal = RefuseSize(contract->second, request.spec)) return refusal;
  if (auto reason = cell_.NeverFits(request.team, request.spec)) {
    return NotRun(RefusalCode::kNeverFits, *reason);
  }
  const int64_t waiting =
      live_.QueueOf(request.team).tasks + requests_.PendingTasks(request.team);
  if (waiting + request.spec.tasks > options_.max_queued_tasks) {
    return NotRun(RefusalCode::kQueueFull,
                  "The team has " + std::to_string(waiting) +
                      " tasks waiting; the bound is " +
                      std::to_string(options_.max_queued_tasks) + ".",
                  kBusyRetryAfter);
  }
  return std::nullopt;
}

const LedgerJob* Owner::Impl::FindOrRefuse(RequestToken token,
                                           const TeamId& team,
                                           const JobId& job) {
  const LedgerJob* found = live_.Find(job);
  if (found == nullptr) {
    Refuse(token, RefusalCode::kNotFound, Effect::kNotRun,
           "There is no such job, or it ended long ago.");
    return nullptr;
  }
  // A request without a team comes from an operator and was authorized by a
  // frontend.
  if (!team.empty() && found->submitted.team != team) {
    Refuse(token, RefusalCode::kForbidden, Effect::kNotRun,
           "The job belongs to another team.");
    return nullptr;
  }
  return found;
}

void Owner::Impl::DispatchTo(RequestToken token, const GetJob& r,
                             MonotonicTime deadline) {
  if (FindOrRefuse(token, r.team, r.job) == nullptr) return;
  const UntilChanged held{r.job, r.known_version};
  if (LongPollReady(held) || r.wait <= Duration(0) || In<Releasing>()) {
    Reply(token, View(r.job));
    return;
  }
  requests_.Add(token, {held, deadline}, std::min(deadline, now_ + r.wait));
}

void Owner::Impl::DispatchTo(RequestToken token, const CancelJob& r,
                             MonotonicTime deadline) {
  const LedgerJob* job = FindOrRefuse(token, r.team, r.job);
  if (job == nullptr) return;
  if (job->cancelled || IsFinal(View(r.job))) {
    Reply(token, View(r.job));
    return;
  }
  std::optional<Sequence> sequence = requests_.FindCancellation(r.job);
  if (!sequence && In<Releasing>()) {
    Refuse(token, RefusalCode::kShuttingDown, Effect::kNotRun,
           "The owner is shutting down.", kConfigurationRetryAfter);
    return;
  }
  if (!sequence) {
    sequence = last_added_ = commit_.Add(JobCancelled{r.job});
    requests_.AddRecord(*sequence, JobCancelled{r.job});
  }
  WaitForAppend(token, *sequence, deadline);
}

void Owner::Impl::DispatchTo(RequestToken token, const ExplainJob& r,
                             MonotonicTime /*deadline*/) {
  if (FindOrRefuse(token, r.team, r.job) == nullptr) return;
  Reply(token,
        cell_.Explain(r.job, environment_.configuration->revision, now_));
}

// While the store fails, it is unknown when a submission could be accepted, so
// it is refused instead of kept waiting.
bool Owner::Impl::RefuseWhileStalled(RequestToken token) {
  if (!options_.refuse_while_stalled || !commit_.stalled()) return false;
  Refuse(token, RefusalCode::kStoreUnavailable, Effect::kNotRun,
         "The store takes no records at the moment.", kBusyRetryAfter);
  return true;
}

void Owner::Impl::WaitForAppend(RequestToken token, Sequence sequence,
                                MonotonicTime deadline) {
  const auto& record = requests_.FindRecord(sequence)->record;
  if (const auto* submitted = std::get_if<JobSubmitted>(&record);
      submitted != nullptr && options_.testing.answer_without_append) {
    Reply(token, JobView{submitted->job, submitted->team, submitted->spec, 0,
                         std::vector<TaskView>(submitted->spec.tasks)});
    return;
  }
  requests_.FindRecord(sequence)->tokens.insert(token);
  requests_.Add(token, {UntilAppended{sequence}, deadline},
                std::min(deadline, now_ + options_.append_timeout));
}

void Owner::Impl::AnswerDue() {
  for (RequestToken token : requests_.Due(now_)) {
    const WaitingRequest* found = requests_.Find(token);
    if (found == nullptr) continue;  // Answered together with another one.
    const WaitingRequest waiting = *found;
    std::visit(
        Visitor{[&](const UntilOwning&) {
                  Refuse(token, RefusalCode::kUnavailable, Effect::kNotRun,
                         "The partition's new owner is not ready yet.",
                         kBusyRetryAfter);
                },
                [&](const UntilAppended& w) {
                  AnswerDueAppend(token, w.sequence, waiting.deadline);
                },
                [&](const UntilChanged& w) {
                  if (options_.testing.drop_long_poll_answer) {
                    requests_.Take(token);
                  } else {
                    Reply(token, View(w.job));
                  }
                },
                [&](const internal::UntilEnded& w) {
                  Reply(token, ViewWorkflow(w.request));
                },
                [&](const internal::UntilSubmitted&) {
                  Refuse(token, RefusalCode::kDeadlineExceeded, Effect::kNotRun,
                         "The store has not taken the submission yet.",
                         kBusyRetryAfter);
                }},
        waiting.waits_for);
  }
}

// A submission that is in no batch is withdrawn, unless another token waits for
// it, and then certainly has no effect. A submission that is in a batch is
// waited for until the deadline; after that its outcome is unknown. The same
// applies to every cancellation, in a batch or not: the caller would repeat a
// withdrawn cancellation, and behind slow writes none of the repetitions would
// stay long enough to be written.
void Owner::Impl::AnswerDueAppend(RequestToken token, Sequence sequence,
                                  MonotonicTime deadline) {
  const bool over = now_ >= deadline;
  const RefusalCode code =
      over ? RefusalCode::kDeadlineExceeded : RefusalCode::kStoreUnavailable;
  internal::PendingRecord& record = *requests_.FindRecord(sequence);
  if (commit_.IsWaiting(sequence) && !IsCancellation(record.record)) {
    record.tokens.erase(token);
    const bool last = record.tokens.empty();
    if (last) {
      commit_.Withdraw(sequence);
      const auto withdrawn = requests_.TakeRecord(sequence);
      const auto* submitted =
          std::get_if<WorkflowSubmitted>(&withdrawn->record);
      if (submitted != nullptr) {
        WithdrawCancellation(submitted->request);
        AnswerSubmitted(submitted->request);
      }
    }
    Refuse(token, code, last ? Effect::kNotRun : Effect::kUnknown,
           "The store did not take the record in time.", kBusyRetryAfter);
    return;
  }
  if (!over && !options_.testing.refuse_in_flight_as_not_run) {
    requests_.Reschedule(
        token, std::min(deadline, now_ + options_.unknown_outcome_timeout));
    return;
  }
  record.tokens.erase(token);
  Refuse(token, code,
         options_.testing.refuse_in_flight_as_not_run ? Effect::kNotRun
                                                      : Effect::kUnknown,
         "The store has not answered; the record may be there.",
         kBusyRetryAfter);
}

void Owner::Impl::AnswerRecord(Sequence sequence) {
  const std::optional<internal::PendingRecord> pending =
      requests_.TakeRecord(sequence);
  if (!pending) return;
  const auto response = std::visit(
      Visitor{[&](const JobSubmitted& r) { return JobResponse(View(r.job)); },
              [&](const JobCancelled& r) { return JobResponse(View(r.job)); },
              [&](const WorkflowSubmitted& r) {
                return JobResponse(ViewWorkflow(r.request));
              },
              [&](const WorkflowCancelled& r) {
                if (committed_.FindWorkflow(r.request) == nullptr) {
                  return JobResponse(
                      NotRun(RefusalCode::kGone, "There is no such workflow."));
                }
                return JobResponse(ViewWorkflow(r.request));
              },
              [](const auto&) {
                return JobResponse(
                    Refusal{RefusalCode::kInternal, Effect::kUnknown,
                            "Not a record of a request.", std::nullopt});
              }},
      pending->record);
  for (RequestToken token : pending->tokens) Reply(token, response);
}

void Owner::Impl::AnswerChanged() {
  for (const JobId& job : std::exchange(changed_, {})) {
    if (internal::JobTimes* times = jobs_.Find(job)) ++times->version;
    for (RequestToken token : requests_.WaitingForJob(job)) {
      const WaitingRequest& waiting = *requests_.Find(token);
      if (LongPollReady(std::get<UntilChanged>(waiting.waits_for))) {
        Reply(token, View(job));
      }
    }
    if (const std::optional<StepId> step = StepOf(job)) {
      AnswerEnded(step->request);
    }
  }
}

bool Owner::Impl::LongPollReady(const UntilChanged& held) const {
  const internal::JobTimes* times = jobs_.Find(held.job);
  const LedgerJob* live = live_.Find(held.job);
  const LedgerJob* committed = committed_.Find(held.job);
  if (times == nullptr || live == nullptr || committed == nullptr) return true;
  return times->version > held.known_version ||
         (live->unfinished == 0 && committed->unfinished == 0);
}

// All answers are sent here, and only for tokens that were not answered yet.
void Owner::Impl::Reply(RequestToken token, JobResponse response) {
  requests_.Take(token);
  Emit(Answer{token, std::move(response)});
}

void Owner::Impl::Refuse(RequestToken token, RefusalCode code, Effect effect,
                         std::string message,
                         std::optional<Duration> retry_after) {
  Reply(token, Refusal{code, effect, std::move(message), retry_after});
}

JobView Owner::Impl::View(const JobId& id) const {
  JobView view;
  view.id = id;
  const LedgerJob* live = live_.Find(id);
  const LedgerJob* committed = committed_.Find(id);
  const internal::JobTimes* times = jobs_.Find(id);
  if (live == nullptr || committed == nullptr || times == nullptr) return view;
  view.team = live->submitted.team;
  view.spec = live->submitted.spec;
  view.version = times->version;
  view.tasks.reserve(live->tasks.size());
  for (int32_t index = 0; index < std::ssize(live->tasks); ++index) {
    TaskSnapshot task = live->tasks[index];
    // A task is shown as ended only once all records about it are appended.
    if (IsFinal(task.state) && latest_unsettled_.contains({id, index})) {
      const TaskState appended = committed->tasks[index].state;
      task.state = IsFinal(appended) ? TaskState::kRunning : appended;
      task.reason.clear();
    }
    view.tasks.push_back(ViewTask({id, index}, task, *times));
  }
  return view;
}

TaskView Owner::Impl::ViewTask(const TaskId& id, const TaskSnapshot& task,
                               const internal::JobTimes& times) const {
  TaskView view{task.state, task.vm, task.attempts, task.reason, Duration(0)};
  if (task.state == TaskState::kRunning) {
    const internal::LiveAttempt* attempt = workers_.FindAttempt(id);
    if (attempt != nullptr && attempt->stopping) {
      view.state = TaskState::kStopping;
    } else if (attempt != nullptr &&
               attempt->stage != AttemptStage::kConfirmed) {
      view.state = TaskState::kStarting;
    }
  }
  if (task.state == TaskState::kQueued) {
    view.reason = placement::WaitReasonName(cell_.WaitReasonOf(id));
    view.waited = std::chrono::duration_cast<Duration>(now_ - times.accepted);
  }
  auto waited = times.waited.find(id.index);
  if (waited != times.waited.end()) view.waited = waited->second;
  return view;
}

}  // namespace azurepass::partition
