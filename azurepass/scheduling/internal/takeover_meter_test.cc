// A takeover is measured from the events and actions at the owner's boundary,
// and its line names what is missing.

#include "azurepass/scheduling/internal/takeover_meter.h"

#include <doctest/doctest.h>

#include <variant>
#include <vector>

#include "azurepass/scheduling/internal/report.h"

namespace azurepass::scheduling {
namespace {

using std::chrono::milliseconds;

const MonotonicTime kStart{std::chrono::hours(1)};

MonotonicTime At(int64_t ms) { return kStart + milliseconds(ms); }

// After an event of which nothing is to be seen but the phase.
struct Owns {};
using Seen = std::variant<partition::Event, partition::Action, Owns>;
struct Step {
  const char* name;  // Of what is missing without it.
  std::vector<Seen> seen;
};

void Show(TakeoverMeter& meter, const Seen& seen, MonotonicTime now) {
  std::visit(
      Visitor{[&](const partition::Event& e) { meter.OnEvent(e, now); },
              [&](const partition::Action& a) { meter.OnAction(a, now); },
              [&](const Owns&) { meter.OnHandled(true, now); }},
      seen);
}

Seen Open(const char* vm) {
  WorkerSpec spec;
  spec.vm = VmId(vm);
  return partition::Action(partition::OpenSession{spec, Epoch{3}});
}

Seen Opened(const char* vm) {
  return partition::Event(
      partition::WorkerSessionOpened{VmId(vm), Epoch{3}, {}});
}

Seen Append(int64_t number) {
  return partition::Action(
      partition::AppendBatch{partition::Batch{number, Epoch{3}, 0, {}}});
}

Seen Appended(int64_t number) {
  return partition::Event(partition::Appended{Epoch{3}, number});
}

Seen Decision(std::string kind, const char* vm = "w") {
  return partition::Action(
      partition::LogDecision{std::move(kind), {}, 0, VmId(vm), {}, ""});
}

Seen Start() {
  return partition::Action(partition::SendOrders{
      VmId("w"), {StartTask{AttemptId{}, TeamId("t"), {}}}});
}

// All that a takeover of a partition with one worker needs, in its order.
std::vector<Step> Steps() {
  return {
      {"journal",
       {partition::Event(partition::JournalLoaded{Epoch{3}, {}, {}})}},
      {"configuration", {partition::Event(partition::ConfigurationChanged{})}},
      {"may_start", {partition::Event(partition::FreshnessChanged{true, {}})}},
      {"allowances", {partition::Event(partition::AllowancesChanged{})}},
      {"sessions", {Open("w"), Opened("w")}},
      {"proof", {Append(5), Appended(5)}},
      {"owns", {Owns{}}},
  };
}

placement::CellStatus Queued(int64_t tasks) {
  placement::CellStatus cell;
  cell.queued_tasks = tasks;
  return cell;
}

bool Has(const std::string& line, const std::string& field) {
  return (line + " ").find(" " + field + " ") != std::string::npos;
}

// Shows all steps, 10 ms apart from 10 ms on.
void ShowAll(TakeoverMeter& meter, const std::string& but = "") {
  int64_t at = 0;
  for (const Step& step : Steps()) {
    at += 10;
    if (step.name == but) continue;
    for (const Seen& seen : step.seen) Show(meter, seen, At(at));
  }
}

TEST_CASE("a complete takeover has one line with the time of each step") {
  TakeoverMeter meter;
  meter.Begin(At(0));
  ShowAll(meter);
  REQUIRE(meter.IsDue(At(100)));
  const std::string line = meter.TakeLine(Queued(0), At(100));
  CHECK(line.starts_with("outcome=complete total_ms=70 "));
  for (const char* field :
       {"journal_ms=10", "configured_ms=20", "may_start_ms=30",
        "allowances_ms=40", "first_session_ms=50", "last_session_ms=50",
        "first_proof_ms=60", "last_proof_ms=60", "owns_ms=70", "workers=1",
        "answered=1", "silent=0", "missing=none", "queued=0"}) {
    CAPTURE(field);
    CHECK(Has(line, field));
  }
  CHECK_FALSE(meter.IsDue(At(9'000)));
  CHECK(meter.TakeLine(Queued(0), At(9'000)).empty());
  CHECK(meter.TakeLastLine(At(9'000)).empty());
  CHECK(meter.figures().completed == 1);
  CHECK(meter.figures().longest == Duration(70));
  CHECK(meter.figures().late == 0);
}

TEST_CASE("an incomplete takeover has a line that names each missing step") {
  for (const Step& step : Steps()) {
    CAPTURE(step.name);
    TakeoverMeter meter;
    meter.Begin(At(0));
    ShowAll(meter, step.name);
    if (std::string(step.name) == "sessions") Show(meter, Open("w"), At(50));
    if (std::string(step.name) == "proof") Show(meter, Append(5), At(60));
    CHECK_FALSE(meter.IsDue(At(2'999)));
    REQUIRE(meter.IsDue(At(3'000)));
    const std::string line = meter.TakeLine(Queued(0), At(3'000));
    CHECK(line.starts_with("outcome=incomplete total_ms=3000 "));
    CHECK(Has(line, "missing=" + std::string(step.name)));
    CHECK(meter.TakeLine(Queued(0), At(3'100)).empty());  // Once.
    CHECK(meter.figures().late == 1);
    const std::string last = meter.TakeLastLine(At(4'000));
    CHECK(last.starts_with("outcome=abandoned total_ms=4000 "));
    CHECK(meter.figures().abandoned == 1);
    CHECK(meter.figures().completed == 0);
  }
}

TEST_CASE("a silent worker is named until it answers or has stopped") {
  TakeoverMeter meter;
  meter.Begin(At(0));
  Show(meter, Open("w2"), At(5));
  Show(meter, Open("w3"), At(5));
  ShowAll(meter);
  const std::string line = meter.TakeLine(Queued(0), At(3'000));
  CHECK(Has(line, "workers=3"));
  CHECK(Has(line, "silent=2"));
  CHECK(line.find("silent_vms=") != std::string::npos);
  Show(meter, Decision("worker_stopped", "w2"), At(3'100));
  CHECK_FALSE(meter.IsDue(At(3'100)));
  Show(meter, partition::Action(partition::CloseSession{VmId("w3")}),
       At(3'200));
  REQUIRE(meter.IsDue(At(3'200)));
  const std::string done = meter.TakeLine(Queued(0), At(3'300));
  CHECK(done.starts_with("outcome=complete total_ms=3200 "));
  CHECK(Has(done, "stopped=1"));
  CHECK(Has(done, "gone=1"));
}

TEST_CASE("with tasks queued, the line waits for the first start") {
  TakeoverMeter meter;
  meter.Begin(At(0));
  ShowAll(meter);
  CHECK(meter.TakeLine(Queued(4), At(100)).empty());
  const std::string late = meter.TakeLine(Queued(4), At(3'000));
  CHECK(late.starts_with("outcome=incomplete "));
  CHECK(Has(late, "missing=start"));
  CHECK(meter.figures().late == 0);
  SUBCASE("until it comes") {
    Show(meter, Start(), At(3'500));
    const std::string line = meter.TakeLine(Queued(3), At(3'600));
    CHECK(line.starts_with("outcome=complete total_ms=70 "));
    CHECK(Has(line, "start_ms=3500"));
  }
  SUBCASE("for a bounded time") {
    const std::string line = meter.TakeLine(Queued(4), At(10'070));
    CHECK(line.starts_with("outcome=complete total_ms=70 "));
    CHECK(Has(line, "missing=start"));
  }
}

TEST_CASE("ends, permits and adopted tasks are counted") {
  TakeoverMeter meter;
  meter.Begin(At(0));
  WorkerEvent end;
  end.number = 1;
  end.kind = WorkerEventKind::kFailed;
  WorkerEvent answer;  // To an order.
  answer.kind = WorkerEventKind::kStopped;
  Show(meter,
       partition::Event(
           partition::WorkerReported{VmId("w"), Epoch{3}, {end, answer}, {}}),
       At(1));
  Show(meter, Decision("adopt"), At(2));
  Show(meter, Decision("requeue"), At(3));
  Show(meter, partition::Action(partition::RequestPermits{JobId("j"), {}, {}}),
       At(4));
  Show(meter,
       partition::Event(partition::PermitsIssued{
           JobId("j"), {VmId("a"), VmId("b")}, {{{VmId("a"), "x"}}}, {}}),
       At(5));
  Show(meter,
       partition::Event(partition::PermitsIssued{JobId("j"), {}, {}, {}}),
       At(6));
  const std::string line = meter.TakeLastLine(At(7));
  for (const char* field :
       {"ends=1", "adopted=1", "requeue_ms=3", "permit_asked_ms=4",
        "permit_ms=5", "permits_granted=1", "permits_denied=1",
        "permits_failed=1"}) {
    CAPTURE(field);
    CHECK(Has(line, field));
  }
}

TEST_CASE("figures of takeovers and claims are in the metrics") {
  StatusNotice notice;
  notice.status.partition = PartitionId("p");
  notice.takeovers = {17, 2, 9, 14, Duration(4'500)};
  ClaimFigures claims;
  claims.taken = 17;
  claims.lost["authority_ended"] = 12;
  claims.refused["conflict"] = 3;
  const std::string text =
      MakeReport({notice}, {{PartitionId("p"), claims}}, true).text;
  for (const char* sample :
       {"azurepass_takeovers_total{partition=\"p\"} 17\n",
        "azurepass_takeovers_completed_total{partition=\"p\"} 2\n",
        "azurepass_takeovers_late_total{partition=\"p\"} 9\n",
        "azurepass_takeovers_abandoned_total{partition=\"p\"} 14\n",
        "azurepass_takeover_longest_seconds{partition=\"p\"} 4.5\n",
        "azurepass_claims_taken_total{partition=\"p\"} 17\n",
        "azurepass_claims_refused_total{partition=\"p\",reason=\"conflict\"} 3"
        "\n",
        "azurepass_claims_lost_total{partition=\"p\","
        "reason=\"authority_ended\"} 12\n"}) {
    CAPTURE(sample);
    CHECK(text.find(sample) != std::string::npos);
  }
}

}  // namespace
}  // namespace azurepass::scheduling
