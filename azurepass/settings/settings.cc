// Reading and cross-checking of both settings files.
//
// A workers' list can be long, so that equal ones are written as a group: a
// count, a racks' size, a zone, and addresses that count up from a first port.
// The reader expands a group; the rest of the program only sees single workers.

#include "azurepass/settings/settings.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <set>
#include <sstream>

#include "azurepass/codec/codec.h"

namespace azurepass::settings {

// Equal workers of one zone: VMs PREFIX-0, PREFIX-1, ... in racks
// PREFIX-rack-0, ..., listening on consecutive ports of one IP.
struct WorkerGroup {
  std::string prefix;
  ZoneId zone;
  int64_t count = 0;
  int64_t workers_per_rack = 1;
  std::string ip;
  int64_t first_port = 0;
  Resources capacity;
};

}  // namespace azurepass::settings

namespace azurepass::codec {

namespace {
constexpr Duration kShortest{10};
constexpr Duration kLongest{3'600'000};
constexpr int64_t kMaxGroup = 10'000;
constexpr int64_t kMaxPort = 65'535;

// Whether the text is "IP:PORT", with an IPv4 address or an IPv6 one in
// brackets. What is inside is left to the socket library; this finds the field
// that was left empty or given a host's name.
bool IsAddress(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) return false;
  const std::string_view ip = text.substr(0, colon);
  const std::string_view port = text.substr(colon + 1);
  if (ip.find_first_not_of("0123456789.:[]abcdefABCDEF") != ip.npos) {
    return false;
  }
  int64_t number = -1;
  const auto [end, error] =
      std::from_chars(port.data(), port.data() + port.size(), number);
  return error == std::errc() && end == port.data() + port.size() &&
         number >= 0 && number <= kMaxPort;
}

// An address field; `required` ones may not be empty.
std::string ReadAddress(ObjectReader& reader, std::string_view name,
                        bool required) {
  std::string text = required ? reader.String(name) : reader.String(name, "");
  if (text.empty() && !required) return text;
  if (reader.ok() && !IsAddress(text)) {
    reader.Fail(ErrorCode::kOutOfRange, name,
                "must be IP:PORT, such as 10.20.0.10:8080");
  }
  return text;
}

}  // namespace

template <>
struct Format<settings::WorkerGroup> {
  static settings::WorkerGroup Read(ObjectReader& reader) {
    settings::WorkerGroup group;
    group.prefix = reader.String("prefix");
    group.zone = reader.Name<ZoneId>("zone");
    group.count = reader.Int("count", 1, kMaxGroup);
    group.workers_per_rack = reader.Int("workers_per_rack", 1, kMaxGroup, 1);
    group.ip = reader.String("ip");
    group.first_port = reader.Int("first_port", 1, kMaxPort);
    group.capacity = reader.Object<Resources>("capacity");
    if (reader.ok() && group.first_port + group.count - 1 > kMaxPort) {
      reader.Fail(ErrorCode::kOutOfRange, "first_port",
                  "leaves too few ports for the group");
    }
    return group;
  }
};

template <>
struct Format<settings::PartitionSettings> {
  static settings::PartitionSettings Read(ObjectReader& reader) {
    settings::PartitionSettings partition;
    partition.id = reader.Name<PartitionId>("id");
    partition.service = reader.Name<ServiceId>("service");
    partition.workers = reader.Objects<WorkerSpec>("workers", false);
    for (const auto& group :
         reader.Objects<settings::WorkerGroup>("worker_groups", false)) {
      Expand(group, partition);
    }
    return partition;
  }

 private:
  static void Expand(const settings::WorkerGroup& group,
                     settings::PartitionSettings& partition) {
    for (int64_t i = 0; i < group.count; ++i) {
      WorkerSpec worker;
      worker.vm = VmId(group.prefix + "-" + std::to_string(i));
      worker.zone = group.zone;
      worker.rack = RackId(group.prefix + "-rack-" +
                           std::to_string(i / group.workers_per_rack));
      worker.service = partition.service;
      worker.address = group.ip + ":" + std::to_string(group.first_port + i);
      worker.capacity = group.capacity;
      partition.workers.push_back(std::move(worker));
    }
  }
};

