// See takeover_meter.h. A line reads
//
//   outcome=complete total_ms=812 journal_ms=90 fenced_ms=131 ...
//       workers=126 answered=125 silent=0 stopped=1 gone=0 ... missing=none
//
// with the milliseconds from the claim to each step. What has not come yet, or
// was not needed, is left out.

#include "azurepass/scheduling/internal/takeover_meter.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace azurepass::scheduling {
namespace {

constexpr auto kStepNames = std::to_array<std::string_view>(
    {"journal", "fenced", "owns", "first_session", "first_proof", "configured",
     "may_start", "allowances", "permit_asked", "permit", "start", "requeue"});

// Silent workers named in a line.
constexpr size_t kMostNamed = 8;

std::string Millis(std::chrono::nanoseconds elapsed) {
  return std::to_string(std::chrono::duration_cast<Duration>(elapsed).count());
}

std::string Field(std::string_view name, int64_t value) {
  return " " + std::string(name) + "=" + std::to_string(value);
}

}  // namespace

void TakeoverMeter::Begin(MonotonicTime now) {
  takeover_.emplace(now);
  ++figures_.begun;
}

void TakeoverMeter::Mark(Step step, MonotonicTime now) {
  std::optional<MonotonicTime>& at = takeover_->steps[step];
  if (!at) at = now;
}

void TakeoverMeter::SetWorker(const VmId& vm, WorkerState state,
                              MonotonicTime now) {
  const auto [worker, inserted] =
      takeover_->workers.try_emplace(vm, WorkerState::kSilent);
  if (inserted) ++takeover_->silent;
  if (worker->second == WorkerState::kSilent) --takeover_->silent;
  worker->second = state;
  if (state == WorkerState::kSilent) ++takeover_->silent;
  if (takeover_->silent == 0) takeover_->last_settled = now;
}

void TakeoverMeter::OnEvent(const partition::Event& event, MonotonicTime now) {
  if (!takeover_) return;
  Takeover& t = *takeover_;
  std::visit(
      Visitor{
          [&](const partition::JournalLoaded&) { Mark(kJournalRead, now); },
          [&](const partition::LoadFailed&) { ++t.load_failures; },
          [&](const partition::Appended& e) { OnAppended(e.number, now); },
          [&](const partition::AppendFound& e) {
            if (e.existing) OnAppended(e.number, now);
          },
          [&](const partition::ConfigurationChanged&) {
            Mark(kConfigured, now);
          },
          [&](const partition::FreshnessChanged& e) {
            t.may_start = e.may_start;
            if (e.may_start) Mark(kMayStart, now);
          },
          [&](const partition::AllowancesChanged&) { Mark(kAllowances, now); },
          [&](const partition::PermitsIssued& e) { OnPermits(e, now); },
          [&](const partition::WorkerSessionOpened& e) {
            Mark(kFirstSession, now);
            SetWorker(e.vm, WorkerState::kAnswered, now);
            ++t.unproven;
          },
          [&](const partition::WorkerReported& e) {
            t.ends += std::count_if(
                e.events.begin(), e.events.end(), [](const WorkerEvent& end) {
                  return end.kind != WorkerEventKind::kStarted &&
                         end.number > 0;
                });
          },
          [](const auto&) {}},
      event);
}

void TakeoverMeter::OnAppended(int64_t number, MonotonicTime now) {
  Takeover& t = *takeover_;
  if (!t.proof_batch || number < *t.proof_batch) return;
  Mark(kFirstProof, now);
  t.proof_batch.reset();
  if (t.unproven == 0) t.last_proof = now;
}

void TakeoverMeter::OnPermits(const partition::PermitsIssued& issued,
                              MonotonicTime now) {
  Takeover& t = *takeover_;
  if (!issued.permits) {
    ++t.permits_failed;
    return;
  }
  const int64_t granted = std::ssize(*issued.permits);
  t.permits_granted += granted;
  t.permits_denied += std::ssize(issued.requested) - granted;
  if (granted > 0) Mark(kPermitGranted, now);
}

void TakeoverMeter::OnAction(const partition::Action& action,
                             MonotonicTime now) {
  if (!takeover_) return;
  Takeover& t = *takeover_;
  std::visit(
      Visitor{
          [&](const partition::OpenSession& a) {
            Mark(kFenced, now);
            const auto known = t.workers.find(a.worker.vm);
            if (known == t.workers.end() ||
                known->second == WorkerState::kGone) {
              SetWorker(a.worker.vm, WorkerState::kSilent, now);
            }
          },
          [&](const partition::CloseSession& a) {
            const auto known = t.workers.find(a.vm);
            if (known != t.workers.end() &&
                known->second == WorkerState::kSilent) {
              SetWorker(a.vm, WorkerState::kGone, now);
            }
          },
          [&](const partition::AppendBatch& a) {
            if (t.unproven == 0) return;
            t.unproven = 0;
            t.proof_batch = a.batch.number;
          },
          [&](const partition::RequestPermits&) { Mark(kPermitAsked, now); },
          [&](const partition::SendOrders& a) {
            const bool starts = std::any_of(
                a.orders.begin(), a.orders.end(), [](const Order& order) {
                  return std::holds_alternative<StartTask>(order);
                });
            if (starts) Mark(kFirstStart, now);
          },
          [&](const partition::LogDecision& a) { OnDecision(a, now); },
          [](const auto&) {}},
      action);
}

