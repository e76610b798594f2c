// azurepass-scheduler: owns partitions, decides, journals, orders workers.
//
// Three loops, so that a burst on one kind of socket does not hold up the
// others: `control` (store, configuration, members, escrow, VM list),
// `workers` (sessions with workers) and, on the main thread, `decision`
// (partitions, requests of other processes).

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <glog/logging.h>

#include <cstdio>
#include <optional>
#include <vector>

#include "azurepass/daemons/process.h"
#include "azurepass/metrics/metrics.h"
#include "azurepass/scheduling/scheduling.h"

ABSL_FLAG(std::string, settings, "", "JSON file of this process");
ABSL_FLAG(std::string, cell, "", "JSON file of the cell");

namespace azurepass {
namespace {

endpoint::Options EndpointOptions(const settings::CellSettings& cell) {
  endpoint::Options options;
  options.lease = cell.timing.worker_lease;
  options.hold = cell.timing.worker_hold;
  return options;
}

vmlist::Options VmListOptions(const settings::CellSettings& cell) {
  vmlist::Options options;
  options.address = cell.vm_list_address;
  options.interval = cell.timing.vm_list_interval;
  return options;
}

// The tasks of the process; each talks to those before it.
class Scheduler {
 public:
  Scheduler(const daemons::AllSettings& all, task::Loop& decision)
      : store_(control_, daemons::StoreOptions(all.cell)),
        calls_(decision, entry::ClientOptions{}),
        incoming_(decision),
        entry_(decision, EntryOptions(all.process), incoming_.address()),
        keeper_(control_, daemons::KeeperOptions(all), store_.address(),
                calls_.address()),
        agent_(control_, daemons::MembershipOptions(all.cell),
               daemons::SelfRecord(all.process, entry_.listening_on(),
                                   membership::Role::kScheduler),
               daemons::PartitionIds(all.cell), store_.address(),
               calls_.address()),
        workers_(worker_loop_, EndpointOptions(all.cell)),
        broker_(control_, escrow::Options{}, store_.address()),
        manager_(decision,
                 {all.process.member, all.cell, daemons::RandomNumber()},
                 {store_.address(), workers_.address(), broker_.address(),
                  agent_.address(), keeper_.address()}),
        vm_list_(control_, VmListOptions(all.cell), manager_.address()) {
    incoming_.Connect(manager_.address());
    if (!all.process.http_address.empty()) {
      httpserver::Options http;
      http.address = all.process.http_address;
      exporter_.emplace(
          control_, http,
          std::vector<metrics::Source>{{"scheduling", manager_.address()}});
    }
    keeper_.address().Send(configuration::Subscribe{manager_.address()});
    agent_.address().Send(
        membership::Subscribe{manager_.address(), manager_.address()});
  }
  ~Scheduler() {
    worker_loop_.Stop();
    control_.Stop();
  }
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;

  void Start() {
    control_.Start();
    worker_loop_.Start();
  }
  std::string entry_address() const { return entry_.listening_on(); }
  std::string http_address() const {
    return exporter_ ? exporter_->listening_on() : "";
  }
  task::Address<scheduling::Message> manager() const {
    return manager_.address();
  }

 private:
  static entry::ServerOptions EntryOptions(
      const settings::ProcessSettings& process) {
    entry::ServerOptions options;
    options.address = process.entry_address;
    return options;
  }

  task::Loop control_;
  task::Loop worker_loop_;
  store::Client store_;
  entry::Client calls_;
  task::Relay<entry::Incoming> incoming_;
  entry::Server entry_;
  configuration::Keeper keeper_;
  membership::Agent agent_;
  endpoint::Client workers_;
  escrow::Broker broker_;
  scheduling::Manager manager_;
  vmlist::Poller vm_list_;
  std::optional<metrics::Exporter> exporter_;
};

// Hands the partitions over, then ends the loop.
void ShutDown(Scheduler& scheduler, task::Loop& loop) {
  scheduler.manager().Send(
      scheduling::Shutdown{task::Address<scheduling::ShutdownDone>(
          [&loop](scheduling::ShutdownDone) { loop.Quit(); })});
}

int Run() {
  const auto all = daemons::LoadSettings(absl::GetFlag(FLAGS_cell),
                                         absl::GetFlag(FLAGS_settings));
  if (!all) return settings::kExitBadSettings;
  task::Loop decision;
  std::optional<Scheduler> scheduler;
  const daemons::SignalTask signals(
      decision, {[&] { ShutDown(*scheduler, decision); },
                 [&] {
                   daemons::LogReload(
                       settings::LoadProcess(absl::GetFlag(FLAGS_settings)),
                       all->process);
                 }});
  scheduler.emplace(*all, decision);
  if (scheduler->entry_address().empty()) {
    std::fprintf(stderr, "azurepass-scheduler: can't listen on %s\n",
                 all->process.entry_address.c_str());
    return daemons::kExitFailure;
  }
  scheduler->Start();
  std::printf("listening entry=%s http=%s\n",
              scheduler->entry_address().c_str(),
              scheduler->http_address().c_str());
  std::fflush(stdout);
  LOG(INFO) << "started member=" << all->process.member.value()
            << " entry=" << scheduler->entry_address();
  decision.Run();
  return daemons::kExitOk;
}

}  // namespace
}  // namespace azurepass

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "Owns partitions of a cell, decides placements and orders workers.\n"
      "Usage: azurepass-scheduler --cell=FILE --settings=FILE");
  absl::ParseCommandLine(argc, argv);
  azurepass::daemons::StartLogging(argv[0]);
  return azurepass::Run();
}
