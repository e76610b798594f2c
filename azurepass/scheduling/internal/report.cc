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
    {"azurepass_workers_slow", "workers that are slower than others",
     [](const StatusNotice& n) { return Count(n.status.cell.slow_workers); }},
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

// What is counted of each partition's takeovers.
struct TakeoverFamily {
  const char* name;
  const char* help;
  int64_t (*value)(const TakeoverFigures&);
};
constexpr TakeoverFamily kTakeoverFamilies[] = {
    {"azurepass_takeovers_total", "takeovers begun",
     [](const TakeoverFigures& f) { return f.begun; }},
    {"azurepass_takeovers_completed_total", "takeovers completed",
     [](const TakeoverFigures& f) { return f.completed; }},
    {"azurepass_takeovers_late_total", "takeovers incomplete after 3 s",
     [](const TakeoverFigures& f) { return f.late; }},
    {"azurepass_takeovers_abandoned_total", "takeovers lost before their end",
     [](const TakeoverFigures& f) { return f.abandoned; }},
};

void AddTakeovers(const std::vector<StatusNotice>& partitions,
                  metrics::Text& text) {
  for (const TakeoverFamily& family : kTakeoverFamilies) {
    for (const StatusNotice& notice : partitions) {
      if (notice.takeovers.begun == 0) continue;
      text.Counter(family.name, family.help, family.value(notice.takeovers),
                   PartitionLabel(notice));
    }
  }
  for (const StatusNotice& notice : partitions) {
    if (notice.takeovers.completed == 0) continue;
    text.Gauge("azurepass_takeover_longest_seconds",
               "longest takeover completed since the start",
               Seconds(notice.takeovers.longest), PartitionLabel(notice));
  }
}

void AddRefusedStarts(const std::vector<StatusNotice>& partitions,
                      metrics::Text& text) {
  for (const StatusNotice& notice : partitions) {
    for (const auto& [reason, count] : notice.refused_starts) {
      text.Counter(
          "azurepass_starts_refused_total", "starts refused by workers", count,
          PartitionLabel(notice) + "," + metrics::Label("reason", reason));
    }
  }
}

void AddClaims(const std::map<PartitionId, ClaimFigures>& claims,
               metrics::Text& text) {
  const auto label = [](const PartitionId& partition) {
    return metrics::Label("partition", partition.value());
  };
  for (const auto& [partition, figures] : claims) {
    if (figures.taken == 0) continue;
    text.Counter("azurepass_claims_taken_total", "claims of partitions taken",
                 figures.taken, label(partition));
  }
  for (const auto& [partition, figures] : claims) {
    if (figures.handed_over == 0) continue;
    text.Counter("azurepass_claims_handed_over_total", "claims given back",
                 figures.handed_over, label(partition));
  }
  for (const auto& [partition, figures] : claims) {
    for (const auto& [reason, count] : figures.refused) {
      text.Counter("azurepass_claims_refused_total", "claims not taken", count,
                   label(partition) + "," + metrics::Label("reason", reason));
    }
  }
  for (const auto& [partition, figures] : claims) {
    for (const auto& [reason, count] : figures.lost) {
      text.Counter("azurepass_claims_lost_total", "claims lost", count,
                   label(partition) + "," + metrics::Label("reason", reason));
    }
  }
}

}  // namespace

metrics::Report MakeReport(const std::vector<StatusNotice>& partitions,
                           const std::map<PartitionId, ClaimFigures>& claims,
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
  for (const StatusNotice& notice : partitions) {
    for (const auto& [queue, count] : notice.status.refused_submissions) {
      text.Counter("azurepass_submissions_refused_total",
                   "submissions refused because they would start too late",
                   count,
                   PartitionLabel(notice) + "," +
                       metrics::Label("queue", queue.value()));
    }
  }
  AddClaims(claims, text);
  AddTakeovers(partitions, text);
  AddRefusedStarts(partitions, text);
  AddHops(partitions, text);
  metrics::Report report{text.Take(), std::nullopt};
  if (!store_read) report.not_ready = "the store was not read yet";
  return report;
}

}  // namespace azurepass::scheduling
