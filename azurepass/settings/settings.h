// Settings: JSON with comments, checked as a whole before a process starts.
//
// Two files. The cell's file is the same on every entry VM: partitions and
// their workers, the platform's addresses, time spans and budgets. The
// process's file says who this process is and where it listens. An unknown
// field, a wrong type, a value out of range or fields that contradict each
// other are one Problem, which names the field's path.
//
// Usage:
//
//   auto loaded = settings::LoadCell(path);
//   if (auto* problem = std::get_if<settings::Problem>(&loaded)) {
//     std::cerr << problem->ToString() << "\n";
//     return settings::kExitBadSettings;
//   }

#ifndef AZUREPASS_SETTINGS_SETTINGS_H_
#define AZUREPASS_SETTINGS_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "azurepass/core/core.h"

namespace azurepass::settings {

// Exit code of every program whose settings are not valid.
inline constexpr int kExitBadSettings = 2;

// A group of whole racks of one service, owned by one scheduler at a time.
struct PartitionSettings {
  PartitionId id;
  ServiceId service;
  std::vector<WorkerSpec> workers;
  bool operator==(const PartitionSettings&) const = default;
};

// Time spans and budgets; the defaults fit a cell of today's size.
struct Timing {
  Duration member_lease{2'500};  // A silent process loses its partitions.
  // A silent owner's workers stop. No longer than workers grant.
  Duration worker_lease{15'000};
  // Before a new owner trusts that a former one's worker lease has lapsed;
  // covers the age of the evidence on which an owner goes on through an outage
  // of the store.
  Duration worker_lease_margin{3'500};
  Duration worker_hold{4'000};        // Of a worker's empty answer.
  Duration freshness_max_age{3'000};  // Older configuration starts nothing.
  Duration watch_wait{1'000};         // Of the store's empty answer.
  Duration vm_list_interval{1'000};
  Duration gossip_interval{1'000};
  Duration store_timeout{2'000};
  Duration append_spacing{0};        // Between two journal writes.
  Duration kept_after_end{600'000};  // A final job is remembered so long.
  bool operator==(const Timing&) const = default;
};

struct Budgets {
  double store_writes_per_second = 100;  // Of one process.
  double store_reads_per_second = 100;
  int64_t queue_bound = 50'000;  // Waiting tasks of a team in a partition.
  int64_t snapshot_every = 200;  // Journal batches.
  // Workers of a partition, about, where a service is spread over several.
  int64_t partition_workers = 64;
  // See routing::Options.
  int64_t min_divided_tasks = 0;
  bool operator==(const Budgets&) const = default;
};

// What all processes of a cell share.
struct CellSettings {
  std::string store_address;       // "IP:PORT".
  std::string vm_list_address;     // "IP:PORT".
  std::vector<std::string> seeds;  // Entry addresses tried for gossip at start.
  std::vector<PartitionSettings> partitions;
  Timing timing;
  Budgets budgets;

  // All availability zones of the cell's workers, sorted.
  std::vector<ZoneId> Zones() const;
  // The partitions of one service, in the file's order.
  std::vector<PartitionId> PartitionsOf(const ServiceId& service) const;
  bool operator==(const CellSettings&) const = default;
};

// What tells one process from the others.
struct ProcessSettings {
  MemberId member;                  // Unique in the cell.
  ZoneId zone;                      // Availability zone of its VM.
  std::string entry_address;        // "IP:PORT" for our own processes.
  std::string http_address;         // Callers (frontend); metrics (both).
  std::string operator_address;     // Operators (frontend); may be empty.
  std::string operator_key_sha256;  // Of the operators' key; hexadecimal.
  // What its VM gives it, in processors: 0.5 is half of one.
  double processors = 1;
  bool operator==(const ProcessSettings&) const = default;
};

// How the service that issues permits is used; see permit::Options and
// partition::Options. The defaults make no distinction and eject nothing.
struct PermitSettings {
  Duration short_cost{0};
  int64_t reserved_percent = 0;
  Duration ejection{0};
  int64_t first_workers = 0;
  bool operator==(const PermitSettings&) const = default;
};

// What is done where there is too little room; see partition::Options and
// placement::Options. The defaults do nothing of it.
struct OverloadSettings {
  bool refuse_unserviceable = false;
  bool least_work_first = false;  // Among jobs that are late.
  bool learn_worker_speeds = false;
  bool operator==(const OverloadSettings&) const = default;
};

// Bounds on what clients send to a node. No client that keeps the platform's
// limits meets the defaults.
struct ClientSettings {
  int64_t max_body_bytes = 262'144;
  int64_t vm_memory_mib = 128;
  int64_t vm_descriptors = 4'096;
  // Of all bodies at once: an eighth of the VM's memory.
  int64_t BodyBudgetBytes() const;
  // A connection takes two descriptors while a request is read.
  int64_t MaxConnections() const;
  bool operator==(const ClientSettings&) const = default;
};

// A node: one process that serves callers and owns partitions, on a platform
// where services, queues and workers are found at run time.
struct NodeSettings {
  ProcessSettings process;
  CellSettings cell;           // Without partitions.
  std::string ready_address;   // "IP:PORT" for the balancer's probes.
  std::string permit_address;  // Of the service that issues permits, or empty.
  ClientSettings clients;
  PermitSettings permits;
  OverloadSettings overload;
  std::string metrics_address;  // "IP:PORT" for metrics and health, or empty.
  std::vector<ZoneId> zones;    // All availability zones.
  // From the signal to terminate until the platform kills the process.
  Duration termination_grace{6'000};
  bool operator==(const NodeSettings&) const = default;
};

struct Problem {
  std::string file;
  std::string path;  // Of the field; empty when the file can't be read.
  std::string problem;
  std::string ToString() const;  // "FILE: PATH: PROBLEM".
  bool operator==(const Problem&) const = default;
};

template <class T>
using Loaded = std::variant<T, Problem>;

Loaded<CellSettings> LoadCell(const std::string& file);
Loaded<ProcessSettings> LoadProcess(const std::string& file);
Loaded<NodeSettings> LoadNode(const std::string& file);

// The same from text; `file` only names it in a Problem.
Loaded<CellSettings> ParseCell(const std::string& text,
                               const std::string& file);
Loaded<ProcessSettings> ParseProcess(const std::string& text,
                                     const std::string& file);
Loaded<NodeSettings> ParseNode(const std::string& text,
                               const std::string& file);

}  // namespace azurepass::settings

#endif  // AZUREPASS_SETTINGS_SETTINGS_H_
