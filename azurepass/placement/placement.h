// Placement decides which queued task starts on which worker, and which
// running task has to make room. It is the heart of azurepass and nothing but
// a decision: no I/O, no clock, no encoding. Time and random bits come in as
// arguments, so that a recorded decision can be computed again.
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
//   * The sum of a team's committed sizes never exceeds its allowance by a
//     start; a lowered allowance is answered by Preempt decisions.
//   * No task is started in a zone that is out, that the contract does not
//     allow, or on a worker that is closed or leaving.
//   * A gang's tasks are started by one call of Decide, all or none.
//   * Decide looks at no more than its budget of candidates.

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

// Which worker with room a batch task or a gang takes.
// The one left with the least free room, summed over the dimensions, each
// divided by the largest worker's capacity: linear best fit.
struct BestFit {
  bool operator==(const BestFit&) const = default;
};
// The first in the order in which workers were added.
struct FirstFit {
  bool operator==(const FirstFit&) const = default;
};
using Packing = std::variant<BestFit, FirstFit>;

// Which team's turn it is.
// The one with the lowest dominant share for its weight: weighted
// dominant-resource fairness (Ghodsi et al., NSDI 2011).
struct FairOrder {
  bool operator==(const FairOrder&) const = default;
};
// The one whose first waiting job was accepted first.
struct SubmissionOrder {
  bool operator==(const SubmissionOrder&) const = default;
};
using TeamOrder = std::variant<FairOrder, SubmissionOrder>;

