// A partition is a group of whole racks of one service. Exactly one scheduler
// owns it at a time, and any scheduler can take it over: all that lasts is a
// journal in the platform's store. This package is the owner's state machine.
// It does no I/O: events come in with the time, actions come out, and whoever
// drives it (a task of the scheduler, or a fuzz test with a fake store) carries
// them out and reports back.
//
// Usage:
//
//   partition::Owner owner(options, partition, member, workers);
//   for (Action& a : owner.Handle(event, now)) Perform(std::move(a));
//
// The argument for safety, in short:
//   * Journal entries are created under consecutive numbers, each if absent.
//     A new owner's first act is to append an entry; a former owner's next
//     append then fails, whatever it believes about its lease. The lease only
//     decides when somebody tries.
//   * A batch whose write was not answered is read back: if the entry found
//     carries our epoch and nonce, it is ours. Until then nothing that depends
//     on it is answered.
//   * Workers refuse epochs lower than the highest they have seen, so that a
//     former owner starts nothing after its successor opened its sessions. The
//     successor starts nothing until each worker has answered, or is known to
//     be gone, or its lease has lapsed on the successor's own clock.
//   * A task that may not be repeated is started only after the record of that
//     start was appended, and never again.
//   * Attempt numbers of different epochs come from disjoint ranges, so that a
//     start which the journal does not know of is never confused with a later
//     one (internal/attempt_numbers.h).
//
// What callers are told follows the journal: a submission or cancellation takes
// effect and is answered once its record is appended; a task is shown as final
// once its end is. "Not run" is said only of a record that was withdrawn before
// any write of it, or whose number in the journal was taken by another owner.

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
// Requests about jobs, as front ends send them, and their answers

