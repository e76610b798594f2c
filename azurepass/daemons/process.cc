// Settings to options, logging and signals.

#include "azurepass/daemons/process.h"

#include <glib-unix.h>
#include <glog/logging.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <utility>

namespace azurepass::daemons {
namespace {

template <class T>
std::optional<T> ValueOrPrint(settings::Loaded<T> loaded) {
  if (auto* problem = std::get_if<settings::Problem>(&loaded)) {
    std::fprintf(stderr, "%s\n", problem->ToString().c_str());
    return std::nullopt;
  }
  return std::get<T>(std::move(loaded));
}

}  // namespace

std::optional<AllSettings> LoadSettings(const std::string& cell_file,
                                        const std::string& process_file) {
  auto cell = ValueOrPrint(settings::LoadCell(cell_file));
  if (!cell) return std::nullopt;
  auto process = ValueOrPrint(settings::LoadProcess(process_file));
  if (!process) return std::nullopt;
  return AllSettings{*std::move(cell), *std::move(process)};
}

void StartLogging(const char* program) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(program);
}

void LogToWriterAlone() {
  FLAGS_logtostderr = false;
  FLAGS_stderrthreshold = google::GLOG_FATAL;
  for (int severity = 0; severity < google::NUM_SEVERITIES; ++severity) {
    google::SetLogDestination(severity, "");
  }
}

void LogReloadOutcome(const settings::Problem* problem, bool same) {
  if (problem != nullptr) {
    LOG(ERROR) << "event=reload outcome=rejected problem=\""
               << problem->ToString() << "\"";
  } else if (same) {
    LOG(INFO) << "event=reload outcome=unchanged";
  } else {
    LOG(WARNING) << "event=reload outcome=at_next_start";
  }
}

SignalTask::SignalTask(task::Loop& loop, SignalHandlers handlers)
    : handlers_(std::move(handlers)) {
  Listen(loop, SIGTERM, OnTerminate);
  Listen(loop, SIGINT, OnInterrupt);
  Listen(loop, SIGHUP, OnReload);
}

void SignalTask::Listen(task::Loop& loop, int signal, GSourceFunc function) {
  GSource* source = g_unix_signal_source_new(signal);
  g_source_set_callback(source, function, this, nullptr);
  g_source_attach(source, loop.context());
  sources_.push_back(source);
}

SignalTask::~SignalTask() {
  for (GSource* source : sources_) {
    g_source_destroy(source);
    g_source_unref(source);
  }
}

gboolean SignalTask::OnTerminate(gpointer self) {
  static_cast<SignalTask*>(self)->Terminate("SIGTERM");
  return G_SOURCE_CONTINUE;
}

gboolean SignalTask::OnInterrupt(gpointer self) {
  auto* task = static_cast<SignalTask*>(self);
  if (std::exchange(task->interrupted_, true)) std::_Exit(kExitFailure);
  task->Terminate("SIGINT");
  return G_SOURCE_CONTINUE;
}

void SignalTask::Terminate(const char* signal) {
  LOG(INFO) << "event=signal signal=" << signal
            << " outcome=" << (asked_ ? "already_shutting_down" : "shutdown");
  if (std::exchange(asked_, true)) return;
  handlers_.terminate();
}

gboolean SignalTask::OnReload(gpointer self) {
  static_cast<SignalTask*>(self)->handlers_.reload();
  return G_SOURCE_CONTINUE;
}

httpserver::Options HttpOptions(const std::string& address) {
  httpserver::Options options;
  options.address = address;
  return options;
}

entry::ServerOptions EntryOptions(const std::string& address) {
  entry::ServerOptions options;
  options.address = address;
  return options;
}

store::Options StoreOptions(const settings::CellSettings& cell) {
  store::Options options;
  options.address = cell.store_address;
  options.request_timeout = cell.timing.store_timeout;
  options.writes_per_second = cell.budgets.store_writes_per_second;
  options.reads_per_second = cell.budgets.store_reads_per_second;
  return options;
}

configuration::Options KeeperOptions(const AllSettings& all) {
  configuration::Options options;
  options.member = all.process.member;
  options.max_age = all.cell.timing.freshness_max_age;
  options.watch_wait = all.cell.timing.watch_wait;
  options.seed = RandomNumber();
  return options;
}

membership::Options MembershipOptions(const settings::CellSettings& cell) {
  membership::Options options;
  options.lease_ttl = cell.timing.member_lease;
  options.watch_wait = cell.timing.watch_wait;
  options.gossip_interval = cell.timing.gossip_interval;
  options.seed = RandomNumber();
  return options;
}

membership::MemberRecord SelfRecord(const settings::ProcessSettings& process,
                                    const std::string& entry_address,
                                    membership::Role role) {
  membership::MemberRecord record;
  record.member = process.member;
  record.address = entry_address;
  record.incarnation = std::chrono::duration_cast<Duration>(
                           std::chrono::system_clock::now().time_since_epoch())
                           .count();
  record.role = role;
  record.zone = process.zone;
  record.millicores = std::max<int64_t>(
      1, std::llround(process.processors * membership::kWholeProcessor));
  return record;
}

std::vector<PartitionId> PartitionIds(const settings::CellSettings& cell) {
  std::vector<PartitionId> ids;
  for (const auto& partition : cell.partitions) ids.push_back(partition.id);
  return ids;
}

uint64_t RandomNumber() {
  std::random_device device;
  return (uint64_t{device()} << 32) | device();
}

}  // namespace azurepass::daemons
