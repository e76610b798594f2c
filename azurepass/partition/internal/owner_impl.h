// Combines the parts of the owner. One Impl serves one ownership: a new claim
// creates a new Impl, so no state of a former ownership remains.
//
// The implementation is split by subject:
//   owner.cc            phases, timers, the public class
//   owner_journal.cc    appends and what follows once they are settled
//   owner_recovery.cc   sessions, reconciliation with what workers list
//   owner_silence.cc    workers that do not answer, across owners
//   owner_requests.cc   requests of callers and their answers
//   owner_tasks.cc      starts, ends and stops of attempts
//   owner_workflows.cc  workflows: their requests, the release of their steps
//   owner_permits.cc    permits to start tasks of queues that have a policy
//   owner_overload.cc   refusals of what can't be served while it is useful

#ifndef AZUREPASS_PARTITION_INTERNAL_OWNER_IMPL_H_
#define AZUREPASS_PARTITION_INTERNAL_OWNER_IMPL_H_

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "azurepass/core/core.h"
#include "azurepass/partition/internal/group_commit.h"
#include "azurepass/partition/internal/job_table.h"
#include "azurepass/partition/internal/ledger.h"
#include "azurepass/partition/internal/overload.h"
#include "azurepass/partition/internal/request_table.h"
#include "azurepass/partition/internal/wait_table.h"
#include "azurepass/partition/internal/worker_table.h"
#include "azurepass/partition/partition.h"
#include "azurepass/placement/placement.h"

namespace azurepass::partition::internal {

// --- Phases, in order

struct Idle {};  // The claim is not held.
struct Loading {
  std::optional<MonotonicTime> retry;  // Set after a failure.
};
struct Fencing {};  // Until our first append is settled.
struct Opening {};  // Until each worker's session is settled.
struct Owning {};
// Starts and accepts nothing, and takes no note of what workers tell; appends
// the rest.
struct Releasing {};
using Phase = std::variant<Idle, Loading, Fencing, Opening, Owning, Releasing>;

// Inputs from outside the partition, kept from one ownership to the next.
struct Environment {
  std::shared_ptr<const Configuration> configuration =
      std::make_shared<Configuration>();
  bool may_start = false;
  Revision complete_through;  // See FreshnessChanged.
  Allowances allowances;
  std::optional<std::map<VmId, VmState>> vms;
  std::map<VmId, WorkerSpec> workers;  // Workers that described themselves.

  // Whether the configuration held has all that one of this revision has.
  bool Covers(Revision revision) const {
    return revision <= std::max(configuration->revision, complete_through);
  }
};

}  // namespace azurepass::partition::internal

namespace azurepass::partition {

class Owner::Impl {
 public:
  Impl(const Options& options, PartitionId partition,
       std::vector<WorkerSpec> workers, uint64_t nonce, Epoch epoch,
       internal::Environment environment);

  std::vector<Action> Handle(Event event, MonotonicTime now);

  bool owns() const;
  Status status() const;
  const internal::Environment& environment() const { return environment_; }
  const std::vector<WorkerSpec>& worker_specs() const { return specs_; }
  const Options& options() const { return options_; }
  const PartitionId& partition() const { return partition_; }
  uint64_t nonce() const { return nonce_; }
  bool idle() const { return In<internal::Idle>(); }

 private:
  template <class P>
  bool In() const {
    return std::holds_alternative<P>(phase_);
  }
  // Returns true if the ledgers and the cell are loaded.
  bool loaded() const {
    return In<internal::Opening>() || In<internal::Owning>() ||
           In<internal::Releasing>();
  }

