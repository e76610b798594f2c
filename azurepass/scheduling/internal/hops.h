// Where the time of a partition's work goes, hop by hop.
//
// A HopMeter watches what an owner is given and what it returns, and so needs
// nothing of the owner: a hop begins with one event or action and ends with
// another. It counts latencies for the metrics since the start of the process,
// and for a line of the log since the line before. The owner's processor is
// what is short under load, so each observation is a look-up in a hash table at
// most, and what is open is bounded.

#ifndef AZUREPASS_SCHEDULING_INTERNAL_HOPS_H_
#define AZUREPASS_SCHEDULING_INTERNAL_HOPS_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "azurepass/core/core.h"
#include "azurepass/metrics/metrics.h"
#include "azurepass/partition/partition.h"

namespace azurepass::scheduling {

enum class Hop {
  kSubmit,      // A submission's arrival to its answer.
  kCancel,      // The same of a cancellation.
  kRead,        // The same of any other request; some wait on purpose.
  kAppend,      // A write of the journal.
  kPermit,      // A question for permits.
  kFirstStart,  // Accepted to the first decision to start one of its tasks.
  kOrder,       // Decided to ordered: the append of the start.
  kConfirm,     // Ordered to the worker's answer.
  kEnd,         // An end's arrival to its acknowledgement: its append.
  kWorkerStop,  // A lost worker's last answer to the proof that it has stopped.
  kTimer,       // A timer's time to its call, a message's sending to its
  kMessage,     // delivery: both grow when the loop has more work than time.
};
inline constexpr size_t kHops = 12;
std::string_view HopName(Hop hop);

// The processor time of the calling thread.
std::chrono::nanoseconds ThreadProcessorTime();

// Since the start of the process.
struct HopFigures {
  int64_t count = 0;
  metrics::Histogram::Elapsed sum{0};
  metrics::Histogram::Elapsed p50{0};
  metrics::Histogram::Elapsed p99{0};
};

class HopMeter {
 public:
  // Of each hop so many are followed at a time. Beyond, all open ones of that
  // hop are given up and counted. More than waits at an owner at the size
  // designed for; some 100 bytes each.
  static constexpr size_t kMostOpen = 8'192;

  HopMeter();

  // Before the owner handles the event, and after.
  void OnEvent(const partition::Event& event, MonotonicTime now);
  void OnAction(const partition::Action& action, MonotonicTime now);
  // The processor time that the owner and the actions took.
  void OnHandled(size_t event_index, std::chrono::nanoseconds processor);
  // How late the loop was.
  void OnTimer(MonotonicTime due, MonotonicTime now);
  void OnMessage(MonotonicTime sent, MonotonicTime now);
  // The owner is gone; what was open has no end.
  void Forget();

  HopFigures Figures(Hop hop) const;
  // The text of one log line about what was seen since the last call; empty if
  // nothing was.
  std::string TakeLine(MonotonicTime now);

 private:
  struct Measured {
    metrics::Histogram since_start;
    metrics::Histogram since_line;
  };
  // When each began.
  template <class Key>
  using Open = absl::flat_hash_map<Key, MonotonicTime>;
  struct Handled {
    int64_t events = 0;
    std::chrono::nanoseconds processor{0};
  };
  struct ListedEnd {
    std::pair<int64_t, int64_t> number;  // And before it, the worker's life.
    MonotonicTime at;
  };

  template <class Key>
  void Begin(Open<Key>& open, const Key& key, MonotonicTime now);
  template <class Key>
  void End(Hop hop, Open<Key>& open, const Key& key, MonotonicTime now);
  void Record(Hop hop, std::chrono::nanoseconds elapsed);

  void OnRequest(const partition::RequestReceived& received, MonotonicTime now);
  void OnReport(const partition::WorkerReported& reported, MonotonicTime now);
  void OnAcknowledged(const partition::AcknowledgeEvents& acknowledged,
                      MonotonicTime now);
  void OnDecision(const partition::LogDecision& decision, MonotonicTime now);
  void OnOrders(const partition::SendOrders& orders, MonotonicTime now);

  std::array<Measured, kHops> measured_;
  std::array<Handled, std::variant_size_v<partition::Event>> handled_{};

  // Invariant: none has more than kMostOpen elements.
  absl::flat_hash_map<int64_t, std::pair<Hop, MonotonicTime>> requests_;
  Open<int64_t> appends_;  // By the batch's number.
  Open<JobId> permits_;
  Open<std::string> accepted_;  // Requests of workflows without a start.
  Open<AttemptId> decided_;     // Not ordered yet.
  Open<AttemptId> ordered_;     // Not confirmed yet.
  absl::flat_hash_map<VmId, std::vector<ListedEnd>> ends_;  // By number.
  size_t open_ends_ = 0;                                    // In all of ends_.

  int64_t given_up_ = 0;  // Since the last line.
  MonotonicTime line_at_{};
};

}  // namespace azurepass::scheduling

#endif  // AZUREPASS_SCHEDULING_INTERNAL_HOPS_H_
