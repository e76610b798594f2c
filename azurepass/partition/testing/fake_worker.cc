#include "azurepass/partition/testing/fake_worker.h"

#include <algorithm>
#include <utility>

namespace azurepass::partition::testing {
namespace {

// One in this many attempts fails, even if set_fails_all() is off.
constexpr int kFailOneIn = 8;

}  // namespace

void FakeWorker::Advance(MonotonicTime now) {
  std::vector<AttemptId> ended;
  for (const auto& [id, task] : running_) {
    if (task.ends_at <= std::min(now, lease_until_)) ended.push_back(id);
  }
  for (const AttemptId& id : ended) {
    const bool fails = running_.at(id).fails;
    running_.erase(id);
    Report(id, fails ? WorkerEventKind::kFailed : WorkerEventKind::kSucceeded);
  }
  if (now >= lease_until_) StopAll();
}

OpenReply FakeWorker::Open(Epoch epoch, Duration lease, MonotonicTime now) {
  Advance(now);
  if (epoch < highest_epoch_) return Refused{highest_epoch_};
  highest_epoch_ = epoch;
  if (running_.empty()) lease_until_ = std::max(lease_until_, now + lease);
  token_ = ++last_token_;
  Opened opened{token_, {}};
  for (const auto& [id, task] : running_) opened.running.push_back(id);
  return opened;
}

ExchangeReply FakeWorker::Exchange(Epoch epoch, int64_t token,
                                   MonotonicTime lease_until,
                                   const std::vector<Order>& orders,
                                   int64_t acknowledged, MonotonicTime now) {
  Advance(now);
  if (epoch < highest_epoch_) return Refused{highest_epoch_};
  if (token_ == 0 || token != token_) return TokenInvalid{};
  lease_until_ = std::max(lease_until_, lease_until);
  while (!events_.empty() && events_.front().number <= acknowledged) {
    events_.pop_front();
  }
  for (const Order& order : orders) {
    std::visit(Visitor{[&](const StartTask& o) { Start(o, now); },
                       [&](const StopTask& o) { Stop(o); },
                       [](const ThrottleTask&) {}},
               order);
  }
  return Exchanged{{events_.begin(), events_.end()}};
}

void FakeWorker::Reboot() {
  running_.clear();
  seen_attempts_.clear();
  events_.clear();
  highest_epoch_ = Epoch{};
  token_ = 0;
  lease_until_ = MonotonicTime{};
}

void FakeWorker::Start(const StartTask& order, MonotonicTime now) {
  if (!seen_attempts_.insert(order.attempt).second) return;
  on_start_(order);
  const bool fails =
      fails_all_ ||
      (order.attempt.attempt + order.attempt.task.index) % kFailOneIn == 0;
  running_[order.attempt] = {order, now + order.run_time, fails};
  Report(order.attempt, WorkerEventKind::kStarted);
}

void FakeWorker::Stop(const StopTask& order) {
  if (running_.erase(order.attempt) == 0) return;
  Report(order.attempt, order.kind == StopKind::kCheckpoint
                            ? WorkerEventKind::kCheckpointed
                            : WorkerEventKind::kStopped);
}

void FakeWorker::StopAll() {
  token_ = 0;
  for (const auto& [id, task] : std::exchange(running_, {})) {
    Report(id, WorkerEventKind::kStopped);
  }
}

void FakeWorker::Report(const AttemptId& attempt, WorkerEventKind kind) {
  events_.push_back({++last_event_, attempt, kind, ""});
}

}  // namespace azurepass::partition::testing
