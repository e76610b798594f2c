// See hops.h. A line reads
//
//   span_ms=1000 submit=12/3.2/18 ... busy_ms=61 reported=230/31 ... waits=3,1
//
// with a hop's count, median and 99th percentile in milliseconds (upper edges
// of the histogram's buckets), and an event's count and processor time in
// milliseconds. What did not occur is left out.

#include "azurepass/scheduling/internal/hops.h"

#include <algorithm>
#include <cstdio>
#include <ctime>

namespace azurepass::scheduling {
namespace {

using metrics::Histogram;

constexpr auto kHopNames = std::to_array<std::string_view>(
    {"submit", "cancel", "read", "append", "permit", "first_start", "order",
     "confirm", "end", "worker_stop", "timer", "message"});
static_assert(kHopNames.size() == kHops);

// In the order of the alternatives of partition::Event.
constexpr auto kEventNames = std::to_array<std::string_view>(
    {"claim_won",     "release_wanted", "claim_lost",   "loaded",
     "load_failed",   "appended",       "found",        "append_unknown",
     "append_failed", "snapshot",       "silence_read", "silence_written",
     "configuration", "freshness",      "allowances",   "workers",
     "permits",       "session",        "reported",     "fenced",
     "unreachable",   "replaced",       "request",      "tick"});
static_assert(kEventNames.size() == std::variant_size_v<partition::Event>);

Hop HopOf(const partition::JobRequest& request) {
  return std::visit(
      Visitor{[](const partition::SubmitJob&) { return Hop::kSubmit; },
              [](const partition::SubmitWorkflow&) { return Hop::kSubmit; },
              [](const partition::CancelJob&) { return Hop::kCancel; },
              [](const partition::CancelWorkflow&) { return Hop::kCancel; },
              [](const auto&) { return Hop::kRead; }},
      request);
}

double Millis(std::chrono::nanoseconds elapsed) {
  return std::chrono::duration<double, std::milli>(elapsed).count();
}

std::string Short(double value) {
  char buffer[32];
  const int size = std::snprintf(buffer, sizeof(buffer), "%.3g", value);
  return {buffer, static_cast<size_t>(size)};
}

std::string Short(Histogram::Elapsed elapsed) {
  return elapsed == Histogram::Elapsed::max() ? "inf" : Short(Millis(elapsed));
}

}  // namespace

std::string_view HopName(Hop hop) {
  return kHopNames[static_cast<size_t>(hop)];
}

std::chrono::nanoseconds ThreadProcessorTime() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::nanoseconds(time.tv_nsec);
}

HopMeter::HopMeter() = default;

template <class Key>
void HopMeter::Begin(Open<Key>& open, const Key& key, MonotonicTime now) {
  if (open.size() >= kMostOpen) {
    given_up_ += std::ssize(open);
    open.clear();
  }
  open.try_emplace(key, now);
}

template <class Key>
void HopMeter::End(Hop hop, Open<Key>& open, const Key& key,
                   MonotonicTime now) {
  const auto found = open.find(key);
  if (found == open.end()) return;
  Record(hop, now - found->second);
  open.erase(found);
}

void HopMeter::Record(Hop hop, std::chrono::nanoseconds elapsed) {
  Measured& measured = measured_[static_cast<size_t>(hop)];
  measured.since_start.Record(elapsed);
  measured.since_line.Record(elapsed);
}

void HopMeter::OnEvent(const partition::Event& event, MonotonicTime now) {
  std::visit(
      Visitor{[&](const partition::RequestReceived& e) { OnRequest(e, now); },
              [&](const partition::WorkerReported& e) { OnReport(e, now); },
              [&](const partition::Appended& e) {
                End(Hop::kAppend, appends_, e.number, now);
              },
              [&](const partition::AppendFound& e) {
                End(Hop::kAppend, appends_, e.number, now);
              },
              [&](const partition::AppendUnknown& e) {
                End(Hop::kAppend, appends_, e.number, now);
              },
              [&](const partition::AppendUnavailable& e) {
                End(Hop::kAppend, appends_, e.number, now);
              },
              [&](const partition::PermitsIssued& e) {
                End(Hop::kPermit, permits_, e.job, now);
              },
              [](const auto&) {}},
      event);
}

void HopMeter::OnRequest(const partition::RequestReceived& received,
                         MonotonicTime now) {
  if (requests_.size() >= kMostOpen) {
    given_up_ += std::ssize(requests_);
    requests_.clear();
  }
  requests_.try_emplace(received.token.value,
                        std::pair(HopOf(received.request), now));
}

void HopMeter::OnReport(const partition::WorkerReported& reported,
                        MonotonicTime now) {
  for (const WorkerEvent& event : reported.events) {
    if (event.kind == WorkerEventKind::kStarted) {
      End(Hop::kConfirm, ordered_, event.attempt, now);
      continue;
    }
    // A refused order, or an end whose start was not answered yet.
    ordered_.erase(event.attempt);
    if (event.number == 0) continue;
    if (open_ends_ >= kMostOpen) {
      given_up_ += static_cast<int64_t>(open_ends_);
      ends_.clear();
      open_ends_ = 0;
    }
    ends_[reported.vm].push_back({{event.life, event.number}, now});
    ++open_ends_;
  }
}