  // --- owner.cc
  void On(ClaimWon event);
  void On(ReleaseWanted event);
  void On(ClaimLost event);
  void On(ConfigurationChanged event);
  void On(FreshnessChanged event);
  void On(AllowancesChanged event);
  void On(Tick event);
  // Carries out everything that follows from the event and from the time.
  void Advance();
  void AdvanceTimers();
  void FinishRelease();
  void LoseOwnership(const std::string& reason, Effect in_flight);
  void FlushOrders();
  void ReportDemands();
  // Logs one line about all waiting tasks, at most once per
  // kWaitingLogInterval.
  void LogWaiting();
  std::string ClosedWorkers() const;
  // Logs a line for each of the jobs that have waited longest.
  void LogLongWaits();
  std::string PermitsText(const JobId& job) const;
  // Follows the wait of a task that was queued or has ended, if it is of a
  // perpetual step, or the first of a step that needs permits.
  void FollowWait(const TaskId& task, const std::string& origin);
  // The cause for which the task waits now; empty if it does not wait.
  std::optional<internal::WaitCause> WaitCauseOf(const TaskId& task) const;
  // A worker runs the attempt, or has run it.
  void EndWait(const internal::LiveAttempt& attempt);
  // Logs the tasks that still wait after kStillWaiting.
  void SampleWaits();
  void ScheduleWake();
  std::optional<MonotonicTime> NextWake() const;
  bool MayRecordStarts() const;
  void ApplyConfiguration();
  void SetTeamTerms(const TeamId& team);
  bool ZoneInService(const ZoneId& zone) const;
  void Emit(Action action) { actions_.push_back(std::move(action)); }
  WallTime ToWall(MonotonicTime at) const;
  MonotonicTime ToMonotonic(WallTime at) const;

  // --- owner_journal.cc
  void On(JournalLoaded event);
  void On(LoadFailed event);
  void On(Appended event);
  void On(const AppendFound& event);
  void On(AppendUnknown event);
  void On(AppendUnavailable event);
  void On(SnapshotWritten event);
  void OnAppendOutcome(internal::AppendOutcome outcome);
  void OnCommitted(internal::Committed committed);
  void OnSuperseded(const Batch& there);
  void OnRecordCommitted(internal::Sequence sequence, const Record& record);
  void WriteNext();
  void ProveSessions(int64_t appended);
  void MaybeSnapshot();
  // Applies a record to the live ledger and adds it to the next append.
  internal::Sequence ApplyAndAppend(Record record);
  // Acknowledges the worker's events once everything that they led to is
  // appended.
  void AcknowledgeLater(AcknowledgeEvents action);
  void AcknowledgeAppended();

  // --- owner_recovery.cc
  void On(VmListChanged event);
  void RequireProof(internal::Worker& worker);
  void On(WorkerSessionOpened event);
  void On(WorkerReported event);
  void On(const WorkerFenced& event);
  void On(const WorkerUnreachable& event);
  void On(const WorkerReplaced& event);
  void BeginOpening();
  // By when everything that former owners started has stopped on a worker that
  // does not answer.
  MonotonicTime FormerLeasesLapse() const;
  // How long a task may run after the last renewal of its worker's lease.
  Duration LongestRunUnrenewed() const;
  void AddRecoveredJob(const JobId& id, const internal::LedgerJob& job);
  // Notes the workers that have permits by the job's former starts.
  void RecoverGranted(const JobId& id, const internal::LedgerJob& job);
  void FinishOpening();
  // Ends the tasks of gangs that have succeeded in part.
  void CompleteGangs();
  void AdoptListed(const VmId& vm, const std::vector<AttemptId>& running);
  // Applies the descriptions of workers that are new or have changed.
  void ApplyWorkerSpecs();
  void Acknowledge(const internal::Worker& worker,
                   const std::vector<WorkerEvent>& handled);
  void OnWorkflowRecovered(const internal::LedgerWorkflow& workflow);
  // Removes workers that are no longer listed and cannot be running anything.
  void RemoveUnlistedWorkers();
  void ReconcileWorker(internal::Worker& worker,
                       const std::vector<AttemptId>& running);
  // Orders the stops of these attempts again that were ordered before.
  void StopAgain(const std::vector<AttemptId>& running);
  // Lets an attempt that its worker does not list count as lost in a while.
  void SetLossTimer(internal::LiveAttempt& attempt);
  // The worker has reported all ends that it kept.
  void OnLastEvents(internal::Worker& worker);
  void Adopt(const AttemptId& attempt, const VmId& vm);
  void HandleBufferedEvents();
  void AdoptEnded(const VmId& vm, const WorkerEvent& event);
  void StopOrphan(internal::Worker& worker, const AttemptId& attempt);
  void HandleLapsedSessions();
  void LogStopped(const internal::Worker& worker, const std::string& proof,
                  MonotonicTime last_answer);
  void HandleOverdueAttempts();
  void ReopenWorker(internal::Worker& worker);
  void HandleLostWorker(internal::Worker& worker, const std::string& reason);
  void OpenWorker(internal::Worker& worker, internal::Session session);
  void SetAdmission(const internal::Worker& worker);
  void ApplyVmList();
  void StopLeavingTasks(internal::Worker& worker);

