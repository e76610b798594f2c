// See wait_table.h. A line reads
//
//   waited_ms=4310 since=run backoff=1480 no_permit=2630 starting=200
//       setbacks=1 last_setback=refused:_ticket
//
// with the milliseconds of each cause that was found.

#include "azurepass/partition/internal/wait_table.h"

#include <algorithm>
#include <chrono>
#include <string_view>

namespace azurepass::partition::internal {
namespace {

constexpr auto kCauseNames = std::to_array<std::string_view>(
    {"not_owned", "not_fresh", "journal", "starting", "backoff", "no_token",
     "no_permit", "allowance", "no_room", "other"});
static_assert(kCauseNames.size() == kWaitCauses);

std::string Millis(std::chrono::nanoseconds elapsed) {
  return std::to_string(std::chrono::duration_cast<Duration>(elapsed).count());
}

}  // namespace

WaitCause CauseOf(placement::WaitReason reason) {
  using placement::WaitReason;
  switch (reason) {
    case WaitReason::kRetryBackoff:
      return WaitCause::kBackoff;
    case WaitReason::kRetryBudget:
      return WaitCause::kNoToken;
    case WaitReason::kNoPermit:
      return WaitCause::kNoPermit;
    case WaitReason::kAllowance:
      return WaitCause::kAllowance;
    case WaitReason::kNoRoom:
      return WaitCause::kNoRoom;
    case WaitReason::kNone:
    case WaitReason::kZonesOut:
    case WaitReason::kGangIncomplete:
    case WaitReason::kBehindOthers:
      return WaitCause::kOther;
  }
  return WaitCause::kOther;
}

void WaitTable::Begin(const TaskId& task, std::string origin, WaitCause cause,
                      MonotonicTime now) {
  if (waits_.size() >= kMostFollowed) {
    ++left_out_;
    return;
  }
  Wait& wait = waits_[task];
  wait = Wait();
  wait.origin = std::move(origin);
  wait.since = now;
  wait.sampled = now;
  wait.cause = cause;
}

void WaitTable::Advance(Wait& wait, WaitCause cause, MonotonicTime now) {
  wait.spent[static_cast<size_t>(wait.cause)] += now - wait.sampled;
  wait.sampled = now;
  wait.cause = cause;
}

void WaitTable::OnStart(const TaskId& task, MonotonicTime now) {
  const auto found = waits_.find(task);
  if (found == waits_.end()) return;
  Advance(found->second, WaitCause::kStarting, now);
}

void WaitTable::OnSetback(const TaskId& task, const std::string& reason,
                          WaitCause cause, MonotonicTime now) {
  const auto found = waits_.find(task);
  if (found == waits_.end()) return;
  Advance(found->second, cause, now);
  ++found->second.setbacks;
  found->second.last_setback = reason;
}

std::string WaitTable::End(const TaskId& task, Duration longer_than,
                           MonotonicTime now) {
  const auto found = waits_.find(task);
  if (found == waits_.end()) return "";
  Wait& wait = found->second;
  Advance(wait, wait.cause, now);
  std::string text;
  if (now - wait.since > longer_than) {
    if (TakeLine(now)) {
      text = Text(wait, now);
    } else {
      ++left_out_;
    }
  }
  waits_.erase(found);
  return text;
}

bool WaitTable::TakeLine(MonotonicTime now) {
  if (now - second_at_ >= std::chrono::seconds(1)) {
    second_at_ = now;
    lines_ = 0;
  }
  if (lines_ >= kMostLines) return false;
  ++lines_;
  return true;
}

std::vector<WaitTable::Finding> WaitTable::Sample(
    const std::function<std::optional<WaitCause>(const TaskId&)>& cause_of,
    Duration late, MonotonicTime now) {
  std::vector<Finding> findings;
  for (auto it = waits_.begin(); it != waits_.end();) {
    const std::optional<WaitCause> cause = cause_of(it->first);
    if (!cause) {
      it = waits_.erase(it);
      continue;
    }
    Wait& wait = it->second;
    Advance(wait, *cause, now);
    if (!wait.told && now - wait.since >= late && TakeLine(now)) {
      wait.told = true;
      findings.push_back({it->first, Text(wait, now)});
    }
    ++it;
  }
  return findings;
}

std::string WaitTable::Text(const Wait& wait, MonotonicTime now) {
  std::string text =
      "waited_ms=" + Millis(now - wait.since) + " since=" + wait.origin;
  for (size_t cause = 0; cause < kWaitCauses; ++cause) {
    if (wait.spent[cause] == std::chrono::nanoseconds(0)) continue;
    text +=
        " " + std::string(kCauseNames[cause]) + "=" + Millis(wait.spent[cause]);
  }
  text += " setbacks=" + std::to_string(wait.setbacks);
  if (wait.setbacks > 0) {
    std::string setback = wait.last_setback;
    std::replace(setback.begin(), setback.end(), ' ', '_');
    text += " last_setback=" + setback;
  }
  if (left_out_ > 0) {
    text += " left_out=" + std::to_string(std::exchange(left_out_, 0));
  }
  return text;
}

}  // namespace azurepass::partition::internal
