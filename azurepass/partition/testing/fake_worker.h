// An in-memory worker in virtual time. It guarantees what the endpoint protocol
// guarantees, and nothing more:
//   * It refuses an epoch lower than the highest one since its last boot.
//   * Opening a session issues a token. Orders with another token are refused,
//     so orders of an earlier session have no effect.
//   * When its lease lapses, it stops all its tasks and invalidates the token.
//   * Events are kept until acknowledged. Orders are idempotent by attempt.
//   * A reboot loses all state, including the highest epoch.

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
  MonotonicTime ends_at;
  bool fails = false;
};

// --- Replies
struct Opened {
  int64_t token = 0;
  std::vector<AttemptId> running;
};
struct Refused {
  Epoch highest_epoch;
};
struct TokenInvalid {};  // The session is over; open a new one.
struct Exchanged {
  std::vector<WorkerEvent> events;
};
using OpenReply = std::variant<Opened, Refused>;
using ExchangeReply = std::variant<Exchanged, TokenInvalid, Refused>;

class FakeWorker {
 public:
  // `on_start` is called for each start, before the task runs.
  FakeWorker(WorkerSpec spec, std::function<void(const StartTask&)> on_start)
      : spec_(std::move(spec)), on_start_(std::move(on_start)) {}

  // Advances the worker to `now`: ends tasks that are done by then, and stops
  // all tasks if the lease has lapsed.
  void Advance(MonotonicTime now);

  // Opens a session. What runs keeps its lease; if nothing does, one of length
  // `lease` begins.
  OpenReply Open(Epoch epoch, Duration lease, MonotonicTime now);
  ExchangeReply Exchange(Epoch epoch, int64_t token, MonotonicTime lease_until,
                         const std::vector<Order>& orders, int64_t acknowledged,
                         MonotonicTime now);

  void Reboot();
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
  Epoch highest_epoch_;
  int64_t token_ = 0;  // 0: no session.
  int64_t last_token_ = 0;
  MonotonicTime lease_until_{};
  std::map<AttemptId, RunningTask> running_;
  std::set<AttemptId> seen_attempts_;
  std::deque<WorkerEvent> events_;
  int64_t last_event_ = 0;
  bool fails_all_ = false;
};

}  // namespace azurepass::partition::testing

#endif  // AZUREPASS_PARTITION_TESTING_FAKE_WORKER_H_