  // --- owner_silence.cc
  void On(const SilenceRead& event);
  void On(const SilenceWritten& event);
  void EmitOpenSession(const WorkerSpec& spec);
  void ShortenLapses(const SilenceRecord& record);
  std::optional<MonotonicTime> SilentUntil(
      const internal::Worker& worker) const;
  SilenceRecord SilentWorkers() const;
  // Reads or writes the SilenceRecord if that is due.
  void RecordSilence();
  void RenewCleared(int64_t appended);
  std::optional<MonotonicTime> NextSilenceWake() const;

  // --- owner_requests.cc
  void On(RequestReceived event);
  void Dispatch(RequestToken token, JobRequest request, MonotonicTime deadline);
  void DispatchTo(RequestToken token, const SubmitJob& r,
                  MonotonicTime deadline);
  void DispatchTo(RequestToken token, const GetJob& r, MonotonicTime deadline);
  void DispatchTo(RequestToken token, const CancelJob& r,
                  MonotonicTime deadline);
  void DispatchTo(RequestToken token, const ExplainJob& r,
                  MonotonicTime deadline);
  std::optional<Refusal> RefuseSubmission(const SubmitJob& request) const;
  // Returns the job, or answers the request with a refusal and returns null.
  const internal::LedgerJob* FindOrRefuse(RequestToken token,
                                          const TeamId& team, const JobId& job);
  bool RefuseWhileStalled(RequestToken token);
  void WaitForAppend(RequestToken token, internal::Sequence sequence,
                     MonotonicTime deadline);
  void AnswerDue();
  void AnswerDueAppend(RequestToken token, internal::Sequence sequence,
                       MonotonicTime deadline);
  void AnswerChanged();
  void AnswerRecord(internal::Sequence sequence);
  void Reply(RequestToken token, JobResponse response);
  void Refuse(RequestToken token, RefusalCode code, Effect effect,
              std::string message,
              std::optional<Duration> retry_after = std::nullopt);
  JobView View(const JobId& id) const;
  TaskView ViewTask(const TaskId& id, const TaskSnapshot& task,
                    const internal::JobTimes& times) const;
  bool LongPollReady(const internal::UntilChanged& held) const;

