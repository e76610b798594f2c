// Implementation of RequestTable and its indexes.

#include "azurepass/partition/internal/request_table.h"

namespace azurepass::partition::internal {

int64_t TasksOf(const WorkflowSpec& spec) {
  int64_t tasks = 0;
  for (const WorkflowStep& step : spec.steps) {
    const TaskShare& share = step.job.share;
    tasks += (step.job.tasks - share.part + share.parts - 1) / share.parts;
  }
  return tasks * spec.occurrences;
}

void RequestTable::Add(RequestToken token, WaitingRequest request,
                       MonotonicTime due) {
  if (const auto* held = std::get_if<UntilChanged>(&request.waits_for)) {
    by_job_[held->job].insert(token);
  }
  if (const auto* held = std::get_if<UntilEnded>(&request.waits_for)) {
    by_workflow_[held->request].insert(token);
  }
  if (const auto* held = std::get_if<UntilSubmitted>(&request.waits_for)) {
    by_submission_[held->workflow].insert(token);
  }
  due_.insert({due, token});
  requests_.insert_or_assign(token, Entry{std::move(request), due});
}

void RequestTable::Reschedule(RequestToken token, MonotonicTime due) {
  auto found = requests_.find(token);
  if (found == requests_.end()) return;
  due_.erase({found->second.due, token});
  found->second.due = due;
  found->second.request.deadline = due;
  due_.insert({due, token});
}

std::optional<WaitingRequest> RequestTable::Take(RequestToken token) {
  auto found = requests_.find(token);
  if (found == requests_.end()) return std::nullopt;
  WaitingRequest request = std::move(found->second.request);
  due_.erase({found->second.due, token});
  requests_.erase(found);
  if (const auto* held = std::get_if<UntilChanged>(&request.waits_for)) {
    auto tokens = by_job_.find(held->job);
    tokens->second.erase(token);
    if (tokens->second.empty()) by_job_.erase(tokens);
  }
  if (const auto* held = std::get_if<UntilEnded>(&request.waits_for)) {
    auto tokens = by_workflow_.find(held->request);
    tokens->second.erase(token);
    if (tokens->second.empty()) by_workflow_.erase(tokens);
  }
  if (const auto* held = std::get_if<UntilSubmitted>(&request.waits_for)) {
    auto tokens = by_submission_.find(held->workflow);
    tokens->second.erase(token);
    if (tokens->second.empty()) by_submission_.erase(tokens);
  }
  return request;
}

const WaitingRequest* RequestTable::Find(RequestToken token) const {
  auto found = requests_.find(token);
  return found == requests_.end() ? nullptr : &found->second.request;
}

std::vector<RequestToken> RequestTable::Due(MonotonicTime now) const {
  std::vector<RequestToken> tokens;
  for (const auto& [due, token] : due_) {
    if (due > now) break;
    tokens.push_back(token);
  }
  return tokens;
}

std::optional<MonotonicTime> RequestTable::NextDue() const {
  if (due_.empty()) return std::nullopt;
  return due_.begin()->first;
}

std::vector<RequestToken> RequestTable::WaitingForJob(const JobId& job) const {
  auto found = by_job_.find(job);
  if (found == by_job_.end()) return {};
  return {found->second.begin(), found->second.end()};
}

std::vector<RequestToken> RequestTable::WaitingForWorkflow(
    const RequestId& request) const {
  auto found = by_workflow_.find(request);
  if (found == by_workflow_.end()) return {};
  return {found->second.begin(), found->second.end()};
}

std::vector<RequestToken> RequestTable::WaitingForSubmission(
    const RequestId& workflow) const {
  auto found = by_submission_.find(workflow);
  if (found == by_submission_.end()) return {};
  return {found->second.begin(), found->second.end()};
}

std::vector<RequestToken> RequestTable::All() const {
  std::vector<RequestToken> tokens;
  tokens.reserve(requests_.size());
  for (const auto& [token, entry] : requests_) tokens.push_back(token);
  return tokens;
}

std::vector<RequestToken> RequestTable::WaitingForOwning() const {
  std::vector<RequestToken> tokens;
  for (const auto& [token, entry] : requests_) {
    if (std::holds_alternative<UntilOwning>(entry.request.waits_for)) {
      tokens.push_back(token);
    }
  }
  return tokens;
}

void RequestTable::AddRecord(Sequence sequence, Record record) {
  std::visit(
      Visitor{[&](const JobSubmitted& r) {
                submissions_[{r.team, r.request}] = sequence;
                pending_tasks_[r.team] += r.spec.tasks;
              },
              [&](const JobCancelled& r) { cancellations_[r.job] = sequence; },
              [&](const WorkflowSubmitted& r) {
                workflow_submissions_[r.request] = sequence;
                pending_tasks_[r.team] += TasksOf(r.spec);
              },
              [&](const WorkflowCancelled& r) {
                workflow_cancellations_[r.request] = sequence;
              },
              [](const auto&) {}},
      record);
  records_.insert_or_assign(sequence, PendingRecord{std::move(record), {}});
}

PendingRecord* RequestTable::FindRecord(Sequence sequence) {
  auto found = records_.find(sequence);
  return found == records_.end() ? nullptr : &found->second;
}

const PendingRecord* RequestTable::FindRecord(Sequence sequence) const {
  auto found = records_.find(sequence);
  return found == records_.end() ? nullptr : &found->second;
}

std::optional<PendingRecord> RequestTable::TakeRecord(Sequence sequence) {
  auto found = records_.find(sequence);
  if (found == records_.end()) return std::nullopt;
  PendingRecord taken = std::move(found->second);
  records_.erase(found);
  std::visit(
      Visitor{[&](const JobSubmitted& r) {
                submissions_.erase({r.team, r.request});
                pending_tasks_[r.team] -= r.spec.tasks;
              },
              [&](const JobCancelled& r) { cancellations_.erase(r.job); },
              [&](const WorkflowSubmitted& r) {
                workflow_submissions_.erase(r.request);
                pending_tasks_[r.team] -= TasksOf(r.spec);
              },
              [&](const WorkflowCancelled& r) {
                workflow_cancellations_.erase(r.request);
              },
              [](const auto&) {}},
      taken.record);
  return taken;
}

std::optional<Sequence> RequestTable::FindSubmission(
    const TeamId& team, const RequestId& request) const {
  auto found = submissions_.find({team, request});
  if (found == submissions_.end()) return std::nullopt;
  return found->second;
}

std::optional<Sequence> RequestTable::FindCancellation(const JobId& job) const {
  auto found = cancellations_.find(job);
  if (found == cancellations_.end()) return std::nullopt;
  return found->second;
}

std::optional<Sequence> RequestTable::FindWorkflowSubmission(
    const RequestId& request) const {
  auto found = workflow_submissions_.find(request);
  if (found == workflow_submissions_.end()) return std::nullopt;
  return found->second;
}

std::optional<Sequence> RequestTable::FindWorkflowCancellation(
    const RequestId& request) const {
  auto found = workflow_cancellations_.find(request);
  if (found == workflow_cancellations_.end()) return std::nullopt;
  return found->second;
}

int64_t RequestTable::PendingTasks(const TeamId& team) const {
  auto found = pending_tasks_.find(team);
  return found == pending_tasks_.end() ? 0 : found->second;
}

}  // namespace azurepass::partition::internal
