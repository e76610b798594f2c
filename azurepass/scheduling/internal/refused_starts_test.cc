// Refusals are counted by reason, and nothing else is.

#include "azurepass/scheduling/internal/refused_starts.h"

#include <doctest/doctest.h>

#include "azurepass/scheduling/internal/report.h"

namespace azurepass::scheduling {
namespace {

partition::Event Reported(int64_t number, WorkerEventKind kind,
                          const std::string& detail) {
  WorkerEvent event;
  event.number = number;
  event.kind = kind;
  event.detail = detail;
  return partition::WorkerReported{VmId("w"), Epoch{1}, {event}, {}};
}

TEST_CASE("only answers that refuse an order are counted") {
  struct Case {
    int64_t number;
    WorkerEventKind kind;
    bool refused;
  };
  for (const Case& c : {Case{0, WorkerEventKind::kStopped, true},
                        Case{0, WorkerEventKind::kStarted, false},
                        Case{3, WorkerEventKind::kStopped, false},
                        Case{3, WorkerEventKind::kFailed, false}}) {
    RefusedStarts starts;
    starts.OnEvent(Reported(c.number, c.kind, "refused: room"));
    CHECK(starts.by_reason().contains("refused: room") == c.refused);
  }
}

TEST_CASE("reasons are bounded and in the metrics") {
  RefusedStarts starts;
  for (size_t i = 0; i < RefusedStarts::kMostReasons; ++i) {
    starts.OnEvent(Reported(0, WorkerEventKind::kStopped, std::to_string(i)));
  }
  starts.OnEvent(Reported(0, WorkerEventKind::kStopped, "3"));
  starts.OnEvent(Reported(0, WorkerEventKind::kStopped, "one more"));
  starts.OnEvent(Reported(0, WorkerEventKind::kStopped, "and another"));
  StatusNotice notice;
  notice.status.partition = PartitionId("p");
  notice.refused_starts = starts.by_reason();
  const std::string text = MakeReport({notice}, {}, true).text;
  for (const char* sample :
       {"azurepass_starts_refused_total{partition=\"p\",reason=\"3\"} 2\n",
        "azurepass_starts_refused_total{partition=\"p\",reason=\"other\"} "
        "2\n"}) {
    CAPTURE(sample);
    CHECK(text.find(sample) != std::string::npos);
  }
}

}  // namespace
}  // namespace azurepass::scheduling