  // --- owner_workflows.cc
  void DispatchTo(RequestToken token, const SubmitWorkflow& r,
                  MonotonicTime deadline);
  void DispatchTo(RequestToken token, const FindWorkflow& r,
                  MonotonicTime deadline);
  void DispatchTo(RequestToken token, const GetWorkflow& r,
                  MonotonicTime deadline);
  void DispatchTo(RequestToken token, const CancelWorkflow& r,
                  MonotonicTime deadline);
  void DispatchTo(RequestToken token, const CountWaiting& r,
                  MonotonicTime deadline);
  // Answers a submission of a workflow that was accepted before, or is being
  // recorded. Returns false if there is none.
  bool AnswerRepeated(RequestToken token, const TeamId& team,
                      const RequestId& request, MonotonicTime deadline);
  std::optional<Refusal> RefuseWorkflow(const SubmitWorkflow& request) const;
  std::optional<Refusal> RefuseQueue(const SubmitWorkflow& request) const;
  // Returns the submission of the workflow, recorded or being recorded; null if
  // there is none.
  const WorkflowSubmitted* FindSubmitted(const RequestId& request) const;
  // Refuses a request about a workflow that does not exist or that belongs to
  // another team. Returns false if the request may be served.
  bool RefuseInaccessible(RequestToken token, const TeamId& team,
                          const RequestId& request);
  WorkflowView ViewWorkflow(const RequestId& request) const;
  // Adds a record of the cancellation, or waits for the one that is under way.
  void RecordCancellation(RequestToken token, const RequestId& request,
                          MonotonicTime deadline);
  // Withdraws a cancellation that is in no batch; its requests are answered
  // that there is no such workflow.
  void WithdrawCancellation(const RequestId& request);
  // Remembers that the workflow was cancelled though it is unknown here.
  void RememberCancelled(const TeamId& team, const RequestId& request);
  bool WasCancelled(const TeamId& team, const RequestId& request) const;
  // Dispatches the requests again that waited for the submission.
  void AnswerSubmitted(const RequestId& request);
  bool IsNearEnd(const internal::LedgerWorkflow& workflow) const;
  void AnswerEnded(const RequestId& request);
  void OnWorkflowSubmitted(const RequestId& request);
  // Adds the steps that are ready to run to the cell.
  void ReleaseSteps(const RequestId& request);
  bool IsStepReady(const internal::LedgerWorkflow& workflow,
                   const StepId& step) const;
  MonotonicTime DueTimeOf(const internal::LedgerWorkflow& workflow,
                          int32_t occurrence) const;
  void ReleaseDueSteps();
  std::optional<placement::StartBy> StartByOf(const JobId& job) const;
  void ReleaseJob(const JobId& job);
  // Updates the workflow after one of its tasks reached a final state.
  void OnStepTaskEnded(const JobId& job, TaskState state);
  // Applies a cancellation that was appended.
  void ApplyCancellation(const RequestId& request);
  // Records the cancellation of a workflow that has failed.
  void CancelFailedWorkflow(const RequestId& request);
  // Ends the tasks `open` of a cancelled workflow in the cell and on workers.
  void EndOpenTasks(const RequestId& request, const std::vector<TaskId>& open);
  std::vector<TaskId> UnfinishedTasks(
      const internal::LedgerWorkflow& workflow) const;
  void RemoveUnstarted(const JobId& job);
  void ScheduleForgetting(const RequestId& request);
  void ForgetWorkflows();

  // --- owner_overload.cc
  // A job was added to the cell with these start deadlines.
  void FollowBacklog(const JobId& id,
                     const std::optional<placement::StartBy>& by);
  // Returns whether the team's waiting and running tasks are within its share.
  bool IsWithinShare(const TeamId& team) const;
  // Refuses a submission that would start too late to be useful.
  std::optional<Refusal> RefuseOverload(const SubmitWorkflow& request);

  // --- owner_permits.cc
  void On(PermitsIssued event);
  struct WorkerRoom {
    const WorkerSpec* spec;
    Resources free;
  };
  // No worker with the label has room for a task of this size.
  struct NoRoom {
    std::string label;
    Resources size;
  };
  struct PermitScan {
    std::vector<WorkerRoom> workers;
    std::map<TeamId, Resources> allowances;
    int64_t budget = 0;  // Workers that may still be examined.
    std::vector<NoRoom> without_room;
  };
  struct JobPermits;
  // Requests permits for jobs that have room but cannot start without them.
  void ScanPermitWaiters();
  // Returns how many perpetual tasks of each job with permits will be queued
  // again soon.
  std::map<JobId, int32_t> RestartingTasks() const;
  // Returns how long before the restart of a task its permit is requested.
  Duration RestartLeadOf(const JobSpec& spec) const;
  // Requests permits for jobs with perpetual tasks that have run, or will have
  // run, and wait. Returns these jobs.
  std::set<JobId> ScanRestarts(PermitScan& scan);
  // Permits of the job are not needed any more.
  void DropPermits(const JobId& job);
  // Withdraws all permit requests under way, because this owner ends.
  void WithdrawRequests();
  // Returns the delay of the job's next request after one that failed.
  Duration PermitBackoff(const JobId& job, const JobPermits& permits) const;
  // `waiting` tasks of the job wait, or will soon.
  void ReserveAndRequest(const internal::LedgerJob& job, int32_t waiting,
                         JobPermits& permits, PermitScan& scan, bool restart);
  // Returns whether the job's next request is its first one and lists only as
  // many workers as it needs.
  bool HasBoundedFirstRequest(const JobSpec& spec,
                              const JobPermits& permits) const;
  static bool HasNoRoom(const PermitScan& scan, const std::string& label,
                        const Resources& size);
  void EmitPermitRequest(const internal::LedgerJob& job, JobPermits& permits,
                         std::vector<VmId> with_room, bool restart);
  static int64_t RemainingOnWorker(const internal::LedgerJob& job,
                                   const VmId& vm);
  bool MayEverRun(const JobSpec& spec, const WorkerSpec& worker) const;
  bool AllDenied(const JobSpec& spec, const std::set<VmId>& denied) const;
  // Returns the worker's permit for the job; empty if none is valid.
  std::string PermitFor(const JobId& job, const VmId& vm) const;

