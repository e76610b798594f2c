// The vocabulary of azurepass: identifiers, resources, jobs, contracts and
// refusals. Every other package speaks in these types. Nothing here does I/O or
// knows an encoding; BootClock is read by tasks, never by decisions.
//
// Times. A deadline or an age inside one process is a MonotonicTime; it never
// leaves the process, and it counts the time in which the VM was suspended.
// What crosses a process boundary is a Duration ("so much is left") or a
// WallTime that is only shown to people.

#ifndef AZUREPASS_CORE_CORE_H_
#define AZUREPASS_CORE_CORE_H_

#include <array>
#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace azurepass {

// ---------------------------------------------------------------------------
// Time

// Never set back, and runs on while the VM is suspended: std::steady_clock
// stands still then, and a lease judged by it would outlive its real end.
class BootClock {
 public:
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;  // NOLINT: the standard's name.

  static time_point now() noexcept;
};

using MonotonicTime = BootClock::time_point;
using WallTime = std::chrono::system_clock::time_point;
using Duration = std::chrono::milliseconds;

// ---------------------------------------------------------------------------
// Visitors

// Builds one visitor out of several lambdas, for std::visit.
template <class... Lambdas>
struct Visitor : Lambdas... {
  using Lambdas::operator()...;
};
template <class... Lambdas>
Visitor(Lambdas...) -> Visitor<Lambdas...>;

// ---------------------------------------------------------------------------
// Identifiers

// A string that names one kind of thing, so that a team is never passed where
// a VM is meant.
template <class Tag>
class Id {
 public:
  Id() = default;
  explicit Id(std::string value) : value_(std::move(value)) {}

  const std::string& value() const { return value_; }
  bool empty() const { return value_.empty(); }

  auto operator<=>(const Id&) const = default;

  template <class H>
  friend H AbslHashValue(H h, const Id& id) {
    return H::combine(std::move(h), id.value_);
  }

 private:
  std::string value_;
};

using TeamId = Id<struct TeamTag>;            // The customer of one contract.
using KeyId = Id<struct KeyTag>;              // Public name of a key.
using QueueId = Id<struct QueueTag>;          // Where a team submits to.
using ServiceId = Id<struct ServiceTag>;      // A named group of workers.
using PartitionId = Id<struct PartitionTag>;  // Racks that have one owner.
using ZoneId = Id<struct ZoneTag>;            // An availability zone.
using RackId = Id<struct RackTag>;
using VmId = Id<struct VmTag>;            // A worker's VM.
using MemberId = Id<struct MemberTag>;    // One process of ours.
using RequestId = Id<struct RequestTag>;  // A caller's idempotency token.
// "PARTITION.NUMBER", or "PARTITION.REQUEST:OCCURRENCE:STEP" for the job that a
// workflow's step becomes.
using JobId = Id<struct JobTag>;

// Task `index` of a job; index runs from 0 to the job's task count - 1.
struct TaskId {
  JobId job;
  int32_t index = 0;

  auto operator<=>(const TaskId&) const = default;
  template <class H>
  friend H AbslHashValue(H h, const TaskId& id) {
    return H::combine(std::move(h), id.job, id.index);
  }
};

// One start of a task; the first attempt is 1.
struct AttemptId {
  TaskId task;
  int32_t attempt = 0;

  auto operator<=>(const AttemptId&) const = default;
  template <class H>
  friend H AbslHashValue(H h, const AttemptId& id) {
    return H::combine(std::move(h), id.task, id.attempt);
  }
};

// Returns "JOB/INDEX" and "JOB/INDEX#ATTEMPT".
std::string ToString(const TaskId& id);
std::string ToString(const AttemptId& id);

// The partition of a service whose workers are all in one.
PartitionId PartitionOfService(const ServiceId& service);

// Parses what ToString(AttemptId) wrote; empty when the text has another form.
std::optional<AttemptId> ParseAttemptId(std::string_view text);

// Makes the id of the job with this number in a partition, and finds the
// partition of a job again (empty when the id has another form).
JobId MakeJobId(const PartitionId& partition, int64_t number);
std::optional<PartitionId> PartitionOf(const JobId& job);

// Where a job comes from that is a step of a workflow: the workflow's request
// id, the occurrence (from 0) and the step's position (from 0).
struct StepId {
  RequestId request;
  int32_t occurrence = 0;
  int32_t step = 0;

