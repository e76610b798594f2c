// A worker in memory, with virtual time. It keeps the endpoint protocol's
// promises and nothing more:
//   * it refuses an epoch lower than the highest since it booted;
//   * opening a session gives out a token; orders with another token are
//     refused, so what was sent in a session before has no effect;
//   * when its lease lapses it stops all it runs and voids the token;
//   * events are kept until acknowledged, orders are idempotent by attempt;
//   * a boot forgets everything, the highest epoch as well.

#ifndef AZUREPASS_PARTITION_TESTING_FAKE_WORKER_H_
#define AZUREPASS_PARTITION_TESTING_FAKE_WORKER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "azurepass/core/core.h"

namespace azurepass::partition::testing {

struct RunningTask {
  StartTask order;
  MonotonicTime ends;
  bool fails = false;
};

// --- Answers
struct Opened {
  int64_t token = 0;
  std::vector<AttemptId> running;
};
struct Refused {
  Epoch highest;
};
struct TokenVoid {};  // The session is over; open a new one.
struct Exchanged {
  std::vector<WorkerEvent> events;
};
using OpenReply = std::variant<Opened, Refused>;
using ExchangeReply = std::variant<Exchanged, TokenVoid, Refused>;

class FakeWorker {
 public:
  // `on_start` is told of each start, before it runs.
  FakeWorker(WorkerSpec spec, std::function<void(const StartTask&)> on_start)
      : spec_(std::move(spec)), on_start_(std::move(on_start)) {}

  // Brings the worker up to the time: ends tasks, applies the lease.
  void Advance(MonotonicTime now);

  // What runs may go on until `keep_until`; if that has passed, it is stopped,
  // and a lease of length `lease` begins.
  OpenReply Open(Epoch epoch, MonotonicTime keep_until, Duration lease,
                 MonotonicTime now);
  ExchangeReply Exchange(Epoch epoch, int64_t token, MonotonicTime lease_until,
                         const std::vector<Order>& orders, int64_t acknowledged,
                         MonotonicTime now);

  void Boot();
  void set_fails_all(bool fails) { fails_all_ = fails; }
  const WorkerSpec& spec() const { return spec_; }
  const std::map<AttemptId, RunningTask>& running() const { return running_; }

 private:
  void Start(const StartTask& order, MonotonicTime now);
  void Stop(const StopTask& order);
  void StopAll();
  void Report(const AttemptId& attempt, WorkerEventKind kind);

  WorkerSpec spec_;
  std::function<void(const StartTask&)> on_start_;
  Epoch highest_;
  int64_t token_ = 0;  // 0: no session.
  int64_t last_token_ = 0;
  MonotonicTime lease_until_{};
  std::map<AttemptId, RunningTask> running_;
  std::set<AttemptId> seen_;
  std::deque<WorkerEvent> events_;
  int64_t last_event_ = 0;
  bool fails_all_ = false;
};

}  // namespace azurepass::partition::testing

#endif  // AZUREPASS_PARTITION_TESTING_FAKE_WORKER_H_
