// Test driver for one Owner. The test passes events one by one and answers
// appends explicitly; all actions are recorded.

#ifndef AZUREPASS_PARTITION_TESTING_DRIVER_H_
#define AZUREPASS_PARTITION_TESTING_DRIVER_H_

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "azurepass/partition/partition.h"

namespace azurepass::partition::testing {

using std::chrono::seconds;

inline const TeamId kTeam("intake");
inline const PartitionId kPartition("p");
inline const QueueId kQueue("grade");
inline const RequestId kRequest("5c0e7a21d94b36f8");
inline constexpr Duration kPermitValidity{2'000};

inline WorkerSpec MakeWorker(const std::string& vm) {
  WorkerSpec spec;
  spec.vm = VmId(vm);
  spec.zone = ZoneId("zone-a");
  spec.rack = RackId("r1");
  spec.service = ServiceId("p");
  spec.address = "10.0.0.1:80";
  spec.capacity = Resources(1'000, 1'000, 8'000, 8'192, 0);
  return spec;
}

inline WorkflowStep MakeStep(int32_t tasks, std::vector<int32_t> after = {}) {
  WorkflowStep step;
  step.job.queue = kQueue;
  step.job.tasks = tasks;
  step.job.task = Resources(1, 0, 1'000, 512, 0);
  step.after = std::move(after);
  return step;
}

inline WorkflowSpec TwoStepWorkflow() {
  WorkflowSpec spec;
  spec.queue = kQueue;
  spec.payload = "text";
  spec.steps = {MakeStep(2), MakeStep(1, {0})};
  return spec;
}

inline Options PlatformOptions() {
  Options options;
  options.unlisted_vms_are_gone = false;
  return options;
}

// Drives an owner that learns its workers from the VM list, not from its
// settings.
class Driver {
 public:
  explicit Driver(const std::vector<std::string>& vms = {"vm-0"},
                  bool permits = false,
                  const Options& options = PlatformOptions())
      : owner_(options, kPartition, {}, 7) {
    auto configuration = std::make_shared<Configuration>();
    Contract contract;
    contract.team = kTeam;
    contract.zones = {ZoneId("zone-a")};
    configuration->contracts[kTeam] = contract;
    QueueRecord queue;
    queue.queue = kQueue;
    queue.service = ServiceId("p");
    if (permits) {
      queue.permits = PermitTerms{Duration(15), std::chrono::microseconds(210),
                                  kPermitValidity};
    }
    configuration->queues[kQueue] = queue;
    VmListChanged list;
    for (const std::string& vm : vms) {
      list.vms[VmId(vm)] = VmState::kLive;
      list.workers[VmId(vm)] = MakeWorker(vm);
    }
    Handle(ConfigurationChanged{configuration});
    Handle(FreshnessChanged{true});
    Handle(AllowancesChanged{{{kTeam, kUnlimited}}});
    Handle(list);
    TakeOver(1, std::nullopt, {}, {});
    for (const std::string& vm : vms) OpenWorkerSession(vm);
    CompleteAppends();
  }

  void TakeOver(int64_t epoch, std::optional<Snapshot> snapshot,
                std::vector<Batch> batches, const std::vector<std::string>& vms,
                std::optional<MonotonicTime> renewals_ended = {}) {
    Claim(epoch, renewals_ended);
    Load(std::move(snapshot), std::move(batches));
    CompleteAppends();
    for (const std::string& vm : vms) OpenWorkerSession(vm);
    CompleteAppends();
  }
  void Claim(int64_t epoch, std::optional<MonotonicTime> renewals_ended = {}) {
    epoch_ = Epoch{epoch};
    Handle(ClaimWon{epoch_, {}, renewals_ended});
  }
  void Load(std::optional<Snapshot> snapshot, std::vector<Batch> batches) {
    Handle(JournalLoaded{epoch_, std::move(snapshot), std::move(batches)});
  }
  void OpenWorkerSession(const std::string& vm,
                         std::vector<AttemptId> running = {}) {
    Handle(WorkerSessionOpened{VmId(vm), epoch_, std::move(running)});
  }
  void Handle(Event event) {
    for (Action& action : owner_.Handle(std::move(event), now)) {
      if (const auto* append = std::get_if<AppendBatch>(&action)) {
        batches.push_back(append->batch);
        pending_append_ = append->batch.number;
      }
      actions.push_back(std::move(action));
    }
  }
  Status status() const { return owner_.status(); }
  Epoch epoch() const { return epoch_; }
  // Answers appends as successful until none is pending.
  void CompleteAppends() {
    while (pending_append_ > 0) {
      const int64_t number = std::exchange(pending_append_, 0);
      Handle(Appended{epoch_, number});
    }
  }
  void CompleteAppend() {
    REQUIRE(pending_append_ > 0);
    const int64_t number = std::exchange(pending_append_, 0);
    Handle(Appended{epoch_, number});
  }
  // Answers the pending append as not written.
  void FailAppend() {
    REQUIRE(pending_append_ > 0);
    const int64_t number = std::exchange(pending_append_, 0);
    batches.pop_back();
    Handle(AppendUnavailable{epoch_, number});
  }
  void Submit(int64_t token, const WorkflowSpec& spec,
              const TeamId& team = kTeam, const RequestId& request = kRequest) {
    Handle(RequestReceived{RequestToken{token},
                           SubmitWorkflow{kPartition, team, request, spec, {}},
                           now + seconds(10)});
  }
  WorkflowState State(const TeamId& team = kTeam) {
    Handle(RequestReceived{RequestToken{++last_token_},
                           GetWorkflow{kPartition, team, kRequest},
                           now + seconds(10)});
    return std::get<WorkflowView>(Last<Answer>().response).state;
  }
  int64_t WaitingWorkflows() {
    Handle(RequestReceived{RequestToken{++last_token_},
                           CountWaiting{kPartition, kQueue},
                           now + seconds(10)});
    return std::get<WaitingCount>(Last<Answer>().response).workflows;
  }
  void Report(const std::string& vm, int64_t number, const AttemptId& attempt,
              WorkerEventKind kind) {
    WorkerEvent event;
    event.number = number;
    event.attempt = attempt;
    event.kind = kind;
    Handle(WorkerReported{VmId(vm), epoch_, {event}, {}});
  }
  // Returns all starts ordered so far, in order.
  std::vector<std::pair<VmId, StartTask>> Starts() const {
    std::vector<std::pair<VmId, StartTask>> starts;
    for (const Action& action : actions) {
      const auto* sent = std::get_if<SendOrders>(&action);
      if (sent == nullptr) continue;
      for (const Order& order : sent->orders) {
        const auto* start = std::get_if<StartTask>(&order);
        if (start != nullptr) starts.emplace_back(sent->vm, *start);
      }
    }
    return starts;
  }
  template <class T>
  int Count() const {
    return static_cast<int>(std::count_if(
        actions.begin(), actions.end(),
        [](const Action& a) { return std::holds_alternative<T>(a); }));
  }
  template <class T>
  const T& Last() const {
    auto found = std::find_if(
        actions.rbegin(), actions.rend(),
        [](const Action& a) { return std::holds_alternative<T>(a); });
    REQUIRE(found != actions.rend());
    return std::get<T>(*found);
  }

  MonotonicTime now{seconds(100)};
  std::vector<Action> actions;
  std::vector<Batch> batches;

 private:
  Owner owner_;
  Epoch epoch_;
  int64_t pending_append_ = 0;
  int64_t last_token_ = 1'000;
};

}  // namespace azurepass::partition::testing

#endif  // AZUREPASS_PARTITION_TESTING_DRIVER_H_