  auto operator<=>(const StepId&) const = default;
};
JobId MakeJobId(const PartitionId& partition, const StepId& step);
// Empty when the job is no step of a workflow.
std::optional<StepId> StepOf(const JobId& job);
// Letters, digits, '-' and '_' only, 1 to 64 of them: what MakeJobId can take.
bool IsWorkflowRequestId(const RequestId& request);

// Counts the owners of a partition. A worker refuses orders of an epoch lower
// than the highest it has seen.
struct Epoch {
  int64_t value = 0;
  auto operator<=>(const Epoch&) const = default;
};

// The store's counter of accepted changes; it only grows.
struct Revision {
  int64_t value = 0;
  auto operator<=>(const Revision&) const = default;
};

// ---------------------------------------------------------------------------
// Resources

enum class Dimension : int {
  kSlots = 0,
  kConnections,
  kMillicores,    // Thousandths of a processor.
  kMemoryMib,     // 2^20 bytes.
  kAccelerators,  // Whole devices.
};
inline constexpr int kDimensions = 5;

// Returns "slots", "connections", "millicores", "memory_mib" or
// "accelerators": also the field's name in every encoding.
std::string_view DimensionName(Dimension dimension);

// An amount in every dimension. Amounts may be negative in the middle of a sum;
// a size or a capacity never is.
class Resources {
 public:
  constexpr Resources() = default;
  constexpr Resources(int64_t slots, int64_t connections, int64_t millicores,
                      int64_t memory_mib, int64_t accelerators)
      : amounts_{slots, connections, millicores, memory_mib, accelerators} {}

  // The same amount in every dimension.
  static constexpr Resources Uniform(int64_t amount) {
    return Resources(amount, amount, amount, amount, amount);
  }

  constexpr int64_t operator[](Dimension d) const {
    return amounts_[static_cast<int>(d)];
  }
  constexpr int64_t& operator[](Dimension d) {
    return amounts_[static_cast<int>(d)];
  }

  Resources& operator+=(const Resources& other);
  Resources& operator-=(const Resources& other);
  friend Resources operator+(Resources a, const Resources& b) { return a += b; }
  friend Resources operator-(Resources a, const Resources& b) { return a -= b; }
  friend Resources operator*(Resources a, int64_t times);
  constexpr bool operator==(const Resources&) const = default;

  // True when each dimension is at most that of `room`.
  bool FitsIn(const Resources& room) const;

  // The first dimension in which this does not fit in `room`.
  std::optional<Dimension> FirstExcess(const Resources& room) const;

  // True when no dimension is below zero.
  bool IsNonNegative() const;

  // The largest fraction, over all dimensions with a capacity above zero, that
  // this takes of `capacity`: the dominant share of Ghodsi et al., "Dominant
  // Resource Fairness" (NSDI 2011).
  double DominantShare(const Resources& capacity) const;

  // Per-dimension minimum and maximum.
  static Resources Min(const Resources& a, const Resources& b);
  static Resources Max(const Resources& a, const Resources& b);

 private:
  std::array<int64_t, kDimensions> amounts_{};
};

inline constexpr Dimension kAllDimensions[kDimensions] = {
    Dimension::kSlots, Dimension::kConnections, Dimension::kMillicores,
    Dimension::kMemoryMib, Dimension::kAccelerators};

// No bound in any dimension; small enough that a few may be added up.
inline constexpr int64_t kUnlimitedAmount = int64_t{1} << 60;
inline constexpr Resources kUnlimited = Resources::Uniform(kUnlimitedAmount);

// ---------------------------------------------------------------------------
// Jobs

// Tasks run until stopped and are spread over zones and racks.
struct ServicePolicy {
  bool operator==(const ServicePolicy&) const = default;
};
// Tasks run to completion, each by itself, packed tightly.
struct BatchPolicy {
  bool operator==(const BatchPolicy&) const = default;
};
// All tasks start together or none does. With `atomic` they are one attempt:
// they have one attempt number, succeed together, and when one of them ends
// otherwise, all are stopped and started again together.
struct GangPolicy {
  bool atomic = false;
  bool operator==(const GangPolicy&) const = default;
};
using Policy = std::variant<ServicePolicy, BatchPolicy, GangPolicy>;

// Urgent work comes first, then normal, then low.
enum class Priority { kNormal, kUrgent, kLow };