template <>
struct Format<settings::Timing> {
  static settings::Timing Read(ObjectReader& reader) {
    settings::Timing timing;
    const auto read = [&reader](std::string_view name, Duration& field,
                                Duration min) {
      field = reader.Millis(name, min, kLongest, field);
    };
    read("member_lease_ms", timing.member_lease, kShortest);
    read("worker_lease_ms", timing.worker_lease, kShortest);
    read("worker_lease_margin_ms", timing.worker_lease_margin, Duration(0));
    read("worker_hold_ms", timing.worker_hold, kShortest);
    Duration granted = kLongest;
    read("worker_lease_limit_ms", granted, kShortest);
    read("freshness_max_age_ms", timing.freshness_max_age, kShortest);
    read("watch_wait_ms", timing.watch_wait, kShortest);
    read("vm_list_interval_ms", timing.vm_list_interval, kShortest);
    read("gossip_interval_ms", timing.gossip_interval, kShortest);
    read("store_timeout_ms", timing.store_timeout, kShortest);
    read("append_spacing_ms", timing.append_spacing, Duration(0));
    read("kept_after_end_ms", timing.kept_after_end, Duration(0));
    CheckTogether(timing, reader);
    timing.worker_lease = std::min(timing.worker_lease, granted);
    timing.worker_hold = std::min(timing.worker_hold, granted / 2);
    return timing;
  }

 private:
  static void CheckTogether(const settings::Timing& timing,
                            ObjectReader& reader) {
    if (timing.worker_hold * 2 > timing.worker_lease) {
      reader.Fail(ErrorCode::kOutOfRange, "worker_hold_ms",
                  "must be at most half of worker_lease_ms, or leases lapse "
                  "between two renewals");
    }
    if (timing.worker_lease_margin < timing.freshness_max_age) {
      reader.Fail(ErrorCode::kOutOfRange, "worker_lease_margin_ms",
                  "must be at least freshness_max_age_ms, or a task could run "
                  "on two workers after an outage of the store");
    }
    if (timing.watch_wait >= timing.freshness_max_age) {
      reader.Fail(ErrorCode::kOutOfRange, "watch_wait_ms",
                  "must be below freshness_max_age_ms, or the configuration "
                  "is stale between two answers");
    }
  }
};

template <>
struct Format<settings::Budgets> {
  static settings::Budgets Read(ObjectReader& reader) {
    constexpr double kMaxRate = 1e6;
    constexpr int64_t kMaxCount = 10'000'000;
    settings::Budgets budgets;
    budgets.store_writes_per_second =
        reader.Number("store_writes_per_second", 1, kMaxRate,
                      budgets.store_writes_per_second);
    budgets.store_reads_per_second = reader.Number(
        "store_reads_per_second", 1, kMaxRate, budgets.store_reads_per_second);
    budgets.queue_bound =
        reader.Int("queue_bound", 1, kMaxCount, budgets.queue_bound);
    budgets.snapshot_every =
        reader.Int("snapshot_every", 1, kMaxCount, budgets.snapshot_every);
    budgets.partition_workers = reader.Int("partition_workers", 1, kMaxCount,
                                           budgets.partition_workers);
    budgets.min_divided_tasks = reader.Int("min_divided_tasks", 0, kMaxCount,
                                           budgets.min_divided_tasks);
    return budgets;
  }
};

template <>
struct Format<settings::CellSettings> {
  static settings::CellSettings Read(ObjectReader& reader) {
    settings::CellSettings cell;
    cell.store_address = ReadAddress(reader, "store_address", true);
    cell.vm_list_address = ReadAddress(reader, "vm_list_address", true);
    cell.seeds = reader.Strings("seeds", false);
    cell.partitions = reader.Objects<settings::PartitionSettings>("partitions");
    cell.timing = reader.Object<settings::Timing>("timing", settings::Timing{});
    cell.budgets =
        reader.Object<settings::Budgets>("budgets", settings::Budgets{});
    CheckTogether(cell, reader);
    return cell;
  }

 private:
  static void CheckTogether(const settings::CellSettings& cell,
                            ObjectReader& reader) {
    std::set<PartitionId> ids;
    std::set<VmId> vms;
    std::set<std::string> addresses;
    for (size_t i = 0; i < cell.partitions.size(); ++i) {
      const auto& partition = cell.partitions[i];
      const std::string path = "partitions[" + std::to_string(i) + "]";
      if (!ids.insert(partition.id).second) {
        reader.Fail(ErrorCode::kOutOfRange, path + ".id",
                    "names a second partition " + partition.id.value());
      }
      if (partition.workers.empty()) {
        reader.Fail(ErrorCode::kOutOfRange, path, "has no workers");
      }
      CheckWorkers(partition, path, vms, addresses, reader);
    }
    if (ids.empty()) {
      reader.Fail(ErrorCode::kOutOfRange, "partitions", "must not be empty");
    }
  }

