// Decides which queued task starts on which worker, and which running task is
// preempted to make room. The library does no I/O, reads no clock and encodes
// no messages. Time and the random seed are passed in by the caller, so that a
// recorded decision can be recomputed.
//
// Usage:
//
//   placement::Cell cell(options);
//   cell.AddWorker(worker);                      // From settings and VM list.
//   cell.SetTeam(team, {share, zones, allowance});
//   cell.AddJob(job, team, spec, now);           // Its tasks wait.
//   for (const Decision& d : cell.Decide(now, budget)) { ... }
//   cell.OnStarted / OnEnded(...);               // As workers report.
//
// Guarantees, whatever the order of calls:
//   * The sum of committed task sizes on a worker never exceeds its capacity.
//   * A start never makes the sum of a team's committed sizes exceed its
//     allowance. When the allowance is lowered, Preempt decisions follow.
//   * No task is started in a zone that is out, that the contract does not
//     allow, or on a worker that is closed or leaving.
//   * A gang's tasks are started by one call of Decide, all or none.
//   * Decide examines no more candidates than its budget allows.

#ifndef AZUREPASS_PLACEMENT_PLACEMENT_H_
#define AZUREPASS_PLACEMENT_PLACEMENT_H_

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "azurepass/core/core.h"

namespace azurepass::placement {

// Packing selects one of the workers with room for a batch task or a gang.
// BestFit chooses the worker that is left with the least free room, summed over
// the dimensions, each divided by the largest worker's capacity (linear best
// fit).
struct BestFit {
  bool operator==(const BestFit&) const = default;
};
// FirstFit chooses the worker that was added first.
struct FirstFit {
  bool operator==(const FirstFit&) const = default;
};
using Packing = std::variant<BestFit, FirstFit>;

// TeamOrder selects the team that starts a task next.
// FairOrder chooses the team with the lowest dominant share for its weight:
// weighted dominant-resource fairness (Ghodsi et al., NSDI 2011).
struct FairOrder {
  bool operator==(const FairOrder&) const = default;
};
// SubmissionOrder chooses the team whose first waiting job was accepted first.
struct SubmissionOrder {
  bool operator==(const SubmissionOrder&) const = default;
};
using TeamOrder = std::variant<FairOrder, SubmissionOrder>;

// Quarantine selects when a worker whose tasks fail gets no new tasks.
// WindowedQuarantine compares the worker's recent failures to those of the same
// jobs on other workers.
struct WindowedQuarantine {
  Duration half_life{60'000};  // The weight of an outcome halves in it.
  double min_failures = 3;     // Fewer failures are no evidence.
  // Least difference between its failure rate and that of its peers.
  double min_excess_failure_rate = 0.5;
  Duration initial_period{15'000};  // Doubles each time a probe fails.
  Duration max_period{300'000};
  int32_t probe_successes = 2;  // Successful probes that end the quarantine.
  bool operator==(const WindowedQuarantine&) const = default;
};
// Quarantines a worker for good at its first failure. Used in experiments, as a
// baseline to compare against.
struct FirstFailureQuarantine {
  bool operator==(const FirstFailureQuarantine&) const = default;
};
struct NoQuarantine {
  bool operator==(const NoQuarantine&) const = default;
};
using Quarantine =
    std::variant<WindowedQuarantine, FirstFailureQuarantine, NoQuarantine>;

// LateOrder selects the order of the waiting jobs of a team and priority that
// can no longer be on time, but are still useful.
// EarliestDeadline starts the job first that is useful for the shortest time.
// It serves all jobs if there is room for all of them. Under overload it starts
// each job just before it becomes useless, so that many end too late.
struct EarliestDeadline {
  bool operator==(const EarliestDeadline&) const = default;
};
// LeastWork starts the job first that needs the least room for the shortest
// time, so that as many callers as possible are still served.
struct LeastWork {
  bool operator==(const LeastWork&) const = default;
};
using LateOrder = std::variant<EarliestDeadline, LeastWork>;

// WorkerSpeeds selects whether workers are taken to run tasks equally fast.
struct UniformSpeeds {
  bool operator==(const UniformSpeeds&) const = default;
};
// LearnedSpeeds compares the run times of the tasks of one step on different
// workers. Urgent jobs and gangs avoid slow workers; low-priority jobs with
// enough slack prefer them. Applies to jobs that not every worker with room may
// take (see Constraints), since others are found by an index over the room.
struct LearnedSpeeds {
  // A worker is slow if its tasks take this many times as long as those of
  // other workers.
  double slow_factor = 1.35;
  bool operator==(const LearnedSpeeds&) const = default;
};
using WorkerSpeeds = std::variant<UniformSpeeds, LearnedSpeeds>;

// Limits and parameters of the decisions.
struct Options {
  uint64_t seed = 1;  // Of the jitter of retry times.
  Packing packing = BestFit{};
  TeamOrder order = FairOrder{};
  Quarantine quarantine = WindowedQuarantine{};
  LateOrder late_order = EarliestDeadline{};
  WorkerSpeeds speeds = UniformSpeeds{};
  // Shortest time in which a zone that returned to service is filled with
  // tasks. 0 means that it is filled without delay.
  Duration zone_ramp{10'000};
  // A job that has been blocked for this long gets a reservation.
  Duration reservation_after{2'000};
  // A checkpoint that takes longer than this is followed by a plain stop.
  Duration checkpoint_grace{10'000};
  // Backoff of a task after its first failure. It doubles with each failure.
  Duration initial_backoff{1'000};
  Duration max_backoff{60'000};
  // Upper bound of the backoff of a perpetual task. Users require such a task
  // to run again within 6 s of the end of its last attempt; this leaves half of
  // that time for permits and the start.
  Duration max_perpetual_backoff{3'000};
  // An attempt of a perpetual task that ran for at least this long resets the
  // task's failure counts. It is ten times the longest backoff, so that a task
  // that keeps failing still runs for most of the time.
  Duration backoff_reset_after{30'000};
  // Limits retries to a fraction of the first starts; see retry_budget.h.
  bool bound_retries = true;
  // Whether tasks above a lowered allowance are preempted. Otherwise they run
  // to their end.
  bool preempt_over_allowance = true;
};

// The terms of a team's contract in this cell.
struct TeamTerms {
  int64_t share = 1;          // Weight when the cell is full; at least 1.
  std::vector<ZoneId> zones;  // Allowed availability zones.
  Resources allowance;        // Upper limit of what is committed here at once.
  bool operator==(const TeamTerms&) const = default;
};

// Whether a worker may be given new tasks.
enum class WorkerAdmission {
  kOpen,     // May be given tasks.
  kClosed,   // Not now: unreachable, session not open, or zone out.
  kLeaving,  // Never again: the VM is about to be removed.
};

// How an attempt ended. Only the differences that matter to placement are kept.
enum class AttemptOutcome {
  kSucceeded,
  kFailed,   // Caused by the task or by the worker; counted for both.
  kStopped,  // On request (cancel, preemption); no evidence about either.
  kLost,     // The worker was lost.
};

// Why a task waits; returned by Explain and to callers.
enum class WaitReason {
  kNone,            // It does not wait.
  kNoRoom,          // No open worker has room now.
  kAllowance,       // The team is at its upper limit (allowance) here.
  kZonesOut,        // All workers that it may use are out of service.
  kGangIncomplete,  // Some of its tasks would fit, not all.
  kBehindOthers,    // Other teams or jobs come first.
  kRetryBackoff,    // Failed recently; waits before the next attempt.
  kRetryBudget,     // The cell's budget of retries is spent for now.
  kNoPermit,        // It has no valid permit for any worker.
};
std::string_view WaitReasonName(WaitReason reason);

// Tells the caller to start the task on `vm`. `score` is the score of that
// worker (higher is better); `considered` counts the candidates examined.
struct Start {
  TaskId task;
  VmId vm;
  double score = 0;
  int64_t considered = 0;
};
// Tells the caller to remove a running task from its worker: by a checkpoint
// when `checkpoint` is set, else by a plain stop. The task keeps its room until
// Release(task, kStopped, true, now), which queues it again.
struct Preempt {
  TaskId task;
  VmId vm;
  bool checkpoint = true;
  std::string reason;  // "allowance_lowered", "room_for_urgent", ...
};
using Decision = std::variant<Start, Preempt>;

// Upper bounds on the work of one call of Decide.
struct DecideBudget {
  int64_t decisions = 256;      // Starts and preemptions returned.
  int64_t candidates = 65'536;  // Workers examined.
};

// Explains why one group of workers (those of a zone) was or was not chosen for
// a job's next task.
struct GroupExplanation {
  ZoneId zone;
  int64_t workers = 0;
  int64_t closed = 0;  // Closed or leaving.
  int64_t quarantined = 0;
  int64_t without_room = 0;
  int64_t with_room = 0;
  // The dimension in which most of the workers without room lack it.
  std::optional<Dimension> tightest;
  std::optional<double> best_score;
  std::string
      verdict;  // "chosen", "lower_score", "zone_out", "not_allowed",...
};

// A worker with room, in its state at the time of a decision.
struct CandidateInput {
  VmId vm;
  ZoneId zone;
  Resources free;          // Before the start.
  int64_t zone_tasks = 0;  // Of the job, in this zone (services only).
  int64_t rack_tasks = 0;  // Of the job, in this rack (services only).
  int64_t order = 0;       // Rank by the time it was added (first fit).
};

// All inputs of the choice of a worker for one task.
struct DecisionInput {
  Policy policy;
  Packing packing;
  Resources size;            // Of the task.
  Resources scale;           // Largest worker's capacity, per dimension.
  Resources team_committed;  // Before the start.
  Resources team_allowance;
  std::vector<CandidateInput> candidates;
  Start outcome;
};

// Tells whether recomputing a decision by direct evaluation of its rule gives
// the same result.
struct ReplayResult {
  bool agrees = false;
  VmId vm;                 // Chosen by the rule; empty when nothing fits.
  double score = 0;        // Of `vm`.
  std::string difference;  // Empty when it agrees; else one sentence.
};
ReplayResult Replay(const DecisionInput& input);

// Explains why a job waits and how its latest start was decided. Replay
// recomputes that decision from `input`.
struct Explanation {
  JobId job;
  Revision revision;  // Of the configuration in effect.
  WaitReason waiting = WaitReason::kNone;
  std::string sentence;  // For people to read.
  std::vector<GroupExplanation> groups;
  std::string policy;           // "service", "batch" or "gang".
  std::optional<Start> latest;  // The job's most recent start.
  // Of `latest`; kept for the cell's most recent starts only.
  std::optional<DecisionInput> input;
};

// The measured resource use of a task.
struct UsageSample {
  TaskId task;
  Resources used;
};
// Tells the caller to limit the task's processors to this many thousandths of
// what it used.
struct Throttle {
  TaskId task;
  VmId vm;
  int64_t permille = 1'000;
};
using OveruseAction = std::variant<Throttle, Preempt>;

// Start deadlines of a job's tasks. Tasks that start by `on_time` produce a
// result that is on time; tasks that start by `late` produce one that is late
// but still useful. After `on_time` the job queues behind the jobs of its
// priority that can still be on time; after `late`, behind all other jobs.
struct StartBy {
  MonotonicTime on_time;
  MonotonicTime late;
};

// A job's position among the waiting jobs. Lower ranks come first.
struct WaitingRank {
  int priority = 0;
  int64_t order = 0;
  auto operator<=>(const WaitingRank&) const = default;
};

// A position among the waiting jobs that need permits. The default value is the
// first position.
struct PermitWaiter {
  WaitingRank rank{std::numeric_limits<int>::min(), 0};
  int32_t slot = 0;
  auto operator<=>(const PermitWaiter&) const = default;
};

// A job with waiting tasks, and the resources of its team in this cell. `task`
// is the one that has waited for longest. It waits since `since`: the time at
// which its job was accepted, or the end of its latest attempt.
struct LongWait {
  TaskId task;
  TeamId team;
  MonotonicTime since;
  WaitReason reason = WaitReason::kNone;
  int64_t waiting = 0;  // Tasks of the job that could start now.
  int64_t delayed = 0;  // Tasks that wait for a backoff or a retry token.
  Resources size;       // Of one task.
  Resources committed;  // Of the team.
  Resources allowance;
};

// Counts for metrics and status.
struct CellStatus {
  int64_t workers = 0;
  int64_t open_workers = 0;
  int64_t quarantined_workers = 0;
  int64_t slow_workers = 0;  // See LearnedSpeeds.
  int64_t queued_tasks = 0;
  int64_t committed_tasks = 0;
  Resources capacity;   // Of open workers.
  Resources committed;  // On all workers.
};

// One partition's workers, queues and commitments.
class Cell {
 public:
  explicit Cell(Options options);
  ~Cell();
  Cell(Cell&&) noexcept;
  Cell& operator=(Cell&&) noexcept;

  // --- Fleet.
  // Adds a worker, or replaces the capacity of one that is known.
  void AddWorker(const WorkerSpec& worker, WorkerAdmission admission);
  void SetAdmission(const VmId& vm, WorkerAdmission admission);
  // Removes the worker. Requires that its commitments were released before.
  void RemoveWorker(const VmId& vm);
  void SetZoneInService(const ZoneId& zone, bool in_service);

  // --- Teams.
  void SetTeam(const TeamId& team, const TeamTerms& terms);
  void RemoveTeam(const TeamId& team);

  // Returns the first dimension in which a task (or a whole gang) would not fit
  // even on an empty fleet within the team's zones; empty when it would fit.
  std::optional<std::string> NeverFits(const TeamId& team,
                                       const JobSpec& spec) const;

  // --- Demand.
  // Adds a job whose tasks wait from `accepted` on. Within a team and priority,
  // jobs without a StartBy start first, in the order in which they were added;
  // those with a StartBy follow, the earliest deadline first.
  void AddJob(const JobId& job, const TeamId& team, const JobSpec& spec,
              MonotonicTime accepted,
              std::optional<StartBy> start_by = std::nullopt);
  // Removes a waiting task, or marks a committed one so that it is not queued
  // again when it ends.
  void CancelTask(const TaskId& task);
  // Removes a job. Does nothing while a task of it waits or is committed.
  void RemoveJob(const JobId& job);

  // Sets the workers on which a job with Constraints::needs_permit may start
  // tasks until `until`. Replaces the previous workers and time.
  void SetPermitted(const JobId& job, const std::vector<VmId>& workers,
                    MonotonicTime until);

  // --- Commitments.
  // Commits a placement that was decided elsewhere (recovery): the task holds
  // its size on `vm`. Returns false and changes nothing when it does not fit,
  // unless `without_room` is set: then the task is known to run there and is
  // committed even where there is no room.
  bool Commit(const TaskId& task, const VmId& vm, bool without_room = false);
  // Ends the task's attempt and frees its size. With `requeue`, queues the task
  // again (after a backoff if it failed).
  void Release(const TaskId& task, AttemptOutcome outcome, bool requeue,
               MonotonicTime now);

  // --- Decisions.
  // Returns the next decisions. Each is committed when it is made.
  std::vector<Decision> Decide(MonotonicTime now, const DecideBudget& budget);

  // Processes measured use, which may lag. Commitments do not change. A task
  // that keeps using more than it declared is throttled (processors), or
  // checkpointed and, at higher use, stopped (memory).
  std::vector<OveruseAction> OnUsage(const std::vector<UsageSample>& samples,
                                     MonotonicTime now);

  // Returns the next time at which Decide may have work even if no other method
  // is called before (for example, a backoff or quarantine ends); empty when
  // there is none.
  std::optional<MonotonicTime> NextWake() const;

  // --- Queries.
  Explanation Explain(const JobId& job, Revision revision,
                      MonotonicTime now) const;
  WaitReason WaitReasonOf(const TaskId& task) const;
  // Returns the highest rank for an unknown job.
  WaitingRank RankOf(const JobId& job) const;
  // Calls `visit` for the waiting jobs that need permits, whether they have
  // valid ones or not, in the order of their ranks from `from` on, until it
  // returns false. Returns the position of the first job that was not visited;
  // empty after the last.
  std::optional<PermitWaiter> VisitPermitWaiters(
      const PermitWaiter& from,
      const std::function<bool(const JobId&)>& visit) const;
  CellStatus Status() const;
  // Returns the number of waiting tasks by reason. Takes time proportional to
  // the number of jobs.
  std::map<WaitReason, int64_t> WaitingByReason() const;
  // Returns the at most `limit` jobs that have waited for longest, longest
  // first. Takes time proportional to the number of jobs and waiting tasks.
  std::vector<LongWait> LongestWaits(size_t limit) const;
  Resources CommittedOf(const TeamId& team) const;
  // Returns the sum of the sizes of the team's waiting tasks.
  Resources QueuedOf(const TeamId& team) const;
  // Returns the size of the team's next start: one task, or a whole gang, of
  // the waiting job of lowest rank whose size fits in `room`. Jobs that lack
  // permits are included. Returns zero when there is no such job.
  Resources NextStartSizeOf(const TeamId& team, const Resources& room) const;
  // Returns what the team may still commit here. Negative after its allowance
  // was lowered below what it has committed.
  Resources AllowanceLeftOf(const TeamId& team) const;
  // Returns the allowance that the urgent job gets from tasks of its team by
  // preemption. Zero for other jobs and for those that can't be on time. Takes
  // time proportional to the team's running tasks.
  Resources PreemptibleAllowanceOf(const JobId& job) const;
  // Returns the allowance that is held for the job; see
  // internal/allowance_holds.h.
  Resources AllowanceHeldFor(const JobId& job) const;
  Resources CommittedOn(const VmId& vm) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace azurepass::placement

#endif  // AZUREPASS_PLACEMENT_PLACEMENT_H_
