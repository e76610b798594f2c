// Implements the rates of starts and the predicted waits.

#include "azurepass/partition/internal/overload.h"

#include <algorithm>

namespace azurepass::partition::internal {
namespace {

// Starts are counted over this time: short enough to follow a burst, long
// enough for the bursts in which a step's tasks start.
constexpr Duration kWindow{2'000};
// Starts are counted in intervals of this length, which bounds the memory.
constexpr Duration kInterval{100};
// Fewer starts within the window say nothing about the rate.
constexpr int64_t kMinStarts = 16;

// Bounds of the advice when to come back. Callers can't act on less, and a
// prediction over a longer time is not worth more.
constexpr Duration kMinRetryAfter{500};
constexpr Duration kMaxRetryAfter{10'000};

}  // namespace

void OverloadControl::OnQueued(const JobId& job, const Stream& stream,
                               int64_t tasks, MonotonicTime useful_until) {
  if (!jobs_.emplace(job, WaitingJob{stream, tasks, useful_until}).second) {
    return;
  }
  by_end_.insert({useful_until, job});
  loads_[stream].waiting += tasks;
}

void OverloadControl::OnStarted(const JobId& job, MonotonicTime now) {
  const auto found = jobs_.find(job);
  if (found == jobs_.end()) return;
  Load& load = loads_[found->second.stream];
  if (found->second.waiting > 0) {
    --found->second.waiting;
    --load.waiting;
  }
  if (load.recent.empty() || now - load.recent.back().first >= kInterval) {
    load.recent.emplace_back(now, 0);
  }
  ++load.recent.back().second;
  ++load.starts;
  Trim(load, now);
}

void OverloadControl::OnRequeued(const JobId& job) {
  const auto found = jobs_.find(job);
  if (found == jobs_.end()) return;
  ++found->second.waiting;
  ++loads_[found->second.stream].waiting;
}

void OverloadControl::Remove(const JobId& job) {
  const auto found = jobs_.find(job);
  if (found == jobs_.end()) return;
  loads_[found->second.stream].waiting -= found->second.waiting;
  by_end_.erase({found->second.useful_until, job});
  jobs_.erase(found);
}

void OverloadControl::Expire(MonotonicTime now) {
  while (!by_end_.empty() && by_end_.begin()->first <= now) {
    const JobId job = by_end_.begin()->second;
    Remove(job);
  }
}

void OverloadControl::Trim(Load& load, MonotonicTime now) {
  while (!load.recent.empty() && load.recent.front().first <= now - kWindow) {
    load.starts -= load.recent.front().second;
    load.recent.pop_front();
  }
}

std::optional<Duration> OverloadControl::PredictedWait(const Stream& stream,
                                                       MonotonicTime now) {
  Expire(now);
  const auto found = loads_.find(stream);
  if (found == loads_.end()) return std::nullopt;
  Load& load = found->second;
  Trim(load, now);
  if (load.starts < kMinStarts) return std::nullopt;
  return kWindow * load.waiting / load.starts;
}

std::optional<OverloadControl::Excess> OverloadControl::Judge(
    const Stream& stream, Duration on_time_for, Duration useful_for,
    MonotonicTime now) {
  const std::optional<Duration> wait = PredictedWait(stream, now);
  if (!wait || *wait <= useful_for) return std::nullopt;
  return Excess{*wait, std::clamp(*wait - std::max(on_time_for, Duration(0)),
                                  kMinRetryAfter, kMaxRetryAfter)};
}

}  // namespace azurepass::partition::internal