  static void CheckWorkers(const settings::PartitionSettings& partition,
                           const std::string& path, std::set<VmId>& vms,
                           std::set<std::string>& addresses,
                           ObjectReader& reader) {
    for (const WorkerSpec& worker : partition.workers) {
      if (!vms.insert(worker.vm).second) {
        reader.Fail(ErrorCode::kOutOfRange, path,
                    "VM " + worker.vm.value() + " appears twice");
      }
      if (!addresses.insert(worker.address).second) {
        reader.Fail(ErrorCode::kOutOfRange, path,
                    "address " + worker.address + " appears twice");
      }
      if (!IsAddress(worker.address)) {
        reader.Fail(ErrorCode::kOutOfRange, path,
                    "VM " + worker.vm.value() + " has no IP:PORT as address");
      }
      if (worker.service != partition.service) {
        reader.Fail(ErrorCode::kOutOfRange, path,
                    "VM " + worker.vm.value() + " is of another service");
      }
    }
  }
};

template <>
struct Format<settings::ProcessSettings> {
  static settings::ProcessSettings Read(ObjectReader& reader) {
    settings::ProcessSettings process;
    process.member = reader.Name<MemberId>("member");
    process.zone = reader.Name<ZoneId>("zone");
    process.entry_address = ReadAddress(reader, "entry_address", true);
    process.http_address = ReadAddress(reader, "http_address", false);
    process.operator_address = ReadAddress(reader, "operator_address", false);
    process.operator_key_sha256 = reader.String("operator_key_sha256", "");
    process.processors = reader.Number("processors", kLeastProcessors,
                                       kMostProcessors, process.processors);
    if (!process.operator_address.empty() &&
        process.operator_key_sha256.size() != kSha256HexLength) {
      reader.Fail(ErrorCode::kOutOfRange, "operator_key_sha256",
                  "must be 64 hexadecimal digits where operator_address is "
                  "set");
    }
    return process;
  }

 private:
  static constexpr size_t kSha256HexLength = 64;
  static constexpr double kLeastProcessors = 0.001;
  static constexpr double kMostProcessors = 1'000;
};

template <>
struct Format<settings::PermitSettings> {
  static settings::PermitSettings Read(ObjectReader& reader) {
    constexpr int64_t kMostPercent = 50;
    constexpr int64_t kMostWorkers = 100;
    settings::PermitSettings permits;
    permits.short_cost = reader.Millis("short_cost_ms", Duration(0), kLongest,
                                       permits.short_cost);
    permits.reserved_percent = reader.Int("reserved_percent", 0, kMostPercent,
                                          permits.reserved_percent);
    permits.ejection =
        reader.Millis("ejection_ms", Duration(0), kLongest, permits.ejection);
    permits.first_workers =
        reader.Int("first_workers", 0, kMostWorkers, permits.first_workers);
    if (permits.reserved_percent > 0 && permits.short_cost == Duration(0)) {
      reader.Fail(ErrorCode::kOutOfRange, "reserved_percent",
                  "needs short_cost_ms, or nothing would use these VMs");
    }
    return permits;
  }
};

template <>
struct Format<settings::OverloadSettings> {
  static settings::OverloadSettings Read(ObjectReader& reader) {
    settings::OverloadSettings overload;
    overload.refuse_unserviceable = reader.Bool("refuse_unserviceable", false);
    overload.least_work_first = reader.Bool("least_work_first", false);
    overload.learn_worker_speeds = reader.Bool("learn_worker_speeds", false);
    return overload;
  }
};

template <>
struct Format<settings::ClientSettings> {
  static settings::ClientSettings Read(ObjectReader& reader) {
    constexpr int64_t kLeastBody = 16'384;
    constexpr int64_t kMostBody = 1 << 20;
    constexpr int64_t kLeastMemoryMib = 32;
    constexpr int64_t kLeastDescriptors = 2'048;
    constexpr int64_t kMostDescriptors = int64_t{1} << 20;
    constexpr int64_t kMostMemoryMib = int64_t{1} << 20;
    settings::ClientSettings clients;
    clients.max_body_bytes = reader.Int("max_body_bytes", kLeastBody, kMostBody,
                                        clients.max_body_bytes);
    clients.vm_memory_mib = reader.Int("vm_memory_mib", kLeastMemoryMib,
                                       kMostMemoryMib, clients.vm_memory_mib);
    clients.vm_descriptors =
        reader.Int("vm_descriptors", kLeastDescriptors, kMostDescriptors,
                   clients.vm_descriptors);
    if (clients.BodyBudgetBytes() < 2 * clients.max_body_bytes) {
      reader.Fail(ErrorCode::kOutOfRange, "max_body_bytes",
                  "must be at most a sixteenth of vm_memory_mib, or no body of "
                  "this size can be read");
    }
    return clients;
  }
};

