// Implementation of WorkerTable.

#include "azurepass/partition/internal/worker_table.h"

#include <utility>

namespace azurepass::partition::internal {
namespace {

// Returns the time at which the session lapses, if it does.
std::optional<MonotonicTime> LapsesAt(const Session& session) {
  return std::visit(
      Visitor{
          [](const SessionOpening& s) { return std::optional(s.lapses); },
          [](const SessionUnreachable& s) { return std::optional(s.lapses); },
          [](const auto&) { return std::optional<MonotonicTime>(); }},
      session);
}

}  // namespace

WorkerTable::WorkerTable(const std::vector<WorkerSpec>& workers) {
  for (const WorkerSpec& spec : workers) workers_[spec.vm].spec = spec;
}

Worker* WorkerTable::Find(const VmId& vm) {
  auto found = workers_.find(vm);
  return found == workers_.end() ? nullptr : &found->second;
}

const Worker* WorkerTable::Find(const VmId& vm) const {
  auto found = workers_.find(vm);
  return found == workers_.end() ? nullptr : &found->second;
}

Worker& WorkerTable::AddUnconfigured(const VmId& vm) {
  Worker& worker = workers_[vm];
  worker.spec.vm = vm;
  worker.configured = false;
  return worker;
}

Worker& WorkerTable::AddOrUpdate(const WorkerSpec& spec) {
  Worker& worker = workers_[spec.vm];
  worker.spec = spec;
  worker.configured = true;
  return worker;
}

void WorkerTable::Remove(const VmId& vm) {
  auto found = workers_.find(vm);
  if (found == workers_.end()) return;
  SetSession(found->second, SessionGone{});
  workers_.erase(found);
}

void WorkerTable::AddAttempt(LiveAttempt attempt) {
  const TaskId task = attempt.id.task;
  if (Worker* worker = Find(attempt.vm)) worker->tasks.insert(task);
  attempts_.insert_or_assign(task, std::move(attempt));
}

LiveAttempt* WorkerTable::FindAttempt(const TaskId& task) {
  auto found = attempts_.find(task);
  return found == attempts_.end() ? nullptr : &found->second;
}

const LiveAttempt* WorkerTable::FindAttempt(const TaskId& task) const {
  auto found = attempts_.find(task);
  return found == attempts_.end() ? nullptr : &found->second;
}

void WorkerTable::RemoveAttempt(const TaskId& task) {
  auto found = attempts_.find(task);
  if (found == attempts_.end()) return;
  SetLostAt(found->second, std::nullopt);
  if (Worker* worker = Find(found->second.vm)) worker->tasks.erase(task);
  attempts_.erase(found);
}

void WorkerTable::SetLostAt(LiveAttempt& attempt,
                            std::optional<MonotonicTime> at) {
  if (attempt.lost_at) lost_.erase({*attempt.lost_at, attempt.id.task});
  attempt.lost_at = at;
  attempt.awaits_events = false;
  if (at) lost_.insert({*at, attempt.id.task});
}

std::vector<TaskId> WorkerTable::LostTasks(MonotonicTime now) const {
  std::vector<TaskId> tasks;
  for (const auto& [at, task] : lost_) {
    if (at > now) break;
    tasks.push_back(task);
  }
  return tasks;
}

std::vector<VmId> WorkerTable::LapsedWorkers(MonotonicTime now) const {
  std::vector<VmId> lapsing;
  for (const auto& [at, vm] : lapses_) {
    if (at > now) break;
    lapsing.push_back(vm);
  }
  return lapsing;
}

std::optional<MonotonicTime> WorkerTable::NextWake() const {
  std::optional<MonotonicTime> next;
  if (!lost_.empty()) next = lost_.begin()->first;
  if (!lapses_.empty() && (!next || lapses_.begin()->first < *next)) {
    next = lapses_.begin()->first;
  }
  return next;
}

void WorkerTable::SetSession(Worker& worker, Session session) {
  if (const auto at = LapsesAt(worker.session)) {
    lapses_.erase({*at, worker.spec.vm});
  }
  if (const auto at = LapsesAt(session)) lapses_.insert({*at, worker.spec.vm});
  worker.session = session;
}

std::string_view WorkerTable::WhyClosed(const Worker& worker) {
  if (!worker.listed) return "unlisted";
  if (worker.listed == VmState::kLeaving) return "leaving";
  if (!std::holds_alternative<SessionOpen>(worker.session)) return "no_session";
  if (!worker.proven) return "unproven";
  if (!worker.draining.empty()) return "draining";
  return "";
}

placement::WorkerAdmission WorkerTable::AdmissionOf(const Worker& worker) {
  if (worker.listed == VmState::kLeaving) {
    return placement::WorkerAdmission::kLeaving;
  }
  return WhyClosed(worker).empty() ? placement::WorkerAdmission::kOpen
                                   : placement::WorkerAdmission::kClosed;
}

}  // namespace azurepass::partition::internal
