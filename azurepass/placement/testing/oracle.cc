// The rules of the reference model.

#include "azurepass/placement/testing/oracle.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace azurepass::placement::testing {
namespace {

constexpr double kRounding = 1e-9;

// Returns the free room of a worker, summed over the dimensions in units of the
// largest capacity. Best fit minimizes this sum.
double FreeUnits(const Resources& free, const Resources& scale) {
  double units = 0;
  for (Dimension d : kAllDimensions) {
    units += static_cast<double>(free[d]) /
             static_cast<double>(std::max<int64_t>(1, scale[d]));
  }
  return units;
}

bool IsGang(const JobSpec& spec) {
  return std::holds_alternative<GangPolicy>(spec.policy);
}

}  // namespace

// ---------------------------------------------------------------------------
// The calls that the cell gets

void Oracle::AddWorker(const WorkerSpec& spec, WorkerAdmission admission) {
  workers_[spec.vm] = {.spec = spec, .admission = admission};
  in_service_.try_emplace(spec.zone, true);
}

void Oracle::SetAdmission(const VmId& vm, WorkerAdmission admission) {
  workers_.at(vm).admission = admission;
}

void Oracle::SetTeam(const TeamId& team, const TeamTerms& terms) {
  teams_[team] = terms;
}

void Oracle::AddJob(const JobId& id, const TeamId& team, const JobSpec& spec) {
  ModelJob job{
      .number = ++last_number_, .team = team, .spec = spec, .tasks = {}};
  job.tasks.resize(spec.tasks);
  jobs_.emplace(id, std::move(job));
}

void Oracle::CancelTask(const TaskId& id) {
  ModelTask& task = jobs_.at(id.job).tasks[id.index];
  task.cancelled = true;
  if (task.phase == Phase::kWaiting) task.phase = Phase::kDone;
}

bool Oracle::MayCommit(const TaskId& id, const VmId& vm) const {
  const ModelJob& job = jobs_.at(id.job);
  return job.tasks[id.index].phase == Phase::kWaiting &&
         job.spec.task.FitsIn(FreeOn(vm));
}

void Oracle::Commit(const TaskId& id, const VmId& vm) {
  ModelTask& task = jobs_.at(id.job).tasks[id.index];
  task.phase = Phase::kRunning;
  task.vm = vm;
}

void Oracle::Release(const TaskId& id, bool requeue) {
  ModelTask& task = jobs_.at(id.job).tasks[id.index];
  const bool requeued = requeue && !task.cancelled;
  task.phase = requeued ? Phase::kWaiting : Phase::kDone;
  task.vm = VmId();
}

// ---------------------------------------------------------------------------
// Totals

bool Oracle::InService(const ZoneId& zone) const {
  auto it = in_service_.find(zone);
  return it == in_service_.end() || it->second;
}

std::vector<TaskId> Oracle::Committed() const {
  std::vector<TaskId> committed;
  for (const auto& [id, job] : jobs_) {
    for (size_t t = 0; t < job.tasks.size(); ++t) {
      if (job.tasks[t].vm.empty()) continue;
      committed.push_back({id, static_cast<int32_t>(t)});
    }
  }
  return committed;
}

Resources Oracle::UsedOn(const VmId& vm) const {
  Resources used;
  for (const auto& [id, job] : jobs_) {
    for (const ModelTask& task : job.tasks) {
      if (task.vm == vm) used += job.spec.task;
    }
  }
  return used;
}

Resources Oracle::UsedBy(const TeamId& team) const {
  Resources used;
  for (const auto& [id, job] : jobs_) {
    if (job.team != team) continue;
    for (const ModelTask& task : job.tasks) {
      if (!task.vm.empty()) used += job.spec.task;
    }
  }
  return used;
}

Resources Oracle::FreeOn(const VmId& vm) const {
  return workers_.at(vm).spec.capacity - UsedOn(vm);
}

int64_t Oracle::CountTasks(const ModelJob& job, const ZoneId* zone,
                           const RackId* rack) const {
  int64_t count = 0;
  for (const ModelTask& task : job.tasks) {
    if (task.vm.empty()) continue;
    const WorkerSpec& spec = workers_.at(task.vm).spec;
    const bool matches = (zone == nullptr || spec.zone == *zone) &&
                         (rack == nullptr || spec.rack == *rack);
    count += matches ? 1 : 0;
  }
  return count;
}

