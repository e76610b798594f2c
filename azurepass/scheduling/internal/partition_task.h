// The task that drives one partition::Owner. It owns the owner, the journal
// writer and the open requests of its partition, and nobody else touches them.

#ifndef AZUREPASS_SCHEDULING_INTERNAL_PARTITION_TASK_H_
#define AZUREPASS_SCHEDULING_INTERNAL_PARTITION_TASK_H_

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "azurepass/configuration/configuration.h"
#include "azurepass/endpoint/endpoint.h"
#include "azurepass/entry/entry.h"
#include "azurepass/escrow/escrow.h"
#include "azurepass/journal/journal.h"
#include "azurepass/metrics/metrics.h"
#include "azurepass/partition/partition.h"
#include "azurepass/permit/permit.h"
#include "azurepass/scheduling/internal/hops.h"
#include "azurepass/scheduling/internal/refused_starts.h"
#include "azurepass/scheduling/internal/takeover_meter.h"
#include "azurepass/settings/settings.h"
#include "azurepass/task/task.h"
#include "azurepass/vmlist/vmlist.h"

namespace azurepass::scheduling {

// --- What the Manager tells a PartitionTask

// The claim is ours, as the `epoch`-th owner.
struct Hold {
  Epoch epoch;
  // By when the former owner has stopped renewing leases of workers.
  std::optional<MonotonicTime> renewals_ended{};
};
// Hand the partition over.
struct Release {};
// Somebody else holds a later claim.
struct Lose {};
struct JobReceived {
  partition::JobRequest request;
  MonotonicTime deadline;
  entry::Responder responder;
};

// --- What a PartitionTask tells the Manager

// Everything is appended and answered; the claim may go back.
struct HandedOver {
  PartitionId partition;
  Epoch epoch;
};
// Another owner's entry was found in the journal.
struct WasDeposed {
  PartitionId partition;
  Epoch epoch;
};
struct StatusNotice {
  partition::Status status;
  bool owns = false;
  std::map<std::string, int64_t> decisions;  // Since the start, by kind.
  // How long the owner took for an event.
  metrics::Histogram::Elapsed handling_p50{0};
  metrics::Histogram::Elapsed handling_p99{0};
  std::array<HopFigures, kHops> hops{};
  TakeoverFigures takeovers{};
  std::map<std::string, int64_t> refused_starts{};  // Since the start.
};
using Notice = std::variant<HandedOver, WasDeposed, StatusNotice>;

struct PartitionTaskOptions {
  settings::PartitionSettings partition;
  partition::Options owner;
  Duration status_interval{1'000};
  uint64_t nonce = 0;
};

struct PartitionTaskPeers {
  task::Address<store::Request> store;
  task::Address<endpoint::Request> workers;
  task::Address<escrow::Message> broker;
  task::Address<permit::Message> permits;
  task::Address<Notice> manager;
};

class PartitionTask {
 public:
  using Command = std::variant<Hold, Release, Lose, JobReceived,
                               configuration::Update, vmlist::Snapshot>;

  PartitionTask(task::Loop& loop, PartitionTaskOptions options,
                PartitionTaskPeers peers);
  PartitionTask(const PartitionTask&) = delete;
  PartitionTask& operator=(const PartitionTask&) = delete;

  task::Address<Command> address() const;

 private:
  // Something for the owner of this epoch; dropped when a later one is at work.
  struct ForOwner {
    Epoch epoch;
    partition::Event event;
  };
  // An update of the session with a worker that was the `session`-th opened;
  // dropped when that one was closed or opened again.
  struct FromWorker {
    VmId vm;
    int64_t session = 0;
    endpoint::Update update;
  };
  // Measures how long messages wait.
  struct LagProbe {
    MonotonicTime sent;
  };
  using Inbox =
      std::variant<Command, ForOwner, FromWorker, escrow::Granted, LagProbe>;

  void Handle(Inbox inbox);
  void OnCommand(Command& command);
  void OnHold(const Hold& hold);
  void OnJob(JobReceived& job);
  void OnWorker(FromWorker& from);
  void Open(partition::OpenSession& open);
  void OnGranted(const escrow::Granted& granted);

  // Gives the owner an event, after telling it whether starts are permitted at
  // this moment, and performs what it returns.
  void Feed(partition::Event event);
  void TellFreshness(MonotonicTime now);
  void TellConfiguration();
  void Perform(partition::Action& action);
  void PerformAll(std::vector<partition::Action> actions);
  void Log(const partition::LogDecision& decision);
  void Answer(partition::Answer& answer);
  void RequestPermits(partition::RequestPermits& ask);
  void TellVmList();
  void ReportDemand(const partition::ReportDemand& report);
  // The owner is gone: whoever still waits asks another process.
  void DropOwner();
  void SendStatus();
  void LogHops();
  void LogTakeover(const std::string& text) const;
  void ProbeLag();

  const PartitionTaskOptions options_;
  const PartitionTaskPeers peers_;
  task::Mailbox<Inbox> mailbox_;
  task::Timer wake_;
  task::Timer freshness_timer_;
  task::Timer status_timer_;
  task::Timer lag_timer_;  // Runs exactly while there is an owner.

  // Set exactly while the claim is held, or was and is not yet handed over.
  std::optional<partition::Owner> owner_;
  std::unique_ptr<journal::Writer> writer_;
  task::Loop& loop_;
  Epoch epoch_;

  std::map<VmId, int64_t> sessions_;  // Open ones, by their numbers.
  int64_t sessions_opened_ = 0;

  std::optional<configuration::Update> configuration_;
  std::optional<vmlist::Snapshot> vms_;
  partition::FreshnessChanged told_freshness_;
  int64_t obeyed_grant_ = 0;
  std::map<TeamId, escrow::Allowance> allowances_;
  std::vector<partition::AllowanceDemand> demands_;

  std::map<std::string, int64_t> decisions_;  // Since the start, by kind.
  metrics::Histogram handling_;
  HopMeter hops_;
  TakeoverMeter takeovers_;
  // Of this thread, when the partition was claimed.
  std::chrono::nanoseconds takeover_processor_{0};
  RefusedStarts refused_starts_;

  // Requests not yet answered. A token is never used twice.
  std::map<partition::RequestToken, entry::Responder> open_requests_;
  int64_t next_token_ = 1;
};

}  // namespace azurepass::scheduling

#endif  // AZUREPASS_SCHEDULING_INTERNAL_PARTITION_TASK_H_
