// Sessions with workers, and reconciliation of the ledger with the attempts
// that they list.
//
// Recovery. The journal tells which tasks were started. Starts of repeatable
// tasks may be missing from it, and so may ends. The list of each worker
// decides:
//   * An attempt that is listed, and is the ledger's latest: it runs.
//   * An attempt that is listed with a higher number than the ledger's latest:
//     a start that the former owner did not append. It is adopted. If the
//     ledger has an earlier attempt as running, that one had ended before,
//     because the former owner started the task again.
//   * An attempt that is listed otherwise (final, unknown or superseded): it is
//     stopped, and the worker gets no starts until it has stopped, because its
//     size is not included in any sum.
//   * An attempt that is running in the ledger and is not listed: its end may
//     be among the events that the worker kept, so it counts as lost only after
//     the worker has reported the last of them, and a grace period.
// All of this has to wait until every worker is settled, because a task that is
// queued in the ledger may be running on any worker that has not answered yet.
//
// A worker is settled when it opened a session at our epoch, which voids all
// orders of former owners; when its lease has lapsed since the takeover; or
// when the VM list does not contain it.
//
// Handover. An owner that hands over takes note of no reports, which would add
// records that the release has to wait for. The workers keep the ends and
// report them to the successor. Whatever is concluded from a worker's list
// rests on the ends that it reports as well, so lists are not taken note of
// either, and no attempt becomes overdue. An attempt still counts as lost if
// its worker's lease lapses or the worker is replaced, unless the worker has
// reported an end or listed its attempts meanwhile (Worker::unheard).

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

#include "azurepass/partition/internal/owner_impl.h"