// Submits a job. The partition is chosen by the sender from team and request
// id, so that a retry meets the same one.
struct SubmitJob {
  PartitionId partition;
  TeamId team;
  RequestId request;
  JobSpec spec;
  Revision revision;  // The sender's configuration.
};
// Answered when the job's version is above `known`, the job is final, or `wait`
// has passed.
struct GetJob {
  TeamId team;
  JobId job;
  int64_t known = 0;
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
// Submits a workflow under an id that the caller chose; a repetition of the
// same id finds the workflow that is there.
struct SubmitWorkflow {
  PartitionId partition;
  TeamId team;
  RequestId request;
  WorkflowSpec spec;
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
// Asks how many workflows of a queue wait for their first start. Those that are
// due at set times are not counted.
struct CountWaiting {
  PartitionId partition;
  QueueId queue;
};
struct WaitingCount {
  int64_t workflows = 0;
};
using JobRequest =
    std::variant<SubmitJob, GetJob, CancelJob, ExplainJob, SubmitWorkflow,
                 GetWorkflow, CancelWorkflow, CountWaiting>;
using JobResponse = std::variant<JobView, placement::Explanation, Refusal,
                                 WorkflowView, WaitingCount>;

// Names a request to the owner for as long as it is unanswered.
struct RequestToken {
  int64_t value = 0;
  auto operator<=>(const RequestToken&) const = default;
};

// ---------------------------------------------------------------------------
// The journal

// The upper limit's part that a partition may use, per team.
using Allowances = std::map<TeamId, Resources>;

struct JobSubmitted {
  JobId job;
  TeamId team;
  RequestId request;
  JobSpec spec;
  // For the job's deadline after a takeover, which is as exact as the wall
  // clocks of the owners agree. Nothing else depends on it.
  WallTime accepted{};
  bool operator==(const JobSubmitted&) const = default;
};
// Stands for the submission of all jobs that the workflow's steps become.
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
// The attempt is over, or was never ordered, and the task waits again.
struct TaskRequeued {
  AttemptId attempt;
  placement::AttemptOutcome outcome = placement::AttemptOutcome::kStopped;
  bool from_checkpoint = false;
  std::string checkpoint{};  // Where it goes on from; empty: as before.
};
// A task's final state.
struct TaskEnded {
  TaskId task;
  TaskState state = TaskState::kSucceeded;
  std::string reason;
};
struct JobCancelled {
  JobId job;
};
// The job is forgotten: long final.
struct JobForgotten {
  JobId job;
};
using Record = std::variant<JobSubmitted, TaskStarted, TaskRequeued, TaskEnded,
                            JobCancelled, JobForgotten, WorkflowSubmitted,
                            WorkflowCancelled, WorkflowForgotten>;

// One value of the journal. The pair (epoch, nonce) names its writer.
struct Batch {
  int64_t number = 0;  // 1, 2, 3, ...
  Epoch epoch;
  uint64_t nonce = 0;
  std::vector<Record> records;
};

// What a job looks like in a snapshot. A task is queued, running (from its
// start on) or final.
struct TaskSnapshot {
  TaskState state = TaskState::kQueued;
  VmId vm;               // Of the latest attempt.
  int32_t attempt = 0;   // Number of the latest attempt; 0 before the first.
  int32_t attempts = 0;  // How many there were.
  int32_t failures = 0;  // How many of them count towards kMaxAttempts.
  bool from_checkpoint = false;
  std::string reason{};
  std::string checkpoint{};  // Names the progress to go on from.
  bool operator==(const TaskSnapshot&) const = default;
};
struct JobSnapshot {
  JobSubmitted submitted;
  bool cancelled = false;
  std::vector<TaskSnapshot> tasks;
};
// A workflow in a snapshot. Of one that has ended only `ended` is kept: neither
// its jobs nor its steps.
struct WorkflowSnapshot {
  WorkflowSubmitted submitted;
  bool cancelled = false;
  std::optional<WorkflowState> ended;
};
// The journal's content up to and including batch `through`. The jobs of a
// workflow are there without their specs.
struct Snapshot {
  int64_t through = 0;
  int64_t next_job_number = 1;
  std::vector<JobSnapshot> jobs{};
  std::vector<WorkflowSnapshot> workflows{};
};

// ---------------------------------------------------------------------------
// Events: what happened

// We hold the claim, as its `epoch`-th owner. Starts recovery. `wall` is the
// wall clock's time of the event.
struct ClaimWon {
  Epoch epoch;
  WallTime wall{};
};
// We should give the partition back: finish answers, append, release.
struct ReleaseWanted {};
// The claim's lease is certainly gone or somebody else holds it. Must be sent
// before a successor can take the claim unless this process is stopped: a
// worker that the successor cannot reach is taken to have stopped one lease
// after the takeover, so nobody may renew its lease after that.
struct ClaimLost {};

// Answer to LoadJournal: the newest snapshot, if any, and all later batches.
// Each answer names the epoch that asked, so that a late one is not taken for
// the answer to a later owner of the same process.
struct JournalLoaded {
  Epoch epoch;
  std::optional<Snapshot> snapshot;
  std::vector<Batch> batches;
};
struct LoadFailed {
  Epoch epoch;
};

// Answers to AppendBatch and ReadBack, for batch `number`. Each action is
// answered exactly once.
struct Appended {
  Epoch epoch;
  int64_t number = 0;
};
// Something is there already, or was read back.
struct AppendFound {
  Epoch epoch;
  int64_t number = 0;
  std::optional<Batch> there;  // Empty: read back, and nothing is there yet.
};
// The write may or may not have happened.
struct AppendUnknown {
  Epoch epoch;
  int64_t number = 0;
};
// The write certainly did not happen, or the reading back failed.
struct AppendUnavailable {
  Epoch epoch;
  int64_t number = 0;
};
struct SnapshotWritten {
  Epoch epoch;
  int64_t through = 0;
  bool ok = false;
};

// The configuration in force, and whether starts may rely on it.
struct ConfigurationChanged {
  std::shared_ptr<const Configuration> configuration;
};
struct FreshnessChanged {
  bool may_start = false;
};
// What the escrow grants to this partition now.
struct AllowancesChanged {
  Allowances allowances;
};

// A VM that is not in the list gets no starts. One that does not answer either
// is taken to be gone, but only if the list was asked for after our first
// append: an older one may lack a VM that the former owner had seen and used.
// `asked` is the time on the owner's clock; left out, absence proves nothing
// and leases decide. Lists are sent in the order in which they were answered.
// `workers` are those of this partition that described themselves to the list,
// beside those that the settings name.
struct VmListChanged {
  std::map<VmId, VmState> vms;
  MonotonicTime asked{};
  std::map<VmId, WorkerSpec> workers{};
};
// Answer to AskPermits: the workers on which the job's tasks may be started,
// each with its permit, valid until then. Empty: the question failed.
struct Permit {
  VmId vm;
  std::string text;
};
struct PermitsIssued {
  JobId job;
  std::vector<VmId> asked;
  std::optional<std::vector<Permit>> permits;
  MonotonicTime valid_until{};
};
// The worker accepted the epoch, or answers again after WorkerUnreachable.
// `running` is all it runs, whoever ordered it.
struct WorkerSessionOpened {
  VmId vm;
  Epoch epoch;
  std::vector<AttemptId> running;
};
struct WorkerReported {
  VmId vm;
  Epoch epoch;
  std::vector<WorkerEvent> events;
  std::vector<Usage> usage;
};
struct WorkerFenced {
  VmId vm;
  Epoch theirs;
};
struct WorkerUnreachable {
  VmId vm;
  Epoch epoch;
  MonotonicTime lease_until;  // By then all it ran for us has stopped.
};

struct RequestReceived {
  RequestToken token;
  JobRequest request;
  MonotonicTime deadline;  // Answer by then.
};

// Time has passed; see Wake.
struct Tick {};

using Event =
    std::variant<ClaimWon, ReleaseWanted, ClaimLost, JournalLoaded, LoadFailed,
                 Appended, AppendFound, AppendUnknown, AppendUnavailable,
                 SnapshotWritten, ConfigurationChanged, FreshnessChanged,
                 AllowancesChanged, VmListChanged, PermitsIssued,
                 WorkerSessionOpened, WorkerReported, WorkerFenced,
                 WorkerUnreachable, RequestReceived, Tick>;

// ---------------------------------------------------------------------------
// Actions: what is to be done

struct LoadJournal {
  Epoch epoch;
};
struct AppendBatch {
  Batch batch;
};
struct ReadBack {
  Epoch epoch;
  int64_t number = 0;
};
// Write this snapshot; batches up to `through` are then not needed any more.
struct WriteSnapshot {
  Epoch epoch;
  Snapshot snapshot;
};
struct OpenSession {
  WorkerSpec worker;
  Epoch epoch;
};
// Orders that were not sent yet are dropped, and no event of the closed session
// is sent to the owner any more. What the worker may still carry out is in the
// list of the next session under the same epoch, which has it stopped.
struct CloseSession {
  VmId vm;
};
// To be repeated until the worker has taken them; but a StartTask that was not
// taken within Options::start_validity is not sent any more, because what
// allowed it may have changed. Once it is certain that it does not run, it is
// reported as stopped.
struct SendOrders {
  VmId vm;
  std::vector<Order> orders;
};
// All that follows from the events of that life of the worker up to this number
// is appended: it may forget them.
struct AcknowledgeEvents {
  VmId vm;
  int64_t number = 0;
  int64_t life = 0;
};
// Ask the service that issues permits about these workers. Answered by
// PermitsIssued.
struct AskPermits {
  JobId job;
  std::vector<VmId> workers;
  PermitTerms terms;
};
struct Answer {
  RequestToken token;
  JobResponse response;
};
// What the team could use beyond, or does not need of, its allowance here.
struct AllowanceDemand {
  TeamId team;
  Resources committed;
  Resources wanted;  // Committed plus what waits and would fit.
  Resources unit;    // What the next start takes, or zero.
  bool operator==(const AllowanceDemand&) const = default;
};
// Of all teams, whenever one of them has changed: it replaces the one before.
struct ReportDemand {
  std::vector<AllowanceDemand> demands;
};
// All is appended and answered: the claim may be given back.
struct Released {};
// Somebody else owns the partition. Everything in memory is void.
struct Deposed {
  std::string reason;
};
// Send a Tick at that time at the latest; replaces the one before.
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
};

using Action =
    std::variant<LoadJournal, AppendBatch, ReadBack, WriteSnapshot, OpenSession,
                 CloseSession, SendOrders, AcknowledgeEvents, AskPermits,
                 Answer, ReportDemand, Released, Deposed, Wake, LogDecision>;

// ---------------------------------------------------------------------------
// The owner

struct Options {
  Duration append_spacing{0};     // Between two appends; from the write budget.
  int64_t snapshot_every = 200;   // Batches between two snapshots.
  int64_t batch_records = 2'000;  // At most so many records in a batch.
  int64_t queue_bound = 50'000;   // Waiting tasks per team.
  Duration worker_lease{15'000};  // Unrenewed, a worker stops what it runs.
  Duration worker_lease_margin{1'000};
  Duration start_validity{2'000};    // See SendOrders.
  Duration kept_after_end{600'000};  // A final job is remembered so long.
  // How long a submission or cancellation waits for the store before it is
  // refused as not run, if it can be.
  Duration append_wait{5'000};
  // A question after a workflow of which nothing waits any more is answered at
  // its end, if that comes within this time.
  Duration near_end_wait{0};
  // Refuses submissions at once while the store fails, instead of waiting.
  bool refuse_while_stalled = false;
  // How long it waits for a write whose outcome is not known.
  Duration unknown_wait{60'000};
  // Every start is ordered after its record is appended, so that the journal
  // names each worker on which a task may run. A new owner then need not wait
  // for workers that do not answer, but for what the journal has running there;
  // nothing is started while the store takes no records.
  bool record_starts_first = false;
  // With so many records not yet appended nothing more is started.
  int64_t unjournaled_bound = 5'000;
  // What a worker should run but does not list is given this time to report
  // its end before it counts as lost.
  Duration report_grace{2'000};
  Duration demand_interval{500};  // Between two ReportDemand.
  // A VM that is missing from the list, and does not answer, is gone. False
  // where the list forgets VMs that run: then leases alone decide.
  bool absent_is_gone = true;
  // What is found running goes on, also where by our account there is no room
  // for it, or the worker is not listed any more. Else it is stopped, and
  // fails.
  bool keep_what_runs = false;
  // Tasks on a leaving VM are checkpointed at once, or else run on.
  bool checkpoint_leaving = true;
  // A permit is not used in the last part of its validity: its start has to
  // reach the worker.
  Duration permit_margin{300};
  Duration permit_retry{100};           // After a question that failed.
  Duration permit_denied_retry{3'000};  // After all workers were denied.
  // Between two looks at the jobs that may need one.
  Duration permit_look_interval{20};
  placement::Options placement;

  // Each takes one mechanism out, so that a test can show that it would notice.
  // Never set outside tests.
  struct Testing {
    bool start_without_append = false;   // Of non-repeatable tasks.
    bool answer_without_append = false;  // Submissions.
    bool skip_session_barrier = false;   // After a takeover.
    bool skip_session_proof = false;     // See internal/worker_book.h.
    bool ignore_worker_lease = false;    // Unreachable counts as stopped.
    bool trust_empty_read_back = false;  // As proof that nothing was written.
    bool skip_fencing_append = false;    // Own at once.
    bool start_while_not_fresh = false;
    bool refuse_in_flight_as_not_run = false;
    bool forget_held_answer = false;  // A GET held past its time.
  };
  Testing testing;
};

struct Status {
  PartitionId partition;
  Epoch epoch;
  placement::CellStatus cell;
  std::vector<std::pair<TeamId, Resources>> committed;
};

class Owner {
 public:
  // `workers` are the partition's, from the settings. `nonce` is random and
  // unlike that of any other process.
  Owner(const Options& options, PartitionId partition,
        std::vector<WorkerSpec> workers, uint64_t nonce);
  ~Owner();
  Owner(Owner&&) noexcept;
  Owner& operator=(Owner&&) noexcept;

  // Takes in one event; returns what is to be done, in order.
  std::vector<Action> Handle(Event event, MonotonicTime now);

  // True from the end of recovery until Released or Deposed.
  bool owns() const;
  Status status() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace azurepass::partition

#endif  // AZUREPASS_PARTITION_PARTITION_H_