template <>
struct Format<settings::NodeSettings> {
  static settings::NodeSettings Read(ObjectReader& reader) {
    settings::NodeSettings node;
    node.process = reader.Object<settings::ProcessSettings>("process");
    node.cell.store_address = ReadAddress(reader, "store_address", true);
    node.cell.timing =
        reader.Object<settings::Timing>("timing", settings::Timing{});
    node.cell.budgets =
        reader.Object<settings::Budgets>("budgets", settings::Budgets{});
    node.ready_address = ReadAddress(reader, "ready_address", true);
    node.permit_address = ReadAddress(reader, "permit_address", false);
    node.clients = reader.Object<settings::ClientSettings>(
        "clients", settings::ClientSettings{});
    node.permits = reader.Object<settings::PermitSettings>(
        "permits", settings::PermitSettings{});
    node.overload = reader.Object<settings::OverloadSettings>(
        "overload", settings::OverloadSettings{});
    node.metrics_address = ReadAddress(reader, "metrics_address", false);
    node.zones = reader.Names<ZoneId>("zones");
    node.termination_grace = reader.Millis("termination_grace_ms", Duration(0),
                                           kLongest, node.termination_grace);
    if (reader.ok() && node.zones.empty()) {
      reader.Fail(ErrorCode::kOutOfRange, "zones", "must name a zone");
    }
    return node;
  }
};

}  // namespace azurepass::codec

namespace azurepass::settings {
namespace {

constexpr size_t kMaxSettingsBytes = size_t{16} << 20;

template <class T>
Loaded<T> ParseAs(const std::string& text, const std::string& file) {
  codec::ParseLimits limits;
  limits.max_bytes = kMaxSettingsBytes;
  limits.allow_comments = true;
  auto outcome = codec::Try([&] { return codec::Decode<T>(text, limits); });
  return std::visit(
      Visitor{[](T& value) -> Loaded<T> { return std::move(value); },
              [&file](const codec::Error& error) -> Loaded<T> {
                return Problem{file, error.path, error.problem};
              }},
      outcome);
}

template <class T>
Loaded<T> LoadAs(const std::string& file) {
  std::ifstream stream(file, std::ios::binary);
  if (!stream) return Problem{file, "", "can't be opened"};
  std::ostringstream text;
  text << stream.rdbuf();
  return ParseAs<T>(text.str(), file);
}

}  // namespace

int64_t ClientSettings::BodyBudgetBytes() const {
  constexpr int64_t kBytesPerMib = int64_t{1} << 20;
  constexpr int64_t kPartOfMemory = 8;
  return vm_memory_mib * kBytesPerMib / kPartOfMemory;
}

int64_t ClientSettings::MaxConnections() const {
  // 200 for files, three for each of 256 connections that are refused with an
  // answer, and the rest for connections to others.
  constexpr int64_t kOtherDescriptors = 1'200;
  constexpr int64_t kPerConnection = 2;
  constexpr int64_t kMost = 2'048;
  return std::min(kMost, (vm_descriptors - kOtherDescriptors) / kPerConnection);
}

std::string Problem::ToString() const {
  return path.empty() ? file + ": " + problem
                      : file + ": " + path + ": " + problem;
}

std::vector<ZoneId> CellSettings::Zones() const {
  std::set<ZoneId> zones;
  for (const auto& partition : partitions) {
    for (const auto& worker : partition.workers) zones.insert(worker.zone);
  }
  return {zones.begin(), zones.end()};
}

std::vector<PartitionId> CellSettings::PartitionsOf(
    const ServiceId& service) const {
  std::vector<PartitionId> ids;
  for (const auto& partition : partitions) {
    if (partition.service == service) ids.push_back(partition.id);
  }
  return ids;
}

Loaded<CellSettings> LoadCell(const std::string& file) {
  return LoadAs<CellSettings>(file);
}

Loaded<ProcessSettings> LoadProcess(const std::string& file) {
  return LoadAs<ProcessSettings>(file);
}

Loaded<NodeSettings> LoadNode(const std::string& file) {
  return LoadAs<NodeSettings>(file);
}

Loaded<NodeSettings> ParseNode(const std::string& text,
                               const std::string& file) {
  return ParseAs<NodeSettings>(text, file);
}

Loaded<CellSettings> ParseCell(const std::string& text,
                               const std::string& file) {
  return ParseAs<CellSettings>(text, file);
}

Loaded<ProcessSettings> ParseProcess(const std::string& text,
                                     const std::string& file) {
  return ParseAs<ProcessSettings>(text, file);
}

}  // namespace azurepass::settings
