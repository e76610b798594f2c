// A partition with several processes that may own it, a store and workers, all
// in memory and in virtual time. Messages take random times, answers get lost,
// processes pause and die, workers are cut off and boot. All randomness comes
// from one seed, so a run is repeatable.
//
// The world does for each process what its driver does: carries out actions,
// keeps sessions with workers, and tells of changes. See Process and Session.

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

// One step of a scenario. `a` and `b` choose among what there is.
enum class Step : int {
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
  kLoseAnswers,  // The next writes: done, answer lost.
  kDelayWrites,  // The next writes: done long after the time-out.
  kCutWorker,
  kHealWorker,
  kBootWorker,
  kWorkerFailsAll,
  kVmGone,
  kVmLeaving,
  kVmBack,
  kZoneOut,
  kZoneBack,
  kAllowance,
  kNotFresh,
  kFresh,
};
inline constexpr int kSteps = static_cast<int>(Step::kFresh) + 1;
struct Command {
  Step step = Step::kAdvance;
  int a = 0;
  int b = 0;
};
std::ostream& operator<<(std::ostream& out, const Command& command);

// Commands as a fuzz test draws them.
std::vector<Command> RandomCommands(uint64_t seed, int count);

// What a former owner sends to workers after somebody else took its claim. Its
// member lease has ended by then, and endpoint::Authorize ends with it, so that
// nothing goes out but what was on its way.
enum class FormerOwner { kSilent, kSendsOn };

class World {
 public:
  // With `trace`, what happens is written there, a line each.
  // `record_starts_first` as on the users' platform: see Options.
  World(Options::Testing testing, uint64_t seed, std::ostream* trace = nullptr,
        bool record_starts_first = false,
        FormerOwner former_owner = FormerOwner::kSilent);
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  // Runs the commands, heals all, and lets everything end. Returns the first
  // violation; empty when there was none.
  std::string Run(const std::vector<Command>& commands);

 private:
  // The client's end of a session with a worker (what package endpoint does).
  struct Session {
    int64_t serial = 0;  // Changes with each OpenSession and CloseSession.
    bool wanted = false;
    Epoch epoch;
    int64_t token = 0;  // 0: to be opened.
    // A request may not extend the worker's lease beyond it; while answers
    // come, it moves on.
    MonotonicTime bound{};
    std::optional<MonotonicTime> failing_since;
    bool unreachable = false;
    std::vector<std::pair<MonotonicTime, Order>> orders;  // Not taken yet.
    int64_t acknowledged = 0;
    MonotonicTime delivered{};  // Updates keep their order.
  };
  // A process that may own the partition.
  struct Process {
    std::unique_ptr<Owner> owner;
    int64_t incarnation = 0;
    bool paused = false;
    MonotonicTime paused_at{};
    bool fresh = true;
    std::vector<std::function<void()>> backlog;  // While paused.
    std::map<VmId, Session> sessions;
    std::vector<RequestToken> open;
    std::optional<Epoch> claimed;
    // What it sends later reaches no worker. Set when its claim is taken.
    std::optional<MonotonicTime> authorized_until;
  };
  struct Job {
    TeamId team;
    RequestId request;
    JobSpec spec;
  };
  using Work = std::function<void()>;

  void Execute(const Command& command);
  void Finish();
  void StepRequests(const Command& command);
  void StepProcesses(const Command& command);
  void StepStore(const Command& command);
  void StepWorkers(const Command& command);
  void StepOperators(const Command& command);

  // --- Time
  void At(MonotonicTime when, Work work);
  void After(Duration delay, Work work) { At(now_ + delay, std::move(work)); }
  void AdvanceTo(MonotonicTime until);
  Duration Latency(int64_t most_ms);

  // --- Processes
  void Start(size_t index);
  void TakeOver(size_t index);
  void Kill(size_t index);
  void Resume(size_t index);
  void Deliver(size_t index, Event event);
  void DeliverSoon(size_t index, Event event);
  // Tells every process of what is the case when the message arrives.
  void Broadcast(const std::function<Event()>& event);
  void Perform(size_t index, Action action);
  void Send(size_t index, JobRequest request, Duration time_left);
  std::optional<size_t> Claimant() const;

  // --- The store
  void Write(size_t index, const Batch& batch);
  void Create(const Batch& batch);
  Event WriteResult(const Batch& batch) const;
  void LoadInto(size_t index, Epoch epoch);

  // --- Sessions
  void Poll(size_t index, const VmId& vm, int64_t serial);
  void PollOnce(size_t index, const VmId& vm);
  void OpenAt(size_t index, FakeWorker& worker, Session& session, bool lost);
  void ExchangeAt(size_t index, FakeWorker& worker, Session& session,
                  bool lost);
  std::vector<Order> ValidOrders(Session& session) const;
  static void Reset(Session& session);
  void Succeeded(Session& session);
  void Failed(size_t index, const VmId& vm, Session& session);
  void Tell(size_t index, const VmId& vm, Event event);

  std::shared_ptr<const Configuration> MakeConfiguration() const;
  JobSpec MakeSpec(int a, int b);
  static TeamId Team(int n);
  static Resources Slots(int64_t slots);

  void Trace(const std::string& line) const;
  void TraceTask(const TaskId& task);

  Options options_;
  std::ostream* trace_;
  const FormerOwner former_owner_;
  std::mt19937_64 random_;
  MonotonicTime now_{};
  int64_t scheduled_ = 0;
  std::map<std::pair<MonotonicTime, int64_t>, Work> agenda_;
  Oracle oracle_;

  std::vector<WorkerSpec> specs_;
  std::map<VmId, FakeWorker> workers_;
  std::map<VmId, bool> cut_;
  std::map<VmId, VmState> vms_;
  std::vector<Process> processes_;
  Epoch epoch_;

  bool store_up_ = true;
  int lose_answers_ = 0;
  int delay_writes_ = 0;
  bool lossy_ = true;  // Exchanges with workers lose answers at times.
  std::map<int64_t, Batch> journal_;
  std::optional<Snapshot> snapshot_;

  std::map<ZoneId, bool> zone_out_;
  Allowances allowances_;
  int64_t revision_ = 1;
  std::vector<Job> submitted_;
  int64_t last_token_ = 0;
};

}  // namespace azurepass::partition::testing

#endif  // AZUREPASS_PARTITION_TESTING_WORLD_H_