// Where a job's tasks may run, beyond what their size and their team allow.
struct Constraints {
  std::string label;           // One that the worker must carry; empty: any.
  RackId data_rack;            // Where the data lies; empty: nowhere.
  int32_t max_per_worker = 0;  // Tasks of the job on one worker; 0: no bound.
  bool one_rack = false;       // Slower when it runs on several racks.
  // Only workers for which the queue's policy service issued a permit.
  bool needs_permit = false;

  bool operator==(const Constraints&) const = default;
};

inline constexpr int32_t kMaxAttempts = 5;  // Starts of one repeatable task.

// The tasks of a job that one partition runs, if the job is divided over
// several: those whose index modulo `parts` is `part`. Invariant: 0 <= part <
// parts.
struct TaskShare {
  int32_t part = 0;
  int32_t parts = 1;
  bool Contains(int32_t index) const { return index % parts == part; }
  bool operator==(const TaskShare&) const = default;
};

// What a caller asks for. Invariants once accepted: 1 <= tasks <=
// kMaxTasksPerJob; share.parts <= tasks; task.slots >= 1; every amount >= 0.
struct JobSpec {
  QueueId queue;
  Policy policy = BatchPolicy{};
  Priority priority = Priority::kNormal;
  int32_t tasks = 1;
  TaskShare share;                   // The part of `tasks` that runs here.
  Resources task;                    // The size of each task.
  Duration declared_run_time{0};     // A hint; 0 when unknown.
  bool repeatable = true;            // False: a task is started at most once.
  std::optional<Duration> deadline;  // From acceptance; then it is not started.
  Constraints constraints;
  // That may fail, of each task; of an atomic gang as a whole.
  int32_t max_attempts = kMaxAttempts;
  // Started again however a task ends, until the job is cancelled.
  bool perpetual = false;
  bool counts_losses = true;  // A lost attempt counts as a failed one.
  // Takes the processors that others leave unused: they are not committed.
  bool scavenger = false;
  bool checkpoints = false;  // Its tasks keep their progress by themselves.

  bool operator==(const JobSpec&) const = default;
};
// Returns whether all tasks form a single attempt; see GangPolicy::atomic.
bool IsAtomicGang(const JobSpec& spec);

inline constexpr int32_t kMaxTasksPerJob = 10'000;

enum class TaskState {
  kQueued,     // Waits for a worker.
  kStarting,   // Ordered on a worker, not yet confirmed.
  kRunning,    // Confirmed by the worker.
  kStopping,   // Asked to stop (cancel, preemption), not yet confirmed.
  kSucceeded,  // Final.
  kFailed,     // Final: ran and failed for good.
  kCancelled,  // Final.
  kExpired,    // Final: not started before its deadline.
  kUnknown,    // Final: started once, outcome lost, not repeatable.
};
bool IsFinal(TaskState state);
std::string_view TaskStateName(TaskState state);

struct TaskView {
  TaskState state = TaskState::kQueued;
  VmId vm;  // Of the latest attempt; empty before the first.
  int32_t attempts = 0;
  std::string reason;  // Why it waits or how it ended.
  Duration waited{0};  // From acceptance to the latest start, or until now.
};

// What a caller sees of its job. `version` grows with every change, so that a
// held GET can wait for the next one.
struct JobView {
  JobId id;
  TeamId team;
  JobSpec spec;
  int64_t version = 0;
  std::vector<TaskView> tasks;  // By index.
};

// A job is final when each of its tasks is.
bool IsFinal(const JobView& job);

// One step of a workflow: a job that waits until all tasks of the steps in
// `after` (positions of earlier steps) have succeeded.
struct WorkflowStep {
  JobSpec job;
  std::vector<int32_t> after;
  bool operator==(const WorkflowStep&) const = default;
};

// Steps that one caller submits together, once or repeatedly. Occurrence K is
// due at first + K * interval. Invariants once accepted: at least one step;
// `after` names earlier steps only; 1 <= occurrences.
struct WorkflowSpec {
  QueueId queue;
  std::string payload;  // Handed to the worker with each start, unread.
  std::vector<WorkflowStep> steps;
  int32_t occurrences = 1;
  std::optional<WallTime> first;  // Empty: at once.
  Duration interval{0};
  bool operator==(const WorkflowSpec&) const = default;
};

inline constexpr int32_t kMaxWorkflowSteps = 256;
inline constexpr int32_t kMaxOccurrences = 1'000;

