// The event loop.

#include "azurepass/placement/testing/virtual_run.h"

#include <algorithm>
#include <cmath>
#include <string>

#include "absl/strings/str_cat.h"

namespace azurepass::placement::testing {
namespace {

constexpr Duration kTimeToFailure{100};   // Until an attempt fails.
constexpr Duration kCheckpointTime{300};  // Until a checkpoint has ended.
constexpr Duration kSampleInterval{1'000};
constexpr int32_t kPercent = 100;  // Percentage points in a whole.

double Seconds(Duration time) {
  return std::chrono::duration<double>(time).count();
}

TeamId TeamIdFor(int64_t team) { return TeamId(absl::StrCat("team-", team)); }

}  // namespace

VirtualRun::VirtualRun(const LoadTrace& load, const Options& options,
                       const Faults& faults)
    : load_(load), faults_(faults), cell_(options) {
  int32_t number = 0;
  for (const WorkerSpec& worker : WorkersOf(load.deployment)) {
    cell_.AddWorker(worker, WorkerAdmission::kOpen);
    zone_of_[worker.vm] = worker.zone;
    worker_number_[worker.vm] = number++;
  }
  const auto teams = static_cast<int64_t>(load.shares.size());
  for (int64_t t = 0; t < teams; ++t) {
    cell_.SetTeam(TeamIdFor(t),
                  {load.shares[t], load.deployment.zones, kUnlimited});
  }
  team_waiting_.resize(teams);
  result_.team_waits.resize(teams);
}

MonotonicTime VirtualRun::TimeAt(Duration at) const {
  return MonotonicTime(std::chrono::hours(1)) + at;
}

void VirtualRun::Push(Duration at, EventKind kind, const TaskId& task,
                      int32_t attempt) {
  queue_.push({.at = at,
               .number = ++events_,
               .kind = kind,
               .task = task,
               .attempt = attempt});
}

const Arrival& VirtualRun::ArrivalOf(const TaskId& task) const {
  return load_.arrivals[arrival_of_.at(task.job)];
}

bool VirtualRun::IsBad(const VmId& vm) const {
  return worker_number_.at(vm) < faults_.bad_workers;
}

void VirtualRun::Arrive() {
  const Arrival& arrival = load_.arrivals[next_arrival_];
  const JobId job(absl::StrCat("p.", next_arrival_));
  arrival_of_[job] = next_arrival_++;
  cell_.AddJob(job, TeamIdFor(arrival.team), arrival.spec, TimeAt(now_));
  team_waiting_[arrival.team] += arrival.spec.tasks;
  if (next_arrival_ < load_.arrivals.size()) {
    Push(load_.arrivals[next_arrival_].at, EventKind::kArrival);
  }
}

void VirtualRun::EndAttempt(const Event& event) {
  auto it = running_.find(event.task);
  if (it == running_.end() || it->second.attempt != event.attempt) return;
  const Arrival& arrival = ArrivalOf(event.task);
  const bool failed = arrival.poison || IsBad(it->second.vm) ||
                      random_.Uniform() < faults_.failure_rate;
  running_.erase(it);
  if (failed) {
    ++result_.failed_attempts;
    const bool again = event.attempt < kMaxAttempts;
    if (again) ++team_waiting_[arrival.team];
    cell_.Release(event.task, AttemptOutcome::kFailed, again, TimeAt(now_));
    return;
  }
  ++result_.succeeded;
  result_.work_seconds += Seconds(arrival.run_times[event.task.index]);
  cell_.Release(event.task, AttemptOutcome::kSucceeded, false, TimeAt(now_));
}

// Handles the end of a checkpoint, which keeps the progress of the attempt.
void VirtualRun::EndCheckpoint(const Event& event) {
  auto it = running_.find(event.task);
  if (it == running_.end() || it->second.attempt != event.attempt) return;
  progress_[event.task] += now_ - it->second.started;
  running_.erase(it);
  ++team_waiting_[ArrivalOf(event.task).team];
  cell_.Release(event.task, AttemptOutcome::kStopped, true, TimeAt(now_));
}

void VirtualRun::BeginZoneOutage() {
  cell_.SetZoneInService(*faults_.outage_zone, false);
  for (auto it = running_.begin(); it != running_.end();) {
    if (zone_of_.at(it->second.vm) != *faults_.outage_zone) {
      ++it;
      continue;
    }
    ++team_waiting_[ArrivalOf(it->first).team];
    cell_.Release(it->first, AttemptOutcome::kLost, true, TimeAt(now_));
    it = running_.erase(it);
  }
}

void VirtualRun::RecordWait(const TaskId& task) {
  const Arrival& arrival = ArrivalOf(task);
  const Duration wait = now_ - arrival.at;
  const bool urgent = arrival.spec.priority == Priority::kUrgent;
  (urgent ? result_.urgent_waits : result_.normal_waits).push_back(wait);
  if (!urgent) result_.team_waits[arrival.team].push_back(wait);
  if (std::holds_alternative<GangPolicy>(arrival.spec.policy)) {
    result_.gang_waits.push_back(wait);
  }
}

void VirtualRun::RecordUnstarted() {
  now_ = load_.length;
  for (const auto& [job, number] : arrival_of_) {
    for (int32_t t = 0; t < load_.arrivals[number].spec.tasks; ++t) {
      if (!attempts_.contains({job, t})) RecordWait({job, t});
    }
  }
}

void VirtualRun::OnStart(const Start& start) {
  const Arrival& arrival = ArrivalOf(start.task);
  const int32_t attempt = ++attempts_[start.task];
  --team_waiting_[arrival.team];
  if (attempt == 1) RecordWait(start.task);
  running_[start.task] = {.vm = start.vm, .started = now_, .attempt = attempt};
  const bool fails = arrival.poison || IsBad(start.vm);
  const Duration remaining =
      arrival.run_times[start.task.index] - progress_[start.task];
  Push(now_ + (fails ? kTimeToFailure : std::max(remaining, Duration(1))),
       EventKind::kEnd, start.task, attempt);
  if (faults_.outage_zone && zone_of_.at(start.vm) == *faults_.outage_zone &&
      now_ >= faults_.outage_end) {
    ++zone_starts_[now_.count() / kSampleInterval.count()];
  }
}

void VirtualRun::Decide() {
  while (true) {
    const std::vector<Decision> decisions = cell_.Decide(TimeAt(now_), {});
    for (const Decision& decision : decisions) {
      if (const auto* start = std::get_if<Start>(&decision)) {
        OnStart(*start);
        continue;
      }
      const Preempt& preempt = std::get<Preempt>(decision);
      ++result_.preempted;
      Push(now_ + kCheckpointTime, EventKind::kCheckpointEnd, preempt.task,
           running_.at(preempt.task).attempt);
    }
    const auto wake = cell_.NextWake();
    if (!wake) return;
    if (*wake <= TimeAt(now_) && !decisions.empty()) continue;
    const Duration at = std::max(
        now_ + Duration(1), std::chrono::ceil<Duration>(*wake - TimeAt({})));
    if (!wake_at_ || *wake_at_ <= now_ || at < *wake_at_) {
      wake_at_ = at;
      Push(at, EventKind::kWake);
    }
    return;
  }
}

// Records the largest deviation from a share if all teams have waiting tasks.
void VirtualRun::SampleShares() {
  Push(now_ + kSampleInterval, EventKind::kSample);
  const bool all_wait = std::all_of(team_waiting_.begin(), team_waiting_.end(),
                                    [](int64_t n) { return n > 0; });
  if (!all_wait) return;
  std::vector<double> dominant_shares;
  double sum = 0;
  double weights = 0;
  const Resources capacity = cell_.Status().capacity;
  for (size_t t = 0; t < load_.shares.size(); ++t) {
    dominant_shares.push_back(
        cell_.CommittedOf(TeamIdFor(static_cast<int64_t>(t)))
            .DominantShare(capacity));
    sum += dominant_shares.back();
    weights += static_cast<double>(load_.shares[t]);
  }
  double deviation = 0;
  for (size_t t = 0; t < dominant_shares.size(); ++t) {
    const double target_share = static_cast<double>(load_.shares[t]) / weights;
    deviation =
        std::max(deviation, std::abs(dominant_shares[t] / sum - target_share));
  }
  result_.share_deviations.push_back(deviation * kPercent);
}

void VirtualRun::Handle(const Event& event) {
  switch (event.kind) {
    case EventKind::kArrival:
      Arrive();
      break;
    case EventKind::kEnd:
      EndAttempt(event);
      break;
    case EventKind::kCheckpointEnd:
      EndCheckpoint(event);
      break;
    case EventKind::kWake:
      break;
    case EventKind::kSample:
      SampleShares();
      break;
    case EventKind::kZoneOut:
      BeginZoneOutage();
      break;
    case EventKind::kZoneBack:
      cell_.SetZoneInService(*faults_.outage_zone, true);
      break;
  }
}

RunResult VirtualRun::Run() {
  if (!load_.arrivals.empty()) {
    Push(load_.arrivals[0].at, EventKind::kArrival);
  }
  Push(kSampleInterval, EventKind::kSample);
  if (faults_.outage_zone) {
    Push(faults_.outage_begin, EventKind::kZoneOut);
    Push(faults_.outage_end, EventKind::kZoneBack);
  }
  while (!queue_.empty() && queue_.top().at <= load_.length) {
    const Event event = queue_.top();
    queue_.pop();
    now_ = event.at;
    Handle(event);
    Decide();
  }
  for (const auto& [second, starts] : zone_starts_) {
    result_.max_zone_starts_per_second =
        std::max(result_.max_zone_starts_per_second, starts);
  }
  RecordUnstarted();
  result_.quarantined_at_end = cell_.Status().quarantined_workers;
  return result_;
}

}  // namespace azurepass::placement::testing
