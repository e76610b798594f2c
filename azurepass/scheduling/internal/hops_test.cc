// Hops are measured from the events and actions at the owner's boundary, and
// what is open is bounded.

#include "azurepass/scheduling/internal/hops.h"

#include <doctest/doctest.h>

#include "azurepass/scheduling/internal/report.h"

namespace azurepass::scheduling {
namespace {

using std::chrono::milliseconds;

const MonotonicTime kStart{std::chrono::hours(1)};
const PartitionId kPartition("p");

MonotonicTime At(int ms) { return kStart + milliseconds(ms); }

AttemptId Attempt(int32_t number = 1) {
  return {{MakeJobId(kPartition, StepId{RequestId("r"), 0, 0}), 0}, number};
}

partition::LogDecision Decision(std::string kind) {
  const AttemptId attempt = Attempt();
  return {std::move(kind), attempt.task, attempt.attempt, VmId("w"), {}, ""};
}

partition::LogDecision Accept() {
  return {"accept", {JobId("r"), 0}, 0, VmId(), {}, ""};
}

partition::WorkerReported Reported(int64_t number, WorkerEventKind kind) {
  WorkerEvent event;
  event.number = number;
  event.attempt = Attempt();
  event.kind = kind;
  return {VmId("w"), Epoch{1}, {event}, {}};
}

partition::RequestReceived Received(int64_t token,
                                    partition::JobRequest request) {
  return {{token}, std::move(request), At(3'000)};
}

partition::Batch BatchOf(int64_t number) { return {number, Epoch{1}, 0, {}}; }

struct Case {
  const char* name;
  Hop hop;
  // What begins the hop at 0 ms and ends it at 40 ms.
  std::variant<partition::Event, partition::Action> begin;
  std::variant<partition::Event, partition::Action> end;
};

void Show(HopMeter& meter,
          const std::variant<partition::Event, partition::Action>& seen,
          MonotonicTime now) {
  std::visit(
      Visitor{[&](const partition::Event& e) { meter.OnEvent(e, now); },
              [&](const partition::Action& a) { meter.OnAction(a, now); }},
      seen);
}

std::vector<Case> Cases() {
  using partition::Action;
  using partition::Event;
  const Action start =
      partition::SendOrders{VmId("w"), {StartTask{Attempt(), TeamId("t"), {}}}};
  const Action answer = partition::Answer{{7}, Refusal{}};
  return {
      {"submit", Hop::kSubmit, Event(Received(7, partition::SubmitWorkflow{})),
       answer},
      {"cancel", Hop::kCancel, Event(Received(7, partition::CancelWorkflow{})),
       answer},
      {"read", Hop::kRead, Event(Received(7, partition::GetWorkflow{})),
       answer},
      {"append", Hop::kAppend, Action(partition::AppendBatch{BatchOf(4)}),
       Event(partition::Appended{Epoch{1}, 4})},
      {"append that may have happened", Hop::kAppend,
       Action(partition::AppendBatch{BatchOf(4)}),
       Event(partition::AppendUnknown{Epoch{1}, 4})},
      {"permit", Hop::kPermit,
       Action(partition::RequestPermits{JobId("j"), {}, {}}),
       Event(partition::PermitsIssued{JobId("j"), {}, {}, {}})},
      {"first start", Hop::kFirstStart, Action(Accept()),
       Action(Decision("start"))},
      {"order", Hop::kOrder, Action(Decision("start")), start},
      {"confirm", Hop::kConfirm, start,
       Event(Reported(0, WorkerEventKind::kStarted))},
      {"end", Hop::kEnd, Event(Reported(3, WorkerEventKind::kSucceeded)),
       Action(partition::AcknowledgeEvents{VmId("w"), 3})},
  };
}

TEST_CASE("a hop's time is that between its two sides") {
  for (const Case& c : Cases()) {
    CAPTURE(c.name);
    HopMeter meter;
    Show(meter, c.begin, At(0));
    CHECK(meter.Figures(c.hop).count == 0);
    Show(meter, c.end, At(40));
    Show(meter, c.end, At(90));  // Once only.
    CHECK(meter.Figures(c.hop).count == 1);
    CHECK(meter.Figures(c.hop).sum == milliseconds(40));
  }
}

TEST_CASE("a start that was given up before its order is no hop") {
  HopMeter meter;
  meter.OnAction(Decision("start"), At(0));
  meter.OnAction(Decision("requeue"), At(10));
  meter.OnAction(
      partition::SendOrders{VmId("w"), {StartTask{Attempt(), TeamId("t"), {}}}},
      At(20));
  CHECK(meter.Figures(Hop::kOrder).count == 0);
}

TEST_CASE("a loop's lag is how late timers and messages are, never below 0") {
  HopMeter meter;
  meter.OnTimer(At(100), At(130));
  meter.OnTimer(At(100), At(99));
  meter.OnMessage(At(130), At(135));
  CHECK(meter.Figures(Hop::kTimer).sum == milliseconds(30));
  CHECK(meter.Figures(Hop::kTimer).count == 2);
  CHECK(meter.Figures(Hop::kMessage).sum == milliseconds(5));
}

TEST_CASE("a line tells what was seen since the line before") {
  HopMeter meter;
  CHECK(meter.TakeLine(At(0)).empty());
  meter.OnAction(partition::AppendBatch{BatchOf(1)}, At(0));
  meter.OnEvent(partition::Appended{Epoch{1}, 1}, At(5));
  const partition::Event tick = partition::Tick{};
  meter.OnHandled(tick.index(), milliseconds(2));
  CHECK(meter.TakeLine(At(1'000)) ==
        "span_ms=1000 append=1/5.62/5.62 busy_ms=2 on_tick=1/2 open_requests=0 "
        "unstarted=0 unordered=0 unconfirmed=0 unrecorded_ends=0");
  CHECK(meter.TakeLine(At(2'000)).empty());
  CHECK(meter.Figures(Hop::kAppend).count == 1);
}

TEST_CASE("what is open is bounded, and given up with a count") {
  HopMeter meter;
  const auto most = static_cast<int64_t>(HopMeter::kMostOpen);
  for (int64_t i = 0; i < most + 1; ++i) {
    meter.OnEvent(Received(i, partition::GetWorkflow{}), At(0));
    meter.OnAction(partition::AppendBatch{BatchOf(i)}, At(0));
    meter.OnEvent(Reported(i + 1, WorkerEventKind::kSucceeded), At(0));
  }
  meter.OnHandled(0, milliseconds(1));
  const std::string line = meter.TakeLine(At(1'000));
  CHECK(line.find("open_requests=1 ") != std::string::npos);
  CHECK(line.find("unrecorded_ends=1 ") != std::string::npos);
  CHECK(line.find("given_up=" + std::to_string(3 * most)) != std::string::npos);
  meter.Forget();
  meter.OnAction(partition::Answer{{most}, Refusal{}}, At(10));
  CHECK(meter.Figures(Hop::kRead).count == 0);
}

TEST_CASE("metrics name each hop that occurred") {
  StatusNotice notice;
  notice.status.partition = kPartition;
  notice.hops[static_cast<size_t>(Hop::kAppend)] = {
      2, milliseconds(30), milliseconds(10), milliseconds(20)};
  const std::string text = MakeReport({notice}, {}, /*store_read=*/true).text;
  for (const char* line :
       {"azurepass_hops_total{partition=\"p\",hop=\"append\"} 2\n",
        "azurepass_hop_p50_seconds{partition=\"p\",hop=\"append\"} 0.01\n",
        "azurepass_hop_p99_seconds{partition=\"p\",hop=\"append\"} 0.02\n",
        "azurepass_hop_sum_seconds{partition=\"p\",hop=\"append\"} 0.03\n"}) {
    CAPTURE(line);
    CHECK(text.find(line) != std::string::npos);
  }
  CHECK(text.find("hop=\"permit\"") == std::string::npos);
}

TEST_CASE("metrics count the starts that were preempted before their order") {
  StatusNotice notice;
  notice.owns = true;
  notice.status.partition = kPartition;
  notice.status.unordered_preempted = 4;
  const std::string text = MakeReport({notice}, {}, /*store_read=*/true).text;
  CHECK(text.find("azurepass_unordered_starts_preempted_total{partition=\"p\"} "
                  "4\n") != std::string::npos);
}

TEST_CASE(
    "a lost worker's silence is counted when it is known to have stopped") {
  HopMeter meter;
  meter.OnAction(Decision("worker_stopped"), At(0));
  CHECK(meter.Figures(Hop::kWorkerStop).count == 0);
  partition::LogDecision stopped = Decision("worker_stopped");
  stopped.silent = Duration(2'500);
  meter.OnAction(stopped, At(0));
  CHECK(meter.Figures(Hop::kWorkerStop).count == 1);
  CHECK(meter.Figures(Hop::kWorkerStop).sum == milliseconds(2'500));
}

}  // namespace
}  // namespace azurepass::scheduling