// When a worker that fails what it starts is given no more work.
// Its failures of late are compared to what the same jobs failed elsewhere.
struct WindowedQuarantine {
  Duration half_life{60'000};     // After it an outcome counts half.
  double least_failures = 3;      // Fewer prove nothing.
  double least_excess = 0.5;      // Failure rate above that of its peers.
  Duration first_period{15'000};  // Doubles each time probes fail.
  Duration longest_period{300'000};
  int32_t probe_successes = 2;  // Probes that bring it back into service.
  bool operator==(const WindowedQuarantine&) const = default;
};
// The first failure takes it out for good. For comparison only.
struct HairTriggerQuarantine {
  bool operator==(const HairTriggerQuarantine&) const = default;
};
struct NoQuarantine {
  bool operator==(const NoQuarantine&) const = default;
};
using Quarantine =
    std::variant<WindowedQuarantine, HairTriggerQuarantine, NoQuarantine>;

// What bounds and tunes the decisions.
struct Options {
  uint64_t seed = 1;  // Of the spread of retry times.
  Packing packing = BestFit{};
  TeamOrder order = FairOrder{};
  Quarantine quarantine = WindowedQuarantine{};
  // A zone that came back may be filled in this time, not faster; 0: at once.
  Duration zone_ramp{10'000};
  // A job blocked for so long gets a reservation.
  Duration reservation_after{2'000};
  // After it a checkpoint that did not end is followed by a plain stop.
  Duration checkpoint_grace{10'000};
  // A failed task waits so long before its next attempt, doubled each time.
  Duration first_backoff{1'000};
  Duration longest_backoff{60'000};
  // The same bound for a task that lasts. It has to be back 6 s after its last
  // end (the users' rule); half of that is left for permits and the start.
  Duration longest_lasting_backoff{3'000};
  // A task that lasts and ran for so long ran soundly: its earlier failures
  // count no more. Ten times the longest wait, so that it is mostly at work.
  Duration sound_run{30'000};
  // Bounds the retries to a part of the first starts; see retry_budget.h.
  bool bound_retries = true;
  // Tasks above a lowered allowance are stopped, or else run to their end.
  bool preempt_over_allowance = true;
};

// What a contract means to this cell.
struct TeamTerms {
  int64_t share = 1;          // Weight when the cell is full; at least 1.
  std::vector<ZoneId> zones;  // Allowed availability zones.
  Resources allowance;        // Most that may be committed here at once.
  bool operator==(const TeamTerms&) const = default;
};

// Whether a worker may be given new tasks.
enum class WorkerAdmission {
  kOpen,     // Yes.
  kClosed,   // Not now: unreachable, session not open, zone out.
  kLeaving,  // Never again: the VM is about to go.
};

// How an attempt ended, as far as placement cares.
enum class AttemptOutcome {
  kSucceeded,
  kFailed,   // The task's own failure, or the worker's: both count.
  kStopped,  // We asked for it (cancel, preemption): tells nothing.
  kLost,     // The worker went away.
};

// Why a task waits, for explain and for the caller.
enum class WaitReason {
  kNone,            // It does not wait.
  kNoRoom,          // No open worker has room now.
  kAllowance,       // The team is at its upper limit (or allowance) here.
  kZonesOut,        // All workers it may use are out of service.
  kGangIncomplete,  // Some of its tasks would fit, not all.
  kBehindOthers,    // Other teams or jobs come first.
  kRetryBackoff,    // Failed recently; waits before the next attempt.
  kRetryBudget,     // The cell's budget of retries is spent for now.
  kNoPermit,        // No worker for which it has a valid permit.
};
std::string_view WaitReasonName(WaitReason reason);

// Start this attempt's task there. `score` is the winning one (higher is
// better); `considered` counts the candidates looked at.
struct Start {
  TaskId task;
  VmId vm;
  double score = 0;
  int64_t considered = 0;
};
// Take a running task off its worker: by checkpoint when `checkpoint` is set,
// else by a plain stop. It keeps its room until Release(task, kStopped, true,
// now), which queues it again.
struct Preempt {
  TaskId task;
  VmId vm;
  bool checkpoint = true;
  std::string reason;  // "allowance_lowered", "room_for_urgent", ...
};
using Decision = std::variant<Start, Preempt>;

// Upper bounds on the work of one call of Decide.
struct DecideBudget {
  int64_t starts = 256;         // Decisions returned.
  int64_t candidates = 65'536;  // Workers looked at.
};

// Why one group of workers (a zone's) did or did not take a job's next task.
struct GroupExplanation {
  ZoneId zone;
  int64_t workers = 0;
  int64_t closed = 0;  // Closed or leaving.
  int64_t quarantined = 0;
  int64_t without_room = 0;
  int64_t with_room = 0;
  std::optional<Dimension> tightest;  // Where most of those without room fail.
  std::optional<double> best_score;
  std::string
      verdict;  // "chosen", "lower_score", "zone_out", "not_allowed",...
};

// A worker with room, as a decision saw it.
struct CandidateInput {
  VmId vm;
  ZoneId zone;
  Resources free;          // Before the start.
  int64_t zone_tasks = 0;  // Of the job, in this zone (services only).
  int64_t rack_tasks = 0;  // Of the job, in this rack (services only).
  int64_t order = 0;       // In which workers were added (first fit).
};

// All that the choice of a worker for one task depended on.
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

// Whether a decision, computed again by the plain rule, comes out the same.
struct ReplayResult {
  bool agrees = false;
  VmId vm;                 // What the rule chooses; empty when nothing fits.
  double score = 0;        // Of `vm`.
  std::string difference;  // Empty when it agrees; else one sentence.
};
ReplayResult Replay(const DecisionInput& input);

// A decision with the input it was taken on. Replay recomputes it.
struct Explanation {
  JobId job;
  Revision revision;  // Of the configuration in force.
  WaitReason waiting = WaitReason::kNone;
  std::string sentence;  // For a person.
  std::vector<GroupExplanation> groups;
  std::string policy;           // "service", "batch" or "gang".
  std::optional<Start> latest;  // The job's most recent start.
  // Of `latest`; kept for the cell's most recent starts only.
  std::optional<DecisionInput> input;
};

// What a task was measured to use, and what is to be done about it.
struct UsageSample {
  TaskId task;
  Resources used;
};
// Limit the task's processors to this many thousandths of what it used.
struct Throttle {
  TaskId task;
  VmId vm;
  int64_t permille = 1'000;
};
using OveruseAction = std::variant<Throttle, Preempt>;

// Until when a job's tasks should start for its result to be on time, and until
// when it is late but of use. A job past the first waits behind those of its
// priority that can still be on time; past the second, behind all others.
struct StartBy {
  MonotonicTime on_time;
  MonotonicTime late;
};

// A job's place among those that wait: a lower one comes first.
struct WaitingRank {
  int priority = 0;
  int64_t order = 0;
  auto operator<=>(const WaitingRank&) const = default;
};

// A place among the waiting jobs that need permits; the default is the first.
struct PermitWaiter {
  WaitingRank rank{std::numeric_limits<int>::min(), 0};
  int32_t slot = 0;
  auto operator<=>(const PermitWaiter&) const = default;
};

// A job with tasks that wait, and what its team has here. `since` is when the
// task that has waited for longest began to: its job's turn, or the end of its
// latest attempt.
struct LongWait {
  TaskId task;
  TeamId team;
  MonotonicTime since;
  WaitReason reason = WaitReason::kNone;
  int64_t waiting = 0;  // Tasks of the job that could start now.
  int64_t delayed = 0;  // Those that wait for a backoff or a retry token.
  Resources size;       // Of one task.
  Resources committed;  // Of the team.
  Resources allowance;
};

// Counts for metrics and status.
struct CellStatus {
  int64_t workers = 0;
  int64_t open_workers = 0;
  int64_t quarantined_workers = 0;
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

  // --- The fleet. Adding a known VM again replaces its capacity.
  void AddWorker(const WorkerSpec& worker, WorkerAdmission admission);
  void SetAdmission(const VmId& vm, WorkerAdmission admission);
  // Forgets the worker; its commitments must have been released before.
  void RemoveWorker(const VmId& vm);
  void SetZoneInService(const ZoneId& zone, bool in_service);

  // --- Teams.
  void SetTeam(const TeamId& team, const TeamTerms& terms);
  void RemoveTeam(const TeamId& team);

  // The first dimension in which a task (or a whole gang) could not run even
  // on an empty fleet within the team's zones; empty when it could.
  std::optional<std::string> NeverFits(const TeamId& team,
                                       const JobSpec& spec) const;

  // --- Demand. A job's tasks wait from `accepted` on.
  // Within a team and priority jobs start in the order in which they were
  // added, those with a StartBy after the others and the most pressing first.
  void AddJob(const JobId& job, const TeamId& team, const JobSpec& spec,
              MonotonicTime accepted,
              std::optional<StartBy> start_by = std::nullopt);
  // Drops a task that waits, or marks a committed one as not to be queued
  // again when it ends.
  void CancelTask(const TaskId& task);
  // Forgets a job none of whose tasks waits or is committed.
  void RemoveJob(const JobId& job);

  // A job whose constraints say needs_permit starts on these workers alone, and
  // before `until`. Replaces what was set before.
  void SetPermitted(const JobId& job, const std::vector<VmId>& workers,
                    MonotonicTime until);

  // --- Commitments.
  // Takes the decision elsewhere (recovery): the task holds its size on `vm`.
  // Returns false, and changes nothing, when it would not fit; with
  // `without_room` it counts all the same, for it runs there.
  bool Commit(const TaskId& task, const VmId& vm, bool without_room = false);
  // The attempt ended: its size is free again. With `requeue` the task waits
  // again (after a backoff when it failed).
  void Release(const TaskId& task, AttemptOutcome outcome, bool requeue,
               MonotonicTime now);

  // --- Decisions, committed as they are taken.
  std::vector<Decision> Decide(MonotonicTime now, const DecideBudget& budget);

  // Takes in measured use, which may lag. Commitments do not change; a task
  // that keeps using more than it declared is throttled (processors), or
  // checkpointed and at last stopped (memory).
  std::vector<OveruseAction> OnUsage(const std::vector<UsageSample>& samples,
                                     MonotonicTime now);

  // The next moment at which Decide could have something to do without any
  // further call (a backoff or quarantine ends); empty when there is none.
  std::optional<MonotonicTime> NextWake() const;

  // --- Answers.
  Explanation Explain(const JobId& job, Revision revision,
                      MonotonicTime now) const;
  WaitReason WaitReasonOf(const TaskId& task) const;
  // Of a job that is not known: after all others.
  WaitingRank RankOf(const JobId& job) const;
  // Names the waiting jobs that need permits, valid ones or not, in the order
  // of their ranks from `from` on, until `visit` says that it has seen enough
  // (false). Returns the first one not named; empty after the last.
  std::optional<PermitWaiter> VisitPermitWaiters(
      const PermitWaiter& from,
      const std::function<bool(const JobId&)>& visit) const;
  CellStatus Status() const;
  // Waiting tasks by reason; looks at all jobs that are waiting.
  std::map<WaitReason, int64_t> WaitingByReason() const;
  // The jobs that have waited for longest, at most `most`, longest first; looks
  // at all jobs that are waiting.
  std::vector<LongWait> LongestWaits(size_t most) const;
  Resources CommittedOf(const TeamId& team) const;
  Resources QueuedOf(const TeamId& team) const;  // Tasks that wait.
  // What the team's next start takes of its allowance, if that fits in `room`:
  // a task, or a whole gang, of the first in rank among its waiting jobs, those
  // that lack permits among them. Zero when there is none.
  Resources NextUnitOf(const TeamId& team, const Resources& room) const;
  // What the team may still commit here; below 0 after a lowered allowance.
  Resources AllowanceLeftOf(const TeamId& team) const;
  Resources CommittedOn(const VmId& vm) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace azurepass::placement

#endif  // AZUREPASS_PLACEMENT_PLACEMENT_H_
