// A simulation of one partition: several processes that may own it, a store and
// workers, all in memory and in virtual time. Messages have random latencies,
// answers get lost, processes pause and crash, workers are disconnected and
// rebooted. All randomness comes from one seed, so a run is repeatable.
//
// For each process the simulation does what the production code around an Owner
// does: it carries out actions, keeps sessions with workers, and delivers
// changes of the configuration and the VM list. See Process and Session.

#ifndef AZUREPASS_PARTITION_TESTING_WORLD_H_
#define AZUREPASS_PARTITION_TESTING_WORLD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "azurepass/core/core.h"
#include "azurepass/partition/partition.h"
#include "azurepass/partition/testing/fake_worker.h"
#include "azurepass/partition/testing/oracle.h"

namespace azurepass::partition::testing {

// What a command of a scenario does. `a` and `b` of the command select the
// process, worker, zone, team or job, and the values.
enum class CommandKind : int {
  kAdvance,
  kSubmit,
  kResubmit,
  kCancel,
  kGet,
  kTakeOver,
  kRelease,
  kPause,
  kResume,
  kKill,
  kStoreDown,
  kStoreUp,
  // The answers to the next writes are lost; most of the writes are done.
  kLoseAnswers,
  // The next writes are done long after the timeout.
  kDelayWrites,
  kDisconnectWorker,
  kReconnectWorker,
  kRebootWorker,
  kWorkerFailsAll,
  kVmGone,
  kVmLeaving,
  kVmBack,
  kZoneOut,
  kZoneBack,
  kAllowance,
  kConfigurationStale,
  kConfigurationFresh,
};
// In `b` of kVmGone: another worker has the address. The random commands do not
// draw it.
inline constexpr int kAddressTakenOver = -1;
inline constexpr int kCommandKinds =
    static_cast<int>(CommandKind::kConfigurationFresh) + 1;
struct Command {
  CommandKind kind = CommandKind::kAdvance;
  int a = 0;
  int b = 0;
};
std::ostream& operator<<(std::ostream& out, const Command& command);

// Returns `count` random commands, drawn by the weights of their kinds.
std::vector<Command> RandomCommands(uint64_t seed, int count);

// Whether a former owner still sends to workers after another process has taken
// its claim. In production it stops (kStopsSending): its member lease has ended
// by then, and with it endpoint::Authorize, so that only messages already in
// transit arrive.
enum class FormerOwner { kStopsSending, kKeepsSending };

class World {
 public:
  // Writes one line per event to `trace`, unless it is null.
  // `record_starts_first` sets Options::record_starts_first, which the users'
  // platform sets too.
  World(Options::Testing testing, uint64_t seed, std::ostream* trace = nullptr,
        bool record_starts_first = false,
        FormerOwner former_owner = FormerOwner::kStopsSending);
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  // Runs the commands, then repairs all faults and lets all jobs finish.
  // Returns the first violation; empty when there was none.
  std::string Run(const std::vector<Command>& commands);

 private:
  // The client's end of a session with a worker (what package endpoint does).
  struct Session {
    int64_t serial = 0;  // Changes with each OpenSession and CloseSession.
    bool wanted = false;
    Epoch epoch;
    int64_t token = 0;  // 0: not open yet.
    // No request extends the worker's lease beyond this time. It advances while
    // the worker answers.
    MonotonicTime lease_limit{};
    std::optional<MonotonicTime> failing_since;
    bool unreachable = false;
    bool replaced = false;  // Told.
    bool renews = true;
    // Orders that the worker has not confirmed, with the time of sending.
    std::vector<std::pair<MonotonicTime, Order>> orders;
    int64_t acknowledged = 0;
    // Delivery time of the latest update; updates are delivered in order.
    MonotonicTime last_delivery{};
  };
  // A process that may own the partition.
  struct Process {
    std::unique_ptr<Owner> owner;
    int64_t incarnation = 0;
    bool paused = false;
    MonotonicTime paused_at{};
    bool fresh = true;
    // Events that arrived while the process was paused.
    std::vector<std::function<void()>> backlog;
    std::map<VmId, Session> sessions;
    std::vector<RequestToken> open_requests;
    std::optional<Epoch> claimed_epoch;
    int64_t silence_version = 0;  // That it has seen.
    // Messages sent after this time reach no worker. Set when another process
    // takes its claim.
    std::optional<MonotonicTime> authorized_until;
  };
  struct Job {
    TeamId team;
    RequestId request;
    JobSpec spec;
  };
  using Callback = std::function<void()>;

