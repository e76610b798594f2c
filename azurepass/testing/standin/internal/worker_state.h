// What a stand-in worker keeps and decides: epochs, the lease, attempts,
// events. Nothing here does I/O; the time is passed in.
//
// Lease. A token is "LIFE.MILLISECONDS": the life of this worker process and
// its clock when the token was given. An exchange extends the lease to its
// token's time plus the lease's length, never shortens it, and has its orders
// taken only if that moment is still to come. When the lease lapses all that
// runs is stopped.
//
// Tasks here only take time: each runs for StartTask::run_time, stretched while
// it is throttled, or until it is stopped. An end is dated to the moment it was
// due, also when this process was paused then.

#ifndef AZUREPASS_TESTING_STANDIN_INTERNAL_WORKER_STATE_H_
#define AZUREPASS_TESTING_STANDIN_INTERNAL_WORKER_STATE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "azurepass/codec/codec.h"
#include "azurepass/core/core.h"
#include "azurepass/endpoint/internal/wire.h"

namespace azurepass::testing::internal {

using endpoint::internal::ExchangeAnswer;
using endpoint::internal::ExchangeRequest;

class WorkerState {
 public:
  // `life` differs between any two runs of a worker.
  WorkerState(WorkerSpec spec, int64_t life, MonotonicTime now);

  // Has the worker fail all tasks that it starts.
  void set_fail_tasks(bool fail) { fail_tasks_ = fail; }

  // Brings tasks and lease up to the present. Call it before anything else.
  void Advance(MonotonicTime now);
  // When Advance has something to do.
  std::optional<MonotonicTime> next_change() const;

  // The owner of the exchange was deposed by this epoch.
  struct Fenced {
    Epoch epoch;
  };
  struct Admitted {
    bool taken = false;
    bool restarted = false;
  };
  // Takes in an exchange's epoch, renewal, acknowledgement and orders.
  std::variant<Admitted, Fenced> Admit(const ExchangeRequest& request,
                                       MonotonicTime now);
  // Whether there is something to answer a held exchange with.
  bool HasNews(const ExchangeRequest& request) const;
  ExchangeAnswer Answer(const ExchangeRequest& request,
                        const Admitted& admitted, MonotonicTime now);

  // The VM is gone, and all it ran.
  void Vanish(MonotonicTime now);

  Epoch epoch() const { return epoch_; }
  const WorkerSpec& spec() const { return spec_; }
  // Every attempt ever started, with its times in milliseconds of the monotonic
  // clock, every start refused, and every order that broke a promise.
  codec::Json History() const;

 private:
  struct Running {
    StartTask order;
    std::optional<MonotonicTime> end;
    int64_t permille = 1'000;
    size_t history = 0;  // Index into history_.
    bool usage_told = false;
  };
  struct HistoryEntry {
    AttemptId attempt;
    TeamId team;
    Epoch epoch;
    MonotonicTime start;
    std::optional<MonotonicTime> end;
    std::string outcome;
  };
  struct RefusedStart {
    AttemptId attempt;
    std::string reason;
  };

  bool Renew(const ExchangeRequest& request, MonotonicTime now,
             bool* restarted);
  void Carry(const Order& order, MonotonicTime now);
  void Start(const StartTask& order, MonotonicTime now);
  std::optional<std::string> ReasonToRefuse(const StartTask& order);
  void Stop(const StopTask& order, MonotonicTime now);
  void Throttle(const ThrottleTask& order, MonotonicTime now);
  void End(const AttemptId& attempt, WorkerEventKind kind, std::string detail,
           MonotonicTime at);
  void Emit(const AttemptId& attempt, WorkerEventKind kind, std::string detail);
  void Prune();

  WorkerSpec spec_;
  int64_t life_;
  MonotonicTime born_;
  bool fail_tasks_ = false;

  Epoch epoch_;                // The highest seen.
  int64_t acknowledged_ = 0;   // Up to which event, by the owner of epoch_.
  MonotonicTime lease_until_;  // All that runs has this lease.

  std::map<AttemptId, Running> running_;
  Resources used_;  // Sum of the sizes in running_; fits in spec_.capacity.
  // Attempts that ended or were refused; they are never started again.
  std::map<AttemptId, WorkerEventKind> ended_;

  int64_t events_emitted_ = 0;
  // By number, without gaps, up to events_emitted_. Holds all that are not
  // acknowledged and some that are, for the next owner.
  std::deque<WorkerEvent> events_;

  std::vector<HistoryEntry> history_;
  std::vector<RefusedStart> refused_;
  std::vector<std::string> violations_;
};

}  // namespace azurepass::testing::internal

#endif  // AZUREPASS_TESTING_STANDIN_INTERNAL_WORKER_STATE_H_
