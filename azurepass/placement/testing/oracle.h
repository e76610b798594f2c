// A slow and simple reference model of a cell, which Cell is tested against. It
// keeps plain maps, gets the same calls as the cell, and checks the cell's
// decisions one by one against every worker, team and job.
//
// It always checks capacity, allowance, zones and admission, that a task is in
// one place at a time, and that all tasks of a gang start together. With
// `check_preferences` it also checks that no other worker was better for the
// policy, that no other team or job came first, and that no task that could
// start was left waiting. Reservations, quarantine and ramps withhold room on
// purpose, so preferences are checked only without them, and not after room was
// made for urgent work.

#ifndef AZUREPASS_PLACEMENT_TESTING_ORACLE_H_
#define AZUREPASS_PLACEMENT_TESTING_ORACLE_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "azurepass/placement/placement.h"

namespace azurepass::placement::testing {

class Oracle {
 public:
  explicit Oracle(bool check_preferences)
      : check_preferences_(check_preferences) {}

  enum class Phase { kWaiting, kRunning, kPreempting, kDone };
  struct ModelTask {
    Phase phase = Phase::kWaiting;
    VmId vm;
    bool cancelled = false;
  };
  struct ModelJob {
    int64_t number = 0;
    TeamId team;
    JobSpec spec;
    std::vector<ModelTask> tasks;
  };
  struct ModelWorker {
    WorkerSpec spec;
    WorkerAdmission admission = WorkerAdmission::kOpen;
  };

  // --- The calls that the cell gets.
  void AddWorker(const WorkerSpec& spec, WorkerAdmission admission);
  void SetAdmission(const VmId& vm, WorkerAdmission admission);
  void RemoveWorker(const VmId& vm) { workers_.erase(vm); }
  void SetZoneInService(const ZoneId& zone, bool in) { in_service_[zone] = in; }
  void SetTeam(const TeamId& team, const TeamTerms& terms);
  void AddJob(const JobId& job, const TeamId& team, const JobSpec& spec);
  void CancelTask(const TaskId& id);
  void RemoveJob(const JobId& job) { jobs_.erase(job); }
  // Returns whether the cell has to accept the commitment.
  bool MayCommit(const TaskId& id, const VmId& vm) const;
  void Commit(const TaskId& id, const VmId& vm);
  void Release(const TaskId& id, bool requeue);

  // Checks the decisions of one call of Decide and applies them to the model.
  // Asks `cell` only which tasks wait for a retry, because the model leaves
  // that choice to the cell. Returns the first violation.
  std::optional<std::string> CheckDecisions(
      const std::vector<Decision>& decisions, const Cell& cell);
  // Compares the cell's totals with the model's. Returns the first difference.
  std::optional<std::string> CompareTotals(const Cell& cell) const;

  // --- The state from which a test chooses the next call.
  const std::map<JobId, ModelJob>& jobs() const { return jobs_; }
  const std::map<VmId, ModelWorker>& workers() const { return workers_; }
  const std::map<TeamId, TeamTerms>& teams() const { return teams_; }
  bool InService(const ZoneId& zone) const;
  std::vector<TaskId> Committed() const;
  Resources UsedOn(const VmId& vm) const;
  Resources UsedBy(const TeamId& team) const;

 private:
  using Violation = std::optional<std::string>;

  Violation CheckStart(const Start& start, const Cell& cell);
  Violation CheckPreempt(const Preempt& preempt);
  Violation CheckSafety(const Start& start, const ModelJob& job) const;
  Violation CheckOrder(const JobId& id, const ModelJob& job,
                       const Cell& cell) const;
  Violation CheckWorkerChoice(const Start& start, const ModelJob& job) const;
  Violation CheckGangs() const;
  Violation CheckNoMissedStart(const Cell& cell) const;

  bool MayUse(const ModelWorker& worker, const ModelJob& job) const;
  Resources FreeOn(const VmId& vm) const;
  int32_t CountWaiting(const JobId& id, const ModelJob& job,
                       const Cell& cell) const;
  bool CouldStart(const JobId& id, const ModelJob& job, const Cell& cell) const;
  double WeightedShare(const TeamId& team) const;
  int64_t CountTasks(const ModelJob& job, const ZoneId* zone,
                     const RackId* rack) const;

  bool check_preferences_;
  int64_t last_number_ = 0;
  std::map<VmId, ModelWorker> workers_;
  std::map<ZoneId, bool> in_service_;
  std::map<TeamId, TeamTerms> teams_;
  std::map<JobId, ModelJob> jobs_;
  std::optional<JobId> gang_;    // The gang that the decisions are starting.
  int32_t gang_tasks_left_ = 0;  // Its tasks that are still to be started.
};

}  // namespace azurepass::placement::testing

#endif  // AZUREPASS_PLACEMENT_TESTING_ORACLE_H_
