// This package implements the owner of a partition as a state machine.
//
// A partition is a group of whole racks of one service. Exactly one scheduler
// owns it at a time, and any scheduler can take it over, because its durable
// state is a journal in the platform's store. The state machine does no I/O: it
// takes events together with the current time and returns actions. The driver
// (a task of the scheduler, or a fuzz test with a fake store) carries out the
// actions and reports the results as further events.
//
// Usage:
//
//   partition::Owner owner(options, partition, workers, nonce);
//   for (Action& a : owner.Handle(event, now)) Perform(std::move(a));
//
// Why this is safe, in short:
//   * Journal entries have consecutive numbers, and each is created only if it
//     is absent. A new owner first appends an entry; the next append of a
//     former owner then fails, even if that owner believes that its lease still
//     holds. The lease only decides when a scheduler tries to take over.
//   * A batch whose write was not answered is read back. If the entry found
//     carries our epoch and nonce, it is ours. Until then nothing that depends
//     on the batch is answered.
//   * Workers refuse epochs lower than the highest they have seen, so a former
//     owner starts nothing on a worker after its successor opened a session
//     there. The successor starts nothing until each worker has answered, or is
//     known to be gone, or its lease has lapsed on the successor's own clock.
//   * A task that must not be repeated is started only after the record of its
//     start was appended, and is never started again.
//   * Attempt numbers of different epochs come from disjoint ranges, so a start
//     that is missing from the journal is never confused with a later one
//     (internal/attempt_numbers.h).
//
// Answers to callers follow the journal: a submission or cancellation takes
// effect, and is answered, once its record is appended. A task is shown as
// final once the record of its end is appended. The effect "not run" is
// reported only for a record that was withdrawn before any write of it, or
// whose number in the journal was taken by another owner.

#ifndef AZUREPASS_PARTITION_PARTITION_H_
#define AZUREPASS_PARTITION_PARTITION_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "azurepass/core/core.h"
#include "azurepass/placement/placement.h"