enum class WorkflowState {
  kQueued,  // No task was started yet.
  kRunning,
  kCompleted,  // Final: all tasks succeeded.
  kFailed,     // Final: a task failed for good.
  kCancelled,  // Final.
};
// "queued", "running", "completed", "failed" or "cancelled".
std::string_view WorkflowStateName(WorkflowState state);

// What a caller sees of its workflow.
struct WorkflowView {
  RequestId request;
  TeamId team;
  WorkflowState state = WorkflowState::kQueued;
  // Partitions that its tasks are divided over; 0 if that is not known any
  // more, which is so some time after its end.
  int32_t parts = 1;
};

// ---------------------------------------------------------------------------
// Contracts and configuration

struct QueueSpec {
  QueueId name;
  ServiceId service;
  bool operator==(const QueueSpec&) const = default;
};

// One customer's contract. `version` is the store's version of the value: 0
// before the first write.
struct Contract {
  TeamId team;
  int64_t share = 1;  // Weight against the other teams when the cell is full.
  Resources upper_limit = kUnlimited;  // Of all that runs, fleet-wide.
  std::vector<ZoneId> zones;           // Where it may run; never empty.
  std::vector<QueueSpec> queues;
  int64_t version = 0;
  bool operator==(const Contract&) const = default;
};

// A key as the store keeps it: never the key itself.
struct KeyRecord {
  KeyId id;
  TeamId team;
  std::string sha256;  // Of the secret, in lower-case hexadecimal.
  bool withdrawn = false;
  int64_t version = 0;
  bool operator==(const KeyRecord&) const = default;
};

struct ZoneRecord {
  ZoneId zone;
  bool in_service = true;
  int64_t version = 0;
  bool operator==(const ZoneRecord&) const = default;
};

// The team to which work of queues without keys is accounted. It has no
// contract, and so no limit.
TeamId PublicTeam();

// What a call of the service that issues permits takes, and how long a permit
// is valid.
struct PermitTerms {
  Duration per_call{0};
  std::chrono::microseconds per_worker{0};
  Duration validity{0};
  auto operator<=>(const PermitTerms&) const = default;
};

// A queue that is open to all teams, or without `needs_key` to everybody.
struct QueueRecord {
  QueueId queue;
  ServiceId service;
  std::string host;         // Requests to this host and below this path belong
  std::string path_prefix;  // to it; the longest prefix wins.
  int32_t priority = 0;     // 0 comes first.
  int32_t max_attempts = kMaxAttempts;
  bool needs_key = true;
  double stretch = 1;  // A job's objective: `stretch` times its longest chain
  Duration objective{0};               // of work, and `objective` more.
  std::optional<PermitTerms> permits;  // Set: starts need permits.
  int64_t version = 0;
  bool operator==(const QueueRecord&) const = default;
};

// Returns a hash of the host and the path prefix by which requests are matched
// to a queue. It is the same in every process and release.
uint64_t RouteHash(std::string_view host, std::string_view path_prefix);

// A queue as an earlier configuration had it. Jobs that were accepted then stay
// in the service and under the queue name of that time.
struct FormerQueue {
  QueueId queue;
  ServiceId service;
  uint64_t route = 0;  // RouteHash of its host and path prefix.
  bool needs_key = true;
  std::optional<PermitTerms> permits;
  auto operator<=>(const FormerQueue&) const = default;
};
FormerQueue ToFormerQueue(const QueueRecord& queue);

// A service that operators declared; its workers are found at run time.
struct ServiceRecord {
  ServiceId service;
  bool standby = false;  // Its VMs are off.
  int64_t version = 0;
  bool operator==(const ServiceRecord&) const = default;
};

// All that operators decide, as of one revision.
struct Configuration {
  Revision revision;
  std::map<TeamId, Contract> contracts;
  std::map<KeyId, KeyRecord> keys;
  std::map<ZoneId, ZoneRecord> zones;  // A zone without a record is in service.
  std::map<QueueId, QueueRecord> queues;
  std::map<ServiceId, ServiceRecord> services;
  // Those that differ from the queue of the same name in `queues`, the oldest
  // first; at most kMaxFormerQueues.
  std::vector<FormerQueue> former_queues;
  bool operator==(const Configuration&) const = default;
};

inline constexpr size_t kMaxFormerQueues = 4'096;

// Returns the queue that has the route of the queue `name`: the one of that
// name, else the one that took over its host and path prefix. Null if there is
// none.
const QueueRecord* FindSuccessor(const Configuration& configuration,
                                 const QueueId& name);