  // --- owner_tasks.cc
  void PlaceTasks();
  void HandleUsage(const std::vector<Usage>& usage);
  void Execute(const placement::Throttle& throttle);
  void Execute(const placement::Start& start);
  void Execute(const placement::Preempt& preempt);
  void OrderStart(internal::LiveAttempt& attempt);
  // Orders the held starts whose records were appended by the current event.
  void OrderAppendedStarts();
  bool AwaitsAppend(const internal::LiveAttempt& attempt) const;
  // Returns why the start must not be ordered; empty if it may be.
  std::string_view WhyNotOrdered(const internal::LiveAttempt& attempt) const;
  void OrderOrWithdraw(const TaskId& task, bool order);
  void OrderStop(internal::LiveAttempt& attempt, StopKind kind);
  void HandleWorkerEvent(internal::Worker& worker, const WorkerEvent& event);
  void OnEnd(const TaskId& task, const WorkerEvent& event);
  void Finish(const TaskId& task, TaskState state, std::string reason,
              placement::AttemptOutcome outcome);
  // Ends the atomic gang once one of its tasks succeeded.
  void FinishGang(const JobId& job);
  void FinishQueued(const TaskId& task, TaskState state, std::string reason);
  void Requeue(const TaskId& task, placement::AttemptOutcome outcome,
               bool from_checkpoint, const std::string& reason,
               const std::string& checkpoint = {});
  void HandleLostAttempt(const TaskId& task, const std::string& reason);
  void WithdrawStart(const TaskId& task, const std::string& reason);
  void CancelTasks(const JobId& job);
  // Stops the tasks that have an attempt.
  void StopTasks(const std::vector<TaskId>& tasks);
  std::vector<TaskId> UnfinishedTasks(const JobId& job) const;
  // Returns the other tasks of the atomic gang that have an attempt.
  std::vector<TaskId> OtherMembers(const TaskId& task) const;
  void ExpireJobs();
  void ForgetJobs();
  void OnTaskChanged(const TaskId& task);
  void Log(std::string kind, const TaskId& task, int32_t attempt, VmId vm,
           std::string reason);

  const Options options_;
  const PartitionId partition_;
  const std::vector<WorkerSpec> specs_;
  const uint64_t nonce_;
  const Epoch epoch_;
  internal::Environment environment_;

  internal::Phase phase_ = internal::Idle{};
  MonotonicTime now_{};
  std::vector<Action> actions_;
  std::map<VmId, std::vector<Order>> orders_;  // Emitted at the end of Handle.

