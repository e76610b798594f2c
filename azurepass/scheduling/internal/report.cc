// Gauges and counters, a family after the other.

#include "azurepass/scheduling/internal/report.h"

#include <chrono>

namespace azurepass::scheduling {
namespace {

double Seconds(metrics::Histogram::Elapsed elapsed) {
  return std::chrono::duration<double>(elapsed).count();
}

double Count(int64_t count) { return static_cast<double>(count); }

// What is shown of each partition owned.
struct GaugeFamily {
  const char* name;
  const char* help;
  double (*value)(const StatusNotice&);
};
constexpr GaugeFamily kGauges[] = {
    {"azurepass_partition_epoch", "epoch of the ownership",
     [](const StatusNotice& n) { return Count(n.status.epoch.value); }},
    {"azurepass_tasks_queued", "tasks that wait",
     [](const StatusNotice& n) { return Count(n.status.cell.queued_tasks); }},
    {"azurepass_tasks_committed", "tasks that hold room",
     [](const StatusNotice& n) {
       return Count(n.status.cell.committed_tasks);
     }},
    {"azurepass_workers_open", "workers that take starts",
     [](const StatusNotice& n) { return Count(n.status.cell.open_workers); }},
    {"azurepass_workers_quarantined", "workers in quarantine",
     [](const StatusNotice& n) {
       return Count(n.status.cell.quarantined_workers);
     }},
    {"azurepass_event_handling_p50_seconds",
     "time an owner takes for an event, median",
     [](const StatusNotice& n) { return Seconds(n.handling_p50); }},
    {"azurepass_event_handling_p99_seconds",
     "time an owner takes for an event, 99th percentile",
     [](const StatusNotice& n) { return Seconds(n.handling_p99); }},
};

std::string PartitionLabel(const StatusNotice& notice) {
  return metrics::Label("partition", notice.status.partition.value());
}

// What is shown of each hop that occurred.
struct HopFamily {
  const char* name;
  const char* help;
  double (*value)(const HopFigures&);
};
constexpr HopFamily kHopFamilies[] = {
    {"azurepass_hop_p50_seconds", "latency of a hop, median",
     [](const HopFigures& f) { return Seconds(f.p50); }},
    {"azurepass_hop_p99_seconds", "latency of a hop, 99th percentile",
     [](const HopFigures& f) { return Seconds(f.p99); }},
    {"azurepass_hop_sum_seconds", "latencies of a hop, added up",
     [](const HopFigures& f) { return Seconds(f.sum); }},
};

std::string HopLabels(const StatusNotice& notice, size_t hop) {
  return PartitionLabel(notice) + "," +
         metrics::Label("hop", HopName(static_cast<Hop>(hop)));
}

void AddHops(const std::vector<StatusNotice>& partitions, metrics::Text& text) {
  for (const StatusNotice& notice : partitions) {
    for (size_t hop = 0; hop < kHops; ++hop) {
      if (notice.hops[hop].count == 0) continue;
      text.Counter("azurepass_hops_total", "hops by kind",
                   notice.hops[hop].count, HopLabels(notice, hop));
    }
  }
  for (const HopFamily& family : kHopFamilies) {
    for (const StatusNotice& notice : partitions) {
      for (size_t hop = 0; hop < kHops; ++hop) {
        if (notice.hops[hop].count == 0) continue;
        text.Gauge(family.name, family.help, family.value(notice.hops[hop]),
                   HopLabels(notice, hop));
      }
    }
  }
}

}  // namespace

metrics::Report MakeReport(const std::vector<StatusNotice>& partitions,
                           bool store_read) {
  metrics::Text text;
  for (const GaugeFamily& family : kGauges) {
    for (const StatusNotice& notice : partitions) {
      if (!notice.owns) continue;
      text.Gauge(family.name, family.help, family.value(notice),
                 PartitionLabel(notice));
    }
  }
  for (const StatusNotice& notice : partitions) {
    for (const auto& [kind, count] : notice.decisions) {
      text.Counter("azurepass_decisions_total", "decisions by kind", count,
                   PartitionLabel(notice) + "," + metrics::Label("kind", kind));
    }
  }
  for (const StatusNotice& notice : partitions) {
    if (!notice.owns) continue;
    text.Counter("azurepass_unordered_starts_preempted_total",
                 "starts preempted before their worker had them",
                 notice.status.unordered_preempted, PartitionLabel(notice));
  }
  AddHops(partitions, text);
  metrics::Report report{text.Take(), std::nullopt};
  if (!store_read) report.not_ready = "the store was not read yet";
  return report;
}

}  // namespace azurepass::scheduling