// Returns the terms of the permits that jobs of the queue `name` need. If the
// queue and its successor issue none, these are the latest that it had; empty
// if it never had any.
std::optional<PermitTerms> FindPermitTerms(const Configuration& configuration,
                                           const QueueId& name);

// ---------------------------------------------------------------------------
// Workers

// A worker as the settings and the VM list describe it.
struct WorkerSpec {
  VmId vm;
  ZoneId zone;
  RackId rack;
  ServiceId service;
  std::string address;  // "IP:PORT" of its HTTP interface.
  Resources capacity;
  std::vector<std::string> labels{};  // See Constraints::label.
  bool operator==(const WorkerSpec&) const = default;
};

// What the VM list says of a VM; absent means gone.
enum class VmState { kLive, kLeaving };

// Orders to a worker. Each is idempotent by its attempt id.
struct StartTask {
  AttemptId attempt;
  TeamId team;
  Resources size;
  Duration run_time{0};  // What a stand-in's task takes; 0: until stopped.
  bool from_checkpoint = false;
  std::string checkpoint{};  // Names the progress to go on from, if it has one.
  std::string payload{};     // WorkflowSpec::payload.
  std::string permit{};      // Empty where none is needed.
};
enum class StopKind { kStop, kCheckpoint };
struct StopTask {
  AttemptId attempt;
  StopKind kind = StopKind::kStop;
};
// Limits a task to a fraction of its processors, in thousandths.
struct ThrottleTask {
  AttemptId attempt;
  int64_t permille = 1'000;
};
using Order = std::variant<StartTask, StopTask, ThrottleTask>;

enum class WorkerEventKind {
  kStarted,
  kSucceeded,
  kFailed,        // Ended with an error of its own, or could not be started.
  kStopped,       // Stopped as ordered, or because the lease lapsed.
  kCheckpointed,  // Stopped as ordered, its progress kept by the platform.
};
// What a worker reports of an attempt. `number` grows by one with each event of
// a worker; the worker keeps an event until it is acknowledged. Number 0 is an
// event that came as the answer to an order and needs no acknowledgement.
struct WorkerEvent {
  int64_t number = 0;
  AttemptId attempt;
  WorkerEventKind kind = WorkerEventKind::kStarted;
  std::string detail{};
  std::string checkpoint{};  // Names the progress that was kept, if it has one.
  // Of the worker, which may restart under its id and number its events anew;
  // counted by the owner's process, and in no format.
  int64_t life = 0;
};
// Measured use of one attempt; lags behind the truth.
struct Usage {
  AttemptId attempt;
  Resources used;
};

// ---------------------------------------------------------------------------
// Refusals

enum class RefusalCode {
  kInvalidRequest,      // Malformed or out of range.
  kTooLarge,            // Body, header or nesting over the bound.
  kUnauthenticated,     // No key, an unknown one or a withdrawn one.
  kForbidden,           // The key is of another team.
  kNotFound,            // No such job, queue, contract, key or zone.
  kGone,                // No such workflow: never there, or forgotten.
  kNeverFits,           // No worker could ever run it; the sentence says why.
  kRequestConflict,     // The request id was used with another body.
  kVersionConflict,     // Somebody wrote first; the answer holds what is there.
  kQueueFull,           // The team's queue is at its bound.
  kNotOwner,            // This process does not own the partition.
  kStaleConfiguration,  // Cannot know that its configuration is in force.
  kStoreUnavailable,    // Must be kept, and the store cannot keep it now.
  kDeadlineExceeded,    // The caller's time ran out.
  kShuttingDown,        // Ask another process.
  kUnavailable,         // No owner reachable within the budget.
  kInternal,
};
// Returns the stable spelling of the interface, such as "queue_full".
std::string_view RefusalCodeName(RefusalCode code);

// Whether the refused request may have had its effect.
enum class Effect {
  kNotRun,   // Certainly none: nothing was recorded and nothing was sent.
  kUnknown,  // It may have had one; ask again with the same request id.
};

struct Refusal {
  RefusalCode code = RefusalCode::kInternal;
  Effect effect = Effect::kNotRun;
  std::string message;                  // One sentence for a person.
  std::optional<Duration> retry_after;  // When asking again may help.
};

}  // namespace azurepass

#endif  // AZUREPASS_CORE_CORE_H_