namespace azurepass::partition {

using internal::AttemptStage;
using internal::LiveAttempt;
using internal::Opening;
using internal::Owning;
using internal::Releasing;
using internal::Session;
using internal::SessionGone;
using internal::SessionLapsed;
using internal::SessionOpen;
using internal::SessionOpening;
using internal::SessionUnreachable;
using internal::Worker;

namespace {

bool IsOpen(const Worker& worker) {
  return std::holds_alternative<SessionOpen>(worker.session);
}

bool IsGone(const Worker& worker) {
  return std::holds_alternative<SessionGone>(worker.session);
}

// Nothing that was started there runs any more.
bool IsStopped(const Worker& worker) {
  return IsGone(worker) ||
         std::holds_alternative<SessionLapsed>(worker.session);
}

// Returns the position of the step in its workflow, and the attempt's number.
std::pair<int32_t, int32_t> OrderOf(const AttemptId& attempt) {
  const std::optional<StepId> step = StepOf(attempt.task.job);
  return {step ? step->step : 0, attempt.attempt};
}

}  // namespace

void Owner::Impl::BeginOpening() {
  phase_ = Opening{};
  fenced_at_ = now_;
  silence_ = {};
  live_ = committed_;
  next_job_number_ = live_.next_job_number();
  CompleteGangs();
  const MonotonicTime lapses = FormerLeasesLapse();
  for (const auto& [vm, spec] : environment_.workers)
    workers_.AddOrUpdate(spec);
  for (auto& [vm, worker] : workers_.workers()) {
    cell_.AddWorker(worker.spec, placement::WorkerAdmission::kClosed);
    OpenWorker(worker, SessionOpening{lapses});
  }
  for (const auto& [id, job] : live_.jobs()) teams_.insert(job.submitted.team);
  ApplyConfiguration();
  for (const auto& [id, job] : live_.jobs()) AddRecoveredJob(id, job);
  for (const auto& [request, workflow] : live_.workflows()) {
    if (!workflow.ended) OnWorkflowRecovered(workflow);
    ScheduleForgetting(request);
  }
  ApplyVmList();
}

// The former owner may have died between the records of the ends of one gang's
// tasks, or may be of a version that recorded only some.
void Owner::Impl::CompleteGangs() {
  std::vector<TaskId> done;
  for (const auto& [id, job] : live_.jobs()) {
    const JobSpec& spec = job.submitted.spec;
    const bool ended = IsAtomicGang(spec) && !spec.perpetual &&
                       std::any_of(job.tasks.begin(), job.tasks.end(),
                                   [](const TaskSnapshot& task) {
                                     return task.state == TaskState::kSucceeded;
                                   });
    if (!ended) continue;
    const std::vector<TaskId> open = UnfinishedTasks(id);
    done.insert(done.end(), open.begin(), open.end());
  }
  for (const TaskId& task : done) {
    ApplyAndAppend(
        TaskEnded{task, TaskState::kSucceeded, "succeeded with its gang"});
  }
}

Duration Owner::Impl::LongestRunUnrenewed() const {
  // A worker's clock may run slow by one part of this many.
  constexpr int kClockDrift = 50;
  return options_.worker_lease + options_.worker_lease / kClockDrift +
         options_.worker_stop_time;
}

MonotonicTime Owner::Impl::FormerLeasesLapse() const {
  const MonotonicTime longest =
      fenced_at_ + options_.worker_lease + options_.worker_lease_margin;
  if (!renewals_ended_) return longest;
  return std::min(longest, *renewals_ended_ + LongestRunUnrenewed());
}

void Owner::Impl::OnWorkflowRecovered(
    const internal::LedgerWorkflow& workflow) {
  const WorkflowSubmitted& submitted = workflow.submitted;
  const bool first_part = submitted.spec.steps.empty() ||
                          submitted.spec.steps.front().job.share.part == 0;
  if (!submitted.spec.first && first_part &&
      StateOf(workflow) == WorkflowState::kQueued) {
    unstarted_[submitted.spec.queue].insert(submitted.request);
  }
  ReleaseSteps(submitted.request);
  // The former owner may have died after recording the failure but before
  // recording the cancellation that follows from it.
  if (workflow.failed && !workflow.cancelled) {
    CancelFailedWorkflow(submitted.request);
  }
}

void Owner::Impl::AddRecoveredJob(const JobId& id,
                                  const internal::LedgerJob& job) {
  const auto age = std::clamp<WallTime::duration>(
      ToWall(now_) - job.submitted.accepted, WallTime::duration(0),
      job.submitted.spec.deadline.value_or(Duration(0)));
  const MonotonicTime accepted =
      now_ - std::chrono::duration_cast<MonotonicTime::duration>(age);
  jobs_.Add(id, accepted, job.submitted.spec.deadline);
  const bool is_step = StepOf(id).has_value();
  if (job.unfinished == 0) {
    jobs_.Find(id)->released = true;  // It needs no release.
    if (!is_step) jobs_.SetEnded(id, now_ + options_.retention_after_end);
    return;
  }
  const bool was_started =
      std::any_of(job.tasks.begin(), job.tasks.end(),
                  [](const TaskSnapshot& task) { return task.attempts > 0; });
  if (is_step && !was_started) return;  // ReleaseSteps releases it.
  ReleaseJob(id);
  jobs_.Find(id)->accepted = accepted;
  RecoverGranted(id, job);
  for (int32_t index = 0; index < std::ssize(job.tasks); ++index) {
    const TaskSnapshot& task = job.tasks[index];
    const TaskId task_id{id, index};
    if (IsFinal(task.state)) cell_.CancelTask(task_id);
    if (task.state != TaskState::kRunning) continue;
    if (workers_.Find(task.vm) == nullptr) {
      Worker& unknown = workers_.AddUnconfigured(task.vm);
      // Its tasks are accounted to a worker on which nothing else can be
      // placed.
      cell_.AddWorker(unknown.spec, placement::WorkerAdmission::kClosed);
      workers_.SetSession(unknown, SessionOpening{FormerLeasesLapse()});
    }
    LiveAttempt attempt({task_id, task.attempt}, task.vm,
                        AttemptStage::kConfirmed);
    attempt.fits =
        cell_.Commit(task_id, task.vm, options_.keep_running_attempts);
    if (!attempt.fits) cell_.CancelTask(task_id);
    // The former owner may have died after recording the cancellation but
    // before sending the orders that follow from it. The stop is ordered once
    // the session opens.
    if (job.cancelled) {
      attempt.stopping = StopKind::kStop;
      cell_.CancelTask(task_id);
    }
    workers_.AddAttempt(std::move(attempt));
    waits_.Drop(task_id);
  }
}

// Each start needed a permit, and the service does not change its mind about a
// worker.
void Owner::Impl::RecoverGranted(const JobId& id,
                                 const internal::LedgerJob& job) {
  const auto permits = permits_.find(id);
  if (permits == permits_.end()) return;
  for (const TaskSnapshot& task : job.tasks) {
    if (task.attempts > 0) permits->second.granted.insert(task.vm);
  }
}

void Owner::Impl::OpenWorker(Worker& worker, Session session) {
  workers_.SetSession(worker, session);
  EmitOpenSession(worker.spec);
}

void Owner::Impl::On(WorkerSessionOpened event) {
  Worker* worker = workers_.Find(event.vm);
  if (event.epoch != epoch_ || !loaded() || worker == nullptr) return;
  workers_.SetSession(*worker, SessionOpen{});
  worker->draining.clear();
  if (In<Releasing>()) {
    worker->unheard = true;
    StopAgain(event.running);
    return;
  }
  worker->more_events = event.more_events;
  RequireProof(*worker);
  if (In<Opening>()) {
    worker->running = std::move(event.running);
    // The list is newer than the starts that were reported before. Ends remain
    // valid.
    std::erase_if(worker->buffered_events, [](const WorkerEvent& e) {
      return e.kind == WorkerEventKind::kStarted;
    });
  } else {
    AdoptListed(event.vm, event.running);
    ReconcileWorker(*worker, event.running);
    if (worker->listed == VmState::kLeaving) StopLeavingTasks(*worker);
  }
  SetAdmission(*worker);
}

// A worker whose lease is not renewed gets no starts, which would renew it.
void Owner::Impl::RequireProof(Worker& worker) {
  if (withheld_.contains(worker.spec.vm)) {
    worker.proven = false;
    unproven_.erase(worker.spec.vm);
    return;
  }
  worker.proof_batch = commit_.RequireWrite();
  worker.proven = options_.testing.skip_session_proof;
  unproven_.insert(worker.spec.vm);
}

void Owner::Impl::FinishOpening() {
  phase_ = Owning{};
  HandleBufferedEvents();
  for (auto& [vm, worker] : workers_.workers()) {
    if (IsOpen(worker)) AdoptListed(vm, worker.running);
  }
  for (auto& [vm, worker] : workers_.workers()) {
    if (IsOpen(worker)) {
      ReconcileWorker(worker, std::exchange(worker.running, {}));
      if (worker.listed == VmState::kLeaving) StopLeavingTasks(worker);
    } else if (!std::holds_alternative<SessionOpening>(worker.session)) {
      HandleLostWorker(worker, "worker gone at the takeover");
    }
    SetAdmission(worker);
  }
  ApplyConfiguration();  // All recovered tasks are committed now.
  for (RequestToken token : requests_.WaitingForOwning()) {
    internal::WaitingRequest waiting = *requests_.Take(token);
    Dispatch(token, std::get<internal::UntilOwning>(waiting.waits_for).request,
             waiting.deadline);
  }
}

void Owner::Impl::AdoptListed(const VmId& vm,
                              const std::vector<AttemptId>& running) {
  for (const AttemptId& attempt : running) {
    const TaskSnapshot* task = live_.FindTask(attempt.task);
    if (task == nullptr || IsFinal(task->state)) continue;
    if (attempt.attempt > task->attempt) Adopt(attempt, vm);
  }
}

void Owner::Impl::Adopt(const AttemptId& attempt, const VmId& vm) {
  const TaskId& task = attempt.task;
  if (live_.FindTask(task)->state == TaskState::kRunning) {
    Requeue(task, placement::AttemptOutcome::kStopped, false,
            "started again by the former owner");
  }
  if (live_.FindTask(task)->state != TaskState::kQueued) return;
  LiveAttempt adopted(attempt, vm, AttemptStage::kConfirmed);
  adopted.fits = cell_.Commit(task, vm, options_.keep_running_attempts);
  if (!adopted.fits) cell_.CancelTask(task);
  ApplyAndAppend(TaskStarted{attempt, vm});
  workers_.AddAttempt(std::move(adopted));
  waits_.Drop(task);
  OnTaskChanged(task);
  Log("adopt", task, attempt.attempt, vm, "started by the former owner");
}

// Workers report to a new owner the ends that the former one did not append,
// for example because the store was down; the starts before them may be missing
// as well. Those of one step are handled in the order of the attempts' numbers
// across all workers, because a task may have failed on one worker, been
// started again, and succeeded on another, and each failure counts. Those of
// earlier steps come first, because a step starts after those that it depends
// on; numbers of different tasks tell nothing about their order.
void Owner::Impl::HandleBufferedEvents() {
  std::vector<std::pair<Worker*, WorkerEvent>> events;
  for (auto& [vm, worker] : workers_.workers()) {
    for (const WorkerEvent& event : worker.buffered_events) {
      events.emplace_back(&worker, event);
    }
  }
  std::stable_sort(
      events.begin(), events.end(), [](const auto& a, const auto& b) {
        return OrderOf(a.second.attempt) < OrderOf(b.second.attempt);
      });
  for (const auto& [worker, event] : events) {
    AdoptEnded(worker->spec.vm, event);
    HandleWorkerEvent(*worker, event);
  }
  for (auto& [vm, worker] : workers_.workers()) {
    Acknowledge(worker, std::exchange(worker.buffered_events, {}));
  }
}

// Adopts an attempt that has ended, so that its end counts.
void Owner::Impl::AdoptEnded(const VmId& vm, const WorkerEvent& event) {
  if (event.kind == WorkerEventKind::kStarted) return;
  const TaskSnapshot* task = live_.FindTask(event.attempt.task);
  if (task == nullptr || IsFinal(task->state)) return;
  if (event.attempt.attempt > task->attempt) Adopt(event.attempt, vm);
}

void Owner::Impl::ReconcileWorker(Worker& worker,
                                  const std::vector<AttemptId>& running) {
  std::set<TaskId> listed;
  for (const AttemptId& id : running) {
    LiveAttempt* attempt = workers_.FindAttempt(id.task);
    if (attempt == nullptr || attempt->id != id ||
        attempt->vm != worker.spec.vm) {
      StopOrphan(worker, id);
      continue;
    }
    listed.insert(id.task);
    EndWait(*attempt);
    attempt->stage = AttemptStage::kConfirmed;
    workers_.SetLostAt(*attempt, std::nullopt);
    if (!attempt->fits) worker.draining.insert(id);
    if (!attempt->fits || attempt->stopping) {
      OrderStop(*attempt, attempt->stopping.value_or(StopKind::kStop));
    }
    changed_.insert(id.task.job);
  }
  for (const TaskId& task : worker.tasks) {
    if (listed.contains(task)) continue;
    LiveAttempt& attempt = *workers_.FindAttempt(task);
    if (attempt.stage == AttemptStage::kHeld) continue;
    if (worker.more_events) {
      workers_.SetLostAt(attempt, std::nullopt);
      attempt.awaits_events = true;
    } else {
      SetLossTimer(attempt);
    }
  }
}

// A stop that was ordered before may have been lost with the former session.
void Owner::Impl::StopAgain(const std::vector<AttemptId>& running) {
  for (const AttemptId& id : running) {
    LiveAttempt* attempt = workers_.FindAttempt(id.task);
    if (attempt == nullptr || attempt->id != id || !attempt->stopping) continue;
    OrderStop(*attempt, *attempt->stopping);
  }
}

void Owner::Impl::SetLossTimer(LiveAttempt& attempt) {
  const bool under_way =
      attempt.stage == AttemptStage::kOrdered && !attempt.reopened;
  workers_.SetLostAt(attempt, now_ + (under_way ? options_.worker_lease
                                                : options_.report_grace));
}

void Owner::Impl::OnLastEvents(Worker& worker) {
  worker.more_events = false;
  for (const TaskId& task : worker.tasks) {
    LiveAttempt& attempt = *workers_.FindAttempt(task);
    if (attempt.awaits_events) SetLossTimer(attempt);
  }
}

void Owner::Impl::StopOrphan(Worker& worker, const AttemptId& attempt) {
  worker.draining.insert(attempt);
  orders_[worker.spec.vm].push_back(StopTask{attempt, StopKind::kStop});
  SetAdmission(worker);
  Log("stop_orphan", attempt.task, attempt.attempt, worker.spec.vm,
      "not an attempt of the ledger");
}

void Owner::Impl::On(WorkerReported event) {
  Worker* worker = workers_.Find(event.vm);
  if (event.epoch != epoch_ || !loaded() || worker == nullptr) return;
  if (In<Releasing>()) {
    worker->unheard |= std::any_of(event.events.begin(), event.events.end(),
                                   [](const WorkerEvent& e) {
                                     return e.kind != WorkerEventKind::kStarted;
                                   });
    return;
  }
  if (In<Opening>()) {
    worker->more_events = event.more_events;
    for (WorkerEvent& e : event.events) {
      // The list that was kept is older than this event.
      if (e.kind != WorkerEventKind::kStarted) {
        std::erase(worker->running, e.attempt);
      }
      worker->buffered_events.push_back(std::move(e));
    }
    return;
  }
  for (const WorkerEvent& e : event.events) HandleWorkerEvent(*worker, e);
  Acknowledge(*worker, event.events);
  if (worker->more_events && !event.more_events) OnLastEvents(*worker);
  HandleUsage(event.usage);
}

void Owner::Impl::Acknowledge(const Worker& worker,
                              const std::vector<WorkerEvent>& handled) {
  // A worker has forgotten what it reported in a former incarnation.
  std::pair<int64_t, int64_t> last;
  for (const WorkerEvent& event : handled) {
    if (event.number > 0) last = std::max(last, {event.life, event.number});
  }
  if (last.second == 0) return;
  AcknowledgeLater({worker.spec.vm, last.second, last.first});
}

void Owner::Impl::On(const WorkerFenced& event) {
  if (In<internal::Idle>() || event.highest_epoch <= epoch_) return;
  LoseOwnership(
      "a worker has seen epoch " + std::to_string(event.highest_epoch.value),
      Effect::kUnknown);
}

void Owner::Impl::On(const WorkerUnreachable& event) {
  Worker* worker = workers_.Find(event.vm);
  if (event.epoch != epoch_ || !loaded() || worker == nullptr) return;
  // A session that was never opened at our epoch lapses with the former owner's
  // lease, whose end is already known.
  if (!IsOpen(*worker)) return;
  const MonotonicTime lapses =
      options_.testing.ignore_worker_lease ? now_ : event.lease_until;
  workers_.SetSession(*worker, SessionUnreachable{lapses, event.last_answer});
  SetAdmission(*worker);
  ApplyVmList();
}

void Owner::Impl::On(const WorkerReplaced& event) {
  Worker* worker = workers_.Find(event.vm);
  if (event.epoch != epoch_ || !loaded() || worker == nullptr) return;
  if (IsStopped(*worker)) return;
  const bool ours = !std::holds_alternative<SessionOpening>(worker->session);
  workers_.SetSession(*worker, SessionLapsed{});
  worker->draining.clear();
  if (ours) ReopenWorker(*worker);
  LogStopped(*worker, "replaced", event.last_answer);
  if (!In<Opening>()) HandleLostWorker(*worker, "the worker was replaced");
  SetAdmission(*worker);
}

// Tells by which proof nothing runs on the worker any more, and how long it was
// silent before.
void Owner::Impl::LogStopped(const Worker& worker, const std::string& proof,
                             MonotonicTime last_answer) {
  const auto silent = std::chrono::duration_cast<Duration>(now_ - last_answer);
  Emit(LogDecision{"worker_stopped",
                   {},
                   0,
                   worker.spec.vm,
                   environment_.configuration->revision,
                   proof + " silent_ms=" + std::to_string(silent.count()) +
                       " tasks=" + std::to_string(worker.tasks.size()),
                   silent});
}

void Owner::Impl::HandleLapsedSessions() {
  for (const VmId& vm : workers_.LapsedWorkers(now_)) {
    Worker& worker = *workers_.Find(vm);
    const auto* ours = std::get_if<SessionUnreachable>(&worker.session);
    const MonotonicTime last_answer =
        ours == nullptr ? fenced_at_ : ours->last_answer;
    workers_.SetSession(worker, SessionLapsed{});
    worker.draining.clear();
    if (ours != nullptr) ReopenWorker(worker);
    LogStopped(worker, "lease lapsed", last_answer);
    if (!In<Opening>()) HandleLostWorker(worker, "the worker's lease lapsed");
  }
}

// The new session lists what the worker may still carry out from the previous
// one. An order that it does not list was never delivered, or its attempt has
// ended.
void Owner::Impl::ReopenWorker(Worker& worker) {
  for (const TaskId& task : worker.tasks) {
    LiveAttempt& attempt = *workers_.FindAttempt(task);
    if (attempt.stage == AttemptStage::kOrdered) attempt.reopened = true;
  }
  Emit(CloseSession{worker.spec.vm});
  EmitOpenSession(worker.spec);
}

void Owner::Impl::HandleOverdueAttempts() {
  for (const TaskId& task : workers_.LostTasks(now_)) {
    LiveAttempt* attempt = workers_.FindAttempt(task);
    if (attempt == nullptr) continue;
    Worker* worker = workers_.Find(attempt->vm);
    if (In<Releasing>() || !IsOpen(*worker)) {
      // The successor, or the lapse of the session, decides.
      workers_.SetLostAt(*attempt, std::nullopt);
    } else if (attempt->stage == AttemptStage::kOrdered && !attempt->reopened) {
      workers_.SetLostAt(*attempt, std::nullopt);
      workers_.SetSession(*worker,
                          SessionUnreachable{now_ + options_.worker_lease +
                                                 options_.worker_lease_margin,
                                             now_});
      SetAdmission(*worker);
      ReopenWorker(*worker);
    } else {
      HandleLostAttempt(task, "the worker does not run it");
    }
  }
}

void Owner::Impl::HandleLostWorker(Worker& worker, const std::string& reason) {
  if (worker.unheard) return;
  for (const TaskId& task : std::set<TaskId>(worker.tasks)) {
    const LiveAttempt* attempt = workers_.FindAttempt(task);
    // The end of another task may have ended the job.
    if (attempt == nullptr) continue;
    if (attempt->stage == AttemptStage::kHeld) {
      WithdrawStart(task, reason);
    } else {
      HandleLostAttempt(task, reason);
    }
  }
}

void Owner::Impl::SetAdmission(const Worker& worker) {
  if (!worker.configured) return;
  const bool settled = In<Owning>() || In<Releasing>();
  cell_.SetAdmission(worker.spec.vm,
                     settled ? internal::WorkerTable::AdmissionOf(worker)
                             : placement::WorkerAdmission::kClosed);
  placement_due_ = true;
}

void Owner::Impl::On(VmListChanged event) {
  environment_.vms = std::move(event.vms);
  environment_.workers = std::move(event.workers);
  vm_list_is_current_ = loaded() && event.requested_at > fenced_at_ &&
                        options_.unlisted_vms_are_gone;
  if (!loaded()) return;
  ApplyWorkerSpecs();
  ApplyVmList();
}

void Owner::Impl::ApplyWorkerSpecs() {
  bool changed = false;
  const MonotonicTime lapses =
      now_ + options_.worker_lease + options_.worker_lease_margin;
  for (const auto& [vm, spec] : environment_.workers) {
    const Worker* known = workers_.Find(vm);
    if (known != nullptr && known->configured && known->spec == spec) continue;
    const bool opens = known == nullptr || !known->configured ||
                       known->spec.address != spec.address;
    const bool is_new = known == nullptr;
    Worker& worker = workers_.AddOrUpdate(spec);
    cell_.AddWorker(spec, placement::WorkerAdmission::kClosed);
    if (opens && is_new) {
      OpenWorker(worker, SessionOpening{lapses});
    } else if (opens) {
      EmitOpenSession(spec);
    }
    SetAdmission(worker);
    changed = true;
    Log("worker_joined", {}, 0, vm, spec.address);
  }
  if (changed) ApplyConfiguration();
}

void Owner::Impl::RemoveUnlistedWorkers() {
  if (options_.unlisted_vms_are_gone || !environment_.vms) return;
  std::vector<VmId> unlisted;
  for (const auto& [vm, worker] : workers_.workers()) {
    const bool silent = std::holds_alternative<SessionLapsed>(worker.session);
    if (silent && worker.tasks.empty() && !environment_.vms->contains(vm)) {
      unlisted.push_back(vm);
    }
  }
  for (const VmId& vm : unlisted) {
    Log("worker_left", {}, 0, vm, "not listed, and its lease has lapsed");
    Emit(CloseSession{vm});
    cell_.RemoveWorker(vm);
    unproven_.erase(vm);
    workers_.Remove(vm);
  }
}

// A VM that is not in the list is gone, unless it answers, because the list
// lags. It gets no starts until it is listed, so that nothing runs on a VM that
// is missing from a later list for any reason other than its end.
void Owner::Impl::ApplyVmList() {
  if (!environment_.vms) return;
  for (auto& [vm, worker] : workers_.workers()) {
    auto found = environment_.vms->find(vm);
    const bool present = found != environment_.vms->end();
    const std::optional<VmState> before = worker.listed;
    worker.listed = present ? std::optional(found->second) : std::nullopt;
    if (!present && vm_list_is_current_ && !IsOpen(worker) && !IsGone(worker)) {
      workers_.SetSession(worker, SessionGone{});
      worker.draining.clear();
      if (worker.configured) Emit(CloseSession{vm});
      if (!In<Opening>()) HandleLostWorker(worker, "the VM is gone");
    } else if (present && IsGone(worker) && worker.configured) {
      OpenWorker(worker, SessionLapsed{});
    }
    if (worker.listed == before) continue;
    if (!before && IsOpen(worker)) RequireProof(worker);
    SetAdmission(worker);
    if (worker.listed == VmState::kLeaving) {
      Log("worker_leaving", {}, 0, vm,
          "tasks=" + std::to_string(worker.tasks.size()));
      StopLeavingTasks(worker);
    }
  }
}

// Stops the tasks that can continue elsewhere while the VM still exists. A
// perpetual task has nothing to finish there: it would end with the VM, without
// a report, and start again only once its lease has lapsed.
void Owner::Impl::StopLeavingTasks(Worker& worker) {
  if (In<Releasing>()) return;  // Nothing would start them again meanwhile.
  for (const TaskId& task : std::set<TaskId>(worker.tasks)) {
    LiveAttempt* attempt = workers_.FindAttempt(task);
    // The end of another task may have ended the job.
    if (attempt == nullptr) continue;
    const JobSpec& spec = live_.Find(task.job)->submitted.spec;
    if (!options_.checkpoint_leaving && !spec.perpetual) continue;
    if (attempt->stage == AttemptStage::kHeld) {
      WithdrawStart(task, "the VM is leaving");
    } else if (spec.repeatable && !attempt->stopping) {
      OrderStop(*attempt, StopKind::kCheckpoint);
    }
  }
}

}  // namespace azurepass::partition