  // Invariant: live_ is committed_ with all pending records applied, except
  // submissions and cancellations, which are applied to live_ once they are
  // appended.
  internal::Ledger committed_;
  internal::Ledger live_;
  internal::GroupCommit commit_;
  internal::WorkerTable workers_;
  internal::RequestTable requests_;
  internal::JobTable jobs_;
  placement::Cell cell_;
  // Workflows that were cancelled before any submission of them arrived, with
  // the time until which one is refused; in the order of these times.
  std::map<std::pair<TeamId, RequestId>, MonotonicTime> cancelled_unknown_;
  std::deque<std::pair<MonotonicTime, std::pair<TeamId, RequestId>>>
      cancelled_unknown_order_;
  // Tasks whose start waits for the append of its record.
  std::map<internal::Sequence, TaskId> held_starts_;
  std::vector<AttemptId>
      appended_starts_;  // Starts whose record was just appended.
  // The latest unsettled record of each task.
  std::map<TaskId, internal::Sequence> latest_unsettled_;
  std::set<VmId> unproven_;  // Workers whose session is not proven.
  // Workers whose leases are not renewed. Invariant: each worker in a
  // SilenceRecord of this owner that a successor may read is among them.
  std::set<VmId> withheld_;
  // The SilenceRecord in the store.
  struct Silence {
    bool read = false;           // The former owner's one.
    bool busy = false;           // A read or write is under way.
    MonotonicTime not_before{};  // For the next one, after a failure.
    std::set<VmId> inherited;    // Named by the former owner's record.
    std::set<VmId> writing;      // In the latest record that was tried.
    MonotonicTime writing_made_at{};
    std::set<VmId> written;  // In the latest that was certainly written.
    MonotonicTime written_at{};
    Duration refresh_interval{0};  // From written_at on.
    std::set<VmId> unconfirmed;    // In those that were tried since.
    // Workers in no record any more, with the number of the batch after whose
    // append their leases are renewed again.
    std::map<VmId, int64_t> cleared;
  };
  Silence silence_;
  // Acknowledgements that wait for the append of a record, in order.
  struct WaitingAcknowledgement {
    internal::Sequence after;
    AcknowledgeEvents action;
  };
  std::deque<WaitingAcknowledgement> acknowledgements_;
  internal::Sequence last_added_;     // Latest record added.
  internal::Sequence last_appended_;  // All records up to this one are settled.

  // Workflows that have not started, by queue, except those that are due at set
  // times.
  std::map<QueueId, std::set<RequestId>> unstarted_;
  std::set<std::pair<MonotonicTime, RequestId>> due_;  // Next occurrences.
  std::set<std::pair<MonotonicTime, RequestId>> forgetting_;

  // The permits of a job.
  struct JobPermits {
    std::map<VmId, std::string> permits;
    MonotonicTime valid_until{};
    // The workers for which the service denied or granted a permit. These
    // answers do not change. A worker that joined after the latest request is
    // in neither set.
    std::set<VmId> denied;
    std::set<VmId> granted;
    bool answered = false;  // A request was answered.
    bool request_in_flight = false;
    int failures = 0;              // Of requests, since the latest answer.
    MonotonicTime asked_at{};      // Of the latest request.
    MonotonicTime answered_at{};   // Of the latest answer, also a failure.
    MonotonicTime next_request{};  // Earliest time of the next request.
  };
  MonotonicTime next_permit_scan_{};
  // The job at which the second half of the next scan begins.
  std::optional<placement::PermitWaiter> permit_scan_start_;
  std::map<JobId, JobPermits> permits_;
  // Perpetual jobs with permits of which tasks that have run are queued. Jobs
  // without such tasks stay here until the next scan.
  std::set<JobId> interrupted_;
  JobId restart_scan_start_;  // At which the next scan of restarts begins.

  internal::OverloadControl overload_;
  std::map<QueueId, int64_t> refused_submissions_;  // See Status.

  std::set<JobId> changed_;  // Jobs changed since the last answers.
  std::set<TeamId> teams_;   // Teams that the cell knows.
  int64_t next_job_number_ = 1;

  MonotonicTime claimed_at_{};  // On both clocks.
  WallTime claimed_at_wall_{};
  std::optional<MonotonicTime> renewals_ended_;  // See ClaimWon.
  MonotonicTime fenced_at_{};  // Our first append was settled.
  bool vm_list_is_current_ =
      false;                    // The VM list was requested after fenced_at_.
  bool placement_due_ = false;  // An input of placement changed.
  int64_t unordered_preempted_ = 0;  // See Status.
  int64_t snapshot_through_ = 0;
  bool snapshot_in_flight_ = false;
  MonotonicTime snapshot_retry_{};
  MonotonicTime next_demand_{};
  MonotonicTime next_waiting_log_{};
  std::map<TeamId, AllowanceDemand> reported_;
  // Time in the last Wake that was emitted.
  std::optional<MonotonicTime> wake_;

  internal::WaitTable waits_;
  MonotonicTime next_wait_sample_{};
};

}  // namespace azurepass::partition

#endif  // AZUREPASS_PARTITION_INTERNAL_OWNER_IMPL_H_