  void Execute(const Command& command);
  void RepairAndDrain();
  void ExecuteRequestCommand(const Command& command);
  void ExecuteProcessCommand(const Command& command);
  void ExecuteStoreCommand(const Command& command);
  void ExecuteWorkerCommand(const Command& command);
  void ExecuteOperatorCommand(const Command& command);

  // --- Time
  void ScheduleAt(MonotonicTime when, Callback callback);
  void ScheduleAfter(Duration delay, Callback callback) {
    ScheduleAt(now_ + delay, std::move(callback));
  }
  void AdvanceTo(MonotonicTime until);
  Duration RandomLatency(int64_t max_ms);

  // --- Processes
  void Start(size_t index);
  void TakeOver(size_t index);
  void Kill(size_t index);
  void Resume(size_t index);
  void Deliver(size_t index, Event event);
  void DeliverSoon(size_t index, Event event);
  // Delivers `event()` to every process. It is evaluated on delivery, so that
  // each process gets the state as of then.
  void Broadcast(const std::function<Event()>& event);
  void Perform(size_t index, Action action);
  void Send(size_t index, JobRequest request, Duration time_left);
  std::optional<size_t> ClaimHolder() const;

  // --- The store
  void AppendFor(size_t index, const Batch& batch);
  void CreateEntry(const Batch& batch);
  Event AppendResult(const Batch& batch) const;
  void LoadJournalFor(size_t index, Epoch epoch);
  void ReadSilenceFor(size_t index, Epoch epoch);
  void WriteSilenceFor(size_t index, const SilenceRecord& record);
  // Returns false, and changes nothing, unless `expected` is there.
  bool ReplaceSilence(const SilenceRecord& record, int64_t expected);

  // --- Sessions
  void Poll(size_t index, const VmId& vm, int64_t serial);
  void PollOnce(size_t index, const VmId& vm);
  void OpenOnWorker(size_t index, FakeWorker& worker, Session& session,
                    bool lost);
  void ExchangeWithWorker(size_t index, FakeWorker& worker, Session& session,
                          bool lost);
  std::vector<Order> ValidOrders(Session& session) const;
  static void Reset(Session& session);
  void OnExchangeSucceeded(Session& session);
  void OnExchangeFailed(size_t index, const VmId& vm, Session& session);
  void SendUpdate(size_t index, const VmId& vm, Event event);

  std::shared_ptr<const Configuration> MakeConfiguration() const;
  JobSpec MakeJobSpec(int a, int b);
  static TeamId Team(int n);
  static Resources Slots(int64_t slots);

  void Trace(const std::string& line) const;
  void TraceUnfinished(const TaskId& task);

  Options options_;
  std::ostream* trace_;
  const FormerOwner former_owner_;
  std::mt19937_64 random_;
  MonotonicTime now_{};
  int64_t last_timer_ = 0;
  std::map<std::pair<MonotonicTime, int64_t>, Callback> timers_;
  Oracle oracle_;

  std::vector<WorkerSpec> specs_;
  std::map<VmId, FakeWorker> workers_;
  std::map<VmId, bool> disconnected_;
  std::map<VmId, bool> replaced_;  // Another worker has its address.
  std::map<VmId, VmState> vms_;
  std::vector<Process> processes_;
  Epoch epoch_;

  bool store_up_ = true;
  int lose_answers_ = 0;
  int delay_writes_ = 0;
  bool lose_worker_replies_ = true;  // Some answers of workers are lost.
  std::map<int64_t, Batch> journal_;
  std::optional<Snapshot> snapshot_;
  std::optional<SilenceRecord> silence_;
  int64_t silence_version_ = 0;  // 0: there is none.

  std::map<ZoneId, bool> zone_out_;
  Allowances allowances_;
  int64_t revision_ = 1;
  std::vector<Job> submitted_;
  int64_t last_token_ = 0;
};

}  // namespace azurepass::partition::testing

#endif  // AZUREPASS_PARTITION_TESTING_WORLD_H_
