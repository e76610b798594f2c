#include "azurepass/partition/testing/oracle.h"

#include <algorithm>

namespace azurepass::partition::testing {
namespace {

// A change has reached every process that may still start tasks by this time.
constexpr Duration kMaxPropagationTime{3'000};

bool InForce(const std::optional<TimedCondition>& condition,
             MonotonicTime now) {
  return condition && condition->in_force &&
         now > condition->since + kMaxPropagationTime;
}

template <class Map, class Key>
std::optional<TimedCondition> Find(const Map& map, const Key& key) {
  auto found = map.find(key);
  if (found == map.end()) return std::nullopt;
  return found->second;
}

}  // namespace

void Oracle::OnStart(const StartTask& order, const FakeWorker& worker,
                     const std::map<VmId, FakeWorker>& workers,
                     MonotonicTime now) {
  const std::string name = ToString(order.attempt);
  const TaskId& task = order.attempt.task;
  Resources on_worker = order.size;
  Resources of_team = order.size;
  for (const auto& [vm, other] : workers) {
    for (const auto& [id, running] : other.running()) {
      if (id.task == task) {
        AddViolation("task runs twice: " + name + " on " +
                     worker.spec().vm.value() + ", " + ToString(id) + " on " +
                     vm.value());
      }
      if (vm == worker.spec().vm) on_worker += running.order.size;
      if (running.order.team == order.team) of_team += running.order.size;
    }
  }
  if (!on_worker.FitsIn(worker.spec().capacity)) {
    AddViolation("capacity exceeded by " + name);
  }
  Resources max_allowance;
  const auto& history = allowances_[order.team];
  for (size_t i = 0; i < history.size(); ++i) {
    const bool replaced = i + 1 < history.size() &&
                          history[i + 1].first + kMaxPropagationTime < now;
    if (!replaced)
      max_allowance = Resources::Max(max_allowance, history[i].second);
  }
  if (!of_team.FitsIn(max_allowance))
    AddViolation("allowance exceeded by " + name);
  if (InForce(Find(zones_out_, worker.spec().zone), now)) {
    AddViolation("start in a zone that is out: " + name);
  }
  if (InForce(Find(leaving_, worker.spec().vm), now)) {
    AddViolation("start on a leaving VM: " + name);
  }
  auto job = jobs_.find(task.job);
  if (job == jobs_.end()) {
    AddViolation("start of a job that is not in the journal: " + name);
    return;
  }
  if (++starts_[task] > 1 && !job->second.submitted.spec.repeatable) {
    AddViolation("not repeatable, but started twice: " + name);
  }
}

void Oracle::SetZoneOut(const ZoneId& zone, bool out, MonotonicTime now) {
  zones_out_[zone] = {out, now};
}
void Oracle::SetLeaving(const VmId& vm, bool leaving, MonotonicTime now) {
  leaving_[vm] = {leaving, now};
}
void Oracle::SetAllowance(const TeamId& team, Resources allowance,
                          MonotonicTime now) {
  allowances_[team].emplace_back(now, allowance);
}

void Oracle::OnBatchCreated(const Batch& batch) {
  for (const Record& record : batch.records) {
    std::visit(
        Visitor{
            [&](const JobSubmitted& r) {
              for (const auto& [id, job] : jobs_) {
                if (!job.forgotten && job.submitted.team == r.team &&
                    job.submitted.request == r.request) {
                  AddViolation("request recorded twice: " + r.request.value());
                }
              }
              if (jobs_.contains(r.job)) {
                AddViolation("job id used twice: " + r.job.value());
              }
              jobs_[r.job].submitted = r;
            },
            [&](const TaskStarted& r) {
              Job& job = jobs_[r.attempt.task.job];
              job.ended.erase(r.attempt.task.index);
              job.running[r.attempt.task.index] = r.vm;
            },
            [&](const TaskRequeued& r) {
              Job& job = jobs_[r.attempt.task.job];
              job.running.erase(r.attempt.task.index);
              if (job.cancelled) {
                job.ended[r.attempt.task.index] = TaskState::kCancelled;
              }
            },
            [&](const TaskEnded& r) {
              jobs_[r.task.job].ended[r.task.index] = r.state;
            },
            [&](const JobCancelled& r) {
              Job& job = jobs_[r.job];
              job.cancelled = true;
              for (int32_t i = 0; i < job.submitted.spec.tasks; ++i) {
                if (!job.running.contains(i)) {
                  job.ended.try_emplace(i, TaskState::kCancelled);
                }
              }
            },
            [&](const JobForgotten& r) {
              Job& job = jobs_[r.job];
              if (std::ssize(job.ended) < job.submitted.spec.tasks) {
                AddViolation("forgotten before it was final: " + r.job.value());
              }
              job.forgotten = true;
            },
            // World submits no workflows; owner_workflows_test covers them.
            [&](const WorkflowSubmitted& r) {
              AddViolation("record of a workflow that was not submitted: " +
                           r.request.value());
            },
            [&](const WorkflowCancelled& r) {
              AddViolation("record of a workflow that was not submitted: " +
                           r.request.value());
            },
            [&](const WorkflowForgotten& r) {
              AddViolation("record of a workflow that was not submitted: " +
                           r.request.value());
            }},
        record);
  }
}

void Oracle::OnRequest(RequestToken token, const JobRequest& request) {
  requests_[token].request = request;
}

void Oracle::OnAbandoned(RequestToken token) {
  requests_[token].abandoned = true;
}

void Oracle::OnAnswer(RequestToken token, const JobResponse& response,
                      bool superseded) {
  Request& request = requests_[token];
  if (++request.answers > 1) AddViolation("answered twice");
  if (const auto* refusal = std::get_if<Refusal>(&response)) {
    request.not_run = refusal->effect == Effect::kNotRun;
    return;
  }
  const auto* view = std::get_if<JobView>(&response);
  if (view == nullptr) return;
  CheckView(*view, superseded);
  if (const auto* submit = std::get_if<SubmitJob>(&request.request)) {
    CheckSubmitAnswer(*submit, *view);
  }
  if (const auto* cancel = std::get_if<CancelJob>(&request.request)) {
    const Job& job = jobs_[cancel->job];
    if (!job.cancelled && !IsFinal(*view)) {
      AddViolation("cancellation answered but not in the journal");
    }
  }
}

void Oracle::CheckSubmitAnswer(const SubmitJob& request, const JobView& view) {
  const auto job = jobs_.find(view.id);
  if (job == jobs_.end()) {
    AddViolation("acknowledged but not in the journal: " + view.id.value());
    return;
  }
  if (job->second.submitted.spec != request.spec ||
      job->second.submitted.team != request.team) {
    AddViolation("answer for another request: " + view.id.value());
  }
  acknowledged_[{request.team, request.request}] = view.id;
}

void Oracle::CheckView(const JobView& view, bool superseded) {
  const auto job = jobs_.find(view.id);
  if (job == jobs_.end()) return;
  for (int32_t i = 0; i < std::ssize(view.tasks); ++i) {
    const TaskState state = view.tasks[i].state;
    const TaskId id{view.id, i};
    auto reported = reported_final_.find(id);
    const bool older = superseded && !IsFinal(state);
    if (reported != reported_final_.end() && reported->second != state &&
        !older) {
      AddViolation("final state changed: " + ToString(id));
    }
    if (!IsFinal(state)) continue;
    reported_final_[id] = state;
    auto ended = job->second.ended.find(i);
    if (ended == job->second.ended.end() || ended->second != state) {
      AddViolation("shown as final but not in the journal: " + ToString(id));
    }
  }
}

void Oracle::OnEnd() {
  for (const auto& [token, request] : requests_) {
    if (request.answers == 0 && !request.abandoned) {
      AddViolation("never answered: token " + std::to_string(token.value));
    }
    const auto* submit = std::get_if<SubmitJob>(&request.request);
    if (submit == nullptr || !request.not_run) continue;
    const bool all_not_run =
        std::all_of(requests_.begin(), requests_.end(), [&](const auto& entry) {
          const auto* other = std::get_if<SubmitJob>(&entry.second.request);
          return other == nullptr || other->team != submit->team ||
                 other->request != submit->request || entry.second.not_run;
        });
    for (const auto& [id, job] : jobs_) {
      if (all_not_run && job.submitted.team == submit->team &&
          job.submitted.request == submit->request) {
        AddViolation("refused as not run, but recorded: " + id.value());
      }
    }
  }
}

std::vector<TaskId> Oracle::UnfinishedTasks() const {
  std::vector<TaskId> tasks;
  for (const auto& [id, job] : jobs_) {
    for (int32_t i = 0; i < job.submitted.spec.tasks; ++i) {
      if (!job.ended.contains(i)) tasks.push_back({id, i});
    }
  }
  return tasks;
}

TeamId Oracle::TeamOf(const JobId& job) const {
  return jobs_.at(job).submitted.team;
}

std::vector<std::pair<TeamId, JobId>> Oracle::acknowledged() const {
  std::vector<std::pair<TeamId, JobId>> jobs;
  for (const auto& [request, job] : acknowledged_)
    jobs.emplace_back(request.first, job);
  return jobs;
}

}  // namespace azurepass::partition::testing
