// The stand-in worker's transitions.

#include "azurepass/testing/standin/internal/worker_state.h"

#include <algorithm>
#include <charconv>

namespace azurepass::testing::internal {
namespace {

// Acknowledged events that are kept for the next owner.
constexpr int64_t kMaxAcknowledgedKept = 1'000;
constexpr int64_t kFullSpeedPermille = 1'000;
// Tasks use so much of what they declare.
constexpr int64_t kUsedPercent = 80;

int64_t Millis(MonotonicTime time) {
  return std::chrono::floor<Duration>(time.time_since_epoch()).count();
}

std::string_view OutcomeName(WorkerEventKind kind) {
  switch (kind) {
    case WorkerEventKind::kStarted:
      return "started";
    case WorkerEventKind::kSucceeded:
      return "succeeded";
    case WorkerEventKind::kFailed:
      return "failed";
    case WorkerEventKind::kStopped:
      return "stopped";
    case WorkerEventKind::kCheckpointed:
      return "checkpointed";
  }
  return "";
}

// How long what takes `time` at full speed takes at a fraction of it.
MonotonicTime::duration Stretch(MonotonicTime::duration time, int64_t from,
                                int64_t to) {
  return time / to * from;
}

struct Token {
  int64_t life = 0;
  Duration given{0};  // On the worker's clock.
};

std::optional<Token> ParseToken(const std::string& text) {
  Token token;
  int64_t millis = 0;
  const char* end = text.data() + text.size();
  const auto life = std::from_chars(text.data(), end, token.life);
  if (life.ec != std::errc() || life.ptr == end || *life.ptr != '.') return {};
  const auto given = std::from_chars(life.ptr + 1, end, millis);
  if (given.ec != std::errc() || given.ptr != end) return {};
  token.given = Duration(millis);
  return token;
}

}  // namespace

WorkerState::WorkerState(WorkerSpec spec, int64_t life, MonotonicTime now)
    : spec_(std::move(spec)), life_(life), born_(now), lease_until_(now) {}

void WorkerState::Advance(MonotonicTime now) {
  std::vector<std::pair<MonotonicTime, AttemptId>> due;
  for (const auto& [attempt, task] : running_) {
    if (task.end && *task.end <= std::min(now, lease_until_)) {
      due.emplace_back(*task.end, attempt);
    }
  }
  std::sort(due.begin(), due.end());
  for (const auto& [at, attempt] : due) {
    End(attempt, WorkerEventKind::kSucceeded, "", at);
  }
  if (lease_until_ > now) return;
  while (!running_.empty()) {
    End(AttemptId(running_.begin()->first), WorkerEventKind::kStopped,
        "lease lapsed", lease_until_);
  }
}

std::optional<MonotonicTime> WorkerState::next_change() const {
  if (running_.empty()) return {};
  MonotonicTime next = lease_until_;
  for (const auto& [attempt, task] : running_) {
    if (task.end) next = std::min(next, *task.end);
  }
  return next;
}

std::variant<WorkerState::Admitted, WorkerState::Fenced> WorkerState::Admit(
    const ExchangeRequest& request, MonotonicTime now) {
  if (request.epoch < epoch_) return Fenced{epoch_};
  if (request.epoch > epoch_) {
    epoch_ = request.epoch;
    acknowledged_ = 0;
  }
  Admitted admitted;
  admitted.taken = Renew(request, now, &admitted.restarted);
  if (admitted.restarted) return admitted;
  acknowledged_ = std::max(acknowledged_, request.acknowledged);
  Prune();
  if (!admitted.taken) return admitted;
  for (const Order& order : request.orders) Carry(order, now);
  return admitted;
}

bool WorkerState::Renew(const ExchangeRequest& request, MonotonicTime now,
                        bool* restarted) {
  if (request.token.empty()) return false;
  const std::optional<Token> token = ParseToken(request.token);
  *restarted = !token || token->life != life_;
  if (*restarted) return false;
  const MonotonicTime until = born_ + token->given + request.lease;
  if (until <= now) return false;
  lease_until_ = std::max(lease_until_, until);
  return true;
}

bool WorkerState::HasNews(const ExchangeRequest& request) const {
  return events_emitted_ > request.acknowledged;
}

ExchangeAnswer WorkerState::Answer(const ExchangeRequest& request,
                                   const Admitted& admitted,
                                   MonotonicTime now) {
  ExchangeAnswer answer;
  answer.token =
      std::to_string(life_) + "." +
      std::to_string(std::chrono::floor<Duration>(now - born_).count());
  answer.taken = admitted.taken && !request.orders.empty();
  answer.restarted = admitted.restarted;
  const bool list = request.list || admitted.restarted;
  if (list) {
    for (const auto& [attempt, task] : running_) {
      answer.running.push_back(attempt);
    }
  }
  if (!list && request.hold == Duration(0)) return answer;
  const int64_t after = admitted.restarted ? 0 : acknowledged_;
  for (const WorkerEvent& event : events_) {
    if (event.number > after) answer.events.push_back(event);
  }
  for (auto& [attempt, task] : running_) {
    if (std::exchange(task.usage_told, true)) continue;
    Resources used = task.order.size;
    used[Dimension::kMillicores] =
        used[Dimension::kMillicores] * kUsedPercent / 100;
    used[Dimension::kMemoryMib] =
        used[Dimension::kMemoryMib] * kUsedPercent / 100;
    answer.usage.push_back({attempt, used});
  }
  return answer;
}

void WorkerState::Vanish(MonotonicTime now) {
  while (!running_.empty()) {
    End(AttemptId(running_.begin()->first), WorkerEventKind::kStopped,
        "vm gone", now);
  }
}

void WorkerState::Carry(const Order& order, MonotonicTime now) {
  std::visit(Visitor{[&](const StartTask& start) { Start(start, now); },
                     [&](const StopTask& stop) { Stop(stop, now); },
                     [&](const ThrottleTask& t) { Throttle(t, now); }},
             order);
}

void WorkerState::Start(const StartTask& order, MonotonicTime now) {
  if (running_.contains(order.attempt) || ended_.contains(order.attempt)) {
    return;
  }
  if (std::optional<std::string> reason = ReasonToRefuse(order)) {
    refused_.push_back({order.attempt, *reason});
    ended_[order.attempt] = WorkerEventKind::kFailed;
    return Emit(order.attempt, WorkerEventKind::kFailed, *std::move(reason));
  }
  Running task{order, {}, kFullSpeedPermille, history_.size(), false};
  if (order.run_time > Duration(0)) task.end = now + order.run_time;
  history_.push_back({order.attempt, order.team, epoch_, now, {}, "running"});
  running_[order.attempt] = std::move(task);
  used_ += order.size;
  Emit(order.attempt, WorkerEventKind::kStarted, "");
  if (!fail_tasks_) return;
  End(order.attempt, WorkerEventKind::kFailed, "the worker fails all", now);
}

std::optional<std::string> WorkerState::ReasonToRefuse(const StartTask& order) {
  for (const auto& [attempt, task] : running_) {
    if (attempt.task != order.attempt.task) continue;
    violations_.push_back(ToString(order.attempt) + " ordered beside " +
                          ToString(attempt));
    return "another attempt of the task runs here";
  }
  const Resources sum = used_ + order.size;
  const std::optional<Dimension> excess = sum.FirstExcess(spec_.capacity);
  if (!excess) return {};
  violations_.push_back(ToString(order.attempt) + " ordered beyond capacity");
  return "over capacity: " + std::string(DimensionName(*excess));
}

// A stop that overtook its start also keeps that start from happening.
void WorkerState::Stop(const StopTask& order, MonotonicTime now) {
  const bool checkpoint = order.kind == StopKind::kCheckpoint;
  const WorkerEventKind kind =
      checkpoint ? WorkerEventKind::kCheckpointed : WorkerEventKind::kStopped;
  if (running_.contains(order.attempt)) {
    return End(order.attempt, kind, "", now);
  }
  if (ended_.contains(order.attempt)) return;
  ended_[order.attempt] = WorkerEventKind::kStopped;
  Emit(order.attempt, WorkerEventKind::kStopped, "was not running");
}

void WorkerState::Throttle(const ThrottleTask& order, MonotonicTime now) {
  const auto found = running_.find(order.attempt);
  if (found == running_.end()) return;
  Running& task = found->second;
  const int64_t before =
      std::exchange(task.permille,
                    std::clamp<int64_t>(order.permille, 1, kFullSpeedPermille));
  if (task.end) {
    task.end = now + Stretch(*task.end - now, before, task.permille);
  }
}

void WorkerState::End(const AttemptId& attempt, WorkerEventKind kind,
                      std::string detail, MonotonicTime at) {
  const auto found = running_.find(attempt);
  HistoryEntry& entry = history_[found->second.history];
  entry.end = at;
  entry.outcome = OutcomeName(kind);
  used_ -= found->second.order.size;
  ended_[attempt] = kind;
  running_.erase(found);
  Emit(attempt, kind, std::move(detail));
}

void WorkerState::Emit(const AttemptId& attempt, WorkerEventKind kind,
                       std::string detail) {
  events_.push_back({++events_emitted_, attempt, kind, std::move(detail)});
}

void WorkerState::Prune() {
  while (!events_.empty() &&
         events_.front().number <= acknowledged_ - kMaxAcknowledgedKept) {
    events_.pop_front();
  }
}

codec::Json WorkerState::History() const {
  codec::Json attempts = codec::Json::array();
  for (const HistoryEntry& entry : history_) {
    codec::Json line = {{"attempt", ToString(entry.attempt)},
                        {"team", entry.team.value()},
                        {"epoch", entry.epoch.value},
                        {"start_ms", Millis(entry.start)},
                        {"end_ms", nullptr},
                        {"outcome", entry.outcome}};
    if (entry.end) line["end_ms"] = Millis(*entry.end);
    attempts.push_back(std::move(line));
  }
  codec::Json refused = codec::Json::array();
  for (const RefusedStart& start : refused_) {
    refused.push_back(
        {{"attempt", ToString(start.attempt)}, {"reason", start.reason}});
  }
  return {{"vm", spec_.vm.value()},
          {"attempts", attempts},
          {"refused", refused},
          {"violations", violations_}};
}

}  // namespace azurepass::testing::internal