namespace azurepass::partition {

// ---------------------------------------------------------------------------
// Requests of front ends about jobs and workflows, and their answers

// Submits a job. The sender chooses the partition from the team and the request
// id, so that a retry reaches the same partition.
struct SubmitJob {
  PartitionId partition;
  TeamId team;
  RequestId request;
  JobSpec spec;
  Revision revision;  // The sender's configuration.
};
// Returns the job. Answered when the job's version exceeds `known_version`,
// when the job is final, or when `wait` has passed.
struct GetJob {
  TeamId team;
  JobId job;
  int64_t known_version = 0;
  Duration wait{0};
};
struct CancelJob {
  TeamId team;
  JobId job;
};
struct ExplainJob {
  TeamId team;
  JobId job;
};
// Submits a workflow under an id chosen by the caller. A repeated submission of
// the same id returns the existing workflow.
struct SubmitWorkflow {
  PartitionId partition;
  TeamId team;
  RequestId request;
  WorkflowSpec spec;
  Revision revision;  // The sender's configuration.
};
// Returns the workflow if it was accepted here, like SubmitWorkflow, but
// accepts none. Sent before a submission elsewhere, if the queue had another
// service. "Gone" is final for workflows that are submitted under this
// configuration or an older one.
struct FindWorkflow {
  PartitionId partition;
  TeamId team;
  RequestId request;
  Revision revision;  // The sender's configuration.
};
struct GetWorkflow {
  PartitionId partition;
  TeamId team;
  RequestId request;
};
struct CancelWorkflow {
  PartitionId partition;
  TeamId team;
  RequestId request;
};
// Returns the number of workflows of a queue that have not started yet.
// Workflows that are due at set times are not counted.
struct CountWaiting {
  PartitionId partition;
  QueueId queue;
};
struct WaitingCount {
  int64_t workflows = 0;
};
using JobRequest =
    std::variant<SubmitJob, GetJob, CancelJob, ExplainJob, SubmitWorkflow,
                 GetWorkflow, CancelWorkflow, CountWaiting, FindWorkflow>;
using JobResponse = std::variant<JobView, placement::Explanation, Refusal,
                                 WorkflowView, WaitingCount>;

// Identifies a request until it is answered.
struct RequestToken {
  int64_t value = 0;
  auto operator<=>(const RequestToken&) const = default;
};

// ---------------------------------------------------------------------------
// The journal

// The part of each team's upper limit that a partition may use.
using Allowances = std::map<TeamId, Resources>;

struct JobSubmitted {
  JobId job;
  TeamId team;
  RequestId request;
  JobSpec spec;
  // Used to compute the job's deadline after a takeover. The result is as exact
  // as the agreement between the owners' wall clocks; nothing else depends on
  // it.
  WallTime accepted{};
  bool operator==(const JobSubmitted&) const = default;
};
// The jobs of the steps have no JobSubmitted of their own.
struct WorkflowSubmitted {
  PartitionId partition;
  TeamId team;
  RequestId request;
  WorkflowSpec spec;
  WallTime accepted{};
  bool operator==(const WorkflowSubmitted&) const = default;
};
struct WorkflowCancelled {
  RequestId request;
};
struct WorkflowForgotten {
  RequestId request;
};
struct TaskStarted {
  AttemptId attempt;
  VmId vm;
};
// The attempt ended, or was never ordered, and the task is queued again.
struct TaskRequeued {
  AttemptId attempt;
  placement::AttemptOutcome outcome = placement::AttemptOutcome::kStopped;
  bool from_checkpoint = false;
  std::string checkpoint{};  // To resume from; empty if unchanged.
};
// The task reached the final state `state`.
struct TaskEnded {
  TaskId task;
  TaskState state = TaskState::kSucceeded;
  std::string reason;
};
struct JobCancelled {
  JobId job;
};
// The job ended long ago and is dropped from the ledger.
struct JobForgotten {
  JobId job;
};
using Record = std::variant<JobSubmitted, TaskStarted, TaskRequeued, TaskEnded,
                            JobCancelled, JobForgotten, WorkflowSubmitted,
                            WorkflowCancelled, WorkflowForgotten>;

// One entry of the journal. The pair (epoch, nonce) identifies its writer.
struct Batch {
  int64_t number = 0;  // 1, 2, 3, ...
  Epoch epoch;
  uint64_t nonce = 0;
  std::vector<Record> records;
};

// The state of a task in a snapshot. The task is queued, running (from its
// start on) or final.
struct TaskSnapshot {
  TaskState state = TaskState::kQueued;
  VmId vm;               // Of the latest attempt.
  int32_t attempt = 0;   // Number of the latest attempt; 0 before the first.
  int32_t attempts = 0;  // Number of attempts so far.
  // Attempts that count towards the job's max_attempts. An attempt of an atomic
  // gang counts for the first of its tasks that fails, so that the sum over the
  // gang is the number of its failed attempts.
  int32_t failures = 0;
  bool from_checkpoint = false;
  std::string reason{};
  std::string checkpoint{};  // Identifies the progress to resume from.
  bool operator==(const TaskSnapshot&) const = default;
};
struct JobSnapshot {
  JobSubmitted submitted;
  bool cancelled = false;
  std::vector<TaskSnapshot> tasks;
  // Of an atomic gang, the latest attempt that counts as failed; 0: none.
  int32_t failed_attempt = 0;
};
// A workflow in a snapshot. For a workflow that has ended only `ended` is kept,
// without its jobs and steps.
struct WorkflowSnapshot {
  WorkflowSubmitted submitted;
  bool cancelled = false;
  std::optional<WorkflowState> ended;
};
// The state of the journal up to and including batch `through`. The jobs of a
// workflow are stored without their specs.
struct Snapshot {
  int64_t through = 0;
  int64_t next_job_number = 1;
  std::vector<JobSnapshot> jobs{};
  std::vector<WorkflowSnapshot> workflows{};
};

// ---------------------------------------------------------------------------
// Events

// This process holds the claim as the `epoch`-th owner. Starts recovery. `wall`
// is the time of the event on the wall clock. No former owner renews the lease
// of a worker after `renewals_ended`; empty: not known.
struct ClaimWon {
  Epoch epoch;
  WallTime wall{};
  std::optional<MonotonicTime> renewals_ended{};
};
// Requests a handover: the owner appends what is pending, answers, and releases
// the partition.
struct ReleaseWanted {};
// The lease of the claim has certainly expired, or another process holds the
// claim. The driver must send this event before a successor can take the claim,
// unless this process is stopped: the successor assumes that a worker which it
// cannot reach has stopped one lease after the takeover, so nobody may renew
// the lease of that worker after the claim is lost.
struct ClaimLost {};

// Answers LoadJournal with the newest snapshot, if any, and all later batches.
// Each answer carries the epoch of its request, so that a late answer is not
// taken for one to a later owner in the same process.
struct JournalLoaded {
  Epoch epoch;
  std::optional<Snapshot> snapshot;
  std::vector<Batch> batches;
};
struct LoadFailed {
  Epoch epoch;
};

// Workers that do not answer the owner of `epoch`, with the time after which
// everything that was ordered there has certainly stopped, counted from when
// the record was made. That owner renews the lease of none of them before it
// has written a record without it.
struct SilenceRecord {
  Epoch epoch;
  std::map<VmId, Duration> stopped_in;
  bool operator==(const SilenceRecord&) const = default;
};
// Answers ReadSilence.
struct SilenceRead {
  Epoch epoch;
  bool ok = false;
  std::optional<SilenceRecord> record;  // Empty: there is none.
};
// Answers WriteSilence. If not `ok`, the record may still be written.
struct SilenceWritten {
  Epoch epoch;
  bool ok = false;
};

// Answers to AppendBatch and ReadBack for batch `number`. Each action is
// answered exactly once.
struct Appended {
  Epoch epoch;
  int64_t number = 0;
};
// An entry with this number already exists, or the entry was read back.
struct AppendFound {
  Epoch epoch;
  int64_t number = 0;
  std::optional<Batch> existing;  // Empty: the read found no entry.
};
// The write may or may not have happened.
struct AppendUnknown {
  Epoch epoch;
  int64_t number = 0;
};
// The write certainly did not happen, or the read failed.
struct AppendUnavailable {
  Epoch epoch;
  int64_t number = 0;
};
struct SnapshotWritten {
  Epoch epoch;
  int64_t through = 0;
  bool ok = false;
};

// The current configuration.
struct ConfigurationChanged {
  std::shared_ptr<const Configuration> configuration;
};
// Tells whether the configuration is fresh enough to start tasks, and up to
// which revision of the store it is complete. That may be beyond the
// configuration's own revision, for the store's grows with other changes, too.
struct FreshnessChanged {
  bool may_start = false;
  Revision complete_through{};
};
// The allowances that the escrow currently grants to this partition.
struct AllowancesChanged {
  Allowances allowances;
};

// The current VM list. A VM that is not in the list gets no starts. If it does
// not answer either, it is considered gone, but only if the list was requested
// after our first append: an older list may lack a VM that the former owner had
// seen and used. `requested_at` is the time of the request on the owner's
// clock; if it is left out, absence from the list proves nothing and leases
// decide. Lists are sent in the order in which they were answered. `workers`
// are the workers of this partition that described themselves to the list, in
// addition to those in the settings.
struct VmListChanged {
  std::map<VmId, VmState> vms;
  MonotonicTime requested_at{};
  std::map<VmId, WorkerSpec> workers{};
};
// Allows the job's tasks to start on the worker `vm`.
struct Permit {
  VmId vm;
  std::string text;
};
// Answers RequestPermits with the permits for those of the workers `requested`
// on which the job's tasks may start, valid until `valid_until`. `permits` is
// empty if the request failed.
struct PermitsIssued {
  JobId job;
  std::vector<VmId> requested;
  std::optional<std::vector<Permit>> permits;
  MonotonicTime valid_until{};
};
// The worker accepted the epoch, or answers again after WorkerUnreachable.
// `running` lists everything that the worker runs, including attempts that
// other owners ordered. If `more_events`, the worker keeps ends that it has not
// reported yet, up to the next WorkerReported without `more_events`; it reports
// them once those before are acknowledged. That is supported only with
// Options::record_starts_first.
struct WorkerSessionOpened {
  VmId vm;
  Epoch epoch;
  std::vector<AttemptId> running;
  bool more_events = false;
};
struct WorkerReported {
  VmId vm;
  Epoch epoch;
  std::vector<WorkerEvent> events;
  std::vector<Usage> usage;
  bool more_events = false;
};
// The worker refused our epoch because it has seen the higher epoch
// `highest_epoch`.
struct WorkerFenced {
  VmId vm;
  Epoch highest_epoch;
};
struct WorkerUnreachable {
  VmId vm;
  Epoch epoch;
  // By then the worker has stopped everything that it ran for this owner.
  MonotonicTime lease_until;
  MonotonicTime last_answer{};  // When the worker answered last.
};
// The worker has ended, and everything that it ran with it, because another
// worker has taken over its address.
struct WorkerReplaced {
  VmId vm;
  Epoch epoch;
  MonotonicTime last_answer{};
};

struct RequestReceived {
  RequestToken token;
  JobRequest request;
  MonotonicTime deadline;  // To be answered by then.
};

// Time has passed. See Wake.
struct Tick {};

using Event = std::variant<
    ClaimWon, ReleaseWanted, ClaimLost, JournalLoaded, LoadFailed, Appended,
    AppendFound, AppendUnknown, AppendUnavailable, SnapshotWritten, SilenceRead,
    SilenceWritten, ConfigurationChanged, FreshnessChanged, AllowancesChanged,
    VmListChanged, PermitsIssued, WorkerSessionOpened, WorkerReported,
    WorkerFenced, WorkerUnreachable, WorkerReplaced, RequestReceived, Tick>;

// ---------------------------------------------------------------------------
// Actions

// Read the newest snapshot and all later batches. Answered by JournalLoaded or
// LoadFailed.
struct LoadJournal {
  Epoch epoch;
};
// Create the journal entry of this batch if it is absent.
struct AppendBatch {
  Batch batch;
};
// Read the journal entry with this number.
struct ReadBack {
  Epoch epoch;
  int64_t number = 0;
};
// Write this snapshot. Batches up to `through` are no longer needed once it is
// written.
struct WriteSnapshot {
  Epoch epoch;
  Snapshot snapshot;
};
// Read the partition's SilenceRecord.
struct ReadSilence {
  Epoch epoch;
};
// Replace the record that was read or written last. At most one of these two
// is under way.
struct WriteSilence {
  SilenceRecord record;
};
// While `renews` is false, no message prolongs the worker's lease.
struct OpenSession {
  WorkerSpec worker;
  Epoch epoch;
  bool renews = true;
};
struct SetRenewal {
  VmId vm;
  bool renews = false;
};
// Drop orders that were not sent yet, and send the owner no further events of
// the closed session. Whatever the worker may still carry out appears in the
// list of the next session under the same epoch, and the owner then stops it.
struct CloseSession {
  VmId vm;
};
// Send the orders until the worker has accepted them. A StartTask that was not
// accepted within Options::start_validity must not be sent any more, because
// the conditions that allowed it may have changed; it is reported as stopped
// once it certainly does not run.
struct SendOrders {
  VmId vm;
  std::vector<Order> orders;
};
// Tell the worker to forget its events up to `number` in the incarnation
// `life`: all records that follow from them are appended.
struct AcknowledgeEvents {
  VmId vm;
  int64_t number = 0;
  int64_t life = 0;
};
// Request permits for these workers from the service that issues them. Answered
// by PermitsIssued.
struct RequestPermits {
  JobId job;
  std::vector<VmId> workers;
  PermitTerms terms;
  bool restart = false;  // Perpetual tasks that have run wait for it.
};
// Nobody waits for the permits of this job any more. The request is answered
// all the same.
struct WithdrawPermits {
  JobId job;
};
struct Answer {
  RequestToken token;
  JobResponse response;
};
// How much of the partition a team uses and could use. It shows what the team
// needs beyond its allowance here, or leaves unused of it.
struct AllowanceDemand {
  TeamId team;
  Resources committed;
  Resources wanted;  // Committed plus queued tasks that would fit.
  Resources unit;    // Size of the next start, or zero.
  bool operator==(const AllowanceDemand&) const = default;
};
// The demands of all teams. Emitted when one of them has changed; replaces the
// previous report.
struct ReportDemand {
  std::vector<AllowanceDemand> demands;
};
// Everything is appended and answered: the driver may give the claim back.
struct Released {};
// Another process owns the partition. All state in memory is void.
struct Deposed {
  std::string reason;
};
// Send a Tick at this time at the latest. Replaces the previous Wake.
struct Wake {
  MonotonicTime at;
};
// One line for the decision log.
struct LogDecision {
  std::string kind;  // "start", "preempt", "requeue", "quarantine", ...
  TaskId task;
  int32_t attempt = 0;
  VmId vm;
  Revision revision;
  std::string reason;
  // Of "worker_stopped": since the worker's last answer.
  std::optional<Duration> silent{};
};

using Action =
    std::variant<LoadJournal, AppendBatch, ReadBack, WriteSnapshot, ReadSilence,
                 WriteSilence, OpenSession, SetRenewal, CloseSession,
                 SendOrders, AcknowledgeEvents, RequestPermits, WithdrawPermits,
                 Answer, ReportDemand, Released, Deposed, Wake, LogDecision>;

// ---------------------------------------------------------------------------
// The owner

struct Options {
  // The partition's service. Workflows of queues of other services are refused;
  // if it is empty, none are.
  ServiceId service;
  // Minimum between two appends; derived from the write budget.
  Duration append_spacing{0};
  int64_t snapshot_every = 200;  // In batches.
  int64_t max_batch_records = 2'000;
  int64_t max_queued_tasks = 50'000;  // Per team.
  // A worker whose lease is not renewed for this time stops its tasks.
  Duration worker_lease{15'000};
  // Added to a former owner's lease if it is not known when its renewals ended.
  Duration worker_lease_margin{1'000};
  // A worker that stops its tasks takes no longer.
  Duration worker_stop_time{1'000};
  Duration start_validity{2'000};         // See SendOrders.
  Duration retention_after_end{600'000};  // How long a final job is kept.
  // How long a submission or cancellation waits for the store before it is
  // refused, with effect "not run" if that is certain.
  Duration append_timeout{5'000};
  // A GetWorkflow request for a workflow with no queued tasks is answered at
  // the end of the workflow if that comes within this time.
  Duration completion_wait{0};
  // Refuses submissions at once, instead of keeping them waiting, while the
  // store fails.
  bool refuse_while_stalled = false;
  // How long a request waits for a write whose outcome is unknown.
  Duration unknown_outcome_timeout{60'000};
  // Refuses submissions at once that would start too late to be useful; see
  // internal/overload.h. Accounts within their share are never refused.
  bool refuse_unserviceable = false;
  // Orders every start only after its record is appended, so that the journal
  // names each worker on which a task may run. A new owner then does not wait
  // for workers that do not answer, except for tasks that the journal has
  // running there. Nothing is started while the store takes no records.
  bool record_starts_first = false;
  // No further tasks are started while this many records are not yet appended.
  int64_t max_unjournaled_records = 5'000;
  // An attempt that its worker should run but does not list counts as lost
  // after this time, in which the worker may still report its end.
  Duration report_grace{2'000};
  Duration demand_interval{500};  // Minimum between two ReportDemand.
  // If true, a VM that is missing from the list and does not answer is
  // considered gone. Set to false where the list may omit VMs that are running;
  // then only leases decide.
  bool unlisted_vms_are_gone = true;
  // If true, an attempt that is found running continues even if the owner's
  // accounting has no room for it on the worker, or if the worker is no longer
  // listed. Otherwise it is stopped and fails.
  bool keep_running_attempts = false;
  // If true, tasks on a leaving VM are checkpointed at once; otherwise only
  // perpetual ones are, and the others continue to run.
  bool checkpoint_leaving = true;
  // A permit is not used during the last part of its validity, because the
  // start still has to reach the worker.
  Duration permit_margin{300};
  Duration permit_retry{100};           // After a failed request.
  Duration permit_denied_retry{3'000};  // After all workers were denied.
  // Interval between two scans of the jobs that may need a permit.
  Duration permit_scan_interval{20};
  // Workers with room that the first request of a job that is not urgent lists,
  // or more if its tasks need them. Zero: it lists all workers that could run
  // the job.
  int64_t permit_first_workers = 0;
  placement::Options placement;

  // Each flag disables one mechanism, so that a test can show that it detects
  // the absence. Never set outside tests.
  struct Testing {
    bool start_without_append = false;   // Non-repeatable tasks.
    bool answer_without_append = false;  // Submissions.
    bool skip_session_barrier = false;   // After a takeover.
    bool skip_session_proof = false;     // See internal/worker_table.h.
    bool ignore_worker_lease = false;    // Treat unreachable as stopped.
    bool trust_empty_read_back = false;  // Take it as proof of no write.
    bool skip_fencing_append = false;    // Own without a first append.
    bool start_while_not_fresh = false;
    bool refuse_in_flight_as_not_run = false;
    bool renew_silent_workers = false;   // Those in a SilenceRecord.
    bool drop_long_poll_answer = false;  // A GetJob whose `wait` has passed.
  };
  Testing testing;
};

struct Status {
  PartitionId partition;
  Epoch epoch;
  placement::CellStatus cell;
  std::vector<std::pair<TeamId, Resources>> committed;
  // Starts that were preempted before they were ordered, since the claim.
  int64_t unordered_preempted = 0;
  // Submissions refused because they could not be served in time, since the
  // claim.
  std::map<QueueId, int64_t> refused_submissions;
};

class Owner {
 public:
  // `workers` are the workers of the partition that the settings name. `nonce`
  // is random and differs from that of every other process.
  Owner(const Options& options, PartitionId partition,
        std::vector<WorkerSpec> workers, uint64_t nonce);
  ~Owner();
  Owner(Owner&&) noexcept;
  Owner& operator=(Owner&&) noexcept;

  // Handles one event and returns the actions to carry out, in order.
  std::vector<Action> Handle(Event event, MonotonicTime now);

  // Returns true from the end of recovery until Released or Deposed.
  bool owns() const;
  Status status() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace azurepass::partition

#endif  // AZUREPASS_PARTITION_PARTITION_H_