double Oracle::WeightedShare(const TeamId& team) const {
  Resources capacity;
  for (const auto& [vm, worker] : workers_) {
    const bool open = worker.admission == WorkerAdmission::kOpen;
    if (open && InService(worker.spec.zone)) capacity += worker.spec.capacity;
  }
  return UsedBy(team).DominantShare(capacity) /
         static_cast<double>(std::max<int64_t>(1, teams_.at(team).share));
}

bool Oracle::MayUse(const ModelWorker& worker, const ModelJob& job) const {
  const std::vector<ZoneId>& zones = teams_.at(job.team).zones;
  return worker.admission == WorkerAdmission::kOpen &&
         InService(worker.spec.zone) &&
         std::count(zones.begin(), zones.end(), worker.spec.zone) > 0;
}

int32_t Oracle::CountWaiting(const JobId& id, const ModelJob& job,
                             const Cell& cell) const {
  int32_t waiting = 0;
  for (size_t t = 0; t < job.tasks.size(); ++t) {
    const Phase phase = job.tasks[t].phase;
    if (phase == Phase::kPreempting && IsGang(job.spec)) return 0;
    if (phase != Phase::kWaiting) continue;
    const WaitReason reason = cell.WaitReasonOf({id, static_cast<int32_t>(t)});
    const bool delayed = reason == WaitReason::kRetryBackoff ||
                         reason == WaitReason::kRetryBudget;
    if (delayed && IsGang(job.spec)) return 0;
    waiting += delayed ? 0 : 1;
  }
  return waiting;
}

bool Oracle::CouldStart(const JobId& id, const ModelJob& job,
                        const Cell& cell) const {
  const int32_t waiting = CountWaiting(id, job, cell);
  if (waiting == 0) return false;
  const int32_t wanted = IsGang(job.spec) ? waiting : 1;
  const Resources after = UsedBy(job.team) + job.spec.task * wanted;
  if (!after.FitsIn(teams_.at(job.team).allowance)) return false;
  int32_t places = 0;
  for (const auto& [vm, worker] : workers_) {
    if (!MayUse(worker, job)) continue;
    Resources room = FreeOn(vm);
    while (places < wanted && job.spec.task.FitsIn(room)) {
      room -= job.spec.task;
      ++places;
    }
  }
  return places >= wanted;
}

// ---------------------------------------------------------------------------
// Checks of decisions

Oracle::Violation Oracle::CheckSafety(const Start& start,
                                      const ModelJob& job) const {
  const std::string task = ToString(start.task);
  if (job.tasks[start.task.index].phase != Phase::kWaiting) {
    return absl::StrCat(task, " was started but was not waiting");
  }
  auto worker = workers_.find(start.vm);
  if (worker == workers_.end()) return absl::StrCat(task, ": unknown worker");
  if (!MayUse(worker->second, job)) {
    return absl::StrCat(task, " was started where it may not run");
  }
  if (!job.spec.task.FitsIn(FreeOn(start.vm))) {
    return absl::StrCat(task, " exceeds the capacity of ", start.vm.value());
  }
  const Resources after = UsedBy(job.team) + job.spec.task;
  if (!after.FitsIn(teams_.at(job.team).allowance)) {
    return absl::StrCat(task, " exceeds the allowance");
  }
  return std::nullopt;
}

Oracle::Violation Oracle::CheckOrder(const JobId& id, const ModelJob& job,
                                     const Cell& cell) const {
  const double weighted_share = WeightedShare(job.team);
  for (const auto& [other_id, other] : jobs_) {
    if (other_id == id || !CouldStart(other_id, other, cell)) continue;
    const std::string violation = absl::StrCat(
        other_id.value(), " should have started before ", id.value());
    if (other.spec.priority != job.spec.priority) {
      if (other.spec.priority == Priority::kUrgent) return violation;
      continue;
    }
    if (other.team == job.team) {
      if (other.number < job.number) return violation;
    } else if (WeightedShare(other.team) < weighted_share - kRounding) {
      return violation;
    }
  }
  return std::nullopt;
}