void HopMeter::OnAcknowledged(const partition::AcknowledgeEvents& acknowledged,
                              MonotonicTime now) {
  const auto found = ends_.find(acknowledged.vm);
  if (found == ends_.end()) return;
  std::vector<ListedEnd>& ends = found->second;
  const auto open =
      std::find_if(ends.begin(), ends.end(), [&](const ListedEnd& listed) {
        return listed.number >
               std::pair(acknowledged.life, acknowledged.number);
      });
  for (auto end = ends.begin(); end != open; ++end) {
    Record(Hop::kEnd, now - end->at);
    --open_ends_;
  }
  ends.erase(ends.begin(), open);
  if (ends.empty()) ends_.erase(found);
}

void HopMeter::OnAction(const partition::Action& action, MonotonicTime now) {
  std::visit(
      Visitor{[&](const partition::AppendBatch& a) {
                Begin(appends_, a.batch.number, now);
              },
              [&](const partition::RequestPermits& a) {
                Begin(permits_, a.job, now);
              },
              [&](const partition::Answer& a) {
                const auto found = requests_.find(a.token.value);
                if (found == requests_.end()) return;
                Record(found->second.first, now - found->second.second);
                requests_.erase(found);
              },
              [&](const partition::SendOrders& a) { OnOrders(a, now); },
              [&](const partition::AcknowledgeEvents& a) {
                OnAcknowledged(a, now);
              },
              [&](const partition::LogDecision& a) { OnDecision(a, now); },
              [](const auto&) {}},
      action);
}

void HopMeter::OnOrders(const partition::SendOrders& orders,
                        MonotonicTime now) {
  for (const Order& order : orders.orders) {
    const auto* start = std::get_if<StartTask>(&order);
    if (start == nullptr) continue;
    End(Hop::kOrder, decided_, start->attempt, now);
    Begin(ordered_, start->attempt, now);
  }
}

void HopMeter::OnDecision(const partition::LogDecision& decision,
                          MonotonicTime now) {
  if (decision.kind == "accept") {
    Begin(accepted_, decision.task.job.value(), now);
  } else if (decision.kind == "start") {
    Begin(decided_, AttemptId{decision.task, decision.attempt}, now);
    if (const auto step = StepOf(decision.task.job)) {
      End(Hop::kFirstStart, accepted_, step->request.value(), now);
    }
  } else if (decision.kind == "worker_stopped" && decision.silent) {
    Record(Hop::kWorkerStop, *decision.silent);
  } else if (decision.kind == "requeue" || decision.kind == "end") {
    // Ended before its order, or its answer.
    decided_.erase({decision.task, decision.attempt});
    ordered_.erase({decision.task, decision.attempt});
  }
}

void HopMeter::OnHandled(size_t event_index,
                         std::chrono::nanoseconds processor) {
  Handled& handled = handled_.at(event_index);
  ++handled.events;
  handled.processor += processor;
}

void HopMeter::OnTimer(MonotonicTime due, MonotonicTime now) {
  Record(Hop::kTimer, std::max(now, due) - due);
}

void HopMeter::OnMessage(MonotonicTime sent, MonotonicTime now) {
  Record(Hop::kMessage, now - sent);
}

void HopMeter::Forget() {
  requests_.clear();
  appends_.clear();
  permits_.clear();
  accepted_.clear();
  decided_.clear();
  ordered_.clear();
  ends_.clear();
  open_ends_ = 0;
}

HopFigures HopMeter::Figures(Hop hop) const {
  const Histogram& all = measured_[static_cast<size_t>(hop)].since_start;
  return {all.count(), all.sum(), all.Quantile(0.5), all.Quantile(0.99)};
}

std::string HopMeter::TakeLine(MonotonicTime now) {
  std::string line;
  for (size_t hop = 0; hop < kHops; ++hop) {
    Histogram& seen = measured_[hop].since_line;
    if (seen.count() == 0) continue;
    line += " " + std::string(kHopNames[hop]) + "=" +
            std::to_string(seen.count()) + "/" + Short(seen.Quantile(0.5)) +
            "/" + Short(seen.Quantile(0.99));
    seen = Histogram();
  }
  std::chrono::nanoseconds busy{0};
  std::string events;
  for (size_t kind = 0; kind < handled_.size(); ++kind) {
    const Handled handled = std::exchange(handled_[kind], {});
    if (handled.events == 0) continue;
    busy += handled.processor;
    events += " on_" + std::string(kEventNames[kind]) + "=" +
              std::to_string(handled.events) + "/" +
              Short(Millis(handled.processor));
  }
  const MonotonicTime since = std::exchange(line_at_, now);
  if (line.empty() && events.empty()) return "";
  const auto span = since == MonotonicTime()
                        ? Duration(0)
                        : std::chrono::round<Duration>(now - since);
  line = "span_ms=" + std::to_string(span.count()) + line +
         " busy_ms=" + Short(Millis(busy)) + events +
         " open_requests=" + std::to_string(requests_.size()) +
         " unstarted=" + std::to_string(accepted_.size()) +
         " unordered=" + std::to_string(decided_.size()) +
         " unconfirmed=" + std::to_string(ordered_.size()) +
         " unrecorded_ends=" + std::to_string(open_ends_);
  const int64_t given_up = std::exchange(given_up_, 0);
  if (given_up > 0) line += " given_up=" + std::to_string(given_up);
  return line;
}

}  // namespace azurepass::scheduling
