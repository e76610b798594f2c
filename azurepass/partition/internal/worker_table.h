// The workers of the partition: the state of this owner's session with each of
// them, and the attempts that may be running there.
//
// An attempt is kept, and its size stays committed, until it certainly does not
// run: the worker reported its end, or the worker's session is SessionLapsed or
// SessionGone. While a session is SessionOpening or SessionUnreachable,
// whatever the worker ran may still be running.
//
// A worker keeps the highest epoch that it has seen only in memory, so a VM
// that was restarted accepts any epoch. A former owner might then open a
// session there and start what its successor has started elsewhere. Therefore a
// worker gets starts only once an append that began after its session opened
// has succeeded (`proven`): this process was then still the owner after the
// worker learned this owner's epoch, and the session of any successor comes
// later and fences this owner there. The same is required when a VM appears in
// the VM list, because a successor may have considered it gone, based on a list
// that it requested after its own first append, and may therefore not have
// fenced it.

#ifndef AZUREPASS_PARTITION_INTERNAL_WORKER_TABLE_H_
#define AZUREPASS_PARTITION_INTERNAL_WORKER_TABLE_H_

#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "azurepass/core/core.h"
#include "azurepass/partition/internal/group_commit.h"
#include "azurepass/partition/partition.h"

namespace azurepass::partition::internal {

// The session was requested at this owner's epoch. Everything that a former
// owner started on the worker has stopped by `lapses`.
struct SessionOpening {
  MonotonicTime lapses;
};
// The worker accepted this owner's epoch.
struct SessionOpen {};
// Everything that this owner started on the worker has stopped by `lapses`.
struct SessionUnreachable {
  MonotonicTime lapses;
  MonotonicTime last_answer;  // Of the worker.
};
// Nothing that this or a former owner started runs on the worker: its lease has
// lapsed, or it was replaced. The session was requested again.
struct SessionLapsed {};
// The VM is not in the VM list, and nothing runs on it.
struct SessionGone {};
using Session = std::variant<SessionOpening, SessionOpen, SessionUnreachable,
                             SessionLapsed, SessionGone>;

enum class AttemptStage {
  kHeld,       // The order waits for the append of the start.
  kOrdered,    // The order was emitted.
  kConfirmed,  // The worker reported or listed the attempt.
};

// An attempt that may be running.
struct LiveAttempt {
  LiveAttempt(AttemptId attempt, VmId on, AttemptStage now_at)
      : id(std::move(attempt)), vm(std::move(on)), stage(now_at) {}

  AttemptId id;
  VmId vm;
  AttemptStage stage;
  std::optional<StopKind> stopping;  // Set once a stop is ordered.
  // False if the owner's accounting has no room for the attempt on the worker;
  // the attempt is then stopped.
  bool fits = true;
  // Time at which the attempt counts as lost unless the worker reports or lists
  // it before. An order that is not confirmed may still be under way; in this
  // case the session is first opened anew (`reopened`), and its list names what
  // the worker may still carry out.
  std::optional<MonotonicTime> lost_at;
  bool reopened = false;
  // The worker's list lacks the attempt, whose end may be among the events that
  // the worker still has to report. Invariant: then there is no `lost_at`.
  bool awaits_events = false;
};

struct Worker {
  WorkerSpec spec;
  Session session = SessionGone{};
  bool configured = true;  // False: known only from the journal.
  // The state in the VM list; empty if the VM is not listed.
  std::optional<VmState> listed;
  // Number of the batch after whose append the session is proven, so that the
  // worker gets starts.
  int64_t proof_batch = 0;
  bool proven = false;
  std::set<TaskId> tasks;  // Tasks with a LiveAttempt here.
  // Attempts that must not run here and were ordered to stop. The worker gets
  // no starts while there are any, because their sizes are not included in any
  // sum.
  std::set<AttemptId> draining;
  // The worker keeps ends that it has not reported yet.
  bool more_events = false;
  // The worker has reported ends or listed its attempts, and the owner, which
  // hands over, took no note of that. Invariant: then no attempt here counts as
  // lost any more, because its end may be among those that were reported.
  bool unheard = false;
  // What the worker listed and reported, until recovery is complete.
  std::vector<AttemptId> running;
  std::vector<WorkerEvent> buffered_events;
};

class WorkerTable {
 public:
  explicit WorkerTable(const std::vector<WorkerSpec>& workers);

  Worker* Find(const VmId& vm);
  const Worker* Find(const VmId& vm) const;
  // Adds a worker that is known only from the journal.
  Worker& AddUnconfigured(const VmId& vm);
  // Adds a worker or replaces its description.
  Worker& AddOrUpdate(const WorkerSpec& spec);
  // Removes a worker that has no attempts.
  void Remove(const VmId& vm);
  std::map<VmId, Worker>& workers() { return workers_; }
  const std::map<VmId, Worker>& workers() const { return workers_; }

  void SetSession(Worker& worker, Session session);

  void AddAttempt(LiveAttempt attempt);
  // Returns null if the task has no attempt.
  LiveAttempt* FindAttempt(const TaskId& task);
  const LiveAttempt* FindAttempt(const TaskId& task) const;
  void RemoveAttempt(const TaskId& task);
  // Also clears `awaits_events`.
  void SetLostAt(LiveAttempt& attempt, std::optional<MonotonicTime> at);

  // Returns the tasks whose attempt counts as lost by `now`.
  std::vector<TaskId> LostTasks(MonotonicTime now) const;
  // Returns the workers whose session lapses by `now`.
  std::vector<VmId> LapsedWorkers(MonotonicTime now) const;
  std::optional<MonotonicTime> NextWake() const;

  // Returns true if no session is Opening or Unreachable, so that it is known
  // for each worker what runs there.
  bool AllSessionsSettled() const { return lapses_.empty(); }

  static placement::WorkerAdmission AdmissionOf(const Worker& worker);
  // Returns the first reason for which the worker gets no starts; empty if it
  // gets starts.
  static std::string_view WhyClosed(const Worker& worker);

 private:
  std::map<VmId, Worker> workers_;
  std::map<TaskId, LiveAttempt> attempts_;
  std::set<std::pair<MonotonicTime, TaskId>> lost_;  // By lost_at.
  std::set<std::pair<MonotonicTime, VmId>> lapses_;  // Opening and Unreachable.
};

}  // namespace azurepass::partition::internal

#endif  // AZUREPASS_PARTITION_INTERNAL_WORKER_TABLE_H_