Oracle::Violation Oracle::CheckWorkerChoice(const Start& start,
                                            const ModelJob& job) const {
  const bool spread = std::holds_alternative<ServicePolicy>(job.spec.policy);
  Resources scale;
  for (const auto& [vm, worker] : workers_) {
    scale = Resources::Max(scale, worker.spec.capacity);
  }
  const WorkerSpec& chosen = workers_.at(start.vm).spec;
  const int64_t zone_tasks = CountTasks(job, &chosen.zone, nullptr);
  const int64_t rack_tasks = CountTasks(job, &chosen.zone, &chosen.rack);
  const double units = FreeUnits(FreeOn(start.vm), scale);
  for (const auto& [vm, worker] : workers_) {
    const WorkerSpec& spec = worker.spec;
    if (!MayUse(worker, job) || !job.spec.task.FitsIn(FreeOn(vm))) continue;
    const std::string violation =
        absl::StrCat(ToString(start.task), ": ", vm.value(), " is better than ",
                     start.vm.value());
    if (spread) {
      const int64_t in_zone = CountTasks(job, &spec.zone, nullptr);
      if (in_zone < zone_tasks) return violation;
      if (in_zone > zone_tasks) continue;
      const int64_t in_rack = CountTasks(job, &spec.zone, &spec.rack);
      if (in_rack < rack_tasks) return violation;
      if (in_rack > rack_tasks) continue;
    }
    if (FreeUnits(FreeOn(vm), scale) < units - kRounding) return violation;
  }
  return std::nullopt;
}

Oracle::Violation Oracle::CheckStart(const Start& start, const Cell& cell) {
  auto it = jobs_.find(start.task.job);
  if (it == jobs_.end()) return "a start for an unknown job";
  const ModelJob& job = it->second;
  if (Violation found = CheckSafety(start, job)) return found;
  if (gang_tasks_left_ > 0 && gang_ != it->first) return "a gang is incomplete";
  if (gang_tasks_left_ == 0 && check_preferences_) {
    if (Violation found = CheckOrder(it->first, job, cell)) return found;
  }
  if (IsGang(job.spec)) {
    if (gang_tasks_left_ == 0) {
      gang_ = it->first;
      gang_tasks_left_ = static_cast<int32_t>(std::count_if(
          job.tasks.begin(), job.tasks.end(),
          [](const ModelTask& task) { return task.phase == Phase::kWaiting; }));
    }
    --gang_tasks_left_;
  } else if (check_preferences_) {
    if (Violation found = CheckWorkerChoice(start, job)) return found;
  }
  Commit(start.task, start.vm);
  return std::nullopt;
}

Oracle::Violation Oracle::CheckPreempt(const Preempt& preempt) {
  ModelTask& task = jobs_.at(preempt.task.job).tasks[preempt.task.index];
  if (task.vm != preempt.vm) return "a preemption names the wrong worker";
  const bool first = task.phase == Phase::kRunning;
  if (first != preempt.checkpoint) return "a checkpoint has to come first";
  task.phase = Phase::kPreempting;
  if (preempt.reason == "room_for_urgent") check_preferences_ = false;
  return std::nullopt;
}

Oracle::Violation Oracle::CheckNoMissedStart(const Cell& cell) const {
  for (const auto& [id, job] : jobs_) {
    if (CouldStart(id, job, cell)) {
      return absl::StrCat(id.value(), " could have started");
    }
  }
  return std::nullopt;
}

std::optional<std::string> Oracle::CheckDecisions(
    const std::vector<Decision>& decisions, const Cell& cell) {
  gang_tasks_left_ = 0;
  for (const Decision& decision : decisions) {
    Violation found = std::visit(
        Visitor{[&](const Start& start) { return CheckStart(start, cell); },
                [&](const Preempt& preempt) { return CheckPreempt(preempt); }},
        decision);
    if (found) return found;
  }
  if (gang_tasks_left_ > 0) return "a gang is incomplete";
  if (check_preferences_) return CheckNoMissedStart(cell);
  return std::nullopt;
}

std::optional<std::string> Oracle::CompareTotals(const Cell& cell) const {
  for (const auto& [vm, worker] : workers_) {
    if (cell.CommittedOn(vm) != UsedOn(vm)) {
      return absl::StrCat("commitments on ", vm.value(), " differ");
    }
  }
  for (const auto& [team, terms] : teams_) {
    if (cell.CommittedOf(team) != UsedBy(team)) {
      return absl::StrCat("commitments of ", team.value(), " differ");
    }
  }
  const auto committed = static_cast<int64_t>(Committed().size());
  if (cell.Status().committed_tasks != committed) return "task counts differ";
  return std::nullopt;
}

}  // namespace azurepass::placement::testing
