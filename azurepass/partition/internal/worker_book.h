// The partition's workers: in which state our session with each one is, and
// which attempts may be running there.
//
// An attempt stays in the book, and its size committed, until it is certain
// that it does not run: the worker reported its end, or the worker's session
// is Lapsed or Gone. While a worker is Opening or Unreachable, whatever it ran
// may still run.

// A worker keeps the highest epoch in memory alone, so a VM that was restarted
// accepts any. A former owner might then open a session there and start what
// its successor has started elsewhere. Therefore a worker gets starts only once
// an append that was begun after its session opened has succeeded (`proven`):
// we were the owner after the worker learned our epoch, and any successor's
// session comes later and fences us there. The same is asked for when a VM
// appears in the VM list: a successor may have taken it to be gone, by a list
// that it asked for after its own first append, and may not have fenced it.

#ifndef AZUREPASS_PARTITION_INTERNAL_WORKER_BOOK_H_
#define AZUREPASS_PARTITION_INTERNAL_WORKER_BOOK_H_

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

// Asked to open at our epoch. By `lapses` all that a former owner started there
// has stopped.
struct SessionOpening {
  MonotonicTime lapses;
};
struct SessionOpen {};
// By `lapses` all that we started there has stopped.
struct SessionUnreachable {
  MonotonicTime lapses;
};
// Nothing of ours or a former owner's runs there; asked to open again.
struct SessionLapsed {};
// The VM list does not have it: nothing runs there.
struct SessionGone {};
using Session = std::variant<SessionOpening, SessionOpen, SessionUnreachable,
                             SessionLapsed, SessionGone>;

enum class AttemptStage {
  kHeld,       // Its order waits for the append of the start.
  kOrdered,    // Its order is out.
  kConfirmed,  // The worker reported or listed it.
};

// An attempt that may be running.
struct LiveAttempt {
  LiveAttempt(AttemptId attempt, VmId on, AttemptStage now_at)
      : id(std::move(attempt)), vm(std::move(on)), stage(now_at) {}

  AttemptId id;
  VmId vm;
  AttemptStage stage;
  std::optional<StopKind> stopping;  // A stop was ordered.
  // False: the worker has no room for it by our account, and it is stopped.
  bool fits = true;
  // At that time it is lost, unless something is heard of it. An order that is
  // not confirmed may still be under way, so that its session is first opened
  // anew (`reopened`): its list names what the worker may still carry out.
  std::optional<MonotonicTime> lost_at;
  bool reopened = false;
};

struct Worker {
  WorkerSpec spec;
  Session session = SessionGone{};
  bool configured = true;  // False: known from the journal alone.
  std::optional<VmState> listed;
  // The worker gets starts once the batch of this number is appended.
  int64_t proof = 0;
  bool proven = false;
  std::set<TaskId> tasks;  // Those with a LiveAttempt here.
  // Attempts that should not run here and were ordered to stop. While there are
  // any, the worker gets no starts: their sizes are in nobody's sum.
  std::set<AttemptId> draining;
  // Until recovery is over: what it listed and reported.
  std::vector<AttemptId> running;
  std::vector<WorkerEvent> unread;
};

class WorkerBook {
 public:
  explicit WorkerBook(const std::vector<WorkerSpec>& workers);

  Worker* Find(const VmId& vm);
  const Worker* Find(const VmId& vm) const;
  // Adds a worker that only the journal knows.
  Worker& AddUnconfigured(const VmId& vm);
  // Adds a worker, or replaces what is known of one.
  Worker& Describe(const WorkerSpec& spec);
  // Forgets a worker without attempts.
  void Remove(const VmId& vm);
  std::map<VmId, Worker>& workers() { return workers_; }
  const std::map<VmId, Worker>& workers() const { return workers_; }

  void SetSession(Worker& worker, Session session);

  void AddAttempt(LiveAttempt attempt);
  // Empty when the task has none.
  LiveAttempt* FindAttempt(const TaskId& task);
  const LiveAttempt* FindAttempt(const TaskId& task) const;
  void RemoveAttempt(const TaskId& task);
  void SetLostAt(LiveAttempt& attempt, std::optional<MonotonicTime> at);

  // Tasks whose attempt is lost by now.
  std::vector<TaskId> Lost(MonotonicTime now) const;
  // Workers whose session lapses by now.
  std::vector<VmId> Lapsing(MonotonicTime now) const;
  std::optional<MonotonicTime> NextWake() const;

  // True when it is known of each worker what runs there.
  bool AllSettled() const { return lapses_.empty(); }

  static placement::WorkerAdmission AdmissionOf(const Worker& worker);
  // The first reason for which it gets no starts; empty when it is open.
  static std::string_view WhyClosed(const Worker& worker);

 private:
  std::map<VmId, Worker> workers_;
  std::map<TaskId, LiveAttempt> attempts_;
  std::set<std::pair<MonotonicTime, TaskId>> lost_;  // By lost_at.
  std::set<std::pair<MonotonicTime, VmId>> lapses_;  // Of unsettled sessions.
};

}  // namespace azurepass::partition::internal

#endif  // AZUREPASS_PARTITION_INTERNAL_WORKER_BOOK_H_