void TakeoverMeter::OnDecision(const partition::LogDecision& decision,
                               MonotonicTime now) {
  if (decision.kind == "requeue") {
    Mark(kFirstRequeue, now);
  } else if (decision.kind == "adopt") {
    ++takeover_->adopted;
  } else if (decision.kind == "worker_stopped") {
    const auto known = takeover_->workers.find(decision.vm);
    if (known != takeover_->workers.end() &&
        known->second == WorkerState::kSilent) {
      SetWorker(decision.vm, WorkerState::kStopped, now);
    }
  }
}

void TakeoverMeter::OnHandled(bool owns, MonotonicTime now) {
  if (!takeover_) return;
  takeover_->owns = owns;
  if (!owns) return;
  Mark(kFenced, now);
  Mark(kOwns, now);
}

std::vector<std::string_view> TakeoverMeter::Missing() const {
  const Takeover& t = *takeover_;
  std::vector<std::string_view> missing;
  const auto require = [&](bool done, std::string_view name) {
    if (!done) missing.push_back(name);
  };
  require(t.steps[kJournalRead].has_value(), "journal");
  require(t.steps[kFenced].has_value(), "first_append");
  require(t.owns, "owns");
  require(t.silent == 0, "sessions");
  require(t.unproven == 0 && !t.proof_batch, "proof");
  require(t.steps[kConfigured].has_value(), "configuration");
  require(t.may_start, "may_start");
  require(t.steps[kAllowances].has_value(), "allowances");
  return missing;
}

MonotonicTime TakeoverMeter::CompletedAt() const {
  const Takeover& t = *takeover_;
  MonotonicTime at = t.begun;
  for (const Step step :
       {kJournalRead, kFenced, kOwns, kConfigured, kMayStart, kAllowances}) {
    at = std::max(at, t.steps[step].value_or(at));
  }
  at = std::max(at, t.last_settled.value_or(at));
  return std::max(at, t.last_proof.value_or(at));
}

bool TakeoverMeter::IsDue(MonotonicTime now) const {
  if (!takeover_) return false;
  const bool late = now - takeover_->begun >= kLateTakeover;
  return (late && !takeover_->late_line_written) || Missing().empty();
}

std::string TakeoverMeter::TakeLine(const placement::CellStatus& cell,
                                    MonotonicTime now) {
  if (!takeover_) return "";
  Takeover& t = *takeover_;
  std::vector<std::string_view> missing = Missing();
  const bool awaits_start = cell.queued_tasks > 0 && !t.steps[kFirstStart];
  const std::string cell_text = Field("queued", cell.queued_tasks) +
                                Field("committed", cell.committed_tasks);
  if (missing.empty() &&
      (!awaits_start || now - CompletedAt() >= kFirstStartWait)) {
    const MonotonicTime at = CompletedAt();
    ++figures_.completed;
    figures_.longest = std::max(
        figures_.longest, std::chrono::duration_cast<Duration>(at - t.begun));
    if (awaits_start) missing.push_back("start");
    std::string line = Line("complete", missing, at) + cell_text;
    takeover_.reset();
    return line;
  }
  if (t.late_line_written || now - t.begun < kLateTakeover) return "";
  t.late_line_written = true;
  if (!missing.empty()) ++figures_.late;
  if (awaits_start) missing.push_back("start");
  return Line("incomplete", missing, now) + cell_text;
}

std::string TakeoverMeter::TakeLastLine(MonotonicTime now) {
  if (!takeover_) return "";
  const std::vector<std::string_view> missing = Missing();
  if (missing.empty()) {
    ++figures_.completed;
  } else {
    ++figures_.abandoned;
  }
  std::string line = Line("abandoned", missing, now);
  takeover_.reset();
  return line;
}

std::string TakeoverMeter::Line(std::string_view outcome,
                                const std::vector<std::string_view>& missing,
                                MonotonicTime now) const {
  const Takeover& t = *takeover_;
  std::string line =
      "outcome=" + std::string(outcome) + " total_ms=" + Millis(now - t.begun);
  for (size_t step = 0; step < kSteps; ++step) {
    if (!t.steps[step]) continue;
    line += " " + std::string(kStepNames[step]) +
            "_ms=" + Millis(*t.steps[step] - t.begun);
  }
  if (t.silent == 0 && t.last_settled) {
    line += " last_session_ms=" + Millis(*t.last_settled - t.begun);
  }
  if (t.last_proof) line += " last_proof_ms=" + Millis(*t.last_proof - t.begun);
  std::array<int64_t, 4> workers{};
  std::string named;
  size_t names = 0;
  for (const auto& [vm, state] : t.workers) {
    ++workers[static_cast<size_t>(state)];
    if (state != WorkerState::kSilent || names >= kMostNamed) continue;
    named += (names++ == 0 ? " silent_vms=" : ",") + vm.value();
  }
  const auto in = [&](WorkerState state) {
    return workers[static_cast<size_t>(state)];
  };
  line += Field("workers", std::ssize(t.workers)) +
          Field("answered", in(WorkerState::kAnswered)) +
          Field("silent", in(WorkerState::kSilent)) +
          Field("stopped", in(WorkerState::kStopped)) +
          Field("gone", in(WorkerState::kGone)) + named +
          Field("ends", t.ends) + Field("adopted", t.adopted) +
          Field("permits_granted", t.permits_granted) +
          Field("permits_denied", t.permits_denied) +
          Field("permits_failed", t.permits_failed) +
          Field("load_failures", t.load_failures) + " missing=";
  if (missing.empty()) return line + "none";
  for (size_t i = 0; i < missing.size(); ++i) {
    line += (i == 0 ? "" : ",") + std::string(missing[i]);
  }
  return line;
}

}  // namespace azurepass::scheduling
